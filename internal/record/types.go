package record

import (
	"context"
	"time"
)

// ID identifies a non-idempotent request and its retries.
type ID struct {
	Tenant  string `msgpack:"t"`
	Service string `msgpack:"s"`
	// Key is the caller's idempotency key.
	Key string `msgpack:"k"`
}

// Attempt identifies one attempt to run a request.
type Attempt struct {
	// VM and VMIncarnation identify the dispatcher; Number is unique for them.
	VM            string `msgpack:"v"`
	VMIncarnation uint64 `msgpack:"i"`
	Number        uint64 `msgpack:"n"`
}

// Response is the stored response of a target.
type Response struct {
	Status int                 `msgpack:"s"`
	Header map[string][]string `msgpack:"h"`
	Body   []byte              `msgpack:"b"`
	// Dropped is set when the response was too large to store, or the holder was
	// full or could not encode or decode the response.
	Dropped bool `msgpack:"d"`
}

// State is the result of a start or query on a holder.
type State uint8

// Values of State.
const (
	// Granted: the holder stored the attempt as the only one of its ID.
	Granted State = iota
	// Started: another attempt is stored and has no response yet.
	Started
	// Finished: the response of an attempt is stored.
	Finished
	// NotReady: the holder cannot know whether the request has run.
	NotReady
	// Full: the holder has reached its memory limit.
	Full
	// Mismatch: the ID was used for a request with another fingerprint.
	Mismatch
	// Aborted: the holder will never grant this attempt.
	Aborted
	// Absent: the holder is ready and stores no attempt; only for a query.
	Absent
	stateCount
)

// String returns the name of the state as metrics use it.
func (s State) String() string {
	names := [stateCount]string{"granted", "started", "finished", "not_ready", "full", "mismatch", "aborted", "absent"}
	if s < stateCount {
		return names[s]
	}
	return "invalid"
}

// StartRequest requests a holder to store an attempt.
type StartRequest struct {
	ID      ID      `msgpack:"i"`
	Attempt Attempt `msgpack:"a"`
	// Fingerprint is a hash of method, path and body.
	Fingerprint uint64 `msgpack:"p"`
	// FirstSent is the Unix time in ms at which the caller first sent the ID.
	FirstSent int64 `msgpack:"f"`
	// Retention is how long the record is kept.
	Retention time.Duration `msgpack:"r"`
	// Holders are the holder sets that the attempt needs grants of.
	Holders [][]string `msgpack:"h"`
	// Query requests the state only; nothing is stored.
	Query bool `msgpack:"q"`
}

// StartReply is the reply to a StartRequest.
type StartReply struct {
	State    State     `msgpack:"s"`
	Attempt  Attempt   `msgpack:"a"`
	Response *Response `msgpack:"w"`
	// Holders are the holder sets of the stored attempt.
	Holders [][]string `msgpack:"h"`
	// Proof holds the incarnations of holders that the reply depends on.
	Proof Proof `msgpack:"p"`
}

// Proof lets a coordinator discard replies that a holder gave before it lost
// its memory.
type Proof struct {
	// Incarnation is the Unix time in ms at which the holder started.
	Incarnation int64 `msgpack:"i"`
	// HolderIncarnations maps other holders of the sets to the latest incarnation that the
	// holder knows of, as learned when records are copied.
	HolderIncarnations map[string]int64 `msgpack:"s"`
}

// Transport sends calls to holders, which may be on the local VM.
type Transport interface {
	// Call sends one of the record methods and returns the encoded reply.
	Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error)
}
