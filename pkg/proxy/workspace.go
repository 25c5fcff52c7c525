package proxy

import (
	"net/http"
	"strings"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// keyRefusal is the reason for which a request is refused because of its API key.
type keyRefusal string

// Reasons of refusals.
const (
	keyMissing     keyRefusal = "missing"
	keyRepeated    keyRefusal = "repeated"
	keyUnknown     keyRefusal = "unknown"
	keyUnconfirmed keyRefusal = "unconfirmed" // the document is not confirmed, so the key may have been withdrawn
	keyNotYetKnown keyRefusal = "not_yet"     // the key is unknown, but may be in a newer document that exists
)

// readWorkspace determines the workspace of the request and its weight: by the API key if the document requires
// keys, otherwise by the route's workspace header.
func (x *exchange) readWorkspace(table RouteTable) *result.Error {
	x.weight = x.route.Route.Weight
	orDefault(&x.weight, 1)
	x.requiresKeys = table.RequiresAPIKeys()
	switch {
	case !x.requiresKeys:
		return x.readWorkspaceHeader(table)
	case x.route.Route.Public:
		return nil
	}
	match, refusal := x.lookUpKey(table)
	if refusal != "" {
		return x.refuseKey(refusal)
	}
	x.workspace, x.priority, x.quota = match.Name, match.Workspace.Priority, match.Workspace.Quota
	x.knownWorkspace = x.workspace
	x.multiplyWeight(match.Workspace)
	return nil
}

// lookUpKey returns the workspace of the request's API key, or why there is none. A value with several keys in a
// list is an unknown key.
func (x *exchange) lookUpKey(table RouteTable) (document.WorkspaceMatch, keyRefusal) {
	values := x.r.Header.Values(x.p.dialect.APIKey)
	switch {
	case !x.p.confirmed():
		return document.WorkspaceMatch{}, keyUnconfirmed
	case len(values) == 0 || len(values) == 1 && values[0] == "":
		return document.WorkspaceMatch{}, keyMissing
	case len(values) > 1:
		return document.WorkspaceMatch{}, keyRepeated
	}
	match, ok := table.WorkspaceOfKey(document.HashAPIKey(values[0]))
	switch {
	case ok:
		return match, ""
	case x.p.superseded():
		return match, keyNotYetKnown
	}
	return match, keyUnknown
}

// refuseKey counts the refusal and returns it as an error, whose text never contains the key.
func (x *exchange) refuseKey(refusal keyRefusal) *result.Error {
	x.p.metrics.keyRefusal(refusal)
	switch refusal {
	case keyUnconfirmed:
		return result.Errorf(result.NotReady, "the configuration has not been confirmed recently")
	case keyNotYetKnown:
		return result.Errorf(result.NotReady, "the key may be in a newer configuration that this VM has not received")
	case keyMissing:
		return result.Errorf(result.APIKeyUnknown, "no key in the header %s", x.p.dialect.APIKey)
	case keyRepeated:
		return result.Errorf(result.APIKeyUnknown, "several keys in the header %s", x.p.dialect.APIKey)
	}
	return result.Errorf(result.APIKeyUnknown, "no workspace holds the key in the header %s", x.p.dialect.APIKey)
}

// readWorkspaceHeader reads the workspace that the caller names.
func (x *exchange) readWorkspaceHeader(table RouteTable) *result.Error {
	name := x.route.Route.WorkspaceHeader
	if name == "" {
		return nil
	}
	values := x.r.Header.Values(name)
	if len(values) > 1 || len(values) == 1 && len(values[0]) > maxWorkspaceLength {
		return result.Errorf(result.BadRequest, "header %s is repeated or too long", name)
	}
	if len(values) == 0 {
		return nil
	}
	x.workspace = values[0]
	if ws, ok := table.Workspace(x.workspace); ok {
		x.knownWorkspace = x.workspace
		x.multiplyWeight(ws)
	}
	return nil
}

func (x *exchange) multiplyWeight(w document.Workspace) {
	if w.Weight != 0 {
		x.weight *= w.Weight
	}
}

// quotaDecision is what became of a request of a workspace with a quota.
type quotaDecision string

// Decisions about requests of workspaces with a quota.
const (
	quotaAdmitted quotaDecision = "admitted"
	quotaRefused  quotaDecision = "refused"
	quotaReturned quotaDecision = "returned" // admitted, but no server can have run it
)

// takeQuota takes the request from its workspace's quota, if it has one.
func (x *exchange) takeQuota() *result.Error {
	if x.quota.Rate <= 0 {
		return nil
	}
	retryAfter, ok := x.p.engine.TakeQuota(x.workspace)
	if !ok {
		x.p.metrics.quotaDecision(quotaRefused)
		x.retryAfter = retryAfter
		return result.Errorf(result.QuotaExceeded, "workspace %s is over its quota of %v requests/s", x.workspace, x.quota.Rate)
	}
	x.p.metrics.quotaDecision(quotaAdmitted)
	x.quotaTaken = true
	return nil
}

// returnQuota returns what takeQuota took if no server can have run the request.
func (x *exchange) returnQuota() {
	if x.quotaTaken && !x.mayHaveRun {
		x.quotaTaken = false
		x.p.metrics.quotaDecision(quotaReturned)
		x.p.engine.ReturnQuota(x.workspace)
	}
}

// replaceIdentity removes the API key and any workspace that the caller named from the header of a request to a
// server, and adds the workspace of the key.
func (x *exchange) replaceIdentity(h http.Header) {
	x.removeIdentity(h)
	if !x.requiresKeys || x.workspace == "" {
		return
	}
	for _, name := range []string{x.p.dialect.Workspace, x.route.Route.WorkspaceHeader} {
		if name != "" {
			h.Set(name, x.workspace)
		}
	}
}

// removeIdentity removes the headers of the API key and the workspace from a header or trailer, if the document
// requires keys. Some servers take an underscore in a name for a hyphen, so such names are removed as well.
func (x *exchange) removeIdentity(h http.Header) {
	if !x.requiresKeys {
		return
	}
	for _, name := range []string{x.p.dialect.APIKey, x.p.dialect.Workspace, x.route.Route.WorkspaceHeader} {
		if name == "" {
			continue
		}
		for k := range h {
			if len(k) == len(name) && strings.EqualFold(strings.ReplaceAll(k, "_", "-"), name) {
				delete(h, k)
			}
		}
	}
}
