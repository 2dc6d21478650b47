package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// newCrashingTarget returns a target that stops as if it crashed when it
// receives a request with the given body.
func newCrashingTarget(t *testing.T, body string) *testTarget {
	var f *testTarget
	f = newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if got := make([]byte, len(body)); r.Body != nil {
			if n, _ := r.Body.Read(got); string(got[:n]) == body {
				_ = f.server.Listener.Close()
				f.server.CloseClientConnections()
				panic(http.ErrAbortHandler)
			}
		}
		signed(w, r)
	})
	return f
}

func (b *testbed) sendBody(id, caller, body string) Result {
	return b.g.Serve(context.Background(), &Request{
		ID: id, Caller: caller, Method: http.MethodGet, URI: "/read/x", Path: "/read/x", Host: "h", RouteHost: "h",
		Header: http.Header{"X-Id": []string{id}}, Body: []byte(body), HasBody: true, Key: NoKey,
	})
}

// Guards against a repeated request that crashes one target after another.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	var targets []*testTarget
	for range 8 {
		targets = append(targets, newCrashingTarget(t, "crash"))
	}
	b := newTestbed(t, targets...)
	crashed := func() (n int) {
		for _, f := range targets {
			n += f.count()
		}
		return n
	}
	refusedAt := 0
	for i := range 12 {
		r := b.sendBody(fmt.Sprint("c", i), "10.0.0.1", "crash")
		if r.Err == nil {
			t.Fatalf("the request was answered with status %d", r.Response.Status)
		}
		if r.Err.Kind == errkind.KnownCrasher {
			refusedAt = i
			break
		}
		time.Sleep(2 * (crashCheckDelay + crashCheckTimeout))
	}
	if n := crashed(); refusedAt == 0 || n > crashesBeforeRefusal+1 {
		t.Errorf("the request reached %d targets, want %d or one more", n, crashesBeforeRefusal)
	}
	for i, other := range []struct{ caller, body string }{{"10.0.0.1", "fine"}, {"10.0.0.2", "fine"}} {
		if r := b.sendBody(fmt.Sprint("o", i), other.caller, other.body); r.Err != nil {
			t.Errorf("another request of the route failed: %v", r.Err)
		}
	}
}

// crashesBeforeRefusal is the number of targets that one request may crash
// according to the requirements.
const crashesBeforeRefusal = 3

// Guards against the refusal of requests that targets lost for reasons other
// than a crash: full targets break connections but keep running.
func TestLostRequestsAreNotSuspected(t *testing.T) {
	b := newTestbed(t, newTarget(t, broken), newTarget(t, broken), newTarget(t, broken))
	for i := range 6 {
		r := b.sendBody(fmt.Sprint(i), "10.0.0.1", "x")
		if r.Err == nil || r.Err.Kind == errkind.KnownCrasher {
			t.Fatalf("request %d ended in %v", i, r.Err)
		}
		time.Sleep(crashCheckDelay)
	}
}

// Guards against the refusal of a request that other targets answered, because
// targets crashed while they ran it.
func TestAnsweredRequestIsNoLongerSuspected(t *testing.T) {
	b := newTestbed(t, newTarget(t, signed))
	fingerprints := (&Request{Caller: "10.0.0.1", Method: http.MethodGet, RouteHost: "h", URI: "/read/x", Path: "/read/x", Body: []byte("x")}).fingerprints()
	for i := range uint64(crashesBeforeRefusal - 1) {
		gone := admission.Process{Target: "gone", Incarnation: i}
		b.g.crashes.Lost(b.g.now(), gone, fingerprints)
		b.g.crashes.Ended(b.g.now(), gone)
	}
	if verdict := b.g.crashes.Judge(b.g.now(), fingerprints); verdict != admission.Suspected {
		t.Fatalf("the request is %v before it is answered", verdict)
	}
	if r := b.sendBody("1", "10.0.0.1", "x"); r.Err != nil {
		t.Fatal(r.Err)
	}
	if verdict := b.g.crashes.Judge(b.g.now(), fingerprints); verdict != admission.Sound {
		t.Errorf("the answered request is still %v", verdict)
	}
}

// Guards against entry VMs that do not learn from each other which requests
// crash targets.
func TestEntryRefusesCrashingRequestsReportedByOthers(t *testing.T) {
	answer := stateWith(0, 5)
	for i := range uint64(crashesBeforeRefusal) {
		answer.Suspicions = append(answer.Suspicions, admission.Suspicion{Fingerprint: 7, Target: "t", Incarnation: i})
	}
	g, err := New(Config{
		Addr: freeAddr(t), Region: "r", DataCentre: "d", Seeds: []string{startControl(t, answer)}, Dialect: testDialect{},
		Logger: &log.Logger{Handler: discard.New()},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	for end := time.Now().Add(5 * time.Second); !g.crashes.Refused(g.now(), 7); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the gateway does not refuse the request")
		}
	}
}
