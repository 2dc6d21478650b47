package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/flamingoreel/flamingoreel/internal/admin"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/vm"
)

var update = flag.Bool("update", false, "update the golden sessions")

func TestMain(m *testing.M) {
	if os.Getenv(toolVariable) != "" {
		main()
	}
	testscript.Main(m, map[string]func(){
		"flamingoreelctl": func() { os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr)) },
	})
}

// adminServer is a fake of the daemon's admin interface. It refuses a change whose
// base is not current unless the change repeats the last one.
type adminServer struct {
	mu     sync.Mutex
	number uint64
	text   string
	base   uint64
	puts   int
	lose   int // number of next changes whose responses are lost
	refuse int // number of next requests that are refused with kind not_leader
}

func (a *adminServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if a.refuse > 0 {
		a.refuse--
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(errkind.New(errkind.NotLeader, "there is no leader"))
		return
	}
	switch {
	case r.URL.Path == "/v1/status":
		_ = json.NewEncoder(w).Encode(sampleStatus)
	case r.Method == http.MethodGet:
		_ = json.NewEncoder(w).Encode(admin.ConfigView{Number: a.number, Text: a.text})
	default:
		a.change(w, r)
	}
}

func (a *adminServer) change(w http.ResponseWriter, r *http.Request) {
	var c admin.ConfigChange
	_ = json.NewDecoder(r.Body).Decode(&c)
	a.puts++
	repeated := c.Base == a.base && c.Text == a.text && a.number > 0
	if c.Base != a.number && !repeated {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(admin.ChangeView{Number: a.number, Current: a.text})
		return
	}
	if !repeated {
		a.number, a.text, a.base = c.Base+1, c.Text, c.Base
	}
	if a.lose > 0 {
		a.lose--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(admin.ChangeView{Accepted: true, Number: a.number})
}

var sampleStatus = vm.Status{
	VM: "lj-a-1", Leader: "kp-a-1", Version: 40, ConfigNumber: 3, LowestConfigNumber: 2,
	VMs:     []control.VM{{Name: "lj-a-1", DataCentre: "lj-a", Region: "osrednja", CallerAddr: "127.0.1.1:8001"}},
	Targets: []vm.TargetState{{Target: control.Target{ID: "ledger-1", Service: "ledger", DataCentre: "lj-a", State: "warm"}, Dispatcher: "lj-a-1", Slices: 1}},
	Slices:  []vm.SliceState{{Target: "ledger-1", Phase: "owned"}, {Phase: "unassigned"}},
}

// Compares the output of the tool with golden sessions. Guards against a tool that
// hides faults, overwrites another operator's change, or reports an accepted change
// as lost.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/sessions",
		UpdateScripts: *update,
		Setup: func(e *testscript.Env) error {
			fake := &adminServer{}
			server := httptest.NewServer(fake)
			e.Defer(server.Close)
			e.Values["fake"] = fake
			e.Setenv("SERVER", server.URL)
			e.Setenv("FLAMINGOREEL_SERVER", server.URL)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"lose-responses": func(ts *testscript.TestScript, _ bool, _ []string) { fakeOf(ts).fail(2, 0) },
			"refuse":         func(ts *testscript.TestScript, _ bool, _ []string) { fakeOf(ts).fail(0, 2) },
			"expect-number":  expectNumber,
		},
	})
}

func fakeOf(ts *testscript.TestScript) *adminServer { return ts.Value("fake").(*adminServer) }

// fail sets how many responses to changes are lost and how many requests are refused.
func (a *adminServer) fail(lose, refuse int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lose, a.refuse = lose, refuse
}

// expectNumber checks the configuration number and the number of changes that the
// server received.
func expectNumber(ts *testscript.TestScript, _ bool, args []string) {
	fake := fakeOf(ts)
	fake.mu.Lock()
	got, _ := json.Marshal([]any{fake.number, fake.puts})
	fake.mu.Unlock()
	if want := "[" + args[0] + "," + args[1] + "]"; string(got) != want {
		ts.Fatalf("number and changes sent are %s, want %s", got, want)
	}
}
