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

// Permitted ranges of the settings.
const (
	maxDrainDelay      = 5 * time.Minute
	maxDrainTimeout    = time.Hour
	minInterval        = 50 * time.Millisecond
	maxInterval        = 10 * time.Second
	maxRequestTimeout  = time.Minute
	minRevocation      = time.Second
	maxRevocation      = time.Hour
	minHeader          = 4 * KiB
	maxHeader          = 1 * MiB
	maxBodyBuffer      = 16 * MiB
	maxBodyBufferTotal = 2 * GiB
	maxHeaderTotal     = 2 * GiB
)

// namePattern matches names that need no quoting in a certificate's DNS name, a metric
// label or a URL path.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// fail reports a problem at a path, unless one was reported at the path or at an object
// that contains it. The line is that of the path or, if the path is absent from the file, of
// the innermost object on it that is present.
func (d *decoder) fail(path, format string, args ...any) {
	if d.hasProblem(path) {
		return
	}
	line, ok := 0, false
	for p := path; ; p = parentPath(p) {
		if line, ok = d.lines[p]; ok || p == "" {
			break
		}
	}
	d.invalid(path, line, fmt.Sprintf(format, args...))
}

// hasProblem reports whether a problem was reported at the path or at an object that
// contains it.
func (d *decoder) hasProblem(path string) bool {
	for p := path; p != ""; p = parentPath(p) {
		if d.invalidPaths[p] {
			return true
		}
	}
	return false
}

func parentPath(path string) string { return path[:max(0, strings.LastIndexByte(path, '.'))] }

func (d *decoder) check(s *Settings) {
	d.checkName("fleet", s.Fleet)
	d.checkVM(s.VM)
	d.checkAddresses(s)
	d.checkPlatform(s.Platform)
	if key, err := base64.StdEncoding.DecodeString(s.RootKey); err != nil || len(key) != ed25519.PublicKeySize {
		d.fail("root_key", "expected a base64 Ed25519 public key of %d bytes, as fulmarctl key new prints it", ed25519.PublicKeySize)
	}
	d.checkDrain(s)
	d.checkLimits(s.Limits)
	d.checkTelemetry(s.Log, s.Tracing)
}

func (d *decoder) checkVM(vm VM) {
	d.checkName("vm.id", vm.ID)
	d.checkName("vm.region", vm.Region)
	d.checkName("vm.zone", vm.Zone)
}

func (d *decoder) checkName(path, v string) {
	if !namePattern.MatchString(v) {
		d.fail(path, "expected a name of 1 to 63 characters a-z, 0-9, '.', '_' or '-', found %q", v)
	}
}

func (d *decoder) checkFraction(path string, v float64) {
	if !(v >= 0 && v <= 1) {
		d.fail(path, "expected a number from 0 to 1, found %v", v)
	}
}

func (d *decoder) checkTelemetry(l Log, t Tracing) {
	d.checkOneOf("log.level", l.Level, "error", "info", "debug")
	d.checkOneOf("log.format", l.Format, "json", "console")
	if t.OTLPEndpoint != "" {
		d.checkURL("tracing.otlp_endpoint", t.OTLPEndpoint)
	}
	d.checkFraction("tracing.sample_ratio", t.SampleRatio)
}

func (d *decoder) checkAddresses(s *Settings) {
	d.checkFiles("tls.links", s.TLS.Links)
	d.checkFiles("tls.operators", s.TLS.Operators)
	var bound []boundAddr
	for _, a := range []struct {
		path, value      string
		optional, listen bool
		mustEncrypt      bool
		files            TLSFiles
	}{
		{"listen.callers", s.Listen.Callers, false, true, false, TLSFiles{}},
		{"listen.links", s.Listen.Links, false, true, true, s.TLS.Links},
		{"listen.operators", s.Listen.Operators, false, true, true, s.TLS.Operators},
		{"listen.metrics", s.Listen.Metrics, true, true, false, TLSFiles{}},
		{"advertise.links", s.Advertise.Links, true, false, true, s.TLS.Links},
		{"advertise.operators", s.Advertise.Operators, true, false, true, s.TLS.Operators},
	} {
		if a.value == "" && a.optional {
			continue
		}
		addr, err := netip.ParseAddrPort(a.value)
		if err != nil || addr.Port() == 0 {
			d.fail(a.path, `expected an IP address and a port, such as "127.0.0.1:8080", found %q`, a.value)
			continue
		}
		if a.mustEncrypt && !addr.Addr().IsLoopback() && !a.files.Enabled() {
			d.fail(a.path, "expected a loopback address, or certificates in tls.%s, found %s without certificates",
				a.path[strings.IndexByte(a.path, '.')+1:], addr)
		}
		if !a.listen {
			if addr.Addr().IsUnspecified() {
				d.fail(a.path, "expected an address that other VMs can dial, found %s", addr)
			}
			continue
		}
		for _, other := range bound {
			if addressesConflict(addr, other.addr) {
				d.fail(a.path, "expected another address than %s (%s), found %s", other.path, other.addr, addr)
			}
		}
		bound = append(bound, boundAddr{a.path, addr})
	}
	d.checkAdvertised("links", s.Listen.Links, s.Advertise.Links)
	d.checkAdvertised("operators", s.Listen.Operators, s.Advertise.Operators)
}

// boundAddr is the address of a listener with its path in the file.
type boundAddr struct {
	path string
	addr netip.AddrPort
}

// addressesConflict reports whether two listeners cannot be bound at the same time. An
// unspecified address uses the port on all addresses.
func addressesConflict(a, b netip.AddrPort) bool {
	x, y := a.Addr().Unmap(), b.Addr().Unmap()
	return a.Port() == b.Port() && (x == y || x.IsUnspecified() || y.IsUnspecified())
}

// checkAdvertised requires an advertised address when the listener binds all addresses,
// since the unspecified address cannot be dialed.
func (d *decoder) checkAdvertised(name, listen, advertise string) {
	if addr, err := netip.ParseAddrPort(listen); err == nil && addr.Addr().IsUnspecified() && advertise == "" {
		d.fail("advertise."+name, "expected the address that other VMs dial, because listen.%s binds all addresses", name)
	}
}

func (d *decoder) checkFiles(path string, f TLSFiles) {
	if !f.Enabled() {
		return
	}
	for _, file := range []struct{ name, value string }{{"cert", f.Cert}, {"key", f.Key}, {"ca", f.CA}} {
		if file.value == "" {
			d.fail(path+"."+file.name, "expected a file name, because %s sets other files", path)
		}
	}
}

func (d *decoder) checkPlatform(p Platform) {
	d.checkURL("platform.log_url", p.LogURL)
	d.checkURL("platform.list_url", p.ListURL)
	d.checkDuration("platform.list_interval", p.ListInterval, minInterval, maxInterval)
	d.checkDuration("platform.log_interval", p.LogInterval, minInterval, maxInterval)
	d.checkDuration("platform.timeout", p.Timeout, minInterval, maxRequestTimeout)
}

func (d *decoder) checkDrain(s *Settings) {
	d.checkDuration("drain_delay", s.DrainDelay, 0, maxDrainDelay)
	d.checkDuration("drain_timeout", s.DrainTimeout, time.Second, maxDrainTimeout)
	if s.DrainTimeout < s.DrainDelay && !d.hasProblem("drain_delay") {
		d.fail("drain_timeout", "expected at least drain_delay (%s), found %s", s.DrainDelay, s.DrainTimeout)
	}
}

func (d *decoder) checkLimits(l Limits) {
	d.checkSize("limits.header", l.Header, minHeader, maxHeader)
	d.checkSize("limits.header_total", l.HeaderTotal, minHeader, maxHeaderTotal)
	d.checkSize("limits.body_buffer", l.BodyBuffer, 0, maxBodyBuffer)
	d.checkSize("limits.body_buffer_total", l.BodyBufferTotal, 0, maxBodyBufferTotal)
	if l.BodyBufferTotal < l.BodyBuffer && !d.hasProblem("limits.body_buffer") {
		d.fail("limits.body_buffer_total", "expected at least limits.body_buffer (%s), found %s", l.BodyBuffer, l.BodyBufferTotal)
	}
}

func (d *decoder) checkDuration(path string, v Duration, least, most time.Duration) {
	if v.D() < least || v.D() > most {
		d.fail(path, "expected %s to %s, found %s", least, most, v)
	}
}

func (d *decoder) checkSize(path string, v, least, most Size) {
	if v < least || v > most {
		d.fail(path, "expected %s to %s, found %s", least, most, v)
	}
}

func (d *decoder) checkOneOf(path, v string, allowed ...string) {
	for _, a := range allowed {
		if v == a {
			return
		}
	}
	d.fail(path, "expected one of %s, found %q", strings.Join(allowed, ", "), v)
}

func (d *decoder) checkURL(path, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Hostname() == "" || (u.Scheme != "http" && u.Scheme != "https") {
		d.fail(path, `expected an http or https URL, such as "http://127.0.0.1:9000", found %q`, v)
	}
}
