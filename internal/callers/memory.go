package callers

import "sync/atomic"

// Memory bounds the bytes that the requests of clients take together in a process, over all
// its listeners. It is safe for concurrent use.
type Memory struct {
	// limit is the bound; 0 means no limit.
	limit int64
	used  atomic.Int64
}

// requestMemoryFraction is the fraction of a VM's memory that requests may take. On a VM
// with 184 MB, it allows one body of the largest size that configurations allow, 64 MiB,
// and leaves the rest to the process.
const requestMemoryFraction = 0.4

// NewMemory returns the Memory of a VM with some memory in bytes; 0 means no limit.
func NewMemory(memory int64) *Memory { return &Memory{limit: max(0, RequestMemory(memory))} }

// RequestMemory returns how many bytes of a VM's memory the requests in progress may take
// together.
func RequestMemory(memory int64) int64 { return int64(requestMemoryFraction * float64(memory)) }

// Reserve reports whether n more bytes may be used, and counts them if so.
func (m *Memory) Reserve(n int64) bool {
	if used := m.used.Add(n); m.limit > 0 && used > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

// Release returns n bytes that were reserved.
func (m *Memory) Release(n int64) { m.used.Add(-n) }

// Used returns the number of reserved bytes.
func (m *Memory) Used() int64 { return m.used.Load() }
