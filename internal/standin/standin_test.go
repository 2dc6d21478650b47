package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/target"
)

// wholeRange is the slice of all keys, the only slice of most tests.
var wholeRange = contract.Slice{ID: 1, Service: "ledger", Hi: ^uint64(0)}

// start starts a warm target for a test.
func start(t *testing.T, change func(*Config)) *Target {
	t.Helper()
	cfg := Config{ID: "ledger-1", Service: "ledger", DataCentre: "lj-a", Incarnation: 7, ColdRequests: -1, ColdFactor: 1}
	if change != nil {
		change(&cfg)
	}
	target, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	return target
}

func call(t *testing.T, to *Target, path string, body, response any) int {
	t.Helper()
	data, _ := json.Marshal(body)
	resp, err := http.Post("http://"+to.Addr()+path, "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if response != nil {
		if err := json.NewDecoder(resp.Body).Decode(response); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode
}

// grant renews the grant of wholeRange for d from now.
func grant(t *testing.T, to *Target, epoch contract.Epoch, fence contract.Fence, d time.Duration) target.GrantReply {
	t.Helper()
	req := target.GrantRequest{Target: "ledger-1", Incarnation: to.Incarnation(), VM: "lj-a-1", Epoch: epoch}
	var rep target.GrantReply
	call(t, to, target.GrantPath, req, &rep)
	req.UntilMs = rep.ClockMs + d.Milliseconds()
	req.Slices = []target.GrantSlice{{Slice: wholeRange, Fence: fence}}
	call(t, to, target.GrantPath, req, &rep)
	return rep
}

// send sends one request. It returns the body and the reason of a refusal, or ""
// if the request ran.
func send(t *testing.T, to *Target, method, path string, epoch, fence int, extra map[string]string) (reason, body string) {
	t.Helper()
	req, _ := http.NewRequest(method, "http://"+to.Addr()+path, nil)
	req.Header.Set(target.HeaderTenant, "pd-celje")
	req.Header.Set(target.HeaderKey, "member-1")
	req.Header.Set(target.HeaderSlice, "1")
	req.Header.Set(target.HeaderEpoch, strconv.Itoa(epoch))
	req.Header.Set(target.HeaderFence, strconv.Itoa(fence))
	for name, value := range extra {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "connection lost", ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	if resp.Header.Get(target.HeaderOutcome) == string(errkind.NotRun) {
		return resp.Header.Get(target.HeaderErrorKind), string(data)
	}
	return "", string(data)
}

// A request under a lower fence or epoch, or without a grant, must not run: the
// target would be a second owner of the key.
func TestRequestWithoutGrantRefused(t *testing.T) {
	to := start(t, nil)
	check := func(epoch, fence int, want string) {
		t.Helper()
		if got, _ := send(t, to, "POST", "/", epoch, fence, nil); got != want {
			t.Errorf("epoch %d, fence %d: got %q, want %q", epoch, fence, got, want)
		}
	}
	check(1, 1, ReasonNoGrant)
	grant(t, to, 2, 5, contract.TargetGrant)
	check(1, 5, ReasonStaleEpoch)
	check(3, 5, ReasonNoGrant)
	check(2, 4, ReasonStaleFence)
	check(2, 6, ReasonNoGrant)
	check(2, 5, "")
	call(t, to, target.RevokePath, target.RevokeRequest{Epoch: 2, Slices: []contract.SliceFence{{Slice: 1, Fence: 5}}}, nil)
	grant(t, to, 2, 5, contract.TargetGrant)
	check(2, 5, ReasonStaleFence)
	time.Sleep(contract.TargetGrant)
	grant(t, to, 2, 6, 20*time.Millisecond)
	time.Sleep(30 * time.Millisecond)
	check(2, 6, ReasonGrantExpired)
	if n := to.Ledger().Executions().Total; n != 1 {
		t.Errorf("%d executions, want 1", n)
	}
}

// A renewal that is sent by an older dispatcher, is for another incarnation or
// exceeds contract.TargetGrant must change nothing.
func TestRefusesRenewals(t *testing.T) {
	to := start(t, nil)
	if rep := grant(t, to, 2, 5, contract.TargetGrant); !rep.Accepted {
		t.Fatal(rep.Reason)
	}
	if rep := grant(t, to, 1, 9, contract.TargetGrant); rep.Accepted || rep.Reason != ReasonStaleEpoch || rep.Epoch != 2 {
		t.Errorf("%+v", rep)
	}
	if rep := grant(t, to, 2, 5, 2*contract.TargetGrant); rep.Accepted || rep.Reason != ReasonGrantTooLong {
		t.Errorf("%+v", rep)
	}
	var rep target.GrantReply
	call(t, to, target.GrantPath, target.GrantRequest{Target: "ledger-1", Incarnation: 6, Epoch: 3}, &rep)
	if rep.Accepted || rep.Reason != ReasonOtherIncarnation || rep.Incarnation != 7 {
		t.Errorf("%+v", rep)
	}
	if reason, _ := send(t, to, "POST", "/", 2, 5, nil); reason != "" {
		t.Error(reason)
	}
}

// A request on a target that is frozen past the expiry of its grant must not take
// effect afterwards: another target may own the key by then.
func TestFrozenWorkDoesNotCommitAfterExpiry(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		to := start(t, func(c *Config) {
			c.IgnoreGrants = ignore
			c.ServiceTime = 50 * time.Millisecond
		})
		grant(t, to, 1, 1, 200*time.Millisecond)
		time.AfterFunc(20*time.Millisecond, func() { to.Freeze(300 * time.Millisecond) })
		reason, _ := send(t, to, "POST", "/", 1, 1, nil)
		if ignore != (reason == "") {
			t.Errorf("ignore grants %v: %q", ignore, reason)
		}
	}
}

// A revocation must wait for running requests: a response before they end would
// let two owners run at the same time, and aborting them would lose them.
func TestRevokeWaitsForRunningWork(t *testing.T) {
	to := start(t, func(c *Config) { c.ServiceTime = 100 * time.Millisecond })
	grant(t, to, 1, 1, contract.TargetGrant)
	done := make(chan string, 1)
	go func() {
		reason, _ := send(t, to, "POST", "/", 1, 1, nil)
		done <- reason
	}()
	for to.Report().InFlight == 0 {
		time.Sleep(time.Millisecond)
	}
	call(t, to, target.RevokePath, target.RevokeRequest{Epoch: 1, Slices: []contract.SliceFence{{Slice: 1, Fence: 1}}}, nil)
	if to.Ledger().Executions().Total != 1 {
		t.Error("revoked before the request ended")
	}
	if reason := <-done; reason != "" {
		t.Error(reason)
	}
}

// A request must run at most once per attempt. After an expired deadline, a crash
// or a full queue it must not have run.
func TestOutcomes(t *testing.T) {
	to := start(t, func(c *Config) { c.ServiceTime = 50 * time.Millisecond })
	grant(t, to, 1, 1, contract.TargetGrant)
	id := map[string]string{target.HeaderIdemKey: "a"}
	if _, body := send(t, to, "POST", "/", 1, 1, id); body != `{"key":"member-1","balance":1,"postings":1}`+"\n" {
		t.Error(body)
	}
	if reason, _ := send(t, to, "POST", "/", 1, 1, map[string]string{target.HeaderDeadline: "10"}); reason != ReasonDeadline {
		t.Error(reason)
	}
	to.Shed(100 * time.Millisecond)
	if reason, _ := send(t, to, "POST", "/", 1, 1, nil); reason != ReasonShedding {
		t.Error(reason)
	}
	time.Sleep(100 * time.Millisecond)
	grant(t, to, 1, 1, contract.TargetGrant)
	if _, body := send(t, to, "GET", "/statement?bytes=70000", 1, 1, nil); len(body) != 70000 {
		t.Error(len(body))
	}
	if reason, _ := send(t, to, "POST", "/", 1, 1, map[string]string{HeaderCrash: "1"}); reason != "connection lost" {
		t.Error(reason)
	}
	if err := to.Restart(); err != nil {
		t.Fatal(err)
	}
	if got := to.Report(); got.Incarnation != 8 || got.Executions.Total != 2 || got.Executions.MaxPerID != 1 {
		t.Errorf("%+v", got)
	}
	to.Drain(0)
	if reason, _ := send(t, to, "POST", "/", 1, 1, nil); reason != ReasonDraining {
		t.Error(reason)
	}
}

// A target must announce itself to the next VM when one fails, or the system
// would not learn of it again, and must announce a change of its state.
func TestAnnouncesToAnotherVM(t *testing.T) {
	got := make(chan target.Announcement, 100)
	vm := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a target.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		got <- a
	}))
	defer vm.Close()
	to := start(t, func(c *Config) {
		c.Announce = []string{"http://127.0.0.1:1", vm.URL}
		c.AnnounceInterval = time.Minute
	})
	first := <-got
	if first.Address != to.Addr() || first.Incarnation != 7 || !first.ChecksGrants || first.State != stateWarm {
		t.Errorf("%+v", first)
	}
	to.Drain(time.Minute)
	if next := <-got; next.State != stateDraining {
		t.Errorf("%+v", next)
	}
}

// Load reports must lag and stop as configured, and a silent cold transition
// must not change the reported state: tests of stragglers rely on such
// misleading reports.
func TestMisleadingReports(t *testing.T) {
	to := start(t, func(c *Config) {
		c.LoadLag = 100 * time.Millisecond
		c.ColdRequests = 1
		c.ServiceTime = time.Millisecond
	})
	rep := grant(t, to, 1, 1, contract.TargetGrant)
	if rep.State != stateCold {
		t.Error(rep.State)
	}
	send(t, to, "GET", "/", 1, 1, nil)
	if rep = grant(t, to, 1, 1, contract.TargetGrant); rep.State != stateWarm || rep.Load.WarmKeys != 0 {
		t.Errorf("without lag: %+v", rep)
	}
	time.Sleep(150 * time.Millisecond)
	if rep = grant(t, to, 1, 1, contract.TargetGrant); rep.Load.WarmKeys != 1 {
		t.Errorf("%+v", rep)
	}
	to.FreezeLoadReport(true)
	to.BecomeCold(true)
	time.Sleep(150 * time.Millisecond)
	if rep = grant(t, to, 1, 1, contract.TargetGrant); rep.State != stateWarm || rep.Load.WarmKeys != 1 {
		t.Errorf("%+v", rep)
	}
}
