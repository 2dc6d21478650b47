package callers

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// BodyReader reads request bodies within the memory that all requests of a process may
// take together. It is safe for concurrent use.
type BodyReader struct {
	memory *Memory
	// connections, if set, are those of the requests. Bodies that arrive slowly are then
	// refused in favour of later ones.
	connections *Connections
}

// NewBodies returns a BodyReader for a VM with the given memory in bytes; 0 means no
// limit.
func NewBodies(memory int64) *BodyReader { return NewBodyReader(NewMemory(memory), nil) }

// NewBodyReader returns a BodyReader that shares memory with others. If connections is not
// nil, it is that of the server whose requests are read.
func NewBodyReader(memory *Memory, connections *Connections) *BodyReader {
	return &BodyReader{memory: memory, connections: connections}
}

// Body is the body of a request.
type Body struct {
	Bytes  []byte
	reader *BodyReader
	// tracked is the connection on which the body is received; nil if it isn't tracked. Then
	// reserved and refused are guarded by the mutex of the Connections.
	tracked *connection
	// reserved is the number of bytes reserved from the memory.
	reserved int64
	// refused is true once the body was refused because of later requests.
	refused bool
}

// Release returns the memory reserved for the body, which must not be used
// afterwards.
func (b *Body) Release() {
	if b.reader != nil {
		b.reader.release(b)
		b.reader, b.Bytes = nil, nil
	}
}

// Reserve reserves n more bytes until Release, for what is made of the body. It reports
// whether the memory was available.
func (b *Body) Reserve(n int64) bool { return b.reader == nil || b.reader.reserve(b, n) }

// memoryPerValue is the estimated memory in bytes of a decoded value or of its name.
const memoryPerValue = 100

// ReserveDecoded reserves an estimate of the memory that is needed to decode the body as JSON
// and to use the result.
func (b *Body) ReserveDecoded() bool {
	values := bytes.Count(b.Bytes, []byte{','}) + bytes.Count(b.Bytes, []byte{':'})
	return b.Reserve(int64(len(b.Bytes)) + int64(values)*memoryPerValue)
}

const (
	// minReservation is the number of bytes that are reserved at first for a body of
	// unknown length.
	minReservation = 16 << 10
	// fullReservation is the announced length up to which the whole body is reserved at
	// once. The reservation of other bodies doubles as they grow.
	fullReservation = 64 << 10
)

// nextReservation returns how much is reserved for a body of which have bytes were received
// and whose announced length is length, -1 if unknown.
func nextReservation(have, length int64) int64 {
	if length < 0 {
		return max(minReservation, have)
	}
	return min(max(fullReservation, have), length-have)
}

// Read checks the head of a request against the limits and reads its body within
// the timeout. The kinds of the returned errors are:
//   - HeadTooLarge and BodyTooLarge: a limit is exceeded
//   - CallerTooSlow: the body did not arrive within the timeout
//   - Overloaded: other requests take the available memory, or need it while this body
//     arrives slowly
//   - BadRequest: the connection broke or the body is malformed
//
// The returned Body must be released.
func (b *BodyReader) Read(w http.ResponseWriter, r *http.Request, limits Limits, timeout time.Duration) (*Body, *errkind.Error) {
	if size := headBytes(r); size > limits.HeadBytes {
		return nil, errkind.New(errkind.HeadTooLarge, "the head has %d bytes, %d are allowed", size, limits.HeadBytes)
	}
	if r.ContentLength > limits.BodyBytes {
		// The body is not read, and would be parsed as the next request.
		w.Header().Set("Connection", "close")
		return nil, errkind.New(errkind.BodyTooLarge, "the body has %d bytes, %d are allowed", r.ContentLength, limits.BodyBytes)
	}
	if r.ContentLength == 0 {
		return &Body{}, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, errkind.Wrap(errkind.BadRequest, err, "the connection is closed")
	}
	body := b.begin(r)
	failure := body.receive(http.MaxBytesReader(w, r.Body, limits.BodyBytes), r.ContentLength)
	if !b.end(body) && failure == nil {
		failure = errReplaced()
	}
	if failure != nil {
		body.Release()
		w.Header().Set("Connection", "close")
		return nil, failure
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		body.Release()
		return nil, errkind.Wrap(errkind.BadRequest, err, "the connection is closed")
	}
	return body, nil
}

// errReplaced is the failure of a body that was refused because of later requests.
func errReplaced() *errkind.Error {
	return errkind.New(errkind.Overloaded, "the body arrives slowly, and later requests need its memory or its connection")
}

// receive reads a body of the announced length; -1 means that the length is unknown.
func (b *Body) receive(from io.Reader, length int64) *errkind.Error {
	widened := false
	defer func() {
		if widened {
			b.reader.narrow(b)
		}
	}()
	for {
		n := nextReservation(int64(len(b.Bytes)), length)
		if !widened && int64(len(b.Bytes))+n > fullReservation {
			widened = b.reader.widen(b)
		}
		if !b.reader.reserve(b, n) {
			return errkind.New(errkind.Overloaded, "other requests take the available memory of this VM")
		}
		b.grow(n)
		err := b.fill(from)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil && b.reader.refused(b):
			return errReplaced()
		case err != nil:
			return readError(err)
		}
	}
}

// grow enlarges the buffer by n bytes.
func (b *Body) grow(n int64) {
	// The additional byte lets fill reach the end of a body of the announced length
	// without a further reservation.
	grown := make([]byte, len(b.Bytes), int64(len(b.Bytes))+n+1)
	copy(grown, b.Bytes)
	b.Bytes = grown
}

// fill reads until the buffer is full. It returns io.EOF at the end of the body.
func (b *Body) fill(from io.Reader) error {
	for len(b.Bytes) < cap(b.Bytes) {
		n, err := from.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if err != nil {
			return err
		}
	}
	return nil
}

// readError maps an error of a body's reader to an error kind.
func readError(err error) *errkind.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.BodyTooLarge, "the body has more than %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.New(errkind.CallerTooSlow, "the body did not arrive in time")
	}
	return errkind.Wrap(errkind.BadRequest, err, "the body cannot be read")
}
