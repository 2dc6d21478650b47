package gateway

import (
	"net/http"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/reach"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

// methodRelay is the link method by which an entry VM asks another one to serve a
// request. Both messages are encoded as msgpack; fields may be added.
const methodRelay = "entry.relay"

// relayRequest is a caller's request as the isolated entry VM received it, with
// what that VM decided before: the route, the service and the remaining limits.
type relayRequest struct {
	ID        string      `msgpack:"i"`
	Method    string      `msgpack:"m"`
	URI       string      `msgpack:"u"`
	Path      string      `msgpack:"p"`
	Host      string      `msgpack:"h"`
	RouteHost string      `msgpack:"o"`
	Caller    string      `msgpack:"c"`
	Header    http.Header `msgpack:"e"`
	Body      []byte      `msgpack:"b"`
	HasBody   bool        `msgpack:"y"`
	Key       int         `msgpack:"k"`
	RouteName string      `msgpack:"n"`
	// Route is the route in force at the isolated entry VM. Its MaxAttempts counts
	// the targets to which the request may still be sent.
	Route   items.Route `msgpack:"r"`
	Service string      `msgpack:"s"`
	// Elapsed is the time since the request arrived, Left the time until its
	// deadline.
	Elapsed time.Duration `msgpack:"a"`
	Left    time.Duration `msgpack:"l"`
}

// relayReply is the final answer to a relayed request. Exactly one of Declined,
// Kind and Status is set.
type relayReply struct {
	// Declined says why the VM did not take the request, which then did not run.
	Declined string `msgpack:"d,omitempty"`
	// Busy reports, with Declined, that the VM may take a request a moment later.
	Busy bool `msgpack:"y,omitempty"`
	// Kind and Message are those of the error that the caller gets, RetryAfter the
	// time after which it may retry.
	Kind       errkind.Kind  `msgpack:"k,omitempty"`
	Message    string        `msgpack:"m,omitempty"`
	RetryAfter time.Duration `msgpack:"r,omitempty"`
	// Status, Header, Body and Length are those of the target's response.
	Status int         `msgpack:"s,omitempty"`
	Header http.Header `msgpack:"h,omitempty"`
	Body   []byte      `msgpack:"b,omitempty"`
	Length int64       `msgpack:"l,omitempty"`
	// Target is the ID of the target that the request was last sent to, Answered the
	// target that made the response.
	Target   string            `msgpack:"t,omitempty"`
	Answered fleet.Incarnation `msgpack:"w"`
}

// check returns an error unless the reply is a refusal, an error or a valid and
// complete final response to a request with the given method.
func (r *relayReply) check(method string) error {
	if r.Declined != "" || r.Kind != "" {
		return nil
	}
	return r.response().Check(method)
}

// response returns the target's response.
func (r *relayReply) response() *upstream.Response {
	return &upstream.Response{Status: r.Status, Header: r.Header, Body: r.Body, Length: r.Length}
}

// outcome returns how the peer handled the request.
func (r *relayReply) outcome() reach.Outcome {
	switch {
	case r.Declined != "" && r.Busy:
		return reach.Busy
	case r.Declined != "":
		return reach.Declined
	}
	switch r.Kind {
	case errkind.TargetUnreachable, errkind.UnknownService, errkind.Stopping:
		// The request did not run, and another peer may be able to serve it.
		return reach.Declined
	}
	return reach.Relayed
}

// Limits of relayed requests.
const (
	// maxRelayPeers bounds the peers to which one request is offered.
	maxRelayPeers = 4
	// maxRelayedBody bounds the body of a relayed request and of its response, in
	// bytes. Both are held whole by both VMs.
	maxRelayedBody = 4 << 20
	// relayOverhead is the room for the headers of the longest relayed request.
	relayOverhead = 1 << 20
	// maxRelayed bounds the requests that a VM serves for others at the same time.
	maxRelayed = 128
	// defaultRelayBytes bounds the memory for them if Config sets no bound.
	defaultRelayBytes = 32 << 20
)
