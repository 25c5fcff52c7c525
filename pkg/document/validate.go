package document

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Limits of format 1. Changing one would change which edits are accepted, so it requires
// a new format. MaxServers applies to a service, MaxSlots and MaxConnections to a server.
const (
	MaxNameBytes    = 128
	MaxPathBytes    = 1024
	MaxServers      = 100_000
	MaxSlots        = 10_000
	MaxConnections  = 1_000_000
	MaxWeight       = 1e6
	MaxRetries      = 5
	MaxBodyBytes    = 1 << 30
	MaxKeySlices    = 4096
	MaxDeadline     = Duration(24 * time.Hour)
	MaxWarmup       = Duration(time.Hour)
	MinKeyRetention = Duration(10 * time.Second)
	MaxKeyRetention = Duration(24 * time.Hour)
	MaxSections     = 4096
	MaxHosts        = 256     // of one route
	MaxMethods      = 32      // of one route
	MaxRouteMatches = 500_000 // combinations of host, path and method over all routes; bounds the index
	MaxRegions      = 64
	MaxServices     = 10_000    // of the document; bounds its snapshots
	MaxRoutes       = 100_000   // of the document
	MaxWorkspaces   = 1_000_000 // of the document
)

// Validate checks a whole document and returns all problems, sorted by path.
func Validate(doc *Document) Problems {
	var p Problems
	if doc.Format != Format {
		p.addf("format", "format %d is not supported, want %d", doc.Format, Format)
	}
	checkSizes(&p, doc)
	checkRoot(&p, doc.Root)
	regions := regionSet(doc.Root)
	retention := doc.Root.WithDefaults().KeyRetention
	for name, s := range doc.Sections {
		path := "sections." + name
		checkSectionName(&p, path, name)
		for n, v := range s.Services {
			checkService(&p, joinPath(path, "services."+string(n)), string(n), v)
		}
		for n, v := range s.Routes {
			checkRoute(&p, joinPath(path, "routes."+n), n, v, retention)
		}
		for n, v := range s.Workspaces {
			if bad := !validName(n) || !regions[v.Home] || !validWeight(v.Weight) || v.Quota != (Quota{}); bad {
				checkWorkspace(&p, joinPath(path, "workspaces."+n), n, v, regions)
			}
		}
	}
	p = append(p, ValidateWorkspaces(doc)...)
	checkUniqueNames(&p, doc)
	checkReferences(&p, doc)
	checkDuplicateRoutes(&p, doc)
	p.sort()
	return p
}

// ValidateChange checks a document that differs from a valid one only in the entries refs
// of one section. It accepts the same documents as Validate, and visits the other workspaces
// only if a key was added. It also checks that no workspace changes its home region.
func ValidateChange(doc, before *Document, section string, refs []EntryRef) Problems {
	var p Problems
	checkSizes(&p, doc)
	path := "sections." + section
	checkSectionName(&p, path, section)
	regions := regionSet(doc.Root)
	s := doc.Sections[section]
	references, routes, keys := false, false, false
	for _, ref := range refs {
		entryPath := joinPath(path, string(ref.Kind)+"."+ref.Name)
		value, present := s.lookupEntry(ref)
		switch ref.Kind {
		case KindService:
			references = true
		case KindRoute:
			references, routes = true, true
		}
		if !present {
			continue
		}
		switch v := value.(type) {
		case Service:
			checkService(&p, entryPath, ref.Name, v)
		case Route:
			checkRoute(&p, entryPath, ref.Name, v, doc.Root.WithDefaults().KeyRetention)
		case Workspace:
			checkWorkspace(&p, entryPath, ref.Name, v, regions)
			checkKeysAndQuota(&p, entryPath, v)
			keys = keys || addsKeys(v, before.Sections[section].Workspaces, ref.Name)
			checkHomeChange(&p, entryPath, v, before.Sections[section].Workspaces, ref.Name)
		}
		for other, o := range doc.Sections {
			if _, duplicate := o.lookupEntry(ref); duplicate && other != section {
				p.addf(entryPath, "also defined in section %s", other)
			}
		}
	}
	if references {
		checkReferences(&p, doc)
	}
	if routes {
		checkDuplicateRoutes(&p, doc)
	}
	if keys {
		checkSharedKeys(&p, doc)
	}
	p.sort()
	return p
}

// ValidateRootChange checks a document that differs from a valid one only in the root.
func ValidateRootChange(doc *Document, before Root) Problems {
	p := Validate(doc)
	if doc.Root.WithDefaults().KeySlices != before.WithDefaults().KeySlices {
		p.addf("fleet.key_slices", "fixed after the first document: keys would move to other shards")
	}
	checkRegionChange(&p, doc.Root, before)
	p.sort()
	return p
}

func checkSizes(p *Problems, doc *Document) {
	services, routes, workspaces := 0, 0, 0
	for _, s := range doc.Sections {
		services += len(s.Services)
		routes += len(s.Routes)
		workspaces += len(s.Workspaces)
	}
	for _, c := range []struct {
		name        string
		size, limit int
	}{
		{"sections", len(doc.Sections), MaxSections}, {"services", services, MaxServices},
		{"routes", routes, MaxRoutes}, {"workspaces", workspaces, MaxWorkspaces},
	} {
		if c.size > c.limit {
			p.addf("sections", "%d %s exceed %d", c.size, c.name, c.limit)
		}
	}
}

func checkRoot(p *Problems, r Root) {
	if r.KeySlices < 0 || r.KeySlices > MaxKeySlices {
		p.addf("fleet.key_slices", "%d is not within 1 and %d", r.KeySlices, MaxKeySlices)
	}
	if k := r.KeyRetention; k != 0 && (k < MinKeyRetention || k > MaxKeyRetention) {
		p.addf("fleet.key_retention", "%v is not within %v and %v", time.Duration(k), time.Duration(MinKeyRetention), time.Duration(MaxKeyRetention))
	}
	if len(r.Regions) == 0 || len(r.Regions) > MaxRegions {
		p.addf("fleet.regions", "%d regions are not within 1 and %d", len(r.Regions), MaxRegions)
	}
	seen := map[fleet.Region]bool{}
	for _, region := range r.Regions {
		checkName(p, "fleet.regions", string(region))
		if seen[region] {
			p.addf("fleet.regions", "%s is listed twice", region)
		}
		seen[region] = true
	}
	rootOwned := false
	for name, team := range r.Teams {
		path := "fleet.teams." + name
		checkName(p, path, name)
		checkTeam(p, path, team)
		rootOwned = rootOwned || slices.Contains(team.Sections, RootSection)
	}
	if !rootOwned {
		p.addf("fleet.teams", "no team owns the section %s", RootSection)
	}
}

func checkTeam(p *Problems, path string, team Team) {
	if len(team.Keys) == 0 {
		p.addf(path+".keys", "a team needs a key")
	}
	if len(team.Sections) == 0 {
		p.addf(path+".sections", "a team needs a section")
	}
	for i, key := range team.Keys {
		if _, err := DecodeKey(key); err != nil {
			p.addf(fmt.Sprintf("%s.keys[%d]", path, i), "%s", err)
		}
	}
	for i, section := range team.Sections {
		checkName(p, fmt.Sprintf("%s.sections[%d]", path, i), section)
	}
}

// DecodeKey decodes an Ed25519 public key in standard base64.
func DecodeKey(text string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("want an Ed25519 public key of %d bytes in base64", ed25519.PublicKeySize)
	}
	return raw, nil
}

func checkSectionName(p *Problems, path, name string) {
	checkName(p, path, name)
	if name == RootSection {
		p.addf(path, "the name is reserved for the root")
	}
}

func validName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for i := range len(name) {
		c := name[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("._:@-", c) >= 0) {
			return false
		}
	}
	return true
}

func checkName(p *Problems, path, name string) {
	if !validName(name) {
		p.addf(path, "a name is 1 to %d letters, digits or ._:@-", MaxNameBytes)
	}
}

func checkRange[T int | int64](p *Problems, path string, v, low, high T) {
	if v < low || v > high {
		p.addf(path, "%d is not within %d and %d", v, low, high)
	}
}

func checkService(p *Problems, path, name string, s Service) {
	checkName(p, path, name)
	checkRange(p, path+".servers", s.Servers, 1, MaxServers)
	checkRange(p, path+".slots", s.Slots, 1, MaxSlots)
	checkRange(p, path+".connections", s.Connections, 1, MaxConnections)
	if s.Connections < s.Slots {
		p.addf(path+".connections", "%d connections are fewer than %d slots", s.Connections, s.Slots)
	}
	checkFloor(p, path+".floor", s)
	if s.Warmup < 0 || s.Warmup > MaxWarmup {
		p.addf(path+".warmup", "%v is not within 0s and %v", time.Duration(s.Warmup), time.Duration(MaxWarmup))
	}
	if s.HealthPath != "" {
		checkPath(p, path+".health_path", s.HealthPath)
	}
	if s.EchoHeader != "" && !validToken(s.EchoHeader) {
		p.addf(path+".echo_header", "not a header name")
	}
}

func checkFloor(p *Problems, path string, s Service) {
	f := s.Floor
	switch {
	case f.Servers != 0 && f.Percent != 0:
		p.addf(path, "name servers or percent, not both")
	case f.Servers < 0 || f.Percent < 0:
		p.addf(path, "negative")
	case f.Percent > 100:
		p.addf(path+".percent", "%d percent exceed the pool", f.Percent)
	case f.Servers > s.Servers:
		p.addf(path+".servers", "%d servers exceed the pool of %d", f.Servers, s.Servers)
	}
}

func checkPath(p *Problems, path, v string) {
	switch {
	case !strings.HasPrefix(v, "/") || len(v) > MaxPathBytes:
		p.addf(path, "a path starts with / and has at most %d bytes", MaxPathBytes)
	case strings.ContainsAny(v, "?# \t\r\n") || hasDotSegment(v) || strings.Contains(v, "//"):
		p.addf(path, "a path has no query, space, empty segment or dot segment")
	}
}

func checkRoute(p *Problems, path, name string, r Route, retention Duration) {
	checkName(p, path, name)
	checkPath(p, path+".path", r.Path)
	if len(r.Path) > 1 && strings.HasSuffix(r.Path, "/") {
		p.addf(path+".path", "a prefix has no trailing /")
	}
	if len(r.Hosts) > MaxHosts {
		p.addf(path+".hosts", "%d hosts exceed %d", len(r.Hosts), MaxHosts)
	}
	if len(r.Methods) > MaxMethods {
		p.addf(path+".methods", "%d methods exceed %d", len(r.Methods), MaxMethods)
	}
	for i, host := range r.Hosts {
		if host == "" || host != CanonicalHost(host) || strings.ContainsAny(host, "/*? ") || len(host) > 253 {
			p.addf(fmt.Sprintf("%s.hosts[%d]", path, i), "want a host name in lower case without port")
		}
	}
	for i, method := range r.Methods {
		if !validToken(method) || method != strings.ToUpper(method) {
			p.addf(fmt.Sprintf("%s.methods[%d]", path, i), "want a method in upper case")
		}
	}
	if !slices.Contains([]Length{"", LengthShort, LengthLong, LengthLearned}, r.Length) {
		p.addf(path+".length", "want short, long or learned")
	}
	if !slices.Contains([]KeyRule{"", KeyOptional, KeyRequired}, r.Key) {
		p.addf(path+".key", "want required or optional")
	}
	if !validWeight(r.Weight) {
		p.addf(path+".weight", "%v is not within 0 and %v", r.Weight, MaxWeight)
	}
	if d := r.WithDefaults().Deadline; !r.Idempotent && d >= retention {
		// A request that runs longer than its key is kept could be executed again.
		p.addf(path+".deadline", "%v is not below fleet.key_retention (%v)", time.Duration(d), time.Duration(retention))
	}
	if r.Deadline < 0 || r.Deadline > MaxDeadline {
		p.addf(path+".deadline", "%v is not within 0s and %v", time.Duration(r.Deadline), time.Duration(MaxDeadline))
	}
	checkRange(p, path+".retries", r.Retries, 0, MaxRetries)
	if r.Retries > 0 && !r.Idempotent {
		p.addf(path+".retries", "a route that is not idempotent has no retries")
	}
	checkRange(p, path+".max_body", r.MaxBody, 0, MaxBodyBytes)
	if r.WorkspaceHeader != "" && !validToken(r.WorkspaceHeader) {
		p.addf(path+".workspace_header", "not a header name")
	}
}

func validWeight(w float64) bool { return w >= 0 && w <= MaxWeight }

func checkWorkspace(p *Problems, path, name string, w Workspace, regions map[fleet.Region]bool) {
	checkName(p, path, name)
	if !regions[w.Home] {
		p.addf(path+".home", "unknown region %q", w.Home)
	}
	if !validWeight(w.Weight) {
		p.addf(path+".weight", "%v is not within 0 and %v", w.Weight, MaxWeight)
	}
	checkNoQuota(p, path, w)
}

// validToken reports whether v is a token of RFC 9110.
func validToken(v string) bool {
	for i := range len(v) {
		c := v[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return v != ""
}

func regionSet(r Root) map[fleet.Region]bool {
	set := make(map[fleet.Region]bool, len(r.Regions))
	for _, region := range r.Regions {
		set[region] = true
	}
	return set
}

// checkUniqueNames reports names that several sections define. For each pair of sections,
// the names of the smaller one are looked up in the larger, so that one large section
// costs little.
func checkUniqueNames(p *Problems, doc *Document) {
	names := slices.Sorted(maps.Keys(doc.Sections))
	for i, first := range names {
		for _, second := range names[i+1:] {
			a, b := doc.Sections[first], doc.Sections[second]
			reportDuplicates(p, a.Services, b.Services, KindService, first, second)
			reportDuplicates(p, a.Routes, b.Routes, KindRoute, first, second)
			reportDuplicates(p, a.Workspaces, b.Workspaces, KindWorkspace, first, second)
		}
	}
}

func reportDuplicates[K ~string, V any](p *Problems, a, b map[K]V, kind EntryKind, first, second string) {
	small, big := a, b
	if len(b) < len(a) {
		small, big = b, a
	}
	for name := range small {
		if _, duplicate := big[name]; duplicate {
			p.addf("sections."+second+"."+string(kind)+"."+string(name), "also defined in section %s", first)
		}
	}
}

func checkReferences(p *Problems, doc *Document) {
	services := make(map[fleet.Service]bool)
	for _, s := range doc.Sections {
		for name := range s.Services {
			services[name] = true
		}
	}
	for section, s := range doc.Sections {
		for name, r := range s.Routes {
			if !services[r.Service] {
				p.addf("sections."+section+".routes."+name+".service", "unknown service %q", r.Service)
			}
		}
	}
}

type matchKey struct{ host, path, method string }

// checkDuplicateRoutes reports routes with the same host, path and method. A route for
// any method is no duplicate of one for a specific method, which takes precedence.
func checkDuplicateRoutes(p *Problems, doc *Document) {
	seen := make(map[matchKey]string)
	var anyHostOrMethod = []string{""}
	for _, section := range slices.Sorted(maps.Keys(doc.Sections)) {
		routes := doc.Sections[section].Routes
		for _, name := range slices.Sorted(maps.Keys(routes)) {
			r := routes[name]
			hosts, methods := r.Hosts, r.Methods
			if len(hosts) == 0 {
				hosts = anyHostOrMethod
			}
			if len(methods) == 0 {
				methods = anyHostOrMethod
			}
			for _, h := range hosts {
				for _, m := range methods {
					key := matchKey{h, r.Path, m}
					if other, duplicate := seen[key]; duplicate {
						p.addf("sections."+section+".routes."+name, "duplicate of route %s: host %q path %s method %q", other, h, r.Path, m)
						continue
					}
					seen[key] = name
				}
			}
			if len(seen) > MaxRouteMatches {
				p.addf("sections", "the routes' pairs of host and method exceed %d", MaxRouteMatches)
				return
			}
		}
	}
}

// checkHomeChange reports a change of a workspace's home region. The workspace's keys are
// held there, so a repeated request would not find the record of the first one.
func checkHomeChange(p *Problems, path string, now Workspace, before map[string]Workspace, name string) {
	if old, existed := before[name]; existed && old.Home != now.Home {
		p.addf(path+".home", "fixed while the workspace exists (%s): its idempotency keys would not be found", old.Home)
	}
}

// checkRegionChange reports changes of the regions that would move the keys of requests
// without a workspace.
func checkRegionChange(p *Problems, now, before Root) {
	if now.KeyRegions != before.KeyRegions {
		p.addf("fleet.key_regions", "fixed after the first document: keys would move to other regions")
	}
	kept := len(before.Regions)
	switch {
	case before.KeyRegions == 0 && !slices.Equal(now.Regions, before.Regions):
		p.addf("fleet.regions", "fixed after the first document unless it set key_regions: keys would move to other regions")
	case len(now.Regions) < kept || !slices.Equal(now.Regions[:kept], before.Regions):
		p.addf("fleet.regions", "regions may only be appended")
	}
}
