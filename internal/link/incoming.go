package link

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// incoming is a message being received. Its fields are guarded by the
// connection's mutex.
type incoming struct {
	stream uint64
	class  Class
	total  uint64
	// granted is the offset up to which the peer may send.
	granted uint64
	// reserved is set while the budget holds the message's space, queued while the
	// message is in the budget's queue.
	reserved bool
	queued   bool
	buf      []byte
	digest   *xxhash.Digest
}

func newIncoming(stream uint64, class Class, total uint64) *incoming {
	return &incoming{
		stream: stream, class: class, total: total, granted: min(total, ChunkSize),
		digest: xxhash.New(),
	}
}

// appendChunk appends the chunk at offset. It drops a chunk that was received
// before.
func (m *incoming) appendChunk(offset uint64, body []byte) error {
	have := uint64(len(m.buf))
	end := offset + uint64(len(body))
	if len(body) == 0 || end < offset || end > m.granted {
		return fmt.Errorf("%w: data beyond the credit", errOutOfState)
	}
	if end <= have {
		return nil
	}
	if offset != have {
		return fmt.Errorf("%w: data at %d, expected %d", errOutOfState, offset, have)
	}
	if m.buf == nil {
		m.buf = make([]byte, 0, min(m.total, ChunkSize))
	}
	m.buf = append(m.buf, body...)
	_, _ = m.digest.Write(body)
	return nil
}

// close checks the length and checksum of the close frame against the received
// bytes.
func (m *incoming) close(total, sum uint64) error {
	if total != m.total || uint64(len(m.buf)) != m.total {
		return fmt.Errorf("%w: closed at %d of %d bytes", errOutOfState, len(m.buf), m.total)
	}
	if sum != m.digest.Sum64() {
		return errChecksum
	}
	return nil
}

// receiveBudget bounds the memory of the messages being received concurrently.
// Space for the whole length of a message is reserved before the peer gets
// credit beyond its first chunk, so partially received messages cannot deadlock
// each other.
type receiveBudget struct {
	used, limit uint64
	queue       []*incoming
}

// enqueue queues a message of more than one chunk until admit reserves its
// space.
func (b *receiveBudget) enqueue(m *incoming) {
	if m.total <= ChunkSize {
		return
	}
	m.queued = true
	b.queue = append(b.queue, m)
}

// admit reserves space for the queued messages that fit and returns them in
// queue order. It admits a message larger than the limit if no other space is
// reserved.
func (b *receiveBudget) admit() []*incoming {
	var admitted []*incoming
	for len(b.queue) > 0 {
		m := b.queue[0]
		if b.used > 0 && b.used+m.total > b.limit {
			break
		}
		b.queue = b.queue[1:]
		m.queued = false
		m.reserved = true
		b.used += m.total
		m.buf = slices.Grow(m.buf, int(m.total)-len(m.buf))
		admitted = append(admitted, m)
	}
	return admitted
}

// release removes a message that was received or cancelled from the queue and
// releases its space.
func (b *receiveBudget) release(m *incoming) {
	if m.queued {
		m.queued = false
		i := slices.Index(b.queue, m)
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	if m.reserved {
		m.reserved = false
		b.used -= m.total
	}
}

// nextCredit raises the granted limit and returns it, or returns 0 if no credit
// is due.
func (m *incoming) nextCredit() uint64 {
	if !m.reserved || m.granted == m.total {
		return 0
	}
	have := uint64(len(m.buf))
	if m.granted-have > streamWindow/2 {
		return 0
	}
	m.granted = min(m.total, have+streamWindow)
	return m.granted
}
