package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/faultproxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/localfleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

const (
	region    = "addis"
	service   = "ticket-desk"
	keySlices = 8
	// logDestination names the log service as the destination of a proxy.
	logDestination = "log"
	// callTimeout limits a call to a control endpoint or an operators' API.
	callTimeout = 10 * time.Second
	// drainDelay is how long a VM continues to accept requests after SIGTERM.
	drainDelay = 500 * time.Millisecond
)

// vm is an entry VM's process.
type vm struct {
	id, zone                  string
	callers, links, operators string // addresses
	proc                      *process
	api                       *operator.Client

	mu         sync.Mutex
	frozenList *platformapi.ListResponse // the list that this VM reads; nil for the current list
}

// server is a backend server's process.
type server struct {
	id, zone      string
	addr, control string
}

// options configure a testFleet.
type options struct {
	vms, servers int
	floor        int // of the pool, in servers; 0 for 1
}

// testFleet is a fleet of processes. All connections between VMs and from VMs to
// servers, the log service and the VM list go through proxies that can inject faults.
type testFleet struct {
	t          *testing.T
	dir        string
	logProxy   *faultproxy.Proxy       // in front of the log service
	listClient *platformapi.ListClient // reads the VM list through a proxy
	logAddr    string                  // of the log service and its control endpoint, without proxy
	listAddr   string                  // of the VM list and its control endpoint, without proxy
	servers    []*server

	mu    sync.Mutex
	vms   []*vm              // running
	paths map[[2]string]path // by source VM and destination: a VM, a server or logDestination
}

// path is the proxy between a VM and another VM's link address, a server or the log
// service.
type path struct {
	*faultproxy.Proxy
	target string
}

// newFleet starts a fleet, publishes a configuration and waits until every shard has an
// owner and a copy.
func newFleet(t *testing.T, opt options) *testFleet {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &testFleet{t: t, dir: t.TempDir(), paths: make(map[[2]string]path)}
	t.Cleanup(func() {
		for _, v := range f.running() {
			f.dumpLog(v)
		}
	})
	var addrs struct{ Log, List string }
	startProcess(t, &addrs, "fulmarstandin", "platform")
	f.logAddr, f.listAddr = addrs.Log, addrs.List
	f.logProxy, f.listClient = f.startProxy(addrs.Log), platformapi.NewListClient("http://"+f.startProxy(addrs.List).Addr(), nil)
	for i := range opt.servers {
		f.startServer(fmt.Sprintf("ticket-%d", i), zoneName(i))
	}
	for i := range opt.vms {
		f.startVM(fmt.Sprintf("vm-%d", i), zoneName(i))
	}
	f.writeGenesis(f.vms[0])
	f.publish(f.vms[0], "payments", fmt.Sprintf(initialSection, opt.servers, max(1, opt.floor)))
	f.awaitSettled()
	return f
}

func zoneName(i int) string { return fmt.Sprintf("addis-%d", i%2) }

func (f *testFleet) startProxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.Start(target, 1)
	require.NoError(f.t, err)
	f.t.Cleanup(p.Close)
	return p
}

// dumpLog logs the end of a VM's log when the test has failed.
func (f *testFleet) dumpLog(v *vm) {
	const maxBytes = 1500
	if text := v.proc.log(); f.t.Failed() {
		f.t.Logf("log of %s:\n%s", v.id, text[max(0, len(text)-maxBytes):])
	}
}

// callJSON sends JSON to a control endpoint and decodes the response into out.
func (f *testFleet) callJSON(method, url string, in, out any) {
	f.t.Helper()
	data, err := json.Marshal(in)
	require.NoError(f.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(data))
	require.NoError(f.t, err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	require.Less(f.t, resp.StatusCode, http.StatusMultipleChoices, "%s %s", method, url)
	if out != nil {
		require.NoError(f.t, json.NewDecoder(resp.Body).Decode(out))
	}
}

func (f *testFleet) startServer(id, zone string) {
	var addrs struct{ Server, Control string }
	startProcess(f.t, &addrs, "fulmarstandin", "server", "--name", id, "--work", "5ms", "--echo", "X-Request-Id")
	s := &server{id, zone, addrs.Server, addrs.Control}
	f.servers = append(f.servers, s)
	f.putServerRow(s, fleet.StateLive)
}

func (f *testFleet) putServerRow(s *server, state fleet.State) {
	f.callJSON(http.MethodPut, f.listAddr+"/control/servers", platformapi.ServerRow{
		ID: fleet.ServerID(s.id), Service: service, Addr: s.addr, Region: region, Zone: fleet.Zone(s.zone), State: state.String(),
	}, nil)
}

func (f *testFleet) putVMRow(v *vm, state fleet.State) {
	f.callJSON(http.MethodPut, f.listAddr+"/control/vms", platformapi.VMRow{
		ID: fleet.VMID(v.id), Addr: v.links, Region: region, Zone: fleet.Zone(v.zone), State: state.String(),
	}, nil)
}

func (f *testFleet) deleteVMRow(v *vm) {
	f.callJSON(http.MethodDelete, f.listAddr+"/control/vms/"+v.id, nil, nil)
}

// startVM starts an entry VM and adds it to the list. When the process exits, it retries
// with other ports, because another process may have taken a port after it was chosen.
func (f *testFleet) startVM(id, zone string) *vm {
	f.t.Helper()
	const maxAttempts = 5
	for range maxAttempts {
		v := &vm{id: id, zone: zone, callers: freeAddr(f.t), links: freeAddr(f.t), operators: freeAddr(f.t)}
		v.proc = startProcess(f.t, nil, "fulmarbeam", "run", "--settings", f.writeSettings(v))
		api, err := operator.NewClient(operator.ClientConfig{Addresses: []string{v.operators}, Timeout: callTimeout})
		require.NoError(f.t, err)
		f.t.Cleanup(api.Close)
		v.api = api
		eventually(f.t, id+" responds or exits", func() bool {
			_, err := api.Ready(context.Background())
			return err == nil || !v.proc.running()
		})
		if v.proc.running() {
			f.mu.Lock()
			f.vms = append(f.vms, v)
			f.mu.Unlock()
			f.putVMRow(v, fleet.StateLive)
			return v
		}
	}
	f.t.Fatalf("%s did not start", id)
	return nil
}

// writeSettings writes a VM's settings file and returns its name. The VM reads its own
// version of the list, which contains the addresses of proxies.
func (f *testFleet) writeSettings(v *vm) string {
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		vmList, err := f.listFor(v)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
		}
		_ = json.NewEncoder(w).Encode(vmList)
	}))
	f.t.Cleanup(list.Close)
	data, err := json.Marshal(map[string]any{
		"fleet":  "test",
		"vm":     map[string]string{"id": v.id, "region": region, "zone": v.zone},
		"listen": map[string]string{"callers": v.callers, "links": v.links, "operators": v.operators},
		"platform": map[string]string{
			"log_url": "http://" + f.proxyBetween(v.id, logDestination, f.logProxy.Addr()).Addr(), "list_url": list.URL, "list_interval": "100ms", "log_interval": "100ms", "timeout": "1s",
		},
		// Peers receive this address in a hello message before their list contains the VM.
		// It must be unreachable: a connection that bypasses the proxies would survive
		// every cut.
		"advertise":   map[string]string{"links": "127.0.0.1:1"},
		"root_key":    localfleet.PublicKey(rootKey),
		"drain_delay": drainDelay.String(), "drain_timeout": "30s",
	})
	require.NoError(f.t, err)
	file := filepath.Join(f.dir, v.id+".jsonc")
	require.NoError(f.t, os.WriteFile(file, data, 0o600))
	return file
}

// listFor returns the platform's list with the addresses of the VM's proxies, or the
// VM's frozen list.
func (f *testFleet) listFor(v *vm) (*platformapi.ListResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozenList != nil {
		return v.frozenList, nil
	}
	dir, err := f.listClient.List(context.Background())
	if err != nil {
		return nil, err
	}
	vmList := platformapi.NewListResponse(dir)
	for i, row := range vmList.VMs {
		if string(row.ID) != v.id {
			vmList.VMs[i].Addr = f.proxyBetween(v.id, string(row.ID), row.Addr).Addr()
		}
	}
	for i, row := range vmList.Servers {
		vmList.Servers[i].Addr = f.proxyBetween(v.id, string(row.ID), row.Addr).Addr()
	}
	return &vmList, nil
}

// proxyBetween returns the proxy from a VM to a destination and starts it when
// necessary. Each VM dials the VMs that it sends to, so that the proxy between two VMs
// carries messages in one direction only.
func (f *testFleet) proxyBetween(from, to, addr string) *faultproxy.Proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.paths[[2]string{from, to}]
	if p.Proxy == nil || p.target != addr { // a restarted VM has other ports
		p = path{f.startProxy(addr), addr}
		f.paths[[2]string{from, to}] = p
	}
	return p.Proxy
}

// cut drops all bytes that a VM sends to another VM, a server or the log service, and
// the responses.
func (f *testFleet) cut(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.paths[[2]string{from, to}]; ok {
		p.SetFaults(faultproxy.Faults{Up: faultproxy.FlowFaults{Drop: true}, Down: faultproxy.FlowFaults{Drop: true}})
	}
}

// heal removes all faults and returns the number of bytes that the faulty proxies have
// dropped since their start. Connections through these proxies are reset, because a real
// TCP connection never continues after lost bytes.
func (f *testFleet) heal() (dropped int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.paths {
		if p.Faults() != (faultproxy.Faults{}) {
			p.SetFaults(faultproxy.Faults{})
			p.ResetAll()
			dropped += p.DroppedBytes()
		}
	}
	return dropped
}

// freezeList makes the VM read the list as it is now until release is called.
func (f *testFleet) freezeList(v *vm) (release func()) {
	vmList, err := f.listFor(v)
	require.NoError(f.t, err)
	set := func(list *platformapi.ListResponse) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.frozenList = list
	}
	set(vmList)
	return func() { set(nil) }
}

// setLogOutage makes the log service unreachable for all VMs or, with outage false,
// reachable without faults.
func (f *testFleet) setLogOutage(outage bool) {
	f.logProxy.SetFaults(faultproxy.Faults{Refuse: outage})
	f.logProxy.ResetAll()
}

func (f *testFleet) running() []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.vms)
}

// removeVM removes a VM from the running VMs of the test. The platform's list keeps it.
func (f *testFleet) removeVM(v *vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = slices.DeleteFunc(f.vms, func(o *vm) bool { return o == v })
}

func (v *vm) ready() bool {
	r, err := v.api.Ready(context.Background())
	return err == nil && r.Ready
}

func (v *vm) shards() []operator.ShardStatus {
	rows, _ := v.api.Shards(context.Background(), operator.ShardsQuery{})
	return rows
}

// settled reports whether the VM is ready and lists an owner and a copy among the
// running VMs for every shard.
func (f *testFleet) settled(v *vm) bool {
	rows := v.shards()
	if !v.ready() || len(rows) != keySlices+1 {
		return false
	}
	isRunning := func(member string) bool {
		return slices.ContainsFunc(f.running(), func(o *vm) bool { return o.id == vmOfMember(member) })
	}
	return !slices.ContainsFunc(rows, func(s operator.ShardStatus) bool { return !isRunning(s.Owner) || !isRunning(s.Copy) })
}

func (f *testFleet) awaitSettled() {
	f.t.Helper()
	for _, v := range f.running() {
		eventually(f.t, v.id+" is ready and all shards have an owner and a copy", func() bool { return f.settled(v) })
	}
}

// vmOfMember returns the VM id of a member, which has the form "vm/incarnation".
func vmOfMember(member string) string {
	id, _, _ := strings.Cut(member, "/")
	return id
}

// keyOwner returns the VM that owns the most key shards.
func (f *testFleet) keyOwner() *vm {
	owned := make(map[string]int)
	for _, s := range f.running()[0].shards() {
		if strings.HasPrefix(s.Shard, "keys/") {
			owned[vmOfMember(s.Owner)]++
		}
	}
	return slices.MaxFunc(f.running(), func(a, b *vm) int { return owned[a.id] - owned[b.id] })
}

func (f *testFleet) others(v *vm) []*vm {
	return slices.DeleteFunc(f.running(), func(o *vm) bool { return o == v })
}

// ledger waits until no server has running work and returns the entries of all servers.
func (f *testFleet) ledger() []standin.LedgerEntry {
	f.t.Helper()
	var all []standin.LedgerEntry
	for _, s := range f.servers {
		eventually(f.t, s.id+" has no running work", func() bool {
			var c standin.Counts
			f.callJSON(http.MethodGet, s.control+"/counts", nil, &c)
			return c.Running == 0
		})
		var entries []standin.LedgerEntry
		f.callJSON(http.MethodGet, s.control+"/ledger", nil, &entries)
		all = append(all, entries...)
	}
	return all
}
