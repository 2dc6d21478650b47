package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/placement"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// testDialect defines the headers of the test targets.
type testDialect struct{}

func (testDialect) Prepare(h http.Header, left time.Duration, target string) {
	h.Set("X-Left", left.String())
	h.Set("X-Target", target)
}

func (testDialect) Read(r *upstream.Response) ResponseInfo {
	pause, _ := time.ParseDuration(r.Header.Get("X-Pause"))
	rate, err := strconv.ParseFloat(r.Header.Get("X-Limit"), 64)
	return ResponseInfo{
		Limit:   placement.Limit{Named: err == nil, Rate: rate},
		Leaving: testLeaving(r), Pause: pause, RequestID: r.Header.Get("X-Id"), FromTarget: r.Header.Get("X-Signed") != "", NotRun: r.Header.Get("X-Not-Run") != "",
		Misdirected: r.Status == http.StatusMisdirectedRequest, Target: r.Header.Get("X-Target"),
	}
}

// testTarget records the IDs of the requests that it receives.
type testTarget struct {
	server *httptest.Server
	mu     sync.Mutex
	ids    []string
}

func (f *testTarget) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ids)
}

func newTarget(t testing.TB, answer http.HandlerFunc) *testTarget {
	f := &testTarget{}
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			w.Header().Set("X-Target", r.Host)
			return
		}
		f.mu.Lock()
		f.ids = append(f.ids, r.Header.Get("X-Id"))
		f.mu.Unlock()
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		answer(w, r)
	}))
	t.Cleanup(f.server.Close)
	return f
}

func signed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signed", "1")
	_, _ = fmt.Fprint(w, "answer")
}

func refused(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func broken(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

// testbed is a gateway with targets of one service and one route of each kind.
type testbed struct {
	t     testing.TB
	g     *Gateway
	index uint64
}

func newTestbed(t *testing.T, targets ...*testTarget) *testbed {
	t.Helper()
	return newTestbedAt(t, nil, targets...)
}

// newTestbedAt returns a testbed whose gateway reads the time from now; nil stands
// for its own clock.
func newTestbedAt(t *testing.T, now func() time.Duration, targets ...*testTarget) *testbed {
	t.Helper()
	g, err := New(Config{
		Addr: "127.0.0.1:0", Region: "r", DataCentre: "d", Regions: map[string]string{"d": "r", "far": "q"},
		Dialect: testDialect{}, ColdFactor: 1, RetryRatio: 0.2, RetrySlack: 14, Seed: 1,
		Logger: &log.Logger{Handler: discard.New()}, now: now,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	b := &testbed{t: t, g: g}
	var list []fleet.Target
	for i, f := range targets {
		list = append(list, fleet.Target{
			Incarnation: fleet.Incarnation{ID: fmt.Sprint("t", i), StartMs: 1}, Service: "s",
			Address: strings.TrimPrefix(f.server.URL, "http://"), DataCentre: "d", Slots: 4,
		})
	}
	route := func(name string, kind items.Kind, allowedRegions ...string) items.Item {
		return items.Item{Key: items.Key{Collection: items.Routes, Name: name}, Version: 1, Route: &items.Route{
			Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 400 * time.Millisecond, LatencyObjective: 200 * time.Millisecond,
			Split: []items.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2, AllowedRegions: allowedRegions,
		}}
	}
	b.put(fleet.Delta{Targets: list, Items: []items.Item{
		{Key: items.Key{Collection: items.Services, Name: "s"}, Version: 1, Service: &items.Service{HealthPath: "/health"}},
		route("read", items.Safe), route("post", items.Unsafe), route("download", items.Download), route("home", items.Unsafe, "q"),
	}})
	return b
}

func (b *testbed) put(d fleet.Delta) {
	d.From = b.index
	b.index++
	d.To = b.index
	b.g.applyAnswer(watch.Answer{Delta: d}, b.g.now())
}

func (b *testbed) serve(path, id string) Result {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	b.t.Cleanup(cancel)
	return b.g.Serve(ctx, &Request{
		ID: id, Method: "GET", URI: path, Path: path, Host: "h", RouteHost: "h", Header: http.Header{"X-Id": {id}}, Key: NoKey,
	})
}

func wantKind(t *testing.T, r Result, kind errkind.Kind) {
	t.Helper()
	if r.Err == nil || r.Err.Kind != kind {
		t.Errorf("got %+v, want %s", r, kind)
	}
}

// Guards against a post that runs twice because its connection broke.
func TestPostIsNotRetriedAfterABrokenConnection(t *testing.T) {
	first, second := newTarget(t, broken), newTarget(t, broken)
	b := newTestbed(t, first, second)
	r := b.serve("/post/x", "1")
	wantKind(t, r, errkind.TargetLost)
	if got := first.count() + second.count(); got != 1 {
		t.Errorf("the post reached targets %d times, want once", got)
	}
	if r.RetryAfter != 0 {
		t.Error("the caller of a post that may have run was told to retry")
	}
}

// Guards against a download that fails because the connection to one target
// broke.
func TestDownloadIsRetriedAfterABrokenConnection(t *testing.T) {
	lost := newTarget(t, broken)
	b := newTestbed(t, lost, newTarget(t, signed))
	for i := range 6 {
		if r := b.serve("/download/x", fmt.Sprint(i)); r.Err != nil || r.Response.Status != http.StatusOK {
			t.Fatalf("got %+v, want the response of the healthy target", r)
		}
	}
	if lost.count() == 0 {
		t.Error("no attempt was lost, so the test proves nothing")
	}
}

// Guards against a post that is not retried although it did not run.
func TestPostIsRetriedAfterARefusal(t *testing.T) {
	first, second := newTarget(t, refused), newTarget(t, signed)
	b := newTestbed(t, first, second)
	for i := range 4 {
		if r := b.serve("/post/x", fmt.Sprint(i)); r.Err != nil || r.Response.Status != http.StatusOK {
			t.Fatalf("got %+v, want the response of the target that has capacity", r)
		}
	}
}

// Guards against a reported refusal although an earlier attempt may have run.
func TestRefusalIsNotReportedAfterALostAttempt(t *testing.T) {
	lost, full := newTarget(t, broken), newTarget(t, refused)
	b := newTestbed(t, lost, full)
	for i := range 6 {
		before := lost.count()
		r := b.serve("/read/x", fmt.Sprint(i))
		if r.Err == nil {
			t.Fatal("a request succeeded although no target answered it")
		}
		if lost.count() > before && r.Err.Outcome() == errkind.NotRun {
			t.Errorf("got %v after an attempt that may have run", r.Err)
		}
	}
	if lost.count() == 0 {
		t.Error("no attempt was lost, so the test proves nothing")
	}
}

// Guards against the response to another request that reaches this caller.
func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	stray := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", "other")
		signed(w, r)
	})
	wantKind(t, newTestbed(t, stray).serve("/post/x", "1"), errkind.TargetLost)
}

// Guards against a success response that the target did not make.
func TestUnsignedSuccessIsDropped(t *testing.T) {
	plain := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "proxy page") })
	wantKind(t, newTestbed(t, plain).serve("/post/x", "1"), errkind.TargetLost)
}

// Guards against a read that waits for a slow target while another one is idle.
func TestSlowReadIsHedged(t *testing.T) {
	slow := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(2 * time.Second):
		}
	})
	fast := newTarget(t, signed)
	b := newTestbed(t, slow, fast)
	for i := range 4 {
		if r := b.serve("/read/x", fmt.Sprint(i)); r.Err != nil {
			t.Fatalf("got %v, want the response of the fast target", r.Err)
		}
	}
	if slow.count() == 0 {
		t.Error("the slow target was never tried, so nothing was hedged")
	}
}

// Guards against a request that lasts longer than the timeout of its route.
func TestTimeoutOfTheRouteEndsARequest(t *testing.T) {
	slow := newTarget(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	b := newTestbed(t, slow)
	start := time.Now()
	wantKind(t, b.serve("/post/x", "1"), errkind.AnswerTimeout)
	if took := time.Since(start); took > 600*time.Millisecond {
		t.Errorf("the request took %v, its route allows 400 ms", took)
	}
}

// Guards against requests that leave their allowed regions.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	target := newTarget(t, signed)
	wantKind(t, newTestbed(t, target).serve("/home/x", "1"), errkind.TargetUnreachable)
	if target.count() != 0 {
		t.Error("a target outside the allowed regions got the request")
	}
}

// Guards against requests to draining targets and to a data centre that is out.
func TestDrainingTargetsGetNoRequests(t *testing.T) {
	target := newTarget(t, signed)
	b := newTestbed(t, target)
	b.put(fleet.Delta{DataCentres: []fleet.DataCentre{{Name: "d", Out: true}}})
	wantKind(t, b.serve("/post/x", "1"), errkind.TargetUnreachable)
	e, _ := b.g.view.Load().Endpoint("t0")
	draining := e.Target
	draining.Condition = fleet.Draining
	b.put(fleet.Delta{DataCentres: []fleet.DataCentre{{Name: "d"}}, Targets: []fleet.Target{draining}})
	wantKind(t, b.serve("/post/x", "2"), errkind.TargetUnreachable)
	if target.count() != 0 {
		t.Error("a draining target or one in a data centre that is out got a request")
	}
}

// Guards against a 404 from a gateway that may not have received the newest
// routes.
func TestUnknownRouteNeedsAFreshState(t *testing.T) {
	b := newTestbed(t, newTarget(t, signed))
	wantKind(t, b.serve("/none/", "1"), errkind.UnknownRoute)
	b.g.stateTime.Store(int64(b.g.now() - 2*staleAfter))
	wantKind(t, b.serve("/none/", "2"), errkind.NoLease)
}

// Guards against a failed target that is used again before a health check
// passes.
func TestLostTargetReturnsAfterAHealthCheck(t *testing.T) {
	target := newTarget(t, signed)
	b := newTestbed(t, target)
	e, _ := b.g.view.Load().Endpoint("t0")
	moved := e.Target
	moved.Address = "127.0.0.1:1"
	b.put(fleet.Delta{Targets: []fleet.Target{moved}})
	wantKind(t, b.serve("/post/x", "1"), errkind.TargetUnreachable)
	b.g.mu.Lock()
	blocked := b.g.targetStates[e.Incarnation].Blocked(b.g.now() + time.Hour)
	b.g.mu.Unlock()
	if !blocked {
		t.Error("an unreachable target is tried again without a health check")
	}
}

// Guards against a split that differs from the weights over short spans.
func TestSplitFollowsWeights(t *testing.T) {
	s := new(split)
	shares := []items.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}
	counts := map[string]int{}
	for range 50 {
		counts[s.next(shares)]++
	}
	if counts["a"] != 45 || counts["b"] != 5 || counts["c"] != 0 {
		t.Errorf("got %v, want 45 to 5", counts)
	}
}

// Guards against a preference for some of the few targets of a small region,
// which would keep requests from the nearest target with capacity.
func TestAllTargetsOfASmallRegionArePreferred(t *testing.T) {
	b := newTestbed(t, newTarget(t, signed))
	b.g.cfg.Regions = map[string]string{"d": "r", "e": "r", "far": "q"}
	var delta fleet.Delta
	for i, dataCentre := range []string{"d", "e", "e", "far"} {
		delta.Targets = append(delta.Targets, fleet.Target{
			Incarnation: fleet.Incarnation{ID: fmt.Sprint("x", i), StartMs: 1}, Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: dataCentre, Slots: 4,
		})
	}
	b.put(delta)
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	preferred := b.g.subset(b.g.view.Load(), "s")
	if !preferred["t0"] || !preferred["x0"] || !preferred["x1"] || !preferred["x2"] || preferred["x3"] {
		t.Errorf("got %v, want all targets of the region", preferred)
	}
}

// Guards against treating a possibly outdated state as the newest.
func TestStateOfUnknownAgeIsNotFresh(t *testing.T) {
	b := newTestbed(t, newTarget(t, signed))
	b.g.stateTime.Store(0)
	b.g.applyAnswer(watch.Answer{Age: watch.UnknownAge}, b.g.now()+time.Hour)
	if b.g.stateTime.Load() != 0 {
		t.Error("an answer of unknown age counts as contact with the leader")
	}
}

// Guards against refused requests without a log line: on-call engineers find
// the cause by the request's ID.
func TestRefusalsBeforeRoutingAreLogged(t *testing.T) {
	b := newTestbed(t, newTarget(t, signed))
	logged := memory.New()
	b.g.cfg.Logger = &log.Logger{Handler: logged, Level: log.InfoLevel}
	b.serve("/none/", "lost-1")
	b.g.RefuseNew()
	b.serve("/post/x", "lost-2")
	outcomes := make(map[string]errkind.Kind)
	for _, entry := range logged.Entries {
		id, _ := entry.Fields.Get("request").(string)
		outcomes[id], _ = entry.Fields.Get("outcome").(errkind.Kind)
	}
	if outcomes["lost-1"] != errkind.UnknownRoute || outcomes["lost-2"] != errkind.Stopping {
		t.Errorf("the log has %v, want both requests with their outcome", outcomes)
	}
}
