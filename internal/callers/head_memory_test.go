package callers

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
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
		if _, err := readers[i].read(limit, func(head) {}, func(head) bool { return true }); err != nil {
			t.Fatal(err)
		}
		if _, err := readers[i].read(limit, func(head) {}, func(head) bool { return true }); err != io.EOF {
			t.Fatalf("got %v behind the last request", err)
		}
		c.arrived = bytes.Buffer{}
	}
	if held := inUse() - before; held > conns*4*readBufferBytes {
		t.Errorf("%d idle connections hold %d bytes after heads of %d bytes", conns, held, headSize)
	}
	runtime.KeepAlive(readers)
}

// Guards against a head that is buffered up to the limit behind a request in progress,
// where its memory doesn't count towards the bound.
func TestLongHeadsAreNotReadAhead(t *testing.T) {
	c := &readConn{}
	const size = 100 * readBufferBytes
	c.arrived.WriteString("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", size))
	r := newHeadReader(c)
	_, err := r.read(func() int64 { return MaxHeadBytes }, func(head) {}, func(head) bool { return false })
	if read := size - c.arrived.Len(); err != io.EOF || read > readBufferBytes || r.buf.Size() > readBufferBytes {
		t.Errorf("got %v after %d bytes in a buffer of %d", err, read, r.buf.Size())
	}
}

// Guards against many header lines that are parsed behind a request in progress or, if
// their head is incomplete, count as nothing once that request is complete.
func TestLongHeadsCountTowardsTheBound(t *testing.T) {
	h := &gatedHandler{t: t}
	conns := NewConnections()
	_, addr := startServer(t, h.serve, func(cfg *ServerConfig) { cfg.Connections = conns })
	c, r := connect(t, addr)
	lines := strings.Repeat("X: y\r\n", 300)
	send(t, c, getOf("/1"), "GET /2"+host+lines)
	h.await(eventTime, "start /1")
	send(t, c, "\r\n")
	h.awaitNot("start /2")
	counted := func() int64 {
		conns.mu.Lock()
		defer conns.mu.Unlock()
		return conns.roster.headMemory
	}
	h.release("/1")
	expect(t, r, "/1")
	h.await(eventTime, "start /2")
	if got := counted(); got < 200*memoryPerHeadLine {
		t.Errorf("the memory of a head of 300 lines counts as %d bytes while its request is served", got)
	}
	send(t, c, "GET /3"+host+lines)
	h.release("/2")
	expect(t, r, "/2")
	await(t, conns, reading, 1)
	for end := time.Now().Add(eventTime); counted() < 200*memoryPerHeadLine; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the memory of an unfinished head of 300 lines counts as %d bytes", counted())
		}
	}
}
