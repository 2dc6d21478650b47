package record

import (
	"context"
	"time"
)

// ID identifies a non-idempotent request across resends.
type ID struct {
	Tenant  string `msgpack:"t"`
	Service string `msgpack:"s"`
	// Key is the caller's idempotency key.
	Key string `msgpack:"k"`
}

// Attempt names one try to run a request.
type Attempt struct {
	// VM and VMIncarnation name the dispatcher; Number is unique on it.
	VM            string `msgpack:"v"`
	VMIncarnation uint64 `msgpack:"i"`
	Number        uint64 `msgpack:"n"`
}

// Answer is the stored answer of a target.
type Answer struct {
	Status int                 `msgpack:"s"`
	Header map[string][]string `msgpack:"h"`
	Body   []byte              `msgpack:"b"`
	// Dropped says that the body exceeded the largest body that is kept.
	Dropped bool `msgpack:"d"`
}

// State is a holder's answer to a start.
type State uint8

// The answers of a holder.
const (
	// Granted: the holder stored the attempt as the only one of its ID.
	Granted State = iota
	// Started: another attempt is stored and has no answer yet.
	Started
	// Finished: an answer is stored.
	Finished
	// NotReady: the holder cannot know whether the ID has run.
	NotReady
	// Full: the holder has no room.
	Full
	// Mismatch: the ID was used for a request with another fingerprint.
	Mismatch
	// Aborted: the holder refuses this attempt for good.
	Aborted
	// Absent answers a query: the holder is ready and stores no attempt.
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

// StartRequest asks a holder to store an attempt.
type StartRequest struct {
	ID      ID      `msgpack:"i"`
	Attempt Attempt `msgpack:"a"`
	// Fingerprint is a hash of method, path and body.
	Fingerprint uint64 `msgpack:"p"`
	// FirstSent is the unix time in ms at which the caller first sent the ID.
	FirstSent int64 `msgpack:"f"`
	// Retention is how long the record is kept.
	Retention time.Duration `msgpack:"r"`
	// Holders are the holders of every holder set that the attempt asks.
	Holders [][]string `msgpack:"h"`
	// Query asks for the state only; nothing is stored.
	Query bool `msgpack:"q"`
}

// StartReply is the holder's answer.
type StartReply struct {
	State   State   `msgpack:"s"`
	Attempt Attempt `msgpack:"a"`
	Answer  *Answer `msgpack:"w"`
	// Holders are the holder sets of the stored attempt.
	Holders [][]string `msgpack:"h"`
	// Proof tells which incarnations of holders the reply depends on.
	Proof Proof `msgpack:"p"`
}

// Proof lets a coordinator discard replies that a holder gave before it lost
// its memory.
type Proof struct {
	// Incarnation is the unix time in ms at which the holder started.
	Incarnation int64 `msgpack:"i"`
	// Seen maps holders that began to copy records from this one to their
	// incarnation at that time.
	Seen map[string]int64 `msgpack:"s"`
}

// Transport carries calls to holders; VM names may be the local one.
type Transport interface {
	// Call sends one of the record methods and returns the encoded reply.
	Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error)
}
