package callers

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
)

// readConn is a connection on which bytes arrive.
type readConn struct {
	net.Conn
	arrived bytes.Buffer
}

// Read implements net.Conn.
func (c *readConn) Read(p []byte) (int, error) { return c.arrived.Read(p) }

// Guards against the buffer of a long head that stays in memory while its connection is
// idle, where nothing counts it.
func TestIdleConnectionsHoldNoLongHeads(t *testing.T) {
	const conns, headSize = 50, 500 << 10
	inUse := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	limit := func() int64 { return MaxHeadBytes }
	readers := make([]*headReader, conns)
	before := inUse()
	for i := range readers {
		c := &readConn{}
		c.arrived.WriteString("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", headSize) + "\r\n\r\n")
		readers[i] = newHeadReader(c)
		if _, err := readers[i].read(limit, func(bool) {}); err != nil {
			t.Fatal(err)
		}
		if _, err := readers[i].read(limit, func(bool) {}); err != io.EOF {
			t.Fatalf("got %v behind the last request", err)
		}
		c.arrived = bytes.Buffer{}
	}
	if held := inUse() - before; held > conns*4*readBufferBytes {
		t.Errorf("%d idle connections hold %d bytes after heads of %d bytes", conns, held, headSize)
	}
	runtime.KeepAlive(readers)
}
