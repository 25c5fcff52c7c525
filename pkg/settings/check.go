package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"
)

// Ranges of the settings.
const (
	maxDrainDelay   = 5 * time.Minute
	maxDrainTimeout = time.Hour
	minPoll         = 50 * time.Millisecond
	maxPoll         = 10 * time.Second
	maxTimeout      = time.Minute
	minHeader       = 4 * KiB
	maxHeader       = 1 * MiB
	maxBodyBuffer   = 16 * MiB
	maxBodyTotal    = 2 * GiB
)

// namePattern allows what a certificate's DNS name, a metric label and a URL path
// can hold without quoting.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// at reports a problem at a path unless one was reported there or at an object that
// holds it. The line is that of the innermost of these that the file holds.
func (d *decoder) at(path, format string, args ...any) {
	if d.unusable(path) {
		return
	}
	line, ok := 0, false
	for p := path; ; p = parent(p) {
		if line, ok = d.lines[p]; ok || p == "" {
			break
		}
	}
	d.problem(path, line, fmt.Sprintf(format, args...))
}

// unusable reports whether a problem was reported at the path or at an object that
// holds it.
func (d *decoder) unusable(path string) bool {
	for p := path; p != ""; p = parent(p) {
		if d.bad[p] {
			return true
		}
	}
	return false
}

func parent(path string) string { return path[:max(0, strings.LastIndexByte(path, '.'))] }

func (d *decoder) check(s *Settings) {
	d.name("fleet", s.Fleet)
	d.names(s.VM)
	d.checkAddresses(s)
	d.checkPlatform(s.Platform)
	if key, err := base64.StdEncoding.DecodeString(s.RootKey); err != nil || len(key) != ed25519.PublicKeySize {
		d.at("root_key", "expected a base64 Ed25519 public key of %d bytes, as fulmarctl key new prints it", ed25519.PublicKeySize)
	}
	d.checkDrain(s)
	d.checkLimits(s.Limits)
	d.checkTelemetry(s.Log, s.Tracing)
}

func (d *decoder) names(vm VM) {
	d.name("vm.id", vm.ID)
	d.name("vm.region", vm.Region)
	d.name("vm.zone", vm.Zone)
}

func (d *decoder) name(path, v string) {
	if !namePattern.MatchString(v) {
		d.at(path, "expected a name of 1 to 63 characters a-z, 0-9, '.', '_' or '-', found %q", v)
	}
}

func (d *decoder) share(path string, v float64) {
	if !(v >= 0 && v <= 1) {
		d.at(path, "expected a number from 0 to 1, found %v", v)
	}
}

func (d *decoder) checkTelemetry(l Log, t Tracing) {
	d.oneOf("log.level", l.Level, "error", "info", "debug")
	d.oneOf("log.format", l.Format, "json", "console")
	if t.OTLPEndpoint != "" {
		d.url("tracing.otlp_endpoint", t.OTLPEndpoint)
	}
	d.share("tracing.sample_ratio", t.SampleRatio)
}

func (d *decoder) checkAddresses(s *Settings) {
	d.files("tls.links", s.TLS.Links)
	d.files("tls.operators", s.TLS.Operators)
	var bound []binding
	for _, a := range []struct {
		path, value      string
		optional, listen bool
		mustEncrypt      bool
		files            Files
	}{
		{"listen.callers", s.Listen.Callers, false, true, false, Files{}},
		{"listen.links", s.Listen.Links, false, true, true, s.TLS.Links},
		{"listen.operators", s.Listen.Operators, false, true, true, s.TLS.Operators},
		{"listen.metrics", s.Listen.Metrics, true, true, false, Files{}},
		{"advertise.links", s.Advertise.Links, true, false, true, s.TLS.Links},
		{"advertise.operators", s.Advertise.Operators, true, false, true, s.TLS.Operators},
	} {
		if a.value == "" && a.optional {
			continue
		}
		addr, err := netip.ParseAddrPort(a.value)
		if err != nil || addr.Port() == 0 {
			d.at(a.path, `expected an IP address and a port, such as "127.0.0.1:8080", found %q`, a.value)
			continue
		}
		if a.mustEncrypt && !addr.Addr().IsLoopback() && !a.files.Enabled() {
			d.at(a.path, "expected a loopback address, or certificates in tls.%s, found %s without certificates",
				a.path[strings.IndexByte(a.path, '.')+1:], addr)
		}
		if !a.listen {
			if addr.Addr().IsUnspecified() {
				d.at(a.path, "expected an address that other VMs can dial, found %s", addr)
			}
			continue
		}
		for _, other := range bound {
			if conflict(addr, other.addr) {
				d.at(a.path, "expected another address than %s (%s), found %s", other.path, other.addr, addr)
			}
		}
		bound = append(bound, binding{a.path, addr})
	}
	d.checkAdvertised("links", s.Listen.Links, s.Advertise.Links)
	d.checkAdvertised("operators", s.Listen.Operators, s.Advertise.Operators)
}

type binding struct {
	path string
	addr netip.AddrPort
}

// conflict reports whether two listeners cannot be bound together: an unspecified
// address takes the port on all addresses.
func conflict(a, b netip.AddrPort) bool {
	x, y := a.Addr().Unmap(), b.Addr().Unmap()
	return a.Port() == b.Port() && (x == y || x.IsUnspecified() || y.IsUnspecified())
}

// checkAdvertised requires an advertised address where the listener binds all
// addresses, since nobody can dial the unspecified address.
func (d *decoder) checkAdvertised(name, listen, advertise string) {
	if addr, err := netip.ParseAddrPort(listen); err == nil && addr.Addr().IsUnspecified() && advertise == "" {
		d.at("advertise."+name, "expected the address that other VMs dial, because listen.%s binds all addresses", name)
	}
}

func (d *decoder) files(path string, f Files) {
	if !f.Enabled() {
		return
	}
	for _, file := range []struct{ name, value string }{{"cert", f.Cert}, {"key", f.Key}, {"ca", f.CA}} {
		if file.value == "" {
			d.at(path+"."+file.name, "expected a file name, because %s names other files", path)
		}
	}
}

func (d *decoder) checkPlatform(p Platform) {
	d.url("platform.log_url", p.LogURL)
	d.url("platform.list_url", p.ListURL)
	d.duration("platform.list_interval", p.ListInterval, minPoll, maxPoll)
	d.duration("platform.log_interval", p.LogInterval, minPoll, maxPoll)
	d.duration("platform.timeout", p.Timeout, minPoll, maxTimeout)
}

func (d *decoder) checkDrain(s *Settings) {
	d.duration("drain_delay", s.DrainDelay, 0, maxDrainDelay)
	d.duration("drain_timeout", s.DrainTimeout, time.Second, maxDrainTimeout)
	if s.DrainTimeout < s.DrainDelay && !d.unusable("drain_delay") {
		d.at("drain_timeout", "expected at least drain_delay (%s), found %s", s.DrainDelay, s.DrainTimeout)
	}
}

func (d *decoder) checkLimits(l Limits) {
	d.size("limits.header", l.Header, minHeader, maxHeader)
	d.size("limits.body_buffer", l.BodyBuffer, 0, maxBodyBuffer)
	d.size("limits.body_buffer_total", l.BodyBufferTotal, 0, maxBodyTotal)
	if l.BodyBufferTotal < l.BodyBuffer && !d.unusable("limits.body_buffer") {
		d.at("limits.body_buffer_total", "expected at least limits.body_buffer (%s), found %s", l.BodyBuffer, l.BodyBufferTotal)
	}
}

func (d *decoder) duration(path string, v Duration, least, most time.Duration) {
	if v.D() < least || v.D() > most {
		d.at(path, "expected %s to %s, found %s", least, most, v)
	}
}

func (d *decoder) size(path string, v, least, most Size) {
	if v < least || v > most {
		d.at(path, "expected %s to %s, found %s", least, most, v)
	}
}

func (d *decoder) oneOf(path, v string, allowed ...string) {
	for _, a := range allowed {
		if v == a {
			return
		}
	}
	d.at(path, "expected one of %s, found %q", strings.Join(allowed, ", "), v)
}

func (d *decoder) url(path, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Hostname() == "" || (u.Scheme != "http" && u.Scheme != "https") {
		d.at(path, `expected an http or https URL, such as "http://127.0.0.1:9000", found %q`, v)
	}
}
