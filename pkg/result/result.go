// Package result defines the numbered result codes of fulmarbeam. docs/errors.md lists
// them; a test checks that the list matches this package.
package result

import (
	"fmt"
	"net/http"
)

// Outcome reports to a caller whether its request was executed.
type Outcome string

// Outcomes. OutcomeNotRun is used only when it is certain that no server executed the request;
// with OutcomeUnknown a server may have executed it.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
	OutcomeNone     Outcome = "none" // for codes that do not concern a request
)

// Code is a result code: 1xxx for invalid requests, 2xxx for capacity and routing, 3xxx for
// servers and responses, 4xxx for idempotency keys, 5xxx for configuration, 6xxx for
// operators and settings.
type Code int

// Info is the description of a code.
type Info struct {
	Code       Code
	Name       string
	Outcome    Outcome
	HTTPStatus int // status of the response to a caller or operator
	ExitCode   int // of the command-line programs
	Meaning    string
}

// Result codes.
const (
	OK Code = 0

	BadRequest       Code = 1001
	HeaderTooLarge   Code = 1002
	BodyTooLarge     Code = 1003
	SlowRequest      Code = 1004
	KeyRequired      Code = 1005
	NoRoute          Code = 1006
	MethodNotAllowed Code = 1007
	WorkspaceUnknown Code = 1008
	APIKeyUnknown    Code = 1009

	NoCapacity        Code = 2001
	DeadlineTooClose  Code = 2002
	NoServer          Code = 2003
	Draining          Code = 2004
	NotReady          Code = 2005
	CallerGone        Code = 2006
	BufferLimit       Code = 2007
	DeadlineInQueue   Code = 2008
	RetryBudgetSpent  Code = 2009
	ServersDeclined   Code = 2010
	ServerUnreachable Code = 2011
	QuotaExceeded     Code = 2012
	HeaderMemory      Code = 2013

	AnswerLost       Code = 3001
	AnswerTruncated  Code = 3002
	AnswerCrossed    Code = 3003
	AnswerUnbounded  Code = 3004
	DeadlinePassed   Code = 3005
	AnswerMalformed  Code = 3006
	DispatchTooLate  Code = 3007
	CancelledRunning Code = 3008

	KeyRunning       Code = 4001
	KeyUnknown       Code = 4002
	KeyMismatch      Code = 4003
	KeyAnswerDropped Code = 4004
	KeyHistoryLost   Code = 4005
	KeyNoQuorum      Code = 4006
	KeyTableFull     Code = 4007
	KeyInvalid       Code = 4008

	ConfigConflict      Code = 5001
	ConfigForbidden     Code = 5002
	ConfigBadSignature  Code = 5003
	ConfigInvalid       Code = 5004
	ConfigBadForm       Code = 5005
	ConfigHashMismatch  Code = 5006
	ConfigUnknown       Code = 5007
	ConfigBehind        Code = 5008
	ConfigLagging       Code = 5009
	ConfigDuplicate     Code = 5010
	ConfigNewFormat     Code = 5011
	ConfigTooLarge      Code = 5012
	ConfigGenesisDenied Code = 5013

	UsageError      Code = 6001
	SettingsInvalid Code = 6002
	Unreachable     Code = 6003
	StoreAway       Code = 6004
	NotFound        Code = 6005
	Internal        Code = 6006
	Unauthorized    Code = 6007
)

// Table lists all codes in ascending order.
var Table = []Info{
	{OK, "ok", OutcomeAnswered, http.StatusOK, 0, "the request or command succeeded"},
	{BadRequest, "bad_request", OutcomeNotRun, 400, 2, "the request is malformed or ambiguous HTTP"},
	{HeaderTooLarge, "header_too_large", OutcomeNotRun, 431, 2, "the header exceeds the limit"},
	{BodyTooLarge, "body_too_large", OutcomeNotRun, 413, 2, "the body exceeds the route's limit"},
	{SlowRequest, "slow_request", OutcomeNotRun, 408, 2, "header or body arrived too slowly, nothing was sent to a server"},
	{KeyRequired, "key_required", OutcomeNotRun, 400, 2, "the route requires an Idempotency-Key"},
	{NoRoute, "no_route", OutcomeNotRun, 404, 2, "no route matches host, path and method"},
	{MethodNotAllowed, "method_not_allowed", OutcomeNotRun, 405, 2, "a route matches host and path but not the method"},
	{WorkspaceUnknown, "workspace_unknown", OutcomeNotRun, 400, 2, "the document does not hold the workspace, so its idempotency key has no home"},
	{APIKeyUnknown, "api_key_unknown", OutcomeNotRun, 401, 2, "the request carries no key of a workspace, or more than one"},
	{NoCapacity, "no_capacity", OutcomeNotRun, 503, 3, "the pool is full and heavier work goes first, or its servers are at their rate limits or pause"},
	{DeadlineTooClose, "deadline_too_close", OutcomeNotRun, 503, 3, "the work cannot finish before its deadline"},
	{NoServer, "no_server", OutcomeNotRun, 503, 3, "the pool has no usable server"},
	{Draining, "draining", OutcomeNotRun, 503, 3, "this VM is shutting down"},
	{NotReady, "not_ready", OutcomeNotRun, 503, 3, "this VM has no configuration yet, or none that is recent enough to judge the API key"},
	{CallerGone, "caller_gone", OutcomeNotRun, 499, 3, "the caller closed its connection before dispatch"},
	{BufferLimit, "buffer_limit", OutcomeNotRun, 503, 3, "this VM's body buffers are full"},
	{DeadlineInQueue, "deadline_in_queue", OutcomeNotRun, 503, 3, "the deadline passed while the request was queued"},
	{RetryBudgetSpent, "retry_budget_spent", OutcomeNotRun, 503, 3, "a server declined and the retry budget is spent"},
	{ServersDeclined, "servers_declined", OutcomeNotRun, 503, 3, "every server tried declined the work"},
	{ServerUnreachable, "server_unreachable", OutcomeNotRun, 503, 3, "no connection to a server could be opened"},
	{QuotaExceeded, "quota_exceeded", OutcomeNotRun, 429, 3, "the workspace has used its quota"},
	{HeaderMemory, "header_memory", OutcomeNotRun, 503, 3, "this VM's memory for request headers is full"},
	{AnswerLost, "answer_lost", OutcomeUnknown, 502, 4, "the connection failed after the request was sent"},
	{AnswerTruncated, "answer_truncated", OutcomeUnknown, 502, 4, "the answer ended early"},
	{AnswerCrossed, "answer_crossed", OutcomeUnknown, 502, 4, "the answer belongs to another request"},
	{AnswerUnbounded, "answer_unbounded", OutcomeUnknown, 502, 4, "the answer has no length and its end cannot be verified"},
	{DeadlinePassed, "deadline_passed", OutcomeUnknown, 504, 4, "the deadline passed after the request was sent"},
	{AnswerMalformed, "answer_malformed", OutcomeUnknown, 502, 4, "the server's answer is not valid HTTP"},
	{DispatchTooLate, "dispatch_too_late", OutcomeNotRun, 503, 3, "the dispatch limit after a key reservation passed"},
	{CancelledRunning, "cancelled_running", OutcomeUnknown, 499, 4, "the caller left while the request ran"},
	{KeyRunning, "key_running", OutcomeUnknown, 409, 4, "an earlier attempt with this key still runs"},
	{KeyUnknown, "key_unknown", OutcomeUnknown, 409, 4, "an earlier attempt with this key may have run"},
	{KeyMismatch, "key_mismatch", OutcomeUnknown, 422, 2, "this key was used for a different request"},
	{KeyAnswerDropped, "key_answer_dropped", OutcomeUnknown, 409, 4, "an earlier attempt ran; its answer is no longer kept"},
	{KeyHistoryLost, "key_history_lost", OutcomeUnknown, 503, 4, "the records of earlier attempts were lost, the key may have run"},
	{KeyNoQuorum, "key_no_quorum", OutcomeUnknown, 503, 4, "the key's owner or copy cannot be reached"},
	{KeyTableFull, "key_table_full", OutcomeNotRun, 503, 3, "the key is new and the key table is full"},
	{KeyInvalid, "key_invalid", OutcomeNotRun, 400, 2, "the Idempotency-Key is malformed or too long"},
	{ConfigConflict, "config_conflict", OutcomeNone, 409, 10, "the edit is not based on the section's current revision"},
	{ConfigForbidden, "config_forbidden", OutcomeNone, 403, 11, "the team does not own the section"},
	{ConfigBadSignature, "config_bad_signature", OutcomeNone, 403, 11, "the signature is not by a current key of the team"},
	{ConfigInvalid, "config_invalid", OutcomeNone, 422, 12, "the document would not be valid"},
	{ConfigBadForm, "config_bad_form", OutcomeNone, 400, 12, "the record or edit is malformed"},
	{ConfigHashMismatch, "config_hash_mismatch", OutcomeNone, 422, 12, "the patched section differs from the signed hash"},
	{ConfigUnknown, "config_unknown", OutcomeNone, 504, 13, "the edit may still be accepted, ask for its status"},
	{ConfigBehind, "config_behind", OutcomeNone, 503, 14, "this VM is behind the log"},
	{ConfigLagging, "config_lagging", OutcomeNone, 504, 15, "the edit is accepted, some VMs have not applied it"},
	{ConfigDuplicate, "config_duplicate", OutcomeNone, 200, 0, "the edit was accepted before"},
	{ConfigNewFormat, "config_new_format", OutcomeNone, 503, 14, "the log holds a format newer than this program"},
	{ConfigTooLarge, "config_too_large", OutcomeNone, 413, 12, "the edit or document exceeds its bound"},
	{ConfigGenesisDenied, "config_genesis_denied", OutcomeNone, 503, 14, "the log's root key is not the expected one"},
	{UsageError, "usage_error", OutcomeNone, 400, 2, "wrong arguments"},
	{SettingsInvalid, "settings_invalid", OutcomeNone, 400, 20, "the settings file has problems"},
	{Unreachable, "unreachable", OutcomeNone, 502, 21, "the VM cannot be reached"},
	{StoreAway, "store_away", OutcomeNone, 503, 22, "the log service cannot be reached"},
	{NotFound, "not_found", OutcomeNone, 404, 23, "no such item"},
	{Internal, "internal", OutcomeNone, 500, 1, "an internal error, see the log"},
	{Unauthorized, "unauthorized", OutcomeNone, 403, 24, "the client certificate is not accepted"},
}

var infoByCode = func() map[Code]Info {
	m := make(map[Code]Info, len(Table))
	for _, i := range Table {
		m[i.Code] = i
	}
	return m
}()

// Info returns the code's entry in Table, or that of Internal for an unlisted code.
func (c Code) Info() Info {
	if i, ok := infoByCode[c]; ok {
		return i
	}
	return infoByCode[Internal]
}

// String returns the code's name.
func (c Code) String() string { return c.Info().Name }

// Error is an error with a result code.
type Error struct {
	Code   Code
	Detail string
}

// Errorf returns an Error with a formatted detail.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the name and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, int(e.Code), e.Detail)
}
