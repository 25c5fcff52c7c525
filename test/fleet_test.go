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
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

const (
	region    = "addis"
	service   = "ticket-desk"
	keySlices = 8
	// logPath names the log service as the end of a path from a VM.
	logPath = "log"
	// callTimeout bounds a call to a control endpoint or an operators' API.
	callTimeout = 10 * time.Second
	// drainDelay is how long a VM goes on accepting after SIGTERM.
	drainDelay = 500 * time.Millisecond
)

// vm is an entry VM's process.
type vm struct {
	id, zone                  string
	callers, links, operators string // addresses
	proc                      *process
	api                       *operator.Client

	mu   sync.Mutex
	held *platform.ListAnswer // the list that this VM sees; nil for the current one
}

// server is a backend server's process.
type server struct {
	id, zone      string
	addr, control string
}

// options of a fleet.
type options struct {
	vms, servers int
	floor        int // of the pool, in servers; 0 for 1
}

// testFleet is a fleet of processes. The links between VMs, the servers, the log
// service and the VM list are reached through proxies that can inject faults.
type testFleet struct {
	t         *testing.T
	dir       string
	log       *faultproxy.Proxy    // before the log service
	list      *platform.ListClient // reads the VM list through a proxy
	logDirect string               // control of the log service
	listAddr  string               // control of the VM list
	servers   []*server

	mu    sync.Mutex
	vms   []*vm // running
	paths map[[2]string]path
}

// path is the proxy on the way from a VM to a VM's links, a server or the log.
type path struct {
	*faultproxy.Proxy
	target string
}

// newFleet starts a fleet with a document in force and every shard owned and copied.
func newFleet(t *testing.T, opt options) *testFleet {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &testFleet{t: t, dir: t.TempDir(), paths: make(map[[2]string]path)}
	t.Cleanup(func() {
		for _, v := range f.running() {
			f.dump(v)
		}
	})
	var addrs struct{ Log, List string }
	start(t, &addrs, "fulmarstandin", "platform")
	f.logDirect, f.listAddr = addrs.Log, addrs.List
	f.log, f.list = f.proxy(addrs.Log), platform.NewListClient("http://"+f.proxy(addrs.List).Addr(), nil)
	for i := range opt.servers {
		f.startServer(fmt.Sprintf("ticket-%d", i), zoneOf(i))
	}
	for i := range opt.vms {
		f.startVM(fmt.Sprintf("vm-%d", i), zoneOf(i))
	}
	f.genesis(f.vms[0])
	f.publish(f.vms[0], "payments", fmt.Sprintf(firstSection, opt.servers, max(1, opt.floor)))
	f.awaitSettled()
	return f
}

func zoneOf(i int) string { return fmt.Sprintf("addis-%d", i%2) }

func (f *testFleet) proxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.Start(target, 1)
	require.NoError(f.t, err)
	f.t.Cleanup(p.Close)
	return p
}

// dump logs the newest lines of a VM's log when the test has failed.
func (f *testFleet) dump(v *vm) {
	const most = 1500
	if text := v.proc.log(); f.t.Failed() {
		f.t.Logf("log of %s:\n%s", v.id, text[max(0, len(text)-most):])
	}
}

// call sends JSON to a control endpoint and decodes the answer into out.
func (f *testFleet) call(method, url string, in, out any) {
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
	start(f.t, &addrs, "fulmarstandin", "server", "--name", id, "--work", "5ms", "--echo", "X-Request-Id")
	s := &server{id, zone, addrs.Server, addrs.Control}
	f.servers = append(f.servers, s)
	f.listServer(s, fleet.StateLive)
}

func (f *testFleet) listServer(s *server, state fleet.State) {
	f.call(http.MethodPut, f.listAddr+"/control/servers", platform.ServerRow{
		ID: fleet.ServerID(s.id), Service: service, Addr: s.addr, Region: region, Zone: fleet.Zone(s.zone), State: state.String(),
	}, nil)
}

func (f *testFleet) listVM(v *vm, state fleet.State) {
	f.call(http.MethodPut, f.listAddr+"/control/vms", platform.VMRow{
		ID: fleet.VMID(v.id), Addr: v.links, Region: region, Zone: fleet.Zone(v.zone), State: state.String(),
	}, nil)
}

func (f *testFleet) dropVM(v *vm) {
	f.call(http.MethodDelete, f.listAddr+"/control/vms/"+v.id, nil, nil)
}

// startVM starts and lists an entry VM. A port may have been taken since it was
// chosen; the start is then repeated with others.
func (f *testFleet) startVM(id, zone string) *vm {
	f.t.Helper()
	const tries = 5
	for range tries {
		v := &vm{id: id, zone: zone, callers: freeAddr(f.t), links: freeAddr(f.t), operators: freeAddr(f.t)}
		v.proc = start(f.t, nil, "fulmarbeam", "run", "--settings", f.settings(v))
		api, err := operator.NewClient(operator.ClientConfig{Addresses: []string{v.operators}, Timeout: callTimeout})
		require.NoError(f.t, err)
		f.t.Cleanup(api.Close)
		v.api = api
		eventually(f.t, id+" answers or ends", func() bool {
			_, err := api.Ready(context.Background())
			return err == nil || !v.proc.running()
		})
		if v.proc.running() {
			f.mu.Lock()
			f.vms = append(f.vms, v)
			f.mu.Unlock()
			f.listVM(v, fleet.StateLive)
			return v
		}
	}
	f.t.Fatalf("%s does not start", id)
	return nil
}

// settings writes a VM's settings file and returns its name. The VM reads a list of
// its own, in which addresses lead through proxies.
func (f *testFleet) settings(v *vm) string {
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		answer, err := f.viewOf(v)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	f.t.Cleanup(list.Close)
	data, err := json.Marshal(map[string]any{
		"fleet":  "test",
		"vm":     map[string]string{"id": v.id, "region": region, "zone": v.zone},
		"listen": map[string]string{"callers": v.callers, "links": v.links, "operators": v.operators},
		"platform": map[string]string{
			"log_url": "http://" + f.path(v.id, logPath, f.log.Addr()).Addr(), "list_url": list.URL, "list_interval": "100ms", "log_interval": "100ms", "timeout": "1s",
		},
		// Peers learn this address from a hello before their list holds the VM. A dial
		// past the proxies would survive every cut, so it must fail.
		"advertise":   map[string]string{"links": "127.0.0.1:1"},
		"root_key":    localfleet.PublicKey(rootKey),
		"drain_delay": drainDelay.String(), "drain_timeout": "30s",
	})
	require.NoError(f.t, err)
	file := filepath.Join(f.dir, v.id+".jsonc")
	require.NoError(f.t, os.WriteFile(file, data, 0o600))
	return file
}

// viewOf returns the platform's list as the VM is to see it.
func (f *testFleet) viewOf(v *vm) (*platform.ListAnswer, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.held != nil {
		return v.held, nil
	}
	dir, err := f.list.List(context.Background())
	if err != nil {
		return nil, err
	}
	answer := platform.NewListAnswer(dir)
	for i, row := range answer.VMs {
		if string(row.ID) != v.id {
			answer.VMs[i].Addr = f.path(v.id, string(row.ID), row.Addr).Addr()
		}
	}
	for i, row := range answer.Servers {
		answer.Servers[i].Addr = f.path(v.id, string(row.ID), row.Addr).Addr()
	}
	return &answer, nil
}

// path returns the proxy on a way. Each VM dials those it sends to, so that the proxy
// between two VMs carries one direction only.
func (f *testFleet) path(from, to, addr string) *faultproxy.Proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.paths[[2]string{from, to}]
	if p.Proxy == nil || p.target != addr { // a VM that starts again has other ports
		p = path{f.proxy(addr), addr}
		f.paths[[2]string{from, to}] = p
	}
	return p.Proxy
}

// cut drops what the first VM sends to the second VM or server.
func (f *testFleet) cut(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.paths[[2]string{from, to}]; ok {
		p.Set(faultproxy.Faults{Up: faultproxy.Flow{Cut: true}, Down: faultproxy.Flow{Cut: true}})
	}
}

// heal ends all cuts. The connections that lost bytes are reset, because a stream
// with a hole does not exist on a real network.
func (f *testFleet) heal() (swallowed int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.paths {
		if p.Faults() != (faultproxy.Faults{}) {
			p.Set(faultproxy.Faults{})
			p.ResetAll()
			swallowed += p.Swallowed()
		}
	}
	return swallowed
}

// holdList makes the VM see the present list until release is called.
func (f *testFleet) holdList(v *vm) (release func()) {
	answer, err := f.viewOf(v)
	require.NoError(f.t, err)
	hold := func(a *platform.ListAnswer) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.held = a
	}
	hold(answer)
	return func() { hold(nil) }
}

// logAway makes the log service unreachable for all VMs, or reachable again.
func (f *testFleet) logAway(away bool) {
	f.log.Set(faultproxy.Faults{Refuse: away})
	f.log.ResetAll()
}

func (f *testFleet) running() []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.vms)
}

// leave takes a VM out of those that the test looks at.
func (f *testFleet) leave(v *vm) {
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

// settled reports that the VM is ready and that every shard that it knows has an
// owner and a replica among the running VMs.
func (f *testFleet) settled(v *vm) bool {
	rows := v.shards()
	if !v.ready() || len(rows) != keySlices+1 {
		return false
	}
	runs := func(member string) bool {
		return slices.ContainsFunc(f.running(), func(o *vm) bool { return o.id == vmOf(member) })
	}
	return !slices.ContainsFunc(rows, func(s operator.ShardStatus) bool { return !runs(s.Owner) || !runs(s.Copy) })
}

func (f *testFleet) awaitSettled() {
	f.t.Helper()
	for _, v := range f.running() {
		eventually(f.t, v.id+" is ready and all shards have an owner and a replica", func() bool { return f.settled(v) })
	}
}

// vmOf returns the VM of a member that is spelled "vm/incarnation".
func vmOf(member string) string {
	id, _, _ := strings.Cut(member, "/")
	return id
}

// keyOwner returns the VM that owns most key shards.
func (f *testFleet) keyOwner() *vm {
	owned := make(map[string]int)
	for _, s := range f.running()[0].shards() {
		if strings.HasPrefix(s.Shard, "keys/") {
			owned[vmOf(s.Owner)]++
		}
	}
	return slices.MaxFunc(f.running(), func(a, b *vm) int { return owned[a.id] - owned[b.id] })
}

func (f *testFleet) others(v *vm) []*vm {
	return slices.DeleteFunc(f.running(), func(o *vm) bool { return o == v })
}

// ledger returns the runs of all servers once none is in progress.
func (f *testFleet) ledger() []standin.Entry {
	f.t.Helper()
	var all []standin.Entry
	for _, s := range f.servers {
		eventually(f.t, s.id+" has no running work", func() bool {
			var c standin.Counts
			f.call(http.MethodGet, s.control+"/counts", nil, &c)
			return c.Running == 0
		})
		var entries []standin.Entry
		f.call(http.MethodGet, s.control+"/ledger", nil, &entries)
		all = append(all, entries...)
	}
	return all
}
