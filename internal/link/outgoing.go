package link

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// outgoing is a message being sent: a request, a one-way message or a response.
// Its fields are guarded by the connection's mutex.
type outgoing struct {
	class Class
	// stream is the stream number. For a request or one-way message it is 0 until
	// the first frame is encoded; from then on bytes may be sent.
	stream uint64
	// call is the call of a request; nil for one-way messages and responses.
	call     *call
	response bool
	method   string
	deadline time.Time
	payload  []byte
	// failure is the fail frame that is sent instead of a response's payload.
	failure *frame

	begun       bool
	offset      int
	creditLimit uint64
	digest      *xxhash.Digest
	queued      bool
	done        bool
	// onSent is called once, under the connection's mutex, after the last frame is
	// encoded.
	onSent func()
}

// ready reports whether the message can send a frame now.
func (o *outgoing) ready() bool {
	if !o.begun || o.offset == len(o.payload) {
		return true
	}
	return uint64(o.offset) < o.creditLimit
}

// sendQueue is the queue of the messages of one class that can send a frame.
type sendQueue struct{ items []*outgoing }

// push appends a message to the queue.
func (q *sendQueue) push(o *outgoing) {
	o.queued = true
	q.items = append(q.items, o)
}

// pop removes and returns the next message that is not done, or nil.
func (q *sendQueue) pop() *outgoing {
	for len(q.items) > 0 {
		o := q.items[0]
		q.items[0] = nil
		q.items = q.items[1:]
		o.queued = false
		if !o.done {
			return o
		}
	}
	return nil
}

// scheduler selects the next frame to send: control frames first, then messages
// in round-robin order, at most one chunk per turn. Messages of the class
// Control get up to priorityTurns turns for each turn of the class Traffic.
type scheduler struct {
	control []frame
	queues  [classes]sendQueue
	// controlTurns counts the turns of Control messages since the last turn of a
	// Traffic message.
	controlTurns int
}

// enqueue adds a message to its queue if it can send a frame and is not queued
// yet.
func (s *scheduler) enqueue(o *outgoing) {
	if o.done || o.queued || !o.ready() {
		return
	}
	s.queues[o.class].push(o)
}

// next removes and returns the message whose turn is next, or nil.
func (s *scheduler) next() *outgoing {
	if s.controlTurns < priorityTurns {
		if o := s.queues[Control].pop(); o != nil {
			s.controlTurns++
			return o
		}
	}
	s.controlTurns = 0
	if o := s.queues[Traffic].pop(); o != nil {
		return o
	}
	return s.queues[Control].pop()
}

func (s *scheduler) empty() bool {
	return len(s.control) == 0 && len(s.queues[Control].items) == 0 && len(s.queues[Traffic].items) == 0
}

// encodeTurn encodes the frames of one turn of a message: the open or response
// frame on the first turn, one chunk as far as there is credit, and the close
// frame after the last chunk, or only the fail frame. emit encodes one frame.
func (o *outgoing) encodeTurn(now time.Time, emit func(frame)) {
	if o.failure != nil {
		emit(*o.failure)
		o.done = true
		return
	}
	if !o.begun {
		o.encodeStart(now, emit)
	}
	o.encodeChunk(emit)
	if o.offset < len(o.payload) {
		return
	}
	emit(frame{Type: frameClose, Stream: o.stream, Number: uint64(len(o.payload)), Sum: o.digest.Sum64()})
	o.done = true
}

// encodeStart encodes the open or response frame.
func (o *outgoing) encodeStart(now time.Time, emit func(frame)) {
	o.begun = true
	o.digest = xxhash.New()
	o.creditLimit = min(uint64(len(o.payload)), ChunkSize)
	f := frame{Type: frameResponse, Stream: o.stream, Number: uint64(len(o.payload))}
	if !o.response {
		f.Type = frameOpen
		f.Name = o.method
		f.Remaining = remaining(now, o.deadline)
		if o.call == nil {
			f.OneWay = 1
		}
	}
	emit(f)
}

// encodeChunk encodes the next data frame, if the credit allows one.
func (o *outgoing) encodeChunk(emit func(frame)) {
	n := min(len(o.payload)-o.offset, ChunkSize, int(o.creditLimit)-o.offset)
	if n <= 0 {
		return
	}
	body := o.payload[o.offset : o.offset+n]
	emit(frame{Type: frameData, Stream: o.stream, Number: uint64(o.offset), Body: body})
	_, _ = o.digest.Write(body)
	o.offset += n
}

// remaining returns the time to the deadline in microseconds, at least 1, or 0
// if there is no deadline.
func remaining(now, deadline time.Time) uint64 {
	if deadline.IsZero() {
		return 0
	}
	return uint64(max(deadline.Sub(now).Microseconds(), 1))
}
