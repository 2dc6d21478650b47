package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

const (
	// stabilityWindow is the time after the third crash in which a crashing request
	// may still be sent on; the requirement sets it for the smallest deployments.
	stabilityWindow = 3 * time.Second
	// allowedSends is the number of attempts that may reach targets after it.
	allowedSends = 3
	// crashedFor is how long a target takes to start again after a crash.
	crashedFor = time.Second
)

// crashSite is a gateway with targets that crash on requests with a given body. Each
// is back after crashedFor, as another incarnation with another address.
type crashSite struct {
	*testbed
	mu sync.Mutex
	// crashes holds the time of each crash, and sends that of each arrival of the
	// crashing request.
	crashes, sends []time.Duration
	started        int
}

const crashBody = "crash"

func newCrashSite(t *testing.T, targets int) *crashSite {
	t.Helper()
	s := &crashSite{testbed: newTestbed(t)}
	for i := range targets {
		s.start(t, i)
	}
	return s
}

// start starts the target in a slot and announces it to the gateway.
func (s *crashSite) start(t *testing.T, slot int) {
	var server *httptest.Server
	var once sync.Once
	server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			w.Header().Set("X-Target", r.Header.Get("X-Target"))
			return
		}
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		body := make([]byte, len(crashBody))
		n, _ := r.Body.Read(body)
		if string(body[:n]) != crashBody {
			signed(w, r)
			return
		}
		s.mu.Lock()
		s.sends = append(s.sends, s.g.now())
		s.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		once.Do(func() {
			s.mu.Lock()
			s.crashes = append(s.crashes, s.g.now())
			s.mu.Unlock()
			_ = server.Listener.Close()
			time.AfterFunc(crashedFor, func() {
				if t.Context().Err() == nil {
					s.start(t, slot)
				}
			})
		})
		go server.CloseClientConnections()
		panic(http.ErrAbortHandler)
	}))
	server.Start()
	t.Cleanup(server.Close)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	s.put(fleet.Delta{Targets: []fleet.Target{{
		Incarnation: fleet.Incarnation{ID: fmt.Sprint("t", slot), StartMs: int64(s.started)}, Service: "s",
		Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "d", Slots: 4,
	}}})
}

// sendCopies sends copies of the crashing request at intervals: each as request
// makes it for the number of the round and of the copy.
func (s *crashSite) sendCopies(copies int, interval, length time.Duration, request func(round, copy int) *Request) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var all sync.WaitGroup
	for round := 0; ctx.Err() == nil; round++ {
		for i := range copies {
			all.Go(func() { s.g.Serve(context.Background(), request(round, i)) })
		}
		time.Sleep(interval)
	}
	all.Wait()
}

// crashRequest returns a copy of the crashing request.
func crashRequest(round, copy int) *Request {
	id := fmt.Sprintf("c%d-%d", round, copy)
	return &Request{
		ID: id, Caller: "10.0.0.1", Method: http.MethodGet, URI: "/read/x", Path: "/read/x", Host: "h", RouteHost: "h",
		Header: http.Header{"X-Id": []string{id}}, Body: []byte(crashBody), HasBody: true, Key: NoKey,
	}
}

// lateSends returns how often the crashing request was sent later than
// stabilityWindow after the third crash.
func (s *crashSite) lateSends() (late, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < crashesBeforeRefusal {
		return 0, len(s.sends)
	}
	limit := s.crashes[crashesBeforeRefusal-1] + stabilityWindow
	for _, at := range s.sends {
		if at > limit {
			late++
		}
	}
	return late, len(s.sends)
}

// Guards against a crashing request that is sent on for ever because its copies crash
// so many targets at once that the entry takes the crashes for a broken path.
func TestRequestThatCrashesManyTargetsAtOnceIsRefused(t *testing.T) {
	for _, c := range []struct {
		targets, copies int
		interval        time.Duration
	}{{8, 1, 100 * time.Millisecond}, {8, 4, 200 * time.Millisecond}, {12, 8, 300 * time.Millisecond}, {12, 12, 400 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d targets, %d copies", c.targets, c.copies), func(t *testing.T) {
			t.Parallel()
			s := newCrashSite(t, c.targets)
			s.sendCopies(c.copies, c.interval, stabilityWindow+4*time.Second, crashRequest)
			if late, all := s.lateSends(); late > allowedSends {
				t.Errorf("%d of %d sends are late, want %d at most", late, all, allowedSends)
			}
		})
	}
}

// Guards against a crashing request that is sent on for ever because the caller
// reaches the entry VMs from several addresses or changes the query.
func TestCrashingRequestIsKnownUnderOtherAddressesAndQueries(t *testing.T) {
	for name, change := range map[string]func(r *Request, n int){
		"addresses": func(r *Request, n int) { r.Caller = fmt.Sprint("10.0.0.", n) },
		"queries":   func(r *Request, n int) { r.URI += fmt.Sprint("?page=", n) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCrashSite(t, 8)
			s.sendCopies(1, 200*time.Millisecond, stabilityWindow+4*time.Second, func(round, copy int) *Request {
				r := crashRequest(round, copy)
				change(r, round)
				return r
			})
			if late, all := s.lateSends(); late > allowedSends {
				t.Errorf("%d of %d sends are late, want %d at most", late, all, allowedSends)
			}
		})
	}
}

// Guards against the refusal of a read that is sent all the time because many targets
// crashed at once while they ran it.
func TestPopularRequestOutlivesTheLossOfManyTargets(t *testing.T) {
	s := newCrashSite(t, 8)
	read := func(round, copy int) *Request {
		r := crashRequest(round, copy)
		r.Body = []byte("sound")
		return r
	}
	for i := range 8 {
		s.g.Serve(context.Background(), read(0, i))
	}
	fingerprints := read(0, 0).fingerprints()
	for i := range uint64(8) {
		p := processOf(fleet.Incarnation{ID: fmt.Sprint("t", i), StartMs: 99})
		s.g.crashes.Lost(s.g.now(), p, fingerprints)
		s.g.crashes.Ended(s.g.now(), p)
	}
	for i := range 8 {
		if r := s.g.Serve(context.Background(), read(1, i)); r.Err != nil {
			t.Errorf("got %v, want an answer", r.Err)
		}
	}
}

// Guards against a crashing request that an entry VM sends for another one that does
// not know it yet.
func TestRelayedCrashingRequestIsRefused(t *testing.T) {
	b := newTestbed(t, newTarget(t, signed))
	req := crashRequest(0, 0)
	for i := range uint64(crashesBeforeRefusal) {
		gone := processOf(fleet.Incarnation{ID: "gone", StartMs: int64(i)})
		b.g.crashes.Lost(b.g.now(), gone, req.fingerprints())
		b.g.crashes.Ended(b.g.now(), gone)
	}
	item, _ := b.g.view.Load().Match("h", "/read/x")
	reply := b.g.serveRelayed(context.Background(), &relayRequest{
		ID: req.ID, Method: req.Method, URI: req.URI, Path: req.Path, Host: req.Host, RouteHost: req.RouteHost, Caller: req.Caller,
		Header: req.Header, Body: req.Body, HasBody: true, Key: NoKey, RouteName: item.Name, Route: *item.Route, Service: "s", Left: time.Second,
	})
	if reply.Kind != errkind.KnownCrasher {
		t.Errorf("got %+v, want a refusal", reply)
	}
}

// Guards against a refusal that the log doesn't explain because the copies of the
// request have other queries.
func TestRefusalUnderAnotherQueryIsLogged(t *testing.T) {
	b := newTestbed(t)
	handler := memory.New()
	b.g.cfg.Logger = &log.Logger{Handler: handler, Level: log.InfoLevel}
	for i := range int64(crashesBeforeRefusal) {
		req := crashRequest(0, 0)
		req.URI += fmt.Sprint("?page=", i)
		p := processOf(fleet.Incarnation{ID: "t", StartMs: i})
		b.g.crashes.Lost(b.g.now(), p, req.fingerprints())
		b.g.targetCrashed(p, evidenceReplaced)
	}
	if last := handler.Entries[len(handler.Entries)-1]; last.Message != "request crashes targets" {
		t.Errorf("the last line is %q", last.Message)
	}
}
