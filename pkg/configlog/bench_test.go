package configlog

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
)

// designState returns a state of design size: 31,000 routes and 490,000 workspaces.
func designState(b *testing.B) *State {
	const services, routes, workspaces = 1_900, 31_000, 490_000
	s := startedState(b)
	section := document.Section{Services: map[fleet.Service]document.Service{}, Routes: map[string]document.Route{},
		Workspaces: map[string]document.Workspace{}}
	for i := range services {
		section.Services[fleet.Service(fmt.Sprint("service-", i))] = document.Service{Servers: 40, Slots: 6, Connections: 330}
	}
	for i := range routes {
		section.Routes[fmt.Sprint("route-", i)] = document.Route{Path: fmt.Sprint("/work-", i), Service: fleet.Service(fmt.Sprint("service-", i%services))}
	}
	for i := range workspaces {
		section.Workspaces[fmt.Sprint("workspace-", i)] = document.Workspace{Home: "east"}
	}
	s.doc = s.doc.WithSection("payments", section)
	tree := document.NewHashTree(section)
	s.sections["payments"] = &sectionState{revision: 1, tree: tree, hash: tree.Sum()}
	s.revision++
	s.index = document.NewIndex(s.doc, s.revision)
	e := signedEdit(b, s, "workspace", "pay", "payments", payKey, workspacePatch("inn", 1))
	applyRecords(b, s, editRecord(b, e))
	return s
}

func benchmarkEdits(b *testing.B, s *State, patch func(i int) []byte) {
	i := 0
	for b.Loop() {
		b.StopTimer()
		i++
		data := editRecord(b, signedEdit(b, s, fmt.Sprint("edit-", i), "pay", "payments", payKey, patch(i)))
		b.StartTimer()
		applied, err := s.Apply(platformapi.Record{Offset: s.Next(), Data: data})
		require.Nil(b, err)
		require.Nil(b, applied.Refused)
	}
}

func BenchmarkEditSmall(b *testing.B) {
	benchmarkEdits(b, startedState(b), func(i int) []byte { return workspacePatch("inn", i) })
}

// BenchmarkHeapDesign reports the heap memory of a state of design size.
func BenchmarkHeapDesign(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := designState(b)
	for b.Loop() {
		runtime.GC()
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
	runtime.KeepAlive(s)
}

func BenchmarkEditWorkspaceDesign(b *testing.B) {
	benchmarkEdits(b, designState(b), func(i int) []byte { return workspacePatch("workspace-7", i) })
}

func BenchmarkEditRouteDesign(b *testing.B) {
	benchmarkEdits(b, designState(b), func(i int) []byte { return fmt.Appendf(nil, `{"routes":{"route-7":{"weight":%d}}}`, i) })
}

func BenchmarkEncodeDesign(b *testing.B) {
	s := designState(b)
	var data []byte
	for b.Loop() {
		data = mustEncode(b, s)
	}
	b.SetBytes(int64(len(data)))
}

func BenchmarkRestoreDesign(b *testing.B) {
	data := mustEncode(b, designState(b))
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		_, err := Restore(testStream, publicKey(rootKey), data)
		require.Nil(b, err)
	}
}
