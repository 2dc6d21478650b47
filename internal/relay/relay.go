// Package relay defines the messages with which an entry VM forwards a caller's
// request to the dispatcher of the owning target.
package relay

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/record"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Names of the link methods between entry VM and dispatcher.
const (
	// MethodRelay forwards a Request; its response is a Reply.
	MethodRelay = "relay"
	// MethodSuspicions sends crash suspicions to another VM as a one-way message.
	MethodSuspicions = "relay.suspicions"
)

// Class is the priority class of a request.
type Class string

// The priority classes, highest priority first.
const (
	Interactive Class = "interactive"
	Write       Class = "write"
	Batch       Class = "batch"
)

// Request is a caller's request as the entry VM received it.
type Request struct {
	Tenant  string `msgpack:"t"`
	Service string `msgpack:"s"`
	Key     string `msgpack:"k"`
	Class   Class  `msgpack:"c"`
	// Residency is the tenant's residency as known to the entry VM.
	Residency contract.Residency `msgpack:"r"`
	// Target is the chosen target; for exclusive services it is the owner.
	Target string           `msgpack:"g"`
	Slice  contract.SliceID `msgpack:"i"`
	Fence  contract.Fence   `msgpack:"f"`

	Method string      `msgpack:"m"`
	Path   string      `msgpack:"p"`
	Header http.Header `msgpack:"h"`
	Body   []byte      `msgpack:"b"`

	// IdempotencyKey is set for non-idempotent requests only.
	IdempotencyKey string `msgpack:"n"`
	// FirstSentMs is the Unix time in ms of the caller's first attempt.
	FirstSentMs int64 `msgpack:"u"`
}

// Reply is the complete response of a target.
type Reply struct {
	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h"`
	Body   []byte      `msgpack:"b"`
	// Target is the target that ran the request; empty for a stored response.
	Target string `msgpack:"t"`
	// Stored is set if the response comes from the request's record.
	Stored bool `msgpack:"o"`
}

// Idempotent reports whether the request may run more than once.
func (r *Request) Idempotent() bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// ID returns the record ID of a non-idempotent request.
func (r *Request) ID() record.ID {
	return record.ID{Tenant: r.Tenant, Service: r.Service, Key: r.IdempotencyKey}
}

// Fingerprint returns a hash of the request's tenant, service, key, method,
// path and body. Retries of the same request have equal fingerprints.
func (r *Request) Fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{r.Tenant, r.Service, r.Key, r.Method, r.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// KeyHash returns the position of the request's key in the hash space.
func (r *Request) KeyHash() uint64 { return contract.KeyHash(r.Tenant, r.Key) }

// Encode returns the wire encoding of a message of this package.
func Encode(message any) ([]byte, error) { return wire.Marshal(message) }

// Decode decodes the wire encoding in data into message.
func Decode(data []byte, message any) error { return wire.Unmarshal(data, message) }
