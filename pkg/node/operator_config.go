package node

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

const (
	// defaultPublishTimeout bounds a publish whose request sets no timeout.
	defaultPublishTimeout = 30 * time.Second
	appliedPollInterval   = 20 * time.Millisecond
)

// Config returns this VM's current document, or one section of it.
func (n *Node) Config(_ context.Context, section string) (operator.ConfigView, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	index := n.core.Index()
	if index == nil {
		return operator.ConfigView{}, result.Errorf(result.NotReady, "no document is in effect yet")
	}
	state := n.core.Config().State()
	view := operator.ConfigView{
		VM: n.self.VM, Format: index.Doc.Format, Revision: state.Revision(), Offset: int64(state.Next()) - 1,
		Behind: n.core.Config().Health() == result.ConfigBehind, Stream: ConfigStream,
		RootKey: base64.StdEncoding.EncodeToString(state.RootKey()), Sections: make(map[string]operator.SectionView),
	}
	for _, name := range sectionNames(state, index) {
		if section != "" && section != name {
			continue
		}
		s, err := sectionView(state, index.Doc, name)
		if err != nil {
			return view, err
		}
		view.Sections[name] = s
	}
	if section != "" && len(view.Sections) == 0 {
		return view, result.Errorf(result.NotFound, "no section %q", section)
	}
	return view, nil
}

// sectionNames returns the sorted names of the root section, of the sections with content
// and of those that a team owns but that have not been edited yet.
func sectionNames(state *configlog.State, index *document.Index) []string {
	names := append([]string{document.RootSection}, state.SectionNames()...)
	for _, team := range index.Doc.Root.Teams {
		names = append(names, team.Sections...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func sectionView(state *configlog.State, doc *document.Document, name string) (operator.SectionView, error) {
	var content []byte
	var err error
	if name == document.RootSection {
		content, err = document.CanonicalRoot(doc.Root)
	} else {
		content, err = document.CanonicalSection(doc.Sections[name])
	}
	if err != nil {
		return operator.SectionView{}, result.Errorf(result.Internal, "section %q: %v", name, err)
	}
	view := operator.SectionView{
		Revision: state.SectionRevision(name), Hash: state.SectionHash(name).String(), Content: content,
	}
	for _, v := range state.History(name) {
		if v.Code == result.OK && v.Revision == view.Revision {
			view.Team, view.LastEditID = v.Team, v.ID
		}
	}
	return view, nil
}

func decodeEdit(data json.RawMessage) (configlog.Edit, error) {
	var e configlog.Edit
	if err := json.Unmarshal(data, &e); err != nil {
		return e, result.Errorf(result.ConfigBadForm, "edit: %v", err)
	}
	return e, nil
}

func operatorVerdict(v configlog.Verdict) operator.Verdict {
	out := operator.NewVerdict(v.Code, v.Detail)
	out.EditID, out.Section, out.Offset, out.Revision = v.ID, v.Section, int64(v.Offset), v.Revision
	return out
}

// Check validates an edit against this VM's current document without appending it.
func (n *Node) Check(_ context.Context, edit json.RawMessage) (operator.Verdict, error) {
	e, err := decodeEdit(edit)
	if err != nil {
		return operator.Verdict{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.core.Index() == nil {
		return operator.Verdict{}, result.Errorf(result.NotReady, "no document is in effect yet")
	}
	return operatorVerdict(n.core.Config().State().Check(e)), nil
}

// Publish appends an edit and waits until the condition in req.Wait holds. After the timeout it returns
// an error with the code ConfigUnknown if there is no verdict yet, or a verdict with the code
// ConfigLagging if some VMs have not applied the edit.
func (n *Node) Publish(ctx context.Context, req operator.PublishRequest) (operator.Verdict, error) {
	edit, err := decodeEdit(req.Edit)
	if err != nil {
		return operator.Verdict{}, err
	}
	timeout := req.Timeout.Duration()
	if timeout <= 0 {
		timeout = defaultPublishTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	waiter := make(chan configlog.Verdict, 1)
	var initial configlog.Verdict
	n.withCore(func(now fleet.Time) {
		if initial = n.core.Config().Publish(now, edit); initial.Code == result.OK {
			n.editWaiters[edit.ID] = append(n.editWaiters[edit.ID], waiter)
		}
		n.core.Settle(now)
	})
	if initial.Code != result.OK && initial.Code != result.ConfigDuplicate {
		return operatorVerdict(initial), nil
	}
	if req.Wait == operator.WaitNone {
		v := operatorVerdict(initial)
		v.Code, v.Name = result.ConfigUnknown, result.ConfigUnknown.String()
		return v, nil
	}
	verdict := initial
	if initial.Code == result.OK {
		if verdict, err = n.awaitVerdict(ctx, edit, waiter); err != nil {
			return operator.Verdict{}, err
		}
	}
	out := operatorVerdict(verdict)
	if !out.Accepted() || req.Wait == operator.WaitAccepted {
		return out, nil
	}
	return n.awaitApplied(ctx, verdict, out), nil
}

// awaitVerdict waits for the verdict on an edit. It returns the code ConfigUnknown if ctx ends first.
func (n *Node) awaitVerdict(ctx context.Context, edit configlog.Edit, waiter chan configlog.Verdict) (configlog.Verdict, error) {
	select {
	case v := <-waiter:
		return v, nil
	case <-ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.editWaiters[edit.ID] = slices.DeleteFunc(n.editWaiters[edit.ID], func(c chan configlog.Verdict) bool { return c == waiter })
	if len(n.editWaiters[edit.ID]) == 0 {
		delete(n.editWaiters, edit.ID)
	}
	return configlog.Verdict{}, result.Errorf(result.ConfigUnknown,
		"no verdict on edit %s before the timeout; it may still be accepted, check with: fulmarctl config status %s", edit.ID, edit.ID)
}

// awaitApplied waits until every listed VM has applied the edit or ctx ends. It returns out with the
// numbers of VMs, and with the code ConfigLagging if ctx ended first.
func (n *Node) awaitApplied(ctx context.Context, verdict configlog.Verdict, out operator.Verdict) operator.Verdict {
	var waitID uint64
	n.withCore(func(fleet.Time) { waitID = n.core.Config().WaitApplied(verdict.Offset) })
	defer n.withCore(func(fleet.Time) { n.core.Config().EndWait(waitID) })
	for {
		var lagging []fleet.VMID
		n.withCore(func(fleet.Time) {
			lagging = n.core.Config().Lagging(waitID)
			if dir := n.core.Directory(); dir != nil {
				out.Listed = len(dir.VMs)
			}
		})
		out.Lagging, out.Applied = lagging, out.Listed-len(lagging)
		if len(lagging) == 0 {
			return out
		}
		if !sleep(ctx, appliedPollInterval) {
			out.Code, out.Name = result.ConfigLagging, result.ConfigLagging.String()
			return out
		}
	}
}

// Genesis appends the genesis record, the first one of the configuration log, and waits until it is in
// effect or ctx ends.
func (n *Node) Genesis(ctx context.Context, record json.RawMessage) (operator.Verdict, error) {
	var g configlog.Genesis
	if err := json.Unmarshal(record, &g); err != nil {
		return operator.Verdict{}, result.Errorf(result.ConfigBadForm, "first record: %v", err)
	}
	var err error
	n.withCore(func(now fleet.Time) {
		err = n.core.Config().AppendGenesis(now, g)
		n.core.Settle(now)
	})
	if err != nil {
		return operator.Verdict{}, result.Errorf(result.ConfigBadForm, "first record: %v", err)
	}
	for sleep(ctx, appliedPollInterval) {
		if n.Routes() != nil {
			return operator.NewVerdict(result.OK, "the first record is in effect"), nil
		}
	}
	return operator.Verdict{}, result.Errorf(result.ConfigUnknown, "the first record was not read back before the timeout")
}

// History returns the most recent verdicts, newest first.
func (n *Node) History(_ context.Context, q operator.HistoryQuery) ([]operator.HistoryEntry, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	index := n.core.Index()
	if index == nil {
		return nil, result.Errorf(result.NotReady, "no document is in effect yet")
	}
	state := n.core.Config().State()
	var out []operator.HistoryEntry
	for _, name := range sectionNames(state, index) {
		if q.Section != "" && q.Section != name {
			continue
		}
		for _, v := range state.History(name) {
			if q.Team != "" && q.Team != v.Team {
				continue
			}
			out = append(out, operator.HistoryEntry{
				Offset: int64(v.Offset), EditID: v.ID, Section: v.Section, Team: v.Team,
				Code: v.Code, Name: v.Code.String(), Revision: v.Revision,
			})
		}
	}
	slices.SortFunc(out, func(a, b operator.HistoryEntry) int { return int(b.Offset - a.Offset) })
	if q.Limit > 0 && len(out) > q.Limit {
		out = out[:q.Limit]
	}
	return out, nil
}

// EditStatus returns the state of an edit at this VM: its verdict, or that it is pending or unknown.
func (n *Node) EditStatus(_ context.Context, id string) (operator.EditStatus, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.core.Config().Status(id)
	if v.Code == result.NotFound {
		return operator.EditStatus{Verdict: operatorVerdict(v)}, nil
	}
	return operator.EditStatus{Verdict: operatorVerdict(v), Known: v.Code != result.ConfigUnknown}, nil
}
