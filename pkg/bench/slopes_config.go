package bench

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"runtime"
	"strings"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/localfleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
)

const (
	slopeStream = "config"
	// patchItems limits the items of a patch, to keep it below
	// configlog.MaxPatchBytes.
	patchItems = 4000
)

// documentSize is the number of entries of each kind in a document.
type documentSize struct{ services, routes, workspaces int }

// logWriter creates the records of a configuration log and keeps the resulting state.
type logWriter struct {
	root, key ed25519.PrivateKey
	state     *configlog.State
	records   [][]byte
	edits     int
}

func newLogWriter(regions []fleet.Region, keyShards int) (*logWriter, error) {
	w := &logWriter{
		root:  ed25519.NewKeyFromSeed([]byte(strings.Repeat("r", ed25519.SeedSize))),
		key:   ed25519.NewKeyFromSeed([]byte(strings.Repeat("b", ed25519.SeedSize))),
		state: configlog.NewState(slopeStream),
	}
	g, err := configlog.NewGenesis(slopeStream, document.Root{
		Teams: map[string]document.Team{
			"fleet": {Keys: []string{localfleet.PublicKey(w.root)}, Sections: []string{document.RootSection}},
			team:    {Keys: []string{localfleet.PublicKey(w.key)}, Sections: []string{section}},
		},
		KeySlices: keyShards, Regions: regions,
	}, w.root)
	if err != nil {
		return nil, errors.Trace(err)
	}
	data, err := configlog.EncodeGenesis(g)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return w, w.append(data)
}

func (w *logWriter) append(data []byte) error {
	w.records = append(w.records, data)
	applied, err := w.state.Apply(platformapi.Record{Offset: w.state.Next(), Data: data})
	if err != nil {
		return err
	}
	if applied.Refused != nil {
		return errors.Errorf("record refused: %v", applied.Refused)
	}
	return nil
}

// sign returns the signed record of an edit based on the current state.
func (w *logWriter) sign(patch []byte) ([]byte, error) {
	w.edits++
	e, err := w.state.Prepare(configlog.Edit{ID: fmt.Sprintf("edit-%d", w.edits), Section: section, Team: team, Patch: patch})
	if err != nil {
		return nil, err
	}
	return configlog.EncodeEdit(configlog.SignEdit(slopeStream, e, w.key))
}

func (w *logWriter) edit(patch []byte) error {
	data, err := w.sign(patch)
	if err != nil {
		return err
	}
	return w.append(data)
}

// fill adds n items to the map named kind, in patches of bounded size.
func (w *logWriter) fill(kind string, n int, item func(i int) string) error {
	for from := 0; from < n; from += patchItems {
		var b bytes.Buffer
		fmt.Fprintf(&b, `{%q:{`, kind)
		for i := from; i < min(n, from+patchItems); i++ {
			if i > from {
				b.WriteByte(',')
			}
			b.WriteString(item(i))
		}
		b.WriteString("}}")
		if err := w.edit(b.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

func serviceName(i int) fleet.Service { return fleet.Service(fmt.Sprintf("service-%05d", i)) }

// writeDocument writes a writeDocument of the given size.
func (w *logWriter) writeDocument(size documentSize, home fleet.Region, servers int) error {
	err := w.fill("services", size.services, func(i int) string {
		return fmt.Sprintf(`%q:{"servers":%d,"slots":6,"connections":330,"floor":{"percent":60}}`, serviceName(i), servers)
	})
	if err != nil {
		return err
	}
	err = w.fill("routes", size.routes, func(i int) string {
		return fmt.Sprintf(`"route-%06d":{"hosts":["host-%d.example"],"path":"/area-%d/work-%d","methods":["POST"],"service":%q,"weight":2,"deadline":"3s"}`,
			i, i%500, i%7, i, serviceName(i%size.services))
	})
	if err != nil {
		return err
	}
	return w.fill("workspaces", size.workspaces, func(i int) string {
		return fmt.Sprintf(`"workspace-%07d":{"home":%q}`, i, home)
	})
}

// replay applies records to an empty state, as a reader of the log does.
func replay(records [][]byte) (*configlog.State, error) {
	s := configlog.NewState(slopeStream)
	for _, data := range records {
		applied, err := s.Apply(platformapi.Record{Offset: s.Next(), Data: data})
		if err != nil {
			return nil, err
		}
		if applied.Refused != nil {
			return nil, errors.Errorf("record refused: %v", applied.Refused)
		}
	}
	return s, nil
}

// configSlopes measures the memory and CPU cost of the configuration as a function of its
// size.
func configSlopes(o SlopeOptions) ([]Slope, error) {
	base := documentSize{services: o.sizes(100)[0], routes: o.sizes(1000)[0], workspaces: o.sizes(1000)[0]}
	fixed := fmt.Sprintf("else %d services, %d routes, %d workspaces", base.services, base.routes, base.workspaces)
	var out []Slope
	for _, dim := range []struct {
		name  string
		sizes []int
		set   func(*documentSize, int)
		patch func(i int) string
	}{
		{"services", o.sizes(475, 950, 1900), func(s *documentSize, n int) { s.services = n }, patchService},
		{"routes", o.sizes(7750, 15500, 31000), func(s *documentSize, n int) { s.routes = n }, patchRoute},
		{"workspaces", o.sizes(61250, 122500, 245000, 490000), func(s *documentSize, n int) { s.workspaces = n }, patchWorkspace},
	} {
		memory := Slope{Package: "configlog, document", Cost: "heap of state and look-up table", Unit: "bytes", Variable: dim.name, Constants: fixed}
		index := Slope{Package: "document", Cost: "build of the look-up table", Unit: "ns", Variable: dim.name, Constants: fixed}
		apply := Slope{Package: "configlog", Cost: "apply of an edit of one of them", Unit: "ns", Variable: dim.name, Constants: fixed}
		size := Slope{Package: "configlog", Cost: "encoded state", Unit: "bytes", Variable: dim.name, Constants: fixed}
		for _, n := range dim.sizes {
			o.Progress(fmt.Sprintf("%d %s", n, dim.name))
			counts := base
			dim.set(&counts, n)
			if err := measureConfig(counts, dim.patch, &memory, &index, &apply, &size, n); err != nil {
				return nil, errors.Annotatef(err, "%d %s", n, dim.name)
			}
		}
		out = append(out, memory, index, apply, size)
	}
	changes, err := changeSlopes(o)
	return append(out, changes...), err
}

func patchService(i int) string {
	return fmt.Sprintf(`{"services":{%q:{"connections":%d}}}`, serviceName(1), 100+i)
}

func patchRoute(i int) string { return fmt.Sprintf(`{"routes":{"route-000001":{"weight":%d}}}`, 3+i) }

func patchWorkspace(i int) string {
	return fmt.Sprintf(`{"workspaces":{"workspace-0000001":{"weight":%d}}}`, 3+i)
}

func measureConfig(counts documentSize, patch func(int) string, memory, index, apply, size *Slope, n int) error {
	w, err := newLogWriter([]fleet.Region{"north"}, keySlices)
	if err != nil {
		return err
	}
	if err := w.writeDocument(counts, "north", 40); err != nil {
		return err
	}
	s, bytes, err := heapOf(func() (*configlog.State, error) { return replay(w.records) })
	if err != nil {
		return err
	}
	runtime.KeepAlive(w)
	memory.add(float64(n), bytes)
	doc := s.Index().Doc
	index.add(float64(n), cpuTimePer(func() { document.NewIndex(doc, 1) }))
	encoded, failure := s.Encode()
	if failure != nil {
		return failure
	}
	size.add(float64(n), float64(len(encoded)))
	took, err := w.applyTime(patch)
	apply.add(float64(n), took)
	return err
}

// applyTime returns the CPU time in nanoseconds to apply one edit. The edits are signed
// in advance against the writer's state and applied to a second state, so that signing is
// not measured.
func (w *logWriter) applyTime(patch func(int) string) (float64, error) {
	const edits = 40
	reader, err := replay(w.records)
	if err != nil {
		return 0, err
	}
	from := len(w.records)
	for i := range edits {
		if err := w.edit([]byte(patch(i))); err != nil {
			return 0, err
		}
	}
	begin := cpuTime()
	for _, data := range w.records[from:] {
		if _, err := reader.Apply(platformapi.Record{Offset: reader.Next(), Data: data}); err != nil {
			return 0, err
		}
	}
	return float64((cpuTime() - begin).Nanoseconds()) / edits, nil
}

// changeSlopes measures the memory that a state uses for past edits, the size of the log
// and the CPU time to replay it.
func changeSlopes(o SlopeOptions) ([]Slope, error) {
	fixed := "10 services, 100 routes, 100 workspaces"
	memory := Slope{Package: "configlog", Cost: "heap of state after the edits", Unit: "bytes", Variable: "changes", Constants: fixed}
	logSize := Slope{Package: "configlog", Cost: "bytes in the log", Unit: "bytes", Variable: "changes", Constants: fixed}
	replayTime := Slope{Package: "configlog", Cost: "apply of all edits", Unit: "ns", Variable: "changes", Constants: fixed}
	for _, n := range o.sizes(1000, 2000, 4000) {
		w, err := newLogWriter([]fleet.Region{"north"}, keySlices)
		if err != nil {
			return nil, err
		}
		if err := w.writeDocument(documentSize{10, 100, 100}, "north", 40); err != nil {
			return nil, err
		}
		total := 0
		for i := range n {
			if err := w.edit([]byte(patchRoute(i % 1000))); err != nil {
				return nil, err
			}
			total += len(w.records[len(w.records)-1])
		}
		_, bytes, err := heapOf(func() (*configlog.State, error) { return replay(w.records) })
		if err != nil {
			return nil, err
		}
		begin := cpuTime()
		if _, err := replay(w.records); err != nil {
			return nil, err
		}
		took := cpuTime() - begin
		runtime.KeepAlive(w) // freeing it during heapOf would be counted as negative growth
		memory.add(float64(n), bytes)
		replayTime.add(float64(n), float64(took.Nanoseconds()))
		logSize.add(float64(n), float64(total))
	}
	return []Slope{memory, logSize, replayTime}, nil
}
