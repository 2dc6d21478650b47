package link

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sebdah/goldie/v2"
)

// transcript records the events that each actor of a session observed, in
// order.
type transcript struct {
	mu    sync.Mutex
	began time.Time
	lines map[string][]string
}

func (t *transcript) add(actor, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := time.Since(t.began).Milliseconds()
	t.lines[actor] = append(t.lines[actor], fmt.Sprintf("%5d ms  %s", at, fmt.Sprintf(format, args...)))
}

func (t *transcript) bytes() []byte {
	var b bytes.Buffer
	for _, a := range slices.Sorted(maps.Keys(t.lines)) {
		fmt.Fprintf(&b, "%s\n  %s\n", a, strings.Join(t.lines[a], "\n  "))
	}
	return b.Bytes()
}

func describe(f frame) string {
	names := [...]string{frameHello: "hello", frameOpen: "open", frameResponse: "response", frameData: "data",
		frameClose: "close", frameFail: "fail", frameCredit: "credit", frameCancel: "cancel", framePing: "ping"}
	return fmt.Sprintf("%s stream=%d number=%d remaining=%d name=%q bytes=%d",
		names[f.Type], f.Stream, f.Number, f.Remaining, f.Name, len(f.Body))
}

// scriptedPeer is a peer that sends and receives individual frames.
type scriptedPeer struct {
	nc     net.Conn
	log    *transcript
	frames chan frame
	mu     sync.Mutex
}

func (s *scriptedPeer) send(frames ...frame) {
	e := newEncoder()
	for _, f := range frames {
		e.append(&f)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.nc.Write(e.buf.Bytes())
}

// next returns the next frame other than a ping.
func (s *scriptedPeer) next() frame { return <-s.frames }

// read logs the received frames and responds to the hello.
func (s *scriptedPeer) read() {
	defer close(s.frames)
	r, d := bufio.NewReader(s.nc), newDecoder()
	for {
		body, err := readFrame(r, nil)
		if err != nil {
			s.log.add("peer", "connection ended")
			return
		}
		f, _ := d.decode(body)
		if f.Type == framePing {
			continue
		}
		s.log.add("peer", "%s", describe(f))
		if f.Type == frameHello {
			s.send(frame{Type: frameHello, Number: protocolVersion, Name: "zdbs", From: f.To, To: f.From})
			continue
		}
		s.frames <- f
	}
}

// ping keeps the connection alive until it ends.
func (s *scriptedPeer) ping(done <-chan struct{}) {
	for {
		select {
		case <-time.After(PingInterval):
			s.send(frame{Type: framePing})
		case <-done:
			return
		}
	}
}

// responseFrames returns the frames of a complete response.
func responseFrames(stream uint64, body []byte) []frame {
	return []frame{
		{Type: frameResponse, Stream: stream, Number: uint64(len(body))},
		{Type: frameData, Stream: stream, Body: body},
		{Type: frameClose, Stream: stream, Number: uint64(len(body)), Sum: xxhash.Sum64(body)},
	}
}

// runSession runs a node a and a scripted peer b in a synctest bubble and
// compares the transcript with the golden file. script runs for each connection
// to the peer, calls runs once on the node.
func runSession(t *testing.T, script func(s *scriptedPeer), calls func(n *Node, log *transcript)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		net.delay = func() time.Duration { return time.Millisecond }
		log := &transcript{began: time.Now(), lines: map[string][]string{}}
		l := net.listen("b")
		go func() {
			for {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				s := &scriptedPeer{nc: nc, log: log, frames: make(chan frame, 99)}
				done := make(chan struct{})
				go func() { s.read(); close(done) }()
				go s.ping(done)
				go script(s)
			}
		}()
		n, _ := Listen(Config{Cluster: "zdbs", Name: "a", Listener: net.listen("a"), Dial: net.dial, Seed: 1, MaxMessage: 1 << 20})
		n.SetPeer("b", "b")
		n.Serve()
		calls(n, log)
		_ = n.Close()
		_ = l.Close()
		synctest.Wait()
		goldie.New(t).Assert(t, t.Name(), log.bytes())
	})
}

// callAndLog makes one call and logs its result.
func callAndLog(ctx context.Context, n *Node, log *transcript, name string, d time.Duration, payload []byte) {
	if d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	got, err := n.Call(ctx, "b", name, payload)
	log.add("call "+name, "%d bytes %.9q, kind %q", len(got), got, kindOf(err))
}

// Guards against a truncated response that is taken as complete, against a
// delay before the first reconnect and against later reconnects without a
// delay.
func TestSessionConnectionLostMidResponse(t *testing.T) {
	runSession(t, func(s *scriptedPeer) {
		if f := s.next(); f.Type == frameOpen {
			s.send(frame{Type: frameResponse, Stream: 1, Number: 9}, frame{Type: frameData, Stream: 1, Body: []byte("cut")})
			_ = s.nc.Close()
		}
	}, func(n *Node, log *transcript) {
		for i := range 3 {
			callAndLog(context.Background(), n, log, fmt.Sprint("cut", i), 0, nil)
		}
		time.Sleep(300 * time.Millisecond)
	})
}

// Guards against a late response that is delivered to a later call.
func TestSessionLateResponse(t *testing.T) {
	runSession(t, func(s *scriptedPeer) {
		s.next()
		time.Sleep(80 * time.Millisecond)
		s.send(responseFrames(1, []byte("late"))...)
		for f := range s.frames {
			if f.Type == frameOpen {
				s.send(responseFrames(f.Stream, []byte("in time"))...)
			}
		}
	}, func(n *Node, log *transcript) {
		callAndLog(context.Background(), n, log, "first", 50*time.Millisecond, nil)
		time.Sleep(5 * time.Millisecond)
		callAndLog(context.Background(), n, log, "second", 500*time.Millisecond, nil)
	})
}

// Guards against responses that are mixed up when their frames arrive
// interleaved, out of order or twice.
func TestSessionReorderedResponses(t *testing.T) {
	runSession(t, func(s *scriptedPeer) {
		byName := map[string]uint64{}
		for len(byName) < 2 {
			if f := s.next(); f.Type == frameOpen {
				byName[f.Name] = f.Stream
			}
		}
		one, two := responseFrames(byName["one"], []byte("answer one")), responseFrames(byName["two"], []byte("answer two"))
		s.send(two[0], one[0], two[1], two[1], one[1], two[2], two[2], two[1], one[2], one[1], one[0])
	}, func(n *Node, log *transcript) {
		var both sync.WaitGroup
		both.Go(func() { callAndLog(context.Background(), n, log, "one", 0, nil) })
		time.Sleep(20 * time.Millisecond)
		callAndLog(context.Background(), n, log, "two", 0, nil)
		both.Wait()
	})
}

// Guards against a cancelled call that the peer continues to process.
func TestSessionCancellation(t *testing.T) {
	runSession(t, func(s *scriptedPeer) {}, func(n *Node, log *transcript) {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		callAndLog(ctx, n, log, "cancelled", 0, make([]byte, 2*ChunkSize))
		time.Sleep(10 * time.Millisecond)
	})
}

// Guards against a sender that ignores the peer's credit, and against a large
// request that blocks a small one.
func TestSessionSlowReader(t *testing.T) {
	runSession(t, func(s *scriptedPeer) {
		s.next()
		for i := range uint64(3) {
			time.Sleep(50 * time.Millisecond)
			s.send(frame{Type: frameCredit, Stream: 1, Number: (i + 2) * ChunkSize})
		}
		time.Sleep(50 * time.Millisecond)
		s.send(append(responseFrames(2, []byte("small")), responseFrames(1, []byte("large"))...)...)
	}, func(n *Node, log *transcript) {
		var both sync.WaitGroup
		both.Go(func() { callAndLog(context.Background(), n, log, "large", 0, make([]byte, 4*ChunkSize)) })
		time.Sleep(20 * time.Millisecond)
		callAndLog(context.Background(), n, log, "small", 0, []byte("x"))
		both.Wait()
	})
}

// Guards against connections of unknown peers and invalid frames that are
// accepted, crash the node or are not counted.
func TestSessionBadConnections(t *testing.T) {
	hello := frame{Type: frameHello, Number: protocolVersion, Name: "zdbs", From: "b", To: "a"}
	with := func(change func(f *frame)) frame { f := hello; change(&f); return f }
	open := frame{Type: frameOpen, Stream: 5, Number: 3, Name: "m"}
	cases := []struct {
		name   string
		frames []frame
		raw    string
	}{
		{"other cluster", []frame{with(func(f *frame) { f.Name = "himal" })}, ""},
		{"unknown name", []frame{with(func(f *frame) { f.From = "x" })}, ""},
		{"own name", []frame{with(func(f *frame) { f.From = "a" })}, ""},
		{"meant for another", []frame{with(func(f *frame) { f.To = "c" })}, ""},
		{"other version", []frame{with(func(f *frame) { f.Number = 9 })}, ""},
		{"no hello", []frame{{Type: framePing}}, ""},
		{"garbage", nil, "GET / HTTP/1.1\r\n\r\n"},
		{"silent", nil, ""},
		{"oversized frame", []frame{hello}, "\xff\xff\xff\xff"},
		{"malformed frame", []frame{hello}, "\x00\x00\x00\x02\x91\x63"},
		{"stream opened twice", []frame{hello, open, open}, ""},
		{"unopened stream", []frame{hello, {Type: frameData, Stream: 1, Body: []byte("x")}}, ""},
		{"second hello", []frame{hello, hello}, ""},
		{"gap in data", []frame{hello, open, {Type: frameData, Stream: 5, Number: 1, Body: []byte("x")}}, ""},
		{"beyond credit", []frame{hello, open, {Type: frameData, Stream: 5, Body: []byte("long")}}, ""},
		{"offset overflow", []frame{hello, open, {Type: frameData, Stream: 5, Number: 1<<64 - 1, Body: []byte("xx")}}, ""},
		{"short message", []frame{hello, open, {Type: frameClose, Stream: 5, Number: 3}}, ""},
		{"wrong checksum", []frame{hello, open, {Type: frameData, Stream: 5, Body: []byte("abc")}, {Type: frameClose, Stream: 5, Number: 3}}, ""},
		{"huge message", []frame{hello, {Type: frameOpen, Stream: 1, Number: 1 << 40}}, ""},
		{"response from the dialing side", []frame{hello, open, {Type: frameResponse, Stream: 5}}, ""},
	}
	runSession(t, func(*scriptedPeer) {}, func(n *Node, log *transcript) {
		for _, c := range cases {
			nc, _ := n.cfg.Dial(context.Background(), "a")
			before := n.Stats().ClosedByReason
			go func() { _, _ = io.Copy(io.Discard, nc) }()
			(&scriptedPeer{nc: nc}).send(c.frames...)
			_, _ = nc.Write([]byte(c.raw))
			time.Sleep(2 * time.Second)
			_ = nc.Close()
			synctest.Wait()
			for reason, count := range n.Stats().ClosedByReason {
				if count > before[reason] {
					log.add("node", "%s: closed as %s", c.name, reason)
				}
			}
		}
	})
}
