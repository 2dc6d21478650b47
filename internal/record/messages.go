package record

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Methods of the calls that a holder serves.
const (
	MethodStart  = "record.start"
	MethodFinish = "record.finish"
	MethodAbort  = "record.abort"
	MethodCopy   = "record.copy"
)

// Methods lists all methods that a holder serves.
var Methods = []string{MethodStart, MethodFinish, MethodAbort, MethodCopy}

// FinishRequest stores the response of a Running attempt. The reply is empty.
type FinishRequest struct {
	ID          ID            `msgpack:"i"`
	Attempt     Attempt       `msgpack:"a"`
	Fingerprint uint64        `msgpack:"p"`
	FirstSent   int64         `msgpack:"f"`
	Retention   time.Duration `msgpack:"r"`
	Holders     [][]string    `msgpack:"h"`
	Response    Response      `msgpack:"w"`
}

// AbortRequest makes a holder refuse an attempt from now on.
type AbortRequest struct {
	ID        ID            `msgpack:"i"`
	Attempt   Attempt       `msgpack:"a"`
	FirstSent int64         `msgpack:"f"`
	Retention time.Duration `msgpack:"r"`
	Holders   [][]string    `msgpack:"h"`
	// Promise asks a holder that did not grant the attempt to promise that it
	// never will; a holder that stores the attempt keeps it. Without Promise, the
	// attempt is aborted and the holder removes it.
	Promise bool `msgpack:"q"`
}

// AbortReply is the reply to an AbortRequest.
type AbortReply struct {
	// Refused is set in the reply to a request with Promise when the holder is
	// ready, does not store the attempt and will never grant it.
	Refused bool  `msgpack:"r"`
	Proof   Proof `msgpack:"p"`
}

// CopyRequest requests a page of the records that the sender must hold too.
type CopyRequest struct {
	// Incarnation is the Unix time in ms at which the sender started.
	Incarnation int64  `msgpack:"i"`
	Cursor      Cursor `msgpack:"c"`
}

// Cursor is a position in the records of a holder. The zero value is the
// position of the first record.
type Cursor struct {
	// Minute is an expiry in Unix minutes, Index a position among the records
	// that expire in it.
	Minute int64 `msgpack:"m"`
	Index  int   `msgpack:"i"`
}

// CopyReply is one page of records.
type CopyReply struct {
	// Incarnation is the Unix time in ms at which the holder started.
	Incarnation int64 `msgpack:"i"`
	// CompleteFrom is the lowest FirstSent from which on the holder knows every ID
	// that it or its predecessors stored.
	CompleteFrom int64          `msgpack:"a"`
	Records      []CopiedRecord `msgpack:"r"`
	Next         Cursor         `msgpack:"n"`
	Done         bool           `msgpack:"d"`
	// HolderIncarnations maps other holders to the latest incarnation that the holder knows of.
	HolderIncarnations map[string]int64 `msgpack:"s"`
}

// CopiedRecord is the record that one holder has of an ID.
type CopiedRecord struct {
	ID ID `msgpack:"i"`
	// Unfinished are the attempts without a response.
	Unfinished []StoredAttempt `msgpack:"h"`
	// Finished is the attempt that has a response; Response is the encoded
	// response.
	Finished *StoredAttempt `msgpack:"f"`
	Response []byte         `msgpack:"w"`
	// Aborted are the aborted attempts, Refused those that the holder promised to
	// refuse. Neither is ever granted.
	Aborted []Attempt `msgpack:"d"`
	Refused []Attempt `msgpack:"r"`
	// FirstSent and ExpiresAt are Unix times in ms.
	FirstSent int64 `msgpack:"s"`
	ExpiresAt int64 `msgpack:"e"`
	// Holders are the joined holder sets of the ID.
	Holders string `msgpack:"o"`
}

// StoredAttempt is an attempt with the fingerprint of its request.
type StoredAttempt struct {
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
