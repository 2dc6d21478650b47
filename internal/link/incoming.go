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
	granted  uint64
	reserved bool
	waiting  bool
	buf      []byte
	digest   *xxhash.Digest
}

func newIncoming(stream uint64, class Class, total uint64) *incoming {
	return &incoming{
		stream: stream, class: class, total: total, granted: min(total, ChunkSize),
		digest: xxhash.New(),
	}
}

// data adds one chunk. A chunk that arrived before is dropped.
func (m *incoming) data(offset uint64, body []byte) error {
	have := uint64(len(m.buf))
	end := offset + uint64(len(body))
	if len(body) == 0 || end < offset || end > m.granted {
		return fmt.Errorf("%w: data beyond its credit", errOutOfState)
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

// close checks the closing frame against what arrived.
func (m *incoming) close(total, sum uint64) error {
	if total != m.total || uint64(len(m.buf)) != m.total {
		return fmt.Errorf("%w: closed at %d of %d bytes", errOutOfState, len(m.buf), m.total)
	}
	if sum != m.digest.Sum64() {
		return errChecksum
	}
	return nil
}

// budget bounds the memory of the messages that are received at once. A
// message is given room for its whole length before it receives credit beyond
// its first chunk, so messages cannot block each other half received.
type budget struct {
	used, limit uint64
	queue       []*incoming
}

// begin reserves room for a message or queues it.
func (b *budget) begin(m *incoming) {
	if m.total <= ChunkSize {
		return
	}
	m.waiting = true
	b.queue = append(b.queue, m)
}

// admit returns the queued messages that now have room, in their order.
func (b *budget) admit() []*incoming {
	var admitted []*incoming
	for len(b.queue) > 0 {
		m := b.queue[0]
		if b.used > 0 && b.used+m.total > b.limit {
			break
		}
		b.queue = b.queue[1:]
		m.waiting = false
		m.reserved = true
		b.used += m.total
		m.buf = slices.Grow(m.buf, int(m.total)-len(m.buf))
		admitted = append(admitted, m)
	}
	return admitted
}

// end gives back the room of a message that was received or given up.
func (b *budget) end(m *incoming) {
	if m.waiting {
		m.waiting = false
		i := slices.Index(b.queue, m)
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	if m.reserved {
		m.reserved = false
		b.used -= m.total
	}
}

// credit returns the next limit to grant, or 0 when none is due.
func (m *incoming) credit() uint64 {
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
