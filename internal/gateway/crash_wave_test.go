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

// sendCopies sends copies of the crashing request at intervals, and a sound request
// of the same caller beside them.
func (s *crashSite) sendCopies(t *testing.T, copies int, interval, length time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var all sync.WaitGroup
	for round := 0; ctx.Err() == nil; round++ {
		for i := range copies {
			all.Go(func() { s.sendBody(fmt.Sprintf("c%d-%d", round, i), "10.0.0.1", crashBody) })
		}
		time.Sleep(interval)
	}
	all.Wait()
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
			s.sendCopies(t, c.copies, c.interval, stabilityWindow+4*time.Second)
			if late, all := s.lateSends(); late > allowedSends {
				t.Errorf("%d of %d sends are late, want %d at most", late, all, allowedSends)
			}
		})
	}
}
