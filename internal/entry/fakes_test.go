package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
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
regions: [{name: north, data_centres: [{name: n1}]}, {name: south, data_centres: [{name: s1}]}]
services:
- {name: ledger, ownership: exclusive, slices: 1, endpoints: 1, slots: 1}
- {name: search, ownership: any, endpoints: 2, slots: 1}
tenants: [{name: "*"}, {name: local, home_regions: [north]}]
`

// fakeRouter is the VM of an entry, with targets of both services. The relay
// function replies in place of the dispatcher.
type fakeRouter struct {
	table *control.Table
	store *record.Store
	relay func(req *relay.Request) (*relay.Reply, *errkind.Error)
	sent  atomic.Int32
}

func (f *fakeRouter) Table() *control.Table                       { return f.table }
func (f *fakeRouter) LeaseValid() bool                            { return true }
func (f *fakeRouter) Announce(target.Announcement) *errkind.Error { return nil }

func (f *fakeRouter) Relay(_ context.Context, _ string, req *relay.Request) (*relay.Reply, *errkind.Error) {
	f.sent.Add(1)
	return f.relay(req)
}

// Call implements record.Transport.
func (f *fakeRouter) Call(ctx context.Context, _, method string, payload []byte) ([]byte, error) {
	return f.store.Handle(method)(ctx, "v", payload)
}

// newEntry returns an entry in the given region. All relayed attempts fail with
// kind, but the attempt with the given number, from 1, succeeds; with 0 none does.
func newEntry(t *testing.T, region string, kind errkind.Kind, successful int32) (*Entry, *fakeRouter) {
	f := &fakeRouter{table: testTable(t), store: record.NewStore(time.Now().Add(-time.Minute).UnixMilli(), 1<<20)}
	f.relay = func(*relay.Request) (*relay.Reply, *errkind.Error) {
		if f.sent.Load() == successful {
			return &relay.Reply{Status: http.StatusOK, Body: []byte("done")}, nil
		}
		return nil, errkind.New(kind, "test")
	}
	start := time.Now()
	return New(Config{
		Region: region, Router: f, Records: record.NewCoordinator("v", 1, f),
		Now: func() time.Duration { return time.Since(start) }, Logger: &log.Logger{Handler: discard.Default},
	}), f
}

func testTable(t *testing.T) *control.Table {
	s := control.NewState()
	apply := func(c control.Command) {
		data, err := control.Encode(c)
		if err == nil {
			_, err = s.Apply(s.Version()+1, data)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	apply(control.Command{ChangeConfig: &control.ChangeConfig{Text: []byte(testText)}})
	apply(control.Command{RegisterVM: &control.VM{Name: "v", DataCentre: "n1", Region: "north", CallerAddr: "v:8001", Incarnation: 1}})
	apply(control.Command{SetHolders: &control.SetHolders{}})
	for id, service := range map[string]string{"l1": "ledger", "s1": "search", "s2": "search"} {
		apply(control.Command{RegisterTarget: &control.Target{
			ID: id, Service: service, DataCentre: "n1", Incarnation: 1, Slots: 1, ChecksGrants: true, State: control.Warm,
		}})
		apply(control.Command{SetDispatch: &control.SetDispatch{Dispatch: contract.Dispatch{Target: id, VM: "v", VMIncarnation: 1, Epoch: 1}}})
	}
	for _, slice := range s.Table().Assignments() {
		apply(control.Command{Assign: &control.Assign{Assignment: contract.Assignment{
			Slice: slice.Slice.ID, Target: "l1", Incarnation: 1, Fence: 1,
		}}})
	}
	return s.Table()
}

// sendRequest sends one request of a caller.
func sendRequest(e *Entry, tenant, service, method string, body io.Reader, deadline time.Duration) *http.Response {
	r := httptest.NewRequest(method, "/dues", body)
	for name, value := range map[string]string{
		target.HeaderTenant: tenant, target.HeaderService: service, target.HeaderKey: "member",
		target.HeaderDeadline: strconv.FormatInt(deadline.Milliseconds(), 10),
		target.HeaderIdemKey:  "k", target.HeaderFirstSent: strconv.FormatInt(time.Now().UnixMilli(), 10),
	} {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, r)
	return w.Result()
}

func bodyOf(resp *http.Response) string {
	var b strings.Builder
	_, _ = io.Copy(&b, resp.Body)
	return b.String()
}
