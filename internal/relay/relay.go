// Package relay defines the messages by which an entry hands a caller's
// request to the dispatcher of the owning target.
package relay

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/record"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Methods of the link between entry and dispatcher.
const (
	// Method relays a request; the reply is a Reply.
	Method = "relay"
	// SuspicionMethod shares crash suspicions with another VM, one way.
	SuspicionMethod = "relay.suspicions"
)

// Class is the priority class of a request.
type Class string

// The classes, most urgent first.
const (
	Interactive Class = "interactive"
	Write       Class = "write"
	Batch       Class = "batch"
)

// Request is a caller's request as the entry read it.
type Request struct {
	Tenant  string `msgpack:"t"`
	Service string `msgpack:"s"`
	Key     string `msgpack:"k"`
	Class   Class  `msgpack:"c"`
	// Residency is the tenant's residency at the entry.
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
	// FirstSent is the unix time in ms of the caller's first attempt.
	FirstSent int64 `msgpack:"u"`
}

// Reply is the whole answer of a target.
type Reply struct {
	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h"`
	Body   []byte      `msgpack:"b"`
	// Target is the target that ran the request; empty for a stored answer.
	Target string `msgpack:"t"`
	// Stored says that the answer comes from the request's record.
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

// ID returns the identity of a non-idempotent request.
func (r *Request) ID() record.ID {
	return record.ID{Tenant: r.Tenant, Service: r.Service, Key: r.IdempotencyKey}
}

// Fingerprint returns a hash of what the request asks for. Equal resends have
// equal fingerprints.
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

// Encode returns the wire form of a message of this package.
func Encode(message any) ([]byte, error) { return wire.Marshal(message) }

// Decode reads the wire form into message.
func Decode(data []byte, message any) error { return wire.Unmarshal(data, message) }
