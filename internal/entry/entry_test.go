package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/target"
)

// countingBody is an endless request body that counts its reads.
type countingBody struct{ reads int }

func (b *countingBody) Read(p []byte) (int, error) {
	b.reads++
	return len(p), nil
}

// Guards against reading a body in a region outside the tenant's home regions
// before the request is refused, and against a refusal that does not name the
// entry VMs of the home regions.
func TestBodyIsNotReadOutsideTheHomeRegions(t *testing.T) {
	e, f := newEntry(t, "south", errkind.Internal, 1)
	body := &countingBody{}
	resp := sendRequest(e, "local", "ledger", http.MethodPost, body, time.Second)
	if resp.StatusCode != http.StatusMisdirectedRequest || resp.Header.Get(target.HeaderOutcome) != string(errkind.NotRun) ||
		resp.Header.Get(target.HeaderEntries) != "v:8001" || resp.Header.Get("Connection") != "close" {
		t.Errorf("refused with status %d and headers %v", resp.StatusCode, resp.Header)
	}
	if body.reads != 0 || f.sent.Load() != 0 {
		t.Errorf("%d reads of the body, %d sent", body.reads, f.sent.Load())
	}
}

// Guards against a POST that runs twice because it was retried after an unknown
// outcome, and against one that is not retried although it did not run.
func TestPostIsRetriedOnlyAfterNotRun(t *testing.T) {
	for _, service := range []string{"ledger", "search"} {
		for _, kind := range errkind.Kinds() {
			e, f := newEntry(t, "north", kind, 2)
			resp := sendRequest(e, "club", service, http.MethodPost, nil, 200*time.Millisecond)
			unknown := errkind.ResponseFor(kind).Outcome == errkind.Unknown
			if unknown && (f.sent.Load() != 1 || resp.Header.Get(target.HeaderOutcome) != string(errkind.Unknown)) {
				t.Errorf("%s, %s: %d sent, outcome %s", service, kind, f.sent.Load(), resp.Header.Get(target.HeaderOutcome))
			}
			if kind == errkind.TargetUnreachable && (f.sent.Load() != 2 || bodyOf(resp) != "done") {
				t.Errorf("%s: a POST that did not run was sent %d times, status %d", service, f.sent.Load(), resp.StatusCode)
			}
		}
	}
}

// Guards against retries of idempotent requests that multiply the load while
// targets fail, and against an idempotent request that is not retried.
func TestGetIsRetriedWithinTheBudget(t *testing.T) {
	const requests = 100
	for _, kind := range []errkind.Kind{errkind.LinkLost, errkind.TargetLost, errkind.TargetRefused} {
		e, f := newEntry(t, "north", kind, 2)
		if resp := sendRequest(e, "club", "ledger", http.MethodGet, nil, time.Second); bodyOf(resp) != "done" || f.sent.Load() != 2 {
			t.Errorf("%s: %d sent, status %d", kind, f.sent.Load(), resp.StatusCode)
		}
		e, f = newEntry(t, "north", kind, 0)
		for range requests {
			sendRequest(e, "club", "ledger", http.MethodGet, nil, 100*time.Millisecond)
		}
		// The budget allows a tenth of the requests, and of the up to 100 that it
		// saves up.
		if retries := f.sent.Load() - requests; retries < requests/10 || retries > 2*requests/10 {
			t.Errorf("%s: %d retries of %d requests", kind, retries, requests)
		}
	}
}

// Guards against an error that a caller takes for a response of the target, or
// whose outcome differs from the table of error kinds.
func TestErrorsMatchTheTableOfKinds(t *testing.T) {
	for _, kind := range errkind.Kinds() {
		e, _ := newEntry(t, "north", kind, 0)
		resp := sendRequest(e, "club", "ledger", http.MethodGet, nil, 20*time.Millisecond)
		want := errkind.ResponseFor(kind)
		if resp.StatusCode != want.Status || resp.StatusCode < http.StatusBadRequest ||
			resp.Header.Get(target.HeaderOutcome) != string(want.Outcome) || resp.Header.Get(target.HeaderErrorKind) != string(kind) {
			t.Errorf("%s: status %d, headers %v", kind, resp.StatusCode, resp.Header)
		}
	}
}
