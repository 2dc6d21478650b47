package link

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// outgoing is a message being sent: a request, a one-way message or an answer.
// Its fields are guarded by the connection's mutex.
type outgoing struct {
	class Class
	// stream is 0 until the first byte was handed to the connection.
	stream uint64
	// call is the caller's side; nil for one-way messages and answers.
	call     *call
	answer   bool
	method   string
	deadline time.Time
	payload  []byte
	// fail replaces an answer's payload.
	fail *frame

	begun  bool
	offset int
	limit  uint64
	digest *xxhash.Digest
	queued bool
	done   bool
	// finished runs once, under the connection's mutex, after the last frame
	// was encoded.
	finished func()
}

// ready reports whether the message can send a frame now.
func (o *outgoing) ready() bool {
	if !o.begun || o.offset == len(o.payload) {
		return true
	}
	return uint64(o.offset) < o.limit
}

// ring is a queue of messages that take turns.
type ring struct{ items []*outgoing }

func (r *ring) push(o *outgoing) {
	o.queued = true
	r.items = append(r.items, o)
}

// pop returns the next message that is not done, or nil.
func (r *ring) pop() *outgoing {
	for len(r.items) > 0 {
		o := r.items[0]
		r.items[0] = nil
		r.items = r.items[1:]
		o.queued = false
		if !o.done {
			return o
		}
	}
	return nil
}

// scheduler decides which frame is sent next: control frames first, then the
// messages in turns of at most one chunk.
type scheduler struct {
	control []frame
	rings   [classes]ring
	// turns counts the priority turns since the last turn of the others.
	turns int
}

// enqueue lets a message take part in the turns if it can send something.
func (s *scheduler) enqueue(o *outgoing) {
	if o.done || o.queued || !o.ready() {
		return
	}
	s.rings[o.class].push(o)
}

// next returns the message whose turn it is, or nil.
func (s *scheduler) next() *outgoing {
	if s.turns < priorityTurns {
		if o := s.rings[Control].pop(); o != nil {
			s.turns++
			return o
		}
	}
	s.turns = 0
	if o := s.rings[Traffic].pop(); o != nil {
		return o
	}
	return s.rings[Control].pop()
}

func (s *scheduler) empty() bool {
	return len(s.control) == 0 && len(s.rings[Control].items) == 0 && len(s.rings[Traffic].items) == 0
}

// turn encodes the frames of one turn of a message: its beginning, one chunk
// and its end as far as they are due. emit encodes one frame.
func (o *outgoing) turn(now time.Time, emit func(frame)) {
	if o.fail != nil {
		emit(*o.fail)
		o.done = true
		return
	}
	if !o.begun {
		o.begin(now, emit)
	}
	o.chunk(emit)
	if o.offset < len(o.payload) {
		return
	}
	emit(frame{Type: frameClose, Stream: o.stream, Number: uint64(len(o.payload)), Sum: o.digest.Sum64()})
	o.done = true
}

func (o *outgoing) begin(now time.Time, emit func(frame)) {
	o.begun = true
	o.digest = xxhash.New()
	o.limit = min(uint64(len(o.payload)), ChunkSize)
	f := frame{Type: frameAnswer, Stream: o.stream, Number: uint64(len(o.payload))}
	if !o.answer {
		f.Type = frameOpen
		f.Name = o.method
		f.Remaining = remaining(now, o.deadline)
		if o.call == nil {
			f.OneWay = 1
		}
	}
	emit(f)
}

func (o *outgoing) chunk(emit func(frame)) {
	n := min(len(o.payload)-o.offset, ChunkSize, int(o.limit)-o.offset)
	if n <= 0 {
		return
	}
	body := o.payload[o.offset : o.offset+n]
	emit(frame{Type: frameData, Stream: o.stream, Number: uint64(o.offset), Body: body})
	_, _ = o.digest.Write(body)
	o.offset += n
}

// remaining returns the time to the deadline in microseconds, at least 1, or 0
// when there is no deadline.
func remaining(now, deadline time.Time) uint64 {
	if deadline.IsZero() {
		return 0
	}
	return uint64(max(deadline.Sub(now).Microseconds(), 1))
}
