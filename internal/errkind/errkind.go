// Package errkind defines the closed list of error kinds of flamingoreel and the
// response that a caller receives for each of them.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
)

// Outcome says what is known about the execution of a request.
type Outcome string

// The three outcomes of a request.
const (
	// Answered means that the target ran the request and its response follows.
	Answered Outcome = "answered"
	// NotRun means that the request did not and will not run.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Kind names one reason for which a request or an operator's configuration
// change fails.
type Kind string

// The error kinds. Every kind has an entry in the table below.
const (
	BadRequest        Kind = "bad_request"
	HeadTooLarge      Kind = "head_too_large"
	BodyTooLarge      Kind = "body_too_large"
	CallerTooSlow     Kind = "caller_too_slow"
	UnknownService    Kind = "unknown_service"
	UnknownRoute      Kind = "unknown_route"
	UnknownTenant     Kind = "unknown_tenant"
	ExpiredID         Kind = "expired_id"
	IDReused          Kind = "id_reused"
	WrongRegion       Kind = "wrong_region"
	NoLease           Kind = "no_lease"
	NoOwner           Kind = "no_owner"
	StaleRoute        Kind = "stale_route"
	Overloaded        Kind = "overloaded"
	QueueTimeout      Kind = "queue_timeout"
	TargetRefused     Kind = "target_refused"
	TargetPaused      Kind = "target_paused"
	TargetUnreachable Kind = "target_unreachable"
	KnownCrasher      Kind = "known_crasher"
	DependencyDown    Kind = "dependency_down"
	RecordUnavailable Kind = "record_unavailable"
	Stopping          Kind = "stopping"
	LinkDown          Kind = "link_down"
	LinkLost          Kind = "link_lost"
	TargetLost        Kind = "target_lost"
	AnswerTimeout     Kind = "answer_timeout"
	AnswerTooLarge    Kind = "answer_too_large"
	StartedElsewhere  Kind = "started_elsewhere"
	AnswerNotKept     Kind = "answer_not_kept"
	EarlierUnknown    Kind = "earlier_unknown"
	Internal          Kind = "internal"
	InvalidText       Kind = "invalid_text"
	ConfigConflict    Kind = "config_conflict"
	NotLeader         Kind = "not_leader"
	DiskFailed        Kind = "disk_failed"
)

// Response is the response that a caller receives for a kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Outcome is the value of the outcome header.
	Outcome Outcome
	// RetrySafe says that sending the same request again cannot run a
	// non-idempotent request twice.
	RetrySafe bool
}

var table = map[Kind]Response{
	BadRequest:     {http.StatusBadRequest, NotRun, false},
	HeadTooLarge:   {http.StatusRequestHeaderFieldsTooLarge, NotRun, false},
	BodyTooLarge:   {http.StatusRequestEntityTooLarge, NotRun, false},
	CallerTooSlow:  {http.StatusRequestTimeout, NotRun, true},
	UnknownService: {http.StatusNotFound, NotRun, false},
	UnknownRoute:   {http.StatusNotFound, NotRun, false},
	UnknownTenant:  {http.StatusForbidden, NotRun, false},
	// A request with an expired ID is not run now, but it may have run within
	// the retention.
	ExpiredID:         {http.StatusConflict, Unknown, false},
	IDReused:          {http.StatusUnprocessableEntity, NotRun, false},
	WrongRegion:       {http.StatusMisdirectedRequest, NotRun, true},
	NoLease:           {http.StatusServiceUnavailable, NotRun, true},
	NoOwner:           {http.StatusServiceUnavailable, NotRun, true},
	StaleRoute:        {http.StatusServiceUnavailable, NotRun, true},
	Overloaded:        {http.StatusTooManyRequests, NotRun, true},
	QueueTimeout:      {http.StatusServiceUnavailable, NotRun, true},
	TargetRefused:     {http.StatusServiceUnavailable, NotRun, true},
	TargetPaused:      {http.StatusServiceUnavailable, NotRun, true},
	TargetUnreachable: {http.StatusServiceUnavailable, NotRun, true},
	KnownCrasher:      {http.StatusUnprocessableEntity, NotRun, false},
	DependencyDown:    {http.StatusServiceUnavailable, NotRun, true},
	RecordUnavailable: {http.StatusServiceUnavailable, NotRun, true},
	Stopping:          {http.StatusServiceUnavailable, NotRun, true},
	LinkDown:          {http.StatusServiceUnavailable, NotRun, true},
	LinkLost:          {http.StatusBadGateway, Unknown, true},
	TargetLost:        {http.StatusBadGateway, Unknown, true},
	AnswerTimeout:     {http.StatusGatewayTimeout, Unknown, true},
	AnswerTooLarge:    {http.StatusBadGateway, Unknown, true},
	StartedElsewhere:  {http.StatusConflict, Unknown, true},
	AnswerNotKept:     {http.StatusConflict, Unknown, true},
	EarlierUnknown:    {http.StatusServiceUnavailable, Unknown, true},
	Internal:          {http.StatusInternalServerError, Unknown, true},
	InvalidText:       {http.StatusUnprocessableEntity, NotRun, false},
	ConfigConflict:    {http.StatusConflict, NotRun, false},
	NotLeader:         {http.StatusServiceUnavailable, NotRun, true},
	DiskFailed:        {http.StatusInsufficientStorage, Unknown, true},
}

// ResponseFor returns the response for a kind. A kind that is not in the table
// gets the response for Internal.
func ResponseFor(k Kind) Response {
	if a, ok := table[k]; ok {
		return a
	}
	return table[Internal]
}

// PromisesNotRun reports whether an HTTP status tells callers that their request
// did not and will not run.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Kinds returns all kinds in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is an error of a known kind.
type Error struct {
	Kind    Kind   `msgpack:"k" json:"kind"`
	Message string `msgpack:"m" json:"message"`
	cause   error
}

// New returns an error of kind k.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k caused by err.
func Wrap(k Kind, err error, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...), cause: err}
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Message, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Outcome returns the outcome that the table gives for the error's kind.
func (e *Error) Outcome() Outcome { return ResponseFor(e.Kind).Outcome }

// From returns err as an *Error; an error of no known kind becomes Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "unexpected error")
}
