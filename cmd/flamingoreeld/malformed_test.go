package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/link"
	"github.com/flamingoreel/flamingoreel/internal/registry"
	"github.com/flamingoreel/flamingoreel/internal/watch"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

const (
	// malformedNetwork is the third octet of the VMs' addresses.
	malformedNetwork = 12
	// malformedRounds is how often each message is sent, each time with other
	// random changes.
	malformedRounds = 60
)

// stackTrace matches the head of a stack trace, and no line about a busy goroutine.
var stackTrace = regexp.MustCompile(`goroutine \d+ \[`)

// Guards against a malformed message that crashes a process; covers every listener
// of both roles.
func TestMalformedMessagesDoNotCrashProcesses(t *testing.T) {
	s := newDeployment(t, malformedNetwork, 1)
	for i := range 2 {
		startPlatformTarget(t, &platformTarget{id: fmt.Sprint("ledger-", i), service: "ledger", zone: "z1", controls: s.controls})
		startPlatformTarget(t, &platformTarget{id: fmt.Sprint("reports-", i), service: "reports", zone: "z1", sharded: true, controls: s.controls})
	}
	s.callAny("config.patch", "", firstItems)
	s.awaitReady()
	rng := rand.New(rand.NewPCG(1, 1))
	s.sendBytes(rng)
	s.sendCalls(rng)
	s.sendFrames(t, rng)
	for name, cmd := range s.procs {
		if err := cmd.Process.Signal(syscall.Signal(0)); err != nil {
			t.Errorf("%s has ended: %v", name, err)
		}
		if data := s.log(name); strings.Contains(data, "panic") || stackTrace.MatchString(data) {
			t.Errorf("%s panicked", name)
		}
		for line := range strings.Lines(s.log(name)) {
			if strings.Contains(line, "membership changed") && (strings.Contains(line, "127.0.12.98") || strings.Contains(line, `learners=,`) || strings.Contains(line, `voters=,`)) {
				t.Errorf("%s added a member that did not introduce itself: %s", name, line)
			}
		}
	}
	id := 0
	s.eventually("a post and a key served after the malformed messages", 10*time.Second, func() bool {
		id++
		post, _ := s.request(0, "POST", "/post/x", fmt.Sprint("after-", id), "")
		pull, _ := s.request(0, "GET", "/pull/x", fmt.Sprint("pull-", id), "9")
		return post == 200 && pull == 200
	})
}

// mutate returns a copy of a message with random bytes changed, cut off or added.
func mutate(rng *rand.Rand, message []byte) []byte {
	changed := append([]byte(nil), message...)
	for range 1 + rng.IntN(4) {
		if len(changed) == 0 {
			break
		}
		at := rng.IntN(len(changed))
		switch rng.IntN(4) {
		case 0:
			changed[at] = byte(rng.Uint32())
		case 1:
			changed = changed[:at]
		case 2:
			changed = append(changed[:at:at], append([]byte{byte(rng.Uint32()), 0xff, 0}, changed[at:]...)...)
		case 3:
			changed[at] ^= 1 << rng.IntN(8)
		}
	}
	return changed
}

// sendBytes sends malformed HTTP requests to every address.
func (s *deployment) sendBytes(rng *rand.Rand) {
	request := []byte("POST /post/x HTTP/1.1\r\nHost: a.example\r\nFlamingoreel-Request-Id: m\r\nFlamingoreel-Deadline-Ms: 100\r\n" +
		"Flamingoreel-Shard-Key: 99999999999\r\nContent-Length: 4\r\n\r\ndues")
	var addrs []string
	addrs = append(append(append(append(addrs, s.controls...), s.entries...), s.ready...), s.links...)
	for _, addr := range addrs {
		for range malformedRounds {
			c, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				s.t.Errorf("%s does not accept connections: %v", addr, err)
				return
			}
			_ = c.SetDeadline(time.Now().Add(100 * time.Millisecond))
			// The peer may have closed the connection.
			_, _ = c.Write(mutate(rng, request))
			_, _ = io.ReadFull(c, make([]byte, 10))
			_ = c.Close()
		}
	}
}

// sendCalls sends mutated heartbeats, configuration changes and other calls to the
// control VMs. A mutated call that is still valid may be accepted, so the messages
// name only targets and routes that the rest of the test does not use.
func (s *deployment) sendCalls(rng *rand.Rand) {
	heartbeat := `{"service":"reports","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":4,"state":"ready","cold_left":"0ms","seq_no":%d,"born":7,` +
		`"holds":[[0,4095,7],[-5,70000,18446744073709551615],[9,3,1]],"released":[[4096,8191,"x"],[70000,-1,"y"]]}`
	patch := `{"upsert":{"routes":{"m":{"hostname":"m.example","path_prefix":"/m/","kind":"safe","timeout":"3s","target_latency":"800ms","service":"ledger","max_attempts":2,"version":"00000002"}}}}`
	for i := range malformedRounds {
		control := s.controls[i%len(s.controls)]
		callControl(control, "instances.heartbeat", "stranger", []byte(fmt.Sprintf(heartbeat, i+1)))
		callControl(control, "instances.heartbeat", "stranger", mutate(rng, []byte(fmt.Sprintf(heartbeat, i+1))))
		callControl(control, "config.patch", "", mutate(rng, []byte(patch)))
		callControl(control, "instances.leave", "stranger", mutate(rng, []byte(`{"born":7}`)))
		callControl(control, "evacuations.start", "%zz", mutate(rng, []byte("{}")))
	}
}

// sendFrames sends messages over the links between VMs, with mutated bytes and with
// values that no VM sends.
func (s *deployment) sendFrames(t *testing.T, rng *rand.Rand) {
	port := freePort(t)
	self := fmt.Sprintf("127.0.%d.99:%d", malformedNetwork, port)
	node, err := link.Listen(watch.LinkConfig(self, 1, &log.Logger{Handler: discard.New()}))
	if err != nil {
		t.Fatal(err)
	}
	node.Serve()
	defer func() { _ = node.Close() }()
	outOfRange := fleet.Incarnation{ID: "wild", StartMs: math.MaxInt64}
	values := map[string][]any{
		watch.MethodWatch: {
			&watch.Request{Entry: self, Revision: math.MaxUint64, Wait: math.MinInt64, Samples: []registry.Samples{outOfRangeSamples(outOfRange)}},
			&watch.Request{Entry: "", Wait: math.MaxInt64},
		},
		"sample": {[]registry.Samples{outOfRangeSamples(outOfRange)}, []registry.Samples{{Service: "unknown", Keys: []int{-1}}}},
		"beat": {map[string]any{"b": registry.Heartbeat{
			Target: fleet.Target{Incarnation: outOfRange, Service: "reports", Address: "", Slots: math.MinInt, Condition: fleet.Ready, ColdFor: math.MinInt64},
			Seq:    math.MaxInt64, Held: []registry.Range{{From: -9, To: 1 << 40}}, Released: []registry.Released{{From: 1 << 40, To: -1}},
		}}},
		"hello":             {map[string]any{"w": 1}, map[string]any{}, map[string]any{"p": watch.Peer{Addr: "127.0.12.98:9"}, "r": "stranger"}},
		watch.MethodReplica: {map[string]any{"t": 255}, []int{1, 2, 3}},
	}
	for i, addr := range s.links {
		node.SetPeer(addr, addr)
		if i < len(s.controls) {
			s.eventually("a watch answered by "+addr, 2*time.Second, func() bool {
				payload, err := wire.Marshal(&watch.Request{Entry: self})
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err = node.Call(ctx, addr, watch.MethodWatch, payload)
				return err == nil
			})
		}
		for method, messages := range values {
			for _, message := range messages {
				payload, err := wire.Marshal(message)
				if err != nil {
					t.Fatal(err)
				}
				for round := range malformedRounds {
					sent := payload
					if round > 0 {
						sent = mutate(rng, payload)
					}
					ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
					// Most of these calls fail; the VM must only keep running.
					_, _ = node.Call(ctx, addr, method, sent)
					cancel()
				}
			}
		}
	}
}

// outOfRangeSamples returns samples with values that no request has.
func outOfRangeSamples(target fleet.Incarnation) registry.Samples {
	s := registry.Samples{Service: "reports", ServiceTimes: []registry.ServiceTime{
		{Target: target, Mean: math.MinInt64, Count: math.MinInt}, {Target: target, Mean: math.MaxInt64, Count: math.MaxInt}, {Mean: 0},
	}}
	for i := range 200 {
		s.Keys = append(s.Keys, -i, math.MaxInt-i, fleet.MaxKey+i)
	}
	return s
}
