package record

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
)

// script runs one session and writes its events to the golden log.
type script struct {
	t      *testing.T
	c      *cluster
	names  []string
	sent   BeginRequest
	log    *bytes.Buffer
	vms    map[string]*Coordinator
	fenced bool
}

func (s *script) event(format string, args ...any) {
	fmt.Fprintf(s.log, "  "+format+"\n", args...)
}

// send begins the request on a dispatcher.
func (s *script) send(vm string) *Running {
	r, result := begin(s.vms[vm], s.sent)
	s.event("%s sends: %s", vm, result)
	return r
}

// lookup looks up the request on a dispatcher without starting an attempt.
func (s *script) lookup(vm string) {
	found, err := s.vms[vm].Lookup(context.Background(), s.sent)
	switch {
	case err != nil:
		s.event("%s looks up: %s (%s)", vm, err.Kind, err.Outcome())
	case found == nil:
		s.event("%s looks up: no attempt", vm)
	default:
		s.event("%s looks up: started, answered: %v", vm, found.Response != nil)
	}
}

// finish finishes an attempt and waits until its background deliveries have ended.
func (s *script) finish(r *Running, body string) {
	r.Finish(context.Background(), Response{Status: 200, Body: []byte(body)})
	r.session.coordinator.Wait(context.Background())
	s.event("%s finishes", r.attempt.VM)
}

// dropCalls makes the network lose the starts that vm sends to the holders. With
// killed, it also loses all calls of vm to any holder that are not starts.
func (s *script) dropCalls(vm string, killed bool, holders ...string) {
	previous := s.c.inject
	inject := func(from, to, method string, payload []byte) fault {
		if from == vm && (method == MethodStart && slices.Contains(holders, to) || killed && method != MethodStart) {
			return fault{loseRequest: true}
		}
		if previous != nil {
			return previous(from, to, method, payload)
		}
		return fault{}
	}
	s.c.set(func() { s.c.inject = inject })
}

func (s *script) down(holders ...string) {
	for _, name := range holders {
		s.c.set(func() { s.c.down[name] = true })
	}
	s.event("lost: %v", holders)
}

func (s *script) restart(name string, recover bool) {
	s.c.restart(name)
	s.event("%s restarts empty", name)
	if recover {
		s.event("%s recovers: %v", name, s.c.recover(name, s.names))
	}
}

// sessions cover the failure points that the table in docs/design.md lists, and
// failures of single mechanisms.
var sessions = []struct {
	name    string
	holders int
	run     func(s *script)
}{
	{"dispatcher killed before quorum", 3, func(s *script) {
		s.dropCalls("d1", true, "h2", "h3")
		s.send("d1")
		s.send("d2")
	}},
	{"two dispatchers killed before quorum", 3, func(s *script) {
		s.dropCalls("d1", true, "h2", "h3")
		s.dropCalls("d2", true, "h3")
		s.send("d1")
		s.send("d2")
		s.send("d3")
		s.fenced = true
		s.event("d1 and d2 are fenced")
		s.send("d3")
	}},
	{"dispatcher killed after start, answer arrives late", 3, func(s *script) {
		r := s.send("d1")
		s.send("d2")
		s.fenced = true
		s.send("d2")
		s.finish(r, "late")
		s.send("d2")
	}},
	{"one holder of three lost, then two", 3, func(s *script) {
		s.down("h1")
		s.finish(s.send("d1"), "posted")
		s.send("d2")
		s.down("h2")
		s.send("d2")
		s.sent.ID.Key = "dues-2"
		s.send("d2")
	}},
	{"two holders of five lost, then three", 5, func(s *script) {
		s.down("h1", "h2")
		s.finish(s.send("d1"), "posted")
		s.send("d2")
		s.down("h3")
		s.sent.ID.Key = "dues-2"
		s.send("d2")
	}},
	{"two holders lost after the start", 3, func(s *script) {
		s.dropCalls("d1", false, "h3")
		s.send("d1")
		s.restart("h1", false)
		s.restart("h2", false)
		s.fenced = true
		s.send("d2")
	}},
	{"holder restarted empty", 3, func(s *script) {
		s.dropCalls("d1", false, "h3")
		s.send("d1")
		s.down("h2")
		s.restart("h1", false)
		s.send("d2")
		s.sent.ID.Key = "dues-2"
		time.Sleep(2 * ClockAllowance)
		s.sent.FirstSent = time.Now().UnixMilli()
		s.send("d2")
	}},
	{"second loss right after a repair", 3, func(s *script) {
		s.dropCalls("d1", false, "h3")
		r := s.send("d1")
		s.restart("h1", true)
		s.restart("h2", true)
		s.fenced = true
		s.send("d2")
		s.finish(r, "posted")
		s.restart("h3", true)
		s.send("d2")
	}},
	{"abort lost", 3, func(s *script) {
		s.dropCalls("d1", true, "h2", "h3")
		s.dropCalls("d2", false, "h2")
		s.send("d1")
		s.send("d2")
		s.down("h2")
		s.fenced = true
		s.send("d3")
		s.c.set(func() { s.c.down["h2"] = false })
		s.event("h2 is up again with its records")
		s.send("d3")
	}},
	{"start arrives after the abort", 3, func(s *script) {
		s.c.inject = func(from, to, method string, _ []byte) fault {
			if from == "d1" && method == MethodStart {
				return fault{delay: 5 * time.Second}
			}
			return fault{}
		}
		s.send("d1")
		time.Sleep(10 * time.Second)
		for _, name := range s.names {
			reply := s.c.stores[name].start(time.Now().UnixMilli(), StartRequest{
				ID: s.sent.ID, Fingerprint: s.sent.Fingerprint, FirstSent: s.sent.FirstSent,
				Retention: s.sent.Retention, Query: true,
			})
			s.event("%s stores: %s", name, reply.State)
		}
		s.send("d2")
	}},
	{"full store", 3, func(s *script) {
		for _, store := range s.c.stores {
			store.maxBytes = entryBytes * 3 / 2
		}
		s.finish(s.send("d1"), string(make([]byte, entryBytes)))
		first := s.sent.ID
		s.sent.ID.Key = "dues-2"
		s.send("d1")
		s.sent.ID = first
		s.send("d1")
		time.Sleep(testRetention + ClockAllowance + 2*time.Minute)
		s.event("the retention ends")
		for _, store := range s.c.stores {
			store.Sweep(time.Now().UnixMilli())
		}
		s.sent.ID.Key = "dues-3"
		s.sent.FirstSent = time.Now().UnixMilli()
		s.send("d1")
	}},
	{"expired id, then a longer retention", 3, func(s *script) {
		s.finish(s.send("d1"), "posted")
		time.Sleep(testRetention + ClockAllowance + 2*time.Minute)
		for _, store := range s.c.stores {
			store.Sweep(time.Now().UnixMilli())
		}
		s.send("d1")
		s.sent.Retention = 2 * testRetention
		s.event("the retention is doubled")
		s.send("d1")
		s.sent.FirstSent = time.Now().UnixMilli() + 31_000
		s.send("d1")
	}},
	{"id reused with another body", 3, func(s *script) {
		s.send("d1")
		s.sent.Fingerprint++
		s.send("d2")
	}},
	{"answer too large to keep", 3, func(s *script) {
		s.finish(s.send("d1"), string(make([]byte, MaxResponseBytes+1)))
		s.send("d1")
	}},
	{"holder set changed", 6, func(s *script) {
		s.sent.HolderSets = [][]string{s.names[:3]}
		r := s.send("d1")
		s.sent.HolderSets = [][]string{s.names[3:], s.names[:3]}
		s.fenced = true
		s.send("d2")
		s.finish(r, "posted")
		s.send("d2")
		s.sent.ID.Key = "dues-2"
		s.send("d2")
		s.sent.HolderSets = [][]string{s.names[3:]}
		s.send("d1")
	}},
	{"target refused before running", 3, func(s *script) {
		r := s.send("d1")
		s.sent.NoWait = true
		start := time.Now()
		s.send("d2")
		s.event("d2 waited %v", time.Since(start) > 10*time.Millisecond)
		s.lookup("d2")
		time.AfterFunc(time.Second, func() { r.Abort(context.Background()) })
		response, err := s.vms["d2"].Await(context.Background(), s.sent)
		s.event("d1 aborts, d2 awaits: %v %v", response, err)
		s.lookup("d2")
		s.send("d2")
	}},
	{"look-up beside a minority", 3, func(s *script) {
		s.dropCalls("d1", true, "h2", "h3")
		s.send("d1")
		s.lookup("d2")
		s.finish(s.send("d2"), "posted")
		s.lookup("d2")
		s.down("h1", "h2")
		s.sent.ID.Key = "dues-2"
		s.lookup("d2")
	}},
}

// TestSessions guards against a second run, a wrong outcome or a lost response
// after each of the failures that the design lists.
func TestSessions(t *testing.T) {
	var log bytes.Buffer
	for _, session := range sessions {
		fmt.Fprintf(&log, "%s\n", session.name)
		synctest.Test(t, func(t *testing.T) {
			c, names := newCluster(session.holders)
			script := &script{t: t, c: c, names: names, sent: request(names), log: &log}
			script.vms = make(map[string]*Coordinator)
			for _, vm := range []string{"d1", "d2", "d3"} {
				script.vms[vm] = NewCoordinator(vm, 1, c.from(vm))
				script.vms[vm].SetFenced(func(string, uint64) bool { return script.fenced })
			}
			session.run(script)
			time.Sleep(time.Minute) // lets background deliveries end
		})
	}
	goldie.New(t).Assert(t, "sessions", log.Bytes())
}

// TestDuplicatesRunOnce guards against two dispatchers that both run a request,
// or that block each other, when retries of it arrive at the same time.
func TestDuplicatesRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for try := range 20 {
			c, names := newCluster(5)
			b := request(names)
			results := make(chan string, 3)
			for _, vm := range []string{"d1", "d2", "d3"} {
				go func() {
					r, s := begin(NewCoordinator(vm, uint64(try), c.from(vm)), b)
					if r != nil {
						r.Finish(context.Background(), Response{Status: 200, Body: []byte("posted")})
					}
					results <- s
				}()
			}
			got := make(map[string]int)
			for range 3 {
				got[<-results]++
			}
			if got["running"] != 1 || got[`answer 200 "posted"`] != 2 {
				t.Fatalf("try %d: got %v", try, got)
			}
			time.Sleep(time.Minute)
		}
	})
}
