package document

import (
	"strings"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// anyHost and anyMethod are the keys of routes without a host or without a method.
const (
	anyHost   = ""
	anyMethod = ""
)

// hostRoutes holds the routes of one host by path prefix.
type hostRoutes struct {
	paths   map[string]map[string]*RouteMatch // by path, then method
	longest int                               // length of the longest path, to bound the number of look-ups
}

// routeTable holds the routes by host.
type routeTable map[string]*hostRoutes

// NewIndex builds the index of a valid document. Services, routes and workspaces that it
// returns have absent fields set to their defaults. The document must not be modified
// afterwards.
func NewIndex(doc *Document, revision uint64) *Index {
	x := &Index{
		Doc:      doc,
		Revision: revision,
		services: make(map[fleet.Service]Service),
		routes:   make(routeTable),
		root:     doc.Root.WithDefaults(),
		regions:  doc.Root.keyRegions(),
		keys:     newKeyTable(doc),

		hasQuotas: hasQuotas(doc),
	}
	for _, section := range doc.Sections {
		for name, s := range section.Services {
			x.services[name] = s.WithDefaults()
		}
		for name, r := range section.Routes {
			x.routes.add(name, r)
		}
		if len(section.Workspaces) > 0 {
			x.workspaces = append(x.workspaces, section.Workspaces)
		}
	}
	return x
}

// Updated returns the index of a document that differs from this index's only in the
// entries refs. It reuses the route table if no route or service changed, because
// building it accounts for most of the cost of an index at 31,000 routes.
func (x *Index) Updated(doc *Document, revision uint64, refs []EntryRef) *Index {
	for _, ref := range refs {
		if ref.Kind != KindWorkspace {
			return NewIndex(doc, revision)
		}
	}
	out := *x
	out.Doc, out.Revision, out.workspaces, out.keys = doc, revision, nil, newKeyTable(doc)
	out.hasQuotas = hasQuotas(doc)
	for _, section := range doc.Sections {
		if len(section.Workspaces) > 0 {
			out.workspaces = append(out.workspaces, section.Workspaces)
		}
	}
	return &out
}

func (t routeTable) add(name string, r Route) {
	match := &RouteMatch{Name: name, Route: r.WithDefaults()}
	hosts, methods := r.Hosts, r.Methods
	if len(hosts) == 0 {
		hosts = []string{anyHost}
	}
	if len(methods) == 0 {
		methods = []string{anyMethod}
	}
	for _, host := range hosts {
		hostTable := t[host]
		if hostTable == nil {
			hostTable = &hostRoutes{paths: make(map[string]map[string]*RouteMatch)}
			t[host] = hostTable
		}
		hostTable.longest = max(hostTable.longest, len(r.Path))
		byMethod := hostTable.paths[r.Path]
		if byMethod == nil {
			byMethod = make(map[string]*RouteMatch, len(methods))
			hostTable.paths[r.Path] = byMethod
		}
		for _, method := range methods {
			byMethod[method] = match
		}
	}
}

// Route finds the route of a request. Routes of the host take precedence over those for
// any host, then the longest path prefix wins, then a route for the method over one for
// any method. It returns OK, NoRoute, MethodNotAllowed, or BadRequest for a path with
// dot segments, which the backend server might resolve to another route.
func (x *Index) Route(host, path, method string) (RouteMatch, result.Code) {
	if hasDotSegment(path) {
		return RouteMatch{}, result.BadRequest
	}
	pathFound := false
	for _, hostKey := range [2]string{CanonicalHost(host), anyHost} {
		hostTable := x.routes[hostKey]
		if hostTable == nil {
			continue
		}
		match, found := hostTable.find(path, method)
		if match != nil {
			return *match, result.OK
		}
		pathFound = pathFound || found
	}
	if pathFound {
		return RouteMatch{}, result.MethodNotAllowed
	}
	return RouteMatch{}, result.NoRoute
}

// find tries the prefixes of path that end on a segment boundary, longest first.
func (h *hostRoutes) find(path, method string) (match *RouteMatch, pathFound bool) {
	end := len(path)
	if end > h.longest {
		// A prefix matches whole segments only.
		end = h.longest
		if path[end] != '/' {
			end = strings.LastIndexByte(path[:end], '/')
		}
	}
	for end >= 0 {
		// Try the prefix with its trailing slash first, because it is the longer one.
		if end < len(path) && path[end] == '/' {
			if m, found := matchMethod(h.paths[path[:end+1]], method); m != nil {
				return m, true
			} else if found {
				pathFound = true
			}
		}
		if end == 0 {
			break
		}
		if m, found := matchMethod(h.paths[path[:end]], method); m != nil {
			return m, true
		} else if found {
			pathFound = true
		}
		end = strings.LastIndexByte(path[:end], '/')
	}
	return nil, pathFound
}

// matchMethod returns the route for the method among the routes of one path, and whether
// the path has any routes.
func matchMethod(byMethod map[string]*RouteMatch, method string) (m *RouteMatch, found bool) {
	if m := byMethod[method]; m != nil {
		return m, true
	}
	return byMethod[anyMethod], byMethod != nil
}

// hasDotSegment reports whether the path has a segment "." or "..", including with
// percent-encoded dots.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") && !strings.Contains(path, "%2") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if len(segment) > len("%2e%2e") {
			continue
		}
		switch strings.ReplaceAll(strings.ToLower(segment), "%2e", ".") {
		case ".", "..":
			return true
		}
	}
	return false
}

// CanonicalHost returns the name in a Host header in the form that routes use: in lower
// case without port and trailing dot.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// SelectBackend chooses one of the route's backends by weight. u, from 0 to 1, is a position in their
// cumulative weights as a fraction of the total. Without backends it returns the route's service.
func (m RouteMatch) SelectBackend(u float64) fleet.Service {
	total := 0.0
	for _, b := range m.Route.Backends {
		total += b.Weight
	}
	at := u * total
	for _, b := range m.Route.Backends {
		if at -= b.Weight; at < 0 {
			return b.Service
		}
	}
	if n := len(m.Route.Backends); n > 0 {
		return m.Route.Backends[n-1].Service
	}
	return m.Route.Service
}

// Root returns the fleet-wide settings including defaults.
func (x *Index) Root() Root { return x.root }

// Services returns all services by name, including defaults. The caller must not modify
// the map.
func (x *Index) Services() map[fleet.Service]Service { return x.services }

// Workspace returns a workspace including defaults.
func (x *Index) Workspace(name string) (Workspace, bool) {
	for _, workspaces := range x.workspaces {
		if w, ok := workspaces[name]; ok {
			return w.WithDefaults(), true
		}
	}
	return Workspace{}, false
}

// KeyShard returns the region and slice of the key shard for a scope's hash. The region
// is the workspace's home, or one chosen by the hash if the workspace is unknown.
func (x *Index) KeyShard(workspace string, scopeHash uint64) (fleet.Region, int) {
	slice := int(scopeHash % uint64(x.root.KeySlices))
	if w, ok := x.Workspace(workspace); ok {
		return w.Home, slice
	}
	// Using the upper half of the hash keeps the region independent of the slice.
	return x.regions[int((scopeHash>>32)%uint64(len(x.regions)))], slice
}
