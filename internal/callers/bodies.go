package callers

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// BodyReader reads request bodies and limits the memory that the bodies of all
// requests in progress take together. It is safe for concurrent use.
type BodyReader struct {
	mu sync.Mutex
	// available is the number of bytes that may still be reserved.
	available int64
}

// bodyMemoryFraction is the fraction of a VM's memory that request bodies may
// take. On a VM with 184 MB, it allows one body of the largest size that
// configurations allow, 64 MiB, and leaves the rest to the process.
const bodyMemoryFraction = 0.4

// NewBodies returns a BodyReader for a VM with the given memory in bytes; 0 means no
// limit.
func NewBodies(memory int64) *BodyReader {
	if memory <= 0 {
		return &BodyReader{available: 1 << 62}
	}
	return &BodyReader{available: BodyMemory(memory)}
}

// BodyMemory returns how many bytes of a VM's memory the bodies of all requests in
// progress may take together.
func BodyMemory(memory int64) int64 { return int64(bodyMemoryFraction * float64(memory)) }

func (b *BodyReader) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < n {
		return false
	}
	b.available -= n
	return true
}

func (b *BodyReader) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += n
}

// Body is the body of a request.
type Body struct {
	Bytes []byte
	// reserved is the number of bytes reserved from bodies.
	reserved int64
	bodies   *BodyReader
}

// Release returns the memory reserved for the body, which must not be used
// afterwards.
func (b *Body) Release() {
	if b.bodies != nil {
		b.bodies.release(b.reserved)
		b.bodies, b.Bytes = nil, nil
	}
}

// initialReservation is the number of bytes that are reserved at first for a body
// of unknown length; the reservation doubles as the body grows.
const initialReservation = 16 << 10

// Read checks the head of a request against the limits and reads its body within
// the timeout. The kinds of the returned errors are:
//   - HeadTooLarge and BodyTooLarge: a limit is exceeded
//   - CallerTooSlow: the body did not arrive within the timeout
//   - Overloaded: the bodies of other requests take the available memory
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
	body, failure := b.read(http.MaxBytesReader(w, r.Body, limits.BodyBytes), r.ContentLength)
	if failure != nil {
		w.Header().Set("Connection", "close")
		return nil, failure
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		body.Release()
		return nil, errkind.Wrap(errkind.BadRequest, err, "the connection is closed")
	}
	return body, nil
}

// read reads a body of the announced length; -1 means that the length is unknown.
func (b *BodyReader) read(from io.Reader, length int64) (*Body, *errkind.Error) {
	body := &Body{bodies: b}
	if length < 0 {
		length = initialReservation
	}
	for {
		if !body.grow(length) {
			body.Release()
			return nil, errkind.New(errkind.Overloaded, "the bodies of other requests take the available memory of this VM")
		}
		err := body.fill(from)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			body.Release()
			return nil, readError(err)
		}
		length = int64(len(body.Bytes))
	}
}

// grow reserves n more bytes and enlarges the buffer. It reports whether the
// memory was available.
func (b *Body) grow(n int64) bool {
	if !b.bodies.reserve(n) {
		return false
	}
	b.reserved += n
	// The additional byte lets fill reach the end of a body of the announced length
	// without a further reservation.
	grown := make([]byte, len(b.Bytes), b.reserved+1)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return true
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
