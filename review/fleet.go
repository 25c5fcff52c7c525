package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"syscall"
	"time"
)

// machine is one machine of the system: an entry VM that runs the command of the deploy file.
type machine struct {
	name, ip, zone string
	proc           *exec.Cmd
	exited         chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	root     string // of the repository
	dir      string // temporary, for settings files
	zones    map[string]string
	seeds    []string
	store    string
	ports    [3]int // ingress, readiness, links
	net      int    // second byte of the machines' loopback addresses
	machines []*machine
	slack    int
}

// newFleet chooses ports that are free on the loopback addresses of n machines.
func newFleet(root, dir, storeAddr string, zones map[string]string, n int) (*fleet, error) {
	f := &fleet{root: root, dir: dir, zones: zones, store: storeAddr, slack: 62}
	for try := 0; try < 50; try++ {
		f.net = 10 + rand.IntN(200)
		base := 20000 + rand.IntN(10000)
		f.ports = [3]int{base, base + 1, base + 2}
		if f.free(n) {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (f *fleet) ip(i int) string { return fmt.Sprintf("127.%d.0.%d", f.net, 10+i) }

func (f *fleet) free(n int) bool {
	for i := range n {
		for _, p := range append(f.ports[:], 9464) {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(i), p))
			if err != nil {
				return false
			}
			l.Close()
			u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", f.ip(i), p))
			if err != nil {
				return false
			}
			u.Close()
		}
	}
	return true
}

// add adds a machine without starting it.
func (f *fleet) add(name, zone string) *machine {
	m := &machine{name: name, ip: f.ip(len(f.machines)), zone: zone}
	f.machines = append(f.machines, m)
	return m
}

// settings is deploy/gateway.jsonc, filled in for the machine.
func (f *fleet) settings(m *machine) []byte {
	seeds := f.seeds
	if seeds == nil {
		seeds = []string{}
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	out, _ := json.MarshalIndent(map[string]any{
		"vm":       map[string]string{"id": m.name, "region": f.zones[m.zone], "zone": m.zone},
		"cores":    0.32,
		"zones":    f.zones,
		"listen":   map[string]string{"callers": at(f.ports[0]), "ready": at(f.ports[1]), "links": at(f.ports[2]), "metrics": at(9464)},
		"seeds":    seeds,
		"store":    map[string]string{"address": f.store},
		"shutdown": map[string]string{"grace": "6s"},
		"repeats":  map[string]any{"ratio": 0.2, "window": "10s", "slack": f.slack},
	}, "", "  ")
	return out
}

// start starts the machine's process with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	file := filepath.Join(f.dir, m.name+".jsonc")
	if err := os.WriteFile(file, f.settings(m), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.root, "target/fulmarbeam"), "serve")
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "FULMARBEAM_SETTINGS=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.proc, m.exited = cmd, make(chan struct{})
	exited := m.exited
	go func() { _ = cmd.Wait(); close(exited) }()
	note("script", "started %s", m.name)
	return nil
}

// kill ends the machine's process at once.
func (m *machine) kill() {
	if m.proc == nil {
		return
	}
	_ = m.proc.Process.Kill()
	<-m.exited
	m.proc = nil
	note("script", "killed %s", m.name)
}

func (f *fleet) stop() {
	for _, m := range f.machines {
		m.kill()
	}
}

func (f *fleet) ingress(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.ports[0]) }

// ready reports whether the machine's readiness address answers 200.
func (f *fleet) ready(m *machine) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/api/readyz", m.ip, f.ports[1]))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range f.machines {
		for m.proc != nil && !f.ready(m) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// route is a route of the operator's configuration.
type route struct {
	name, prefix, kind, service string
	timeout, target             float64
	attempts, priority          int
}

const host = "shop.example"

// configuration returns a configuration of the operator.
func configuration(version int, services []string, routes []route) []byte {
	type resource = map[string]any
	var all []resource
	for _, r := range routes {
		all = append(all, resource{"type": "routes", "metadata": map[string]string{"name": r.name}, "spec": map[string]any{
			"host": host, "pathPrefix": r.prefix, "routeType": r.kind, "timeoutS": r.timeout, "targetLatencyS": r.target,
			"priority": r.priority, "service": r.service, "attempts": r.attempts}})
	}
	sort.Strings(services)
	for _, s := range services {
		all = append(all, resource{"type": "services", "metadata": map[string]string{"name": s},
			"spec": map[string]any{"healthCheckPath": "/healthz", "maxConnections": 390, "protocol": "h1", "tls": false}})
	}
	all = append(all, resource{"type": "limits", "metadata": map[string]string{}, "spec": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}})
	out, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": all})
	return out
}

const syscallTerm = syscall.SIGTERM
