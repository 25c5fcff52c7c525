package document

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Design size of the document.
const (
	benchServices   = 1_900
	benchRoutes     = 31_000
	benchWorkspaces = 490_000
)

func designDocument(b *testing.B) *Document {
	doc := exampleDocument(b)
	s := Section{Services: map[fleet.Service]Service{}, Routes: map[string]Route{}, Workspaces: map[string]Workspace{}}
	for i := range benchServices {
		s.Services[fleet.Service(fmt.Sprintf("service-%d", i))] = Service{Servers: 40, Slots: 6, Connections: 330, Floor: Floor{Percent: 60}}
	}
	for i := range benchRoutes {
		s.Routes[fmt.Sprintf("route-%d", i)] = Route{Hosts: []string{fmt.Sprintf("host-%d.example", i%500)},
			Path: fmt.Sprintf("/area-%d/work-%d", i%7, i), Methods: []string{"POST"}, Service: fleet.Service(fmt.Sprintf("service-%d", i%benchServices))}
	}
	for i := range benchWorkspaces {
		s.Workspaces[fmt.Sprintf("workspace-%d", i)] = Workspace{Home: "south"}
	}
	doc.Sections["design"] = s
	return doc
}

func BenchmarkParse(b *testing.B) {
	data, err := json.Marshal(designDocument(b))
	require.NoError(b, err)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		_, err = Parse(data)
	}
	require.NoError(b, err)
}

func BenchmarkValidate(b *testing.B) {
	doc := designDocument(b)
	for b.Loop() {
		require.Empty(b, Validate(doc))
	}
}

func BenchmarkNewIndex(b *testing.B) {
	doc := designDocument(b)
	for b.Loop() {
		NewIndex(doc, 1)
	}
}

func BenchmarkHashSection(b *testing.B) {
	doc := designDocument(b)
	for b.Loop() {
		HashSection(doc.Sections["design"])
	}
}

func BenchmarkRoute(b *testing.B) {
	x := NewIndex(designDocument(b), 1)
	b.ReportAllocs()
	for b.Loop() {
		x.Route("host-17.example", "/area-5/work-11017/item/5/line/3", "POST")
	}
}
