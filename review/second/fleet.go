package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// vm is one process of the system, started with the command of the deploy file.
type vm struct {
	id, zone, ip      string
	callers, ready    string
	settingsPath      string
	cmd               *exec.Cmd
	exited            chan struct{}
	logFile           *os.File
	memoryMB, startNo int
}

// fleet runs the VMs of one small deployment.
type fleet struct {
	rec   *record
	dir   string // temporary folder
	vms   []*vm
	links int // port of the links, the same on all VMs
}

// Bounds of a small deployment, as on the users' page of tsehay-gate.
const (
	graceS      = 6
	retryRatio  = 0.2
	retrySlack  = 56
	budgetS     = 10
	memoryLimit = 284 // MB
)

var regionOfZone = map[string]string{"addis-a": "addis", "addis-b": "addis", "hawassa-a": "hawassa", "hawassa-b": "hawassa"}

// freePort returns a port that is free on all the addresses.
func freePort(ips []string) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		free := true
		for _, ip := range ips {
			address := fmt.Sprintf("%s:%d", ip, port)
			t, err := net.Listen("tcp", address)
			if err != nil {
				free = false
				break
			}
			t.Close()
			u, err := net.ListenPacket("udp", address)
			if err != nil {
				free = false
				break
			}
			u.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// startFleet starts one VM in each of the zones.
func startFleet(rec *record, dir string, st *store, zones ...string) (*fleet, error) {
	f := &fleet{rec: rec, dir: dir}
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.0.%d.%d", 20+os.Getpid()%200, i+2))
	}
	var ports [5]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(ips); err != nil {
			return nil, err
		}
	}
	f.links = ports[2]
	for i, zone := range zones {
		v := &vm{id: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: ips[i], memoryMB: memoryLimit,
			callers: fmt.Sprintf("%s:%d", ips[i], ports[0]), ready: fmt.Sprintf("%s:%d", ips[i], ports[1]),
			settingsPath: filepath.Join(dir, fmt.Sprintf("settings-%d.jsonc", i+1))}
		// The fields of deploy/gateway.jsonc, filled in as the platform does.
		settings := map[string]any{
			"vm":    map[string]any{"id": v.id, "region": regionOfZone[zone], "zone": zone},
			"cores": 0.32, "zones": regionOfZone,
			"listen": map[string]any{"callers": v.callers, "ready": v.ready, "links": fmt.Sprintf("%s:%d", v.ip, ports[2]),
				"metrics": fmt.Sprintf("%s:%d", v.ip, ports[3])},
			"seeds":      []string{fmt.Sprintf("%s:%d", ips[0], ports[4])},
			"store":      map[string]any{"address": st.address()},
			"workspaces": map[string]any{"revocation": "5s", "fail_closed": false},
			"shutdown":   map[string]any{"grace": fmt.Sprintf("%ds", graceS)},
			"repeats":    map[string]any{"ratio": retryRatio, "window": fmt.Sprintf("%ds", budgetS), "slack": retrySlack},
		}
		data, err := json.MarshalIndent(settings, "", "\t")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(v.settingsPath, data, 0o600); err != nil {
			return nil, err
		}
		f.vms = append(f.vms, v)
		if err := f.start(v); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) start(v *vm) error {
	v.startNo++
	out, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%s-%d.log", v.id, v.startNo)))
	if err != nil {
		return err
	}
	v.logFile = out
	v.cmd = exec.Command("target/fulmarbeam", "serve")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "FULMARBEAM_SETTINGS=" + v.settingsPath}
	v.cmd.Stdout, v.cmd.Stderr = out, out
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.exited = exited
	cmd := v.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	f.rec.add("VM %s starts as process %d", v.id, v.cmd.Process.Pid)
	return nil
}

// isReady asks the VM's readiness address.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.ready + "/api/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all VMs are ready.
func (f *fleet) waitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, v := range f.vms {
			all = all && v.isReady()
		}
		if all {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the VMs are not ready after %s", limit)
		}
	}
}

// stop kills all VMs.
func (f *fleet) stop() {
	for _, v := range f.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Kill()
			<-v.exited
		}
		if v.logFile != nil {
			v.logFile.Close()
		}
	}
}
