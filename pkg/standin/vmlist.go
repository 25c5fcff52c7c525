package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// ListControl sets the faults of a VMList.
type ListControl struct {
	Outage bool  `json:"outage"`
	LagMS  int64 `json:"lag_ms"` // delay in milliseconds until readers see a change
}

// VMList is a simulated list of VMs and backend servers. It implements platformapi.Lister
// within a process and serves the same API over HTTP. Readers see each change after the
// lag. It is safe for concurrent use.
type VMList struct {
	now func() time.Time

	mu       sync.Mutex
	control  ListControl
	vms      map[fleet.VMID]fleet.VM
	servers  map[fleet.ServerID]fleet.Server
	versions []listVersion // oldest first; the last is current
}

// maxVersions limits the versions that are kept for lagging readers.
const maxVersions = 1024

type listVersion struct {
	changedAt time.Time
	dir       *fleet.Directory
}

// NewVMList returns an empty list of generation 1. If now is nil, time.Now is used.
func NewVMList(control ListControl, now func() time.Time) *VMList {
	if now == nil {
		now = time.Now
	}
	l := &VMList{now: now, control: control, vms: make(map[fleet.VMID]fleet.VM), servers: make(map[fleet.ServerID]fleet.Server)}
	l.versions = []listVersion{{time.Time{}, fleet.NewDirectory(1, nil, nil)}}
	return l
}

// Control returns the current faults.
func (l *VMList) Control() ListControl {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.control
}

// SetControl replaces the faults.
func (l *VMList) SetControl(c ListControl) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.control = c
}

// Update calls change, which modifies the VMs and servers, and publishes the result as
// one new generation.
func (l *VMList) Update(change func(vms map[fleet.VMID]fleet.VM, servers map[fleet.ServerID]fleet.Server)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.vms, l.servers)
	var vms []fleet.VM
	for _, vm := range l.vms {
		vms = append(vms, vm)
	}
	var servers []fleet.Server
	for _, s := range l.servers {
		servers = append(servers, s)
	}
	generation := l.versions[len(l.versions)-1].dir.Generation + 1
	l.versions = append(l.versions, listVersion{l.now(), fleet.NewDirectory(generation, vms, servers)})
	if len(l.versions) > maxVersions {
		l.versions = slices.Delete(l.versions, 0, len(l.versions)-maxVersions)
	}
}

// PutVM adds or replaces a VM.
func (l *VMList) PutVM(vm fleet.VM) {
	l.Update(func(vms map[fleet.VMID]fleet.VM, _ map[fleet.ServerID]fleet.Server) { vms[vm.ID] = vm })
}

// RemoveVM removes a VM.
func (l *VMList) RemoveVM(id fleet.VMID) {
	l.Update(func(vms map[fleet.VMID]fleet.VM, _ map[fleet.ServerID]fleet.Server) { delete(vms, id) })
}

// PutServer adds or replaces a backend server.
func (l *VMList) PutServer(s fleet.Server) {
	l.Update(func(_ map[fleet.VMID]fleet.VM, servers map[fleet.ServerID]fleet.Server) { servers[s.ID] = s })
}

// RemoveServer removes a backend server.
func (l *VMList) RemoveServer(id fleet.ServerID) {
	l.Update(func(_ map[fleet.VMID]fleet.VM, servers map[fleet.ServerID]fleet.Server) { delete(servers, id) })
}

// List implements platformapi.Lister. It returns the list as it was LagMS ago.
func (l *VMList) List(ctx context.Context) (*fleet.Directory, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.control.Outage {
		return nil, errOutage()
	}
	asOf := l.now().Add(-time.Duration(l.control.LagMS) * time.Millisecond)
	i := len(l.versions) - 1
	for i > 0 && l.versions[i].changedAt.After(asOf) {
		i--
	}
	return l.versions[i].dir, ctx.Err()
}

// Handler returns the HTTP handler of the API that package platformapi defines and of the
// control endpoint: GET and POST of ListControl at /control, PUT of a VMRow at
// /control/vms, PUT of a ServerRow at /control/servers, DELETE at /control/vms/{id} and
// /control/servers/{id}.
func (l *VMList) Handler() http.Handler {
	e := newEcho()
	e.GET("/v1/vms", func(c echo.Context) error {
		dir, err := l.List(c.Request().Context())
		if err != nil {
			return serveError(c, err)
		}
		return c.JSON(http.StatusOK, platformapi.NewListResponse(dir))
	})
	e.GET("/control", func(c echo.Context) error { return c.JSON(http.StatusOK, l.Control()) })
	e.POST("/control", func(c echo.Context) error {
		control := l.Control()
		if err := c.Bind(&control); err != nil {
			return err
		}
		l.SetControl(control)
		return c.JSON(http.StatusOK, control)
	})
	e.PUT("/control/vms", func(c echo.Context) error { return l.servePut(c, new(platformapi.VMRow), nil) })
	e.PUT("/control/servers", func(c echo.Context) error { return l.servePut(c, nil, new(platformapi.ServerRow)) })
	e.DELETE("/control/vms/:id", func(c echo.Context) error {
		l.RemoveVM(fleet.VMID(c.Param("id")))
		return c.NoContent(http.StatusOK)
	})
	e.DELETE("/control/servers/:id", func(c echo.Context) error {
		l.RemoveServer(fleet.ServerID(c.Param("id")))
		return c.NoContent(http.StatusOK)
	})
	return e
}

// servePut adds or replaces the VM or the server in the request body. Exactly one of vm
// and server is not nil; the body is decoded into it.
func (l *VMList) servePut(c echo.Context, vm *platformapi.VMRow, server *platformapi.ServerRow) error {
	var list platformapi.ListResponse
	var row any = vm
	if vm == nil {
		row = server
	}
	if err := c.Bind(row); err != nil {
		return err
	}
	if vm != nil {
		list.VMs = []platformapi.VMRow{*vm}
	} else {
		list.Servers = []platformapi.ServerRow{*server}
	}
	dir, err := list.Directory()
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	for _, v := range dir.VMs {
		l.PutVM(v)
	}
	for _, s := range dir.Servers {
		l.PutServer(s)
	}
	return c.NoContent(http.StatusOK)
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
			return next(c)
		}
	})
	return e
}

// serveError responds with the HTTP status of the error's code.
func serveError(c echo.Context, err error) error {
	code := result.Internal
	if e, ok := err.(*result.Error); ok {
		code = e.Code
	}
	return c.JSON(code.Info().HTTPStatus, map[string]string{"error": err.Error()})
}

// Rows returns the current VMs and servers, regardless of the lag, sorted by id.
func (l *VMList) Rows() ([]fleet.VM, []fleet.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	dir := l.versions[len(l.versions)-1].dir
	return slices.Clone(dir.VMs), slices.Clone(dir.Servers)
}
