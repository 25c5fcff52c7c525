package document

import (
	"strings"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// anyHost and anyMethod key the routes that name no host or no method.
const (
	anyHost   = ""
	anyMethod = ""
)

// hostRoutes holds the routes of one host by path prefix.
type hostRoutes struct {
	paths   map[string]map[string]*RouteMatch // path, then method
	longest int                               // longest path, which bounds the number of look-ups
}

// routeTable finds routes by host.
type routeTable map[string]*hostRoutes

// NewIndex builds the look-up table of a valid document. Services, routes and
// workspaces found through it have their defaults filled in. The document must not
// be changed afterwards.
func NewIndex(doc *Document, revision uint64) *Index {
	x := &Index{
		Doc:      doc,
		Revision: revision,
		services: make(map[fleet.Service]Service),
		routes:   make(routeTable),
		root:     doc.Root.Filled(),
		regions:  doc.Root.keyRegions(),
	}
	for _, section := range doc.Sections {
		for name, s := range section.Services {
			x.services[name] = s.Filled()
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

// Next returns the index of a document that differs from this one's only in the
// entries refs. It reuses the route table when no route or service changed, since
// building it at 31,000 routes is most of the cost of an index.
func (x *Index) Next(doc *Document, revision uint64, refs []Ref) *Index {
	for _, ref := range refs {
		if ref.Kind != KindWorkspace {
			return NewIndex(doc, revision)
		}
	}
	out := *x
	out.Doc, out.Revision, out.workspaces = doc, revision, nil
	for _, section := range doc.Sections {
		if len(section.Workspaces) > 0 {
			out.workspaces = append(out.workspaces, section.Workspaces)
		}
	}
	return &out
}

func (t routeTable) add(name string, r Route) {
	match := &RouteMatch{Name: name, Route: r.Filled()}
	hosts, methods := r.Hosts, r.Methods
	if len(hosts) == 0 {
		hosts = []string{anyHost}
	}
	if len(methods) == 0 {
		methods = []string{anyMethod}
	}
	for _, host := range hosts {
		table := t[host]
		if table == nil {
			table = &hostRoutes{paths: make(map[string]map[string]*RouteMatch)}
			t[host] = table
		}
		table.longest = max(table.longest, len(r.Path))
		byMethod := table.paths[r.Path]
		if byMethod == nil {
			byMethod = make(map[string]*RouteMatch, len(methods))
			table.paths[r.Path] = byMethod
		}
		for _, method := range methods {
			byMethod[method] = match
		}
	}
}

// Route finds the route of a request. The host's own routes come before those for
// any host, then the longest path prefix, then a route that names the method before
// one for any method. Codes: OK, NoRoute, MethodNotAllowed, and BadRequest for a
// path with dot segments, which the backend server might resolve to another route.
func (x *Index) Route(host, path, method string) (RouteMatch, result.Code) {
	if hasDotSegment(path) {
		return RouteMatch{}, result.BadRequest
	}
	pathFound := false
	for _, name := range [2]string{CanonicalHost(host), anyHost} {
		table := x.routes[name]
		if table == nil {
			continue
		}
		match, found := table.find(path, method)
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
		// A prefix may only end where a segment ends.
		end = h.longest
		if path[end] != '/' {
			end = strings.LastIndexByte(path[:end], '/')
		}
	}
	for end >= 0 {
		// A prefix that ends with a slash is longer than the same one without it.
		if end < len(path) && path[end] == '/' {
			if m, found := pick(h.paths[path[:end+1]], method); m != nil {
				return m, true
			} else if found {
				pathFound = true
			}
		}
		if end == 0 {
			break
		}
		if m, found := pick(h.paths[path[:end]], method); m != nil {
			return m, true
		} else if found {
			pathFound = true
		}
		end = strings.LastIndexByte(path[:end], '/')
	}
	return nil, pathFound
}

// pick returns the route for the method among those of one path, and whether the
// path has any.
func pick(byMethod map[string]*RouteMatch, method string) (m *RouteMatch, found bool) {
	if m := byMethod[method]; m != nil {
		return m, true
	}
	return byMethod[anyMethod], byMethod != nil
}

// hasDotSegment reports a segment "." or "..", also with its dots escaped.
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

// CanonicalHost returns a Host header's name in lower case without port and
// trailing dot, as routes spell it.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Split returns the backend on which u, from 0 to 1, falls when the backends are
// laid out by their weights. Without backends it returns the route's service.
func (m RouteMatch) Split(u float64) fleet.Service {
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

// Root returns the fleet-wide settings with their defaults.
func (x *Index) Root() Root { return x.root }

// Services returns all services by name, with their defaults. The map must not be
// changed.
func (x *Index) Services() map[fleet.Service]Service { return x.services }

// Workspace returns a workspace with its defaults.
func (x *Index) Workspace(name string) (Workspace, bool) {
	for _, table := range x.workspaces {
		if w, ok := table[name]; ok {
			return w.Filled(), true
		}
	}
	return Workspace{}, false
}

// KeyShard returns the region and slice of the key shard for a scope's hash: in the
// workspace's home region, or in a region by hash when the workspace is unknown.
func (x *Index) KeyShard(workspace string, scopeHash uint64) (fleet.Region, int) {
	slice := int(scopeHash % uint64(x.root.KeySlices))
	if w, ok := x.Workspace(workspace); ok {
		return w.Home, slice
	}
	// The upper half keeps the region independent of the slice.
	return x.regions[int((scopeHash>>32)%uint64(len(x.regions)))], slice
}
