package dispatcher

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/record"
	"github.com/flamingoreel/flamingoreel/internal/relay"
	"github.com/flamingoreel/flamingoreel/internal/target"
)

const testText = `name: test
regions: [{name: north, data_centres: [{name: n1}]}]
services: [{name: ledger, ownership: exclusive, slices: 1, endpoints: 1, slots: 1, queue_limit: 1}]
tenants: [{name: "*"}]
`

// fixture is a dispatcher on VM v with a fake target t, which owns the only slice
// of service ledger under fence 1, and a record holder on the same VM.
type fixture struct {
	t     *testing.T
	d     *Dispatcher
	state *control.State
	store *record.Store
	table atomic.Pointer[control.Table]
	// noLease makes the VM's lease invalid.
	noLease atomic.Bool
	// onStart is called when the record of a request is started.
	onStart atomic.Pointer[func()]
	// work handles the requests to the target; sent counts them.
	work atomic.Pointer[http.HandlerFunc]
	sent atomic.Int32
	// revokes counts the revocations, which the target confirms unless
	// unconfirmed is set.
	revokes     atomic.Int32
	unconfirmed atomic.Bool
	start       time.Time
}

// Call implements record.Transport.
func (f *fixture) Call(ctx context.Context, _, method string, payload []byte) ([]byte, error) {
	if do := f.onStart.Load(); do != nil && method == record.MethodStart {
		(*do)()
	}
	return f.store.Handle(method)(ctx, "v", payload)
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, state: control.NewState(), start: time.Now()}
	f.store = record.NewStore(time.Now().Add(-time.Minute).UnixMilli(), 1<<20)
	f.answer(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) })
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	f.d = New(Config{
		VM: "v", Incarnation: 1, Region: "north",
		Now:        func() time.Duration { return time.Since(f.start) },
		LeaseValid: func() bool { return !f.noLease.Load() },
		Table:      f.table.Load,
		Records:    record.NewCoordinator("v", 1, f),
		Logger:     &log.Logger{Handler: discard.Default},
	})
	t.Cleanup(f.d.Close)
	f.apply(
		control.Command{ChangeConfig: &control.ChangeConfig{Text: []byte(testText)}},
		control.Command{RegisterVM: &control.VM{Name: "v", DataCentre: "n1", Region: "north", Incarnation: 1}},
		control.Command{SetHolders: &control.SetHolders{}},
		control.Command{RegisterTarget: &control.Target{
			ID: "t", Service: "ledger", DataCentre: "n1", Incarnation: 1, Slots: 1, ChecksGrants: true,
			State: control.Warm, Address: strings.TrimPrefix(server.URL, "http://"),
		}},
		control.Command{SetDispatch: &control.SetDispatch{Dispatch: contract.Dispatch{Target: "t", VM: "v", VMIncarnation: 1, Epoch: 1}}},
	)
	slice := f.slice().Slice.ID
	f.apply(control.Command{Assign: &control.Assign{Assignment: contract.Assignment{Slice: slice, Target: "t", Incarnation: 1, Fence: 1}}})
	w := f.d.worker("t")
	f.eventually("the grant", func() bool { return w.check(slice, 1) == nil })
	return f
}

func (f *fixture) slice() control.ContractSlice { return f.state.Table().Assignments()[0] }

// apply applies commands to the control state and updates the dispatcher.
func (f *fixture) apply(commands ...control.Command) {
	for _, c := range commands {
		data, err := control.Encode(c)
		if err == nil {
			_, err = f.state.Apply(f.state.Version()+1, data)
		}
		if err != nil {
			f.t.Error(err)
		}
	}
	f.table.Store(f.state.Table())
	f.d.Update(f.state.Table())
}

func (f *fixture) drain() {
	f.apply(control.Command{Drain: &control.SliceChange{Slice: f.slice().Slice.ID, Fence: 1}})
}

func (f *fixture) answer(h http.HandlerFunc) { f.work.Store(&h) }

// block makes the target delay its responses until release is called.
func (f *fixture) block() (release func()) {
	held := make(chan struct{})
	release = sync.OnceFunc(func() { close(held) })
	f.t.Cleanup(release)
	f.answer(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-held:
		case <-r.Context().Done():
		}
		_, _ = w.Write([]byte("done"))
	})
	return release
}

// ServeHTTP implements http.Handler as the target.
func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case target.GrantPath:
		reply := target.GrantReply{Accepted: true, Incarnation: 1, Epoch: 1, State: "warm", ClockMs: time.Since(f.start).Milliseconds()}
		_ = json.NewEncoder(w).Encode(reply)
	case target.RevokePath:
		var req target.RevokeRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		reply := target.RevokeReply{Incarnation: 1, Revoked: req.Slices}
		if f.revokes.Add(1); f.unconfirmed.Load() {
			reply.Revoked = nil
		}
		_ = json.NewEncoder(w).Encode(reply)
	default:
		f.sent.Add(1)
		(*f.work.Load())(w, r)
	}
}

// send makes the dispatcher serve one request under the given fence.
func (f *fixture) send(method, key string, fence contract.Fence, deadline time.Duration) (*relay.Reply, *errkind.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	return f.d.Serve(ctx, &relay.Request{
		Tenant: "club", Service: "ledger", Key: "member", Class: relay.Write, Target: "t", Method: method, Path: "/dues",
		Slice: f.slice().Slice.ID, Fence: fence, IdempotencyKey: key, FirstSentMs: f.start.UnixMilli(),
	})
}

// eventually waits until ok returns true and fails the test after 3 s.
func (f *fixture) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(3 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("no %s within 3 s", what)
		}
	}
}
