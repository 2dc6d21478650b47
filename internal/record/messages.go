package record

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// The methods that a holder serves.
const (
	MethodStart  = "record.start"
	MethodFinish = "record.finish"
	MethodAbort  = "record.abort"
	MethodCopy   = "record.copy"
)

// Methods lists all methods that a holder serves.
var Methods = []string{MethodStart, MethodFinish, MethodAbort, MethodCopy}

// FinishRequest stores the answer of a Running attempt. The reply is empty.
type FinishRequest struct {
	ID          ID            `msgpack:"i"`
	Attempt     Attempt       `msgpack:"a"`
	Fingerprint uint64        `msgpack:"p"`
	FirstSent   int64         `msgpack:"f"`
	Retention   time.Duration `msgpack:"r"`
	Holders     [][]string    `msgpack:"h"`
	Answer      Answer        `msgpack:"w"`
}

// AbortRequest makes a holder refuse an attempt from now on.
type AbortRequest struct {
	ID        ID            `msgpack:"i"`
	Attempt   Attempt       `msgpack:"a"`
	FirstSent int64         `msgpack:"f"`
	Retention time.Duration `msgpack:"r"`
	Holders   [][]string    `msgpack:"h"`
	// Promise asks a holder that did not grant the attempt to refuse it; a
	// holder that stores the attempt keeps it. Without Promise the attempt is
	// dead and is removed.
	Promise bool `msgpack:"q"`
}

// AbortReply answers an AbortRequest.
type AbortReply struct {
	// Refused says that the holder is ready, does not store the attempt and
	// will never grant it.
	Refused bool  `msgpack:"r"`
	Proof   Proof `msgpack:"p"`
}

// CopyRequest asks for the records that the sender also has to hold.
type CopyRequest struct {
	// Incarnation is the sender's start in unix ms.
	Incarnation int64  `msgpack:"i"`
	Cursor      Cursor `msgpack:"c"`
}

// Cursor is a position in the records of a holder. The zero value begins.
type Cursor struct {
	Minute int64 `msgpack:"m"`
	Index  int   `msgpack:"i"`
}

// CopyReply is one page of records.
type CopyReply struct {
	Incarnation int64 `msgpack:"i"`
	// Authority is the lowest FirstSent from which the holder knows every ID.
	Authority int64          `msgpack:"a"`
	Records   []CopiedRecord `msgpack:"r"`
	Next      Cursor         `msgpack:"n"`
	Done      bool           `msgpack:"d"`
	// Seen are the incarnations of other holders that the holder knows of.
	Seen map[string]int64 `msgpack:"s"`
}

// CopiedRecord is what one holder knows of an ID.
type CopiedRecord struct {
	ID ID `msgpack:"i"`
	// Held are the attempts without an answer.
	Held []HeldAttempt `msgpack:"h"`
	// Finished is the attempt whose answer follows, encoded.
	Finished *HeldAttempt `msgpack:"f"`
	Answer   []byte       `msgpack:"w"`
	// Dead and Refused are the attempts that are never granted.
	Dead    []Attempt `msgpack:"d"`
	Refused []Attempt `msgpack:"r"`
	// FirstSent and ExpiresAt are unix times in ms.
	FirstSent int64 `msgpack:"s"`
	ExpiresAt int64 `msgpack:"e"`
	// Holders are the joined holder sets of the ID.
	Holders string `msgpack:"o"`
}

// HeldAttempt is an attempt with the fingerprint of its request.
type HeldAttempt struct {
	Attempt     Attempt `msgpack:"a"`
	Fingerprint uint64  `msgpack:"p"`
	// Holders are the joined holder sets of the attempt.
	Holders string `msgpack:"h"`
}

func encode(v any) ([]byte, error) {
	b, err := wire.Marshal(v)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode %T", v)
	}
	return b, nil
}

func decode(b []byte, v any) error {
	if err := wire.Unmarshal(b, v); err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "decode %T", v)
	}
	return nil
}
