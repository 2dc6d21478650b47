package link

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// encoded returns frames as they are sent.
func encoded(frames ...frame) []byte {
	e := newEncoder()
	for _, f := range frames {
		e.append(&f)
	}
	return e.buf.Bytes()
}

// Guards against frames that decode to something else than was encoded, and
// against panics or large allocations on damaged frames. The corpus is in
// testdata/fuzz.
func FuzzDecode(f *testing.F) {
	for _, seed := range []frame{
		{Type: frameHello, Number: 1, Name: "zdbs", From: "a", To: "b"},
		{Type: frameOpen, Stream: 1, Number: 7, Remaining: 9, Name: "m"},
		{Type: frameData, Stream: 1 << 40, Number: 3, Body: []byte("body")},
		{Type: frameClose, Stream: 1, Number: 7, Sum: 1<<64 - 1},
		{Type: frameFail, Stream: 1, Name: "no_owner", Text: "none"},
		{Type: framePing},
	} {
		f.Add(encoded(seed)[lengthPrefix:])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := newDecoder().decode(data)
		if err != nil {
			return
		}
		again, err := newDecoder().decode(encoded(got)[lengthPrefix:])
		if err != nil || fmt.Sprintf("%v", again) != fmt.Sprintf("%v", got) {
			t.Fatalf("%v encodes to %v, %v", got, again, err)
		}
	})
}

// Guards against a sequence of frames that panics, blocks or makes either side
// keep memory for messages after the connection ended.
func FuzzConnection(f *testing.F) {
	body := []byte("body")
	open := frame{Type: frameOpen, Stream: 1, Number: 4, Name: "m"}
	data := frame{Type: frameData, Stream: 1, Body: body}
	end := frame{Type: frameClose, Stream: 1, Number: 4, Sum: xxhash.Sum64(body)}
	large := frame{Type: frameOpen, Stream: 2, Number: 1 << 20, Name: "control"}
	f.Add(false, encoded(open, data, end, frame{Type: frameCancel, Stream: 1}))
	f.Add(false, encoded(large, frame{Type: frameCredit, Stream: 2}, frame{Type: frameCancel, Stream: 2}, frame{Type: framePing}))
	f.Add(true, encoded(frame{Type: frameAnswer, Stream: 1, Number: 4}, data, end))
	f.Add(true, encoded(frame{Type: frameCredit, Stream: 2, Number: 9}, frame{Type: frameFail, Stream: 1, Name: "no_owner"}))
	f.Add(true, encoded(frame{Type: frameAnswer, Stream: 2, Number: 1 << 20}, frame{Type: frameFail, Stream: 2}))
	f.Fuzz(func(t *testing.T, dialed bool, data []byte) {
		n, err := Listen(Config{Cluster: "zdbs", Name: "a", Listener: &memListener{done: make(chan struct{})}})
		if err != nil {
			t.Fatal(err)
		}
		n.Handle("m", echo)
		n.SetPeer("b", "b")
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		c := newConn(n, n.lookup("b"), near, dialed)
		if dialed {
			_, _ = c.start(context.Background(), "m", make([]byte, 3*ChunkSize))
			_, _ = c.start(context.Background(), "m", nil)
			c.collect(newEncoder())
		}
		c.fail(c.read(bufio.NewReader(bytes.NewReader(data))))
		_ = n.Close()
		if c.budget.used != 0 || len(c.budget.queue) != 0 || len(c.calls)+len(c.served)+c.inFlight != 0 {
			t.Errorf("after the end: %d bytes, %d waiting, %d calls, %d served", c.budget.used, len(c.budget.queue), len(c.calls), len(c.served))
		}
	})
}
