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

// encodeFrames returns the wire encoding of frames.
func encodeFrames(frames ...frame) []byte {
	e := newEncoder()
	for _, f := range frames {
		e.append(&f)
	}
	return e.buf.Bytes()
}

// Guards against frames that do not decode to what was encoded, and against
// panics and large allocations on malformed frames. The corpus is in
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
		f.Add(encodeFrames(seed)[lengthPrefix:])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := newDecoder().decode(data)
		if err != nil {
			return
		}
		again, err := newDecoder().decode(encodeFrames(got)[lengthPrefix:])
		if err != nil || fmt.Sprintf("%v", again) != fmt.Sprintf("%v", got) {
			t.Fatalf("%v encodes to %v, %v", got, again, err)
		}
	})
}

// Guards against sequences of frames that cause a panic, block, or make either
// side keep memory for messages after the connection ended.
func FuzzConnection(f *testing.F) {
	body := []byte("body")
	open := frame{Type: frameOpen, Stream: 1, Number: 4, Name: "m"}
	data := frame{Type: frameData, Stream: 1, Body: body}
	end := frame{Type: frameClose, Stream: 1, Number: 4, Sum: xxhash.Sum64(body)}
	large := frame{Type: frameOpen, Stream: 2, Number: 1 << 20, Name: "control"}
	f.Add(false, encodeFrames(open, data, end, frame{Type: frameCancel, Stream: 1}))
	f.Add(false, encodeFrames(large, frame{Type: frameCredit, Stream: 2}, frame{Type: frameCancel, Stream: 2}, frame{Type: framePing}))
	f.Add(true, encodeFrames(frame{Type: frameResponse, Stream: 1, Number: 4}, data, end))
	f.Add(true, encodeFrames(frame{Type: frameCredit, Stream: 2, Number: 9}, frame{Type: frameFail, Stream: 1, Name: "no_owner"}))
	f.Add(true, encodeFrames(frame{Type: frameResponse, Stream: 2, Number: 1 << 20}, frame{Type: frameFail, Stream: 2}))
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
			_, _ = c.startCall(context.Background(), "m", make([]byte, 3*ChunkSize))
			_, _ = c.startCall(context.Background(), "m", nil)
			c.collectBatch(newEncoder())
		}
		c.closeWithError(c.readLoop(bufio.NewReader(bytes.NewReader(data))))
		_ = n.Close()
		if c.budget.used != 0 || len(c.budget.queue) != 0 || len(c.calls)+len(c.serverStreams)+c.inFlight != 0 {
			t.Errorf("after the connection ended: %d bytes reserved, %d messages queued, %d calls, %d streams", c.budget.used, len(c.budget.queue), len(c.calls), len(c.serverStreams))
		}
	})
}
