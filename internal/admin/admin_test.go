package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/callers"
	"github.com/flamingoreel/flamingoreel/internal/configtext"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/vm"
)

// countingNode accepts and counts changes.
type countingNode struct{ changes int }

func (n *countingNode) ChangeConfig(context.Context, uint64, []byte) (control.ChangeResult, []configtext.Fault, *errkind.Error) {
	n.changes++
	return control.ChangeResult{Accepted: true}, nil, nil
}
func (n *countingNode) Config(context.Context) (uint64, []byte, error) { return 0, nil, nil }
func (n *countingNode) Status(context.Context) (vm.Status, error)      { return vm.Status{}, nil }
func (n *countingNode) NotReadyReason() string                         { return "" }

// Guards against a text that takes the memory of a VM when it is parsed, and against the
// refusal of the users' texts on a small VM.
func TestTextsStayWithinTheMemory(t *testing.T) {
	const memory = 64 << 20
	example, err := os.ReadFile("../../examples/zdbs.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, text      string
		status, changes int
	}{
		{"example", string(example), http.StatusOK, 1},
		{"many tenants", string(example) + strings.Repeat("  - {name: club, share: 2}\n", 4000), http.StatusOK, 1},
		{"many short lines", strings.Repeat("- a\n", 200_000), http.StatusTooManyRequests, 0},
		{"long text", strings.Repeat("x", maxChangeBytes), http.StatusRequestEntityTooLarge, 0},
	} {
		body, err := json.Marshal(ConfigChange{Text: c.text})
		if err != nil {
			t.Fatal(err)
		}
		node := &countingNode{}
		handler := Handler(node, prometheus.NewRegistry(), callers.NewBodies(memory))
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/config", strings.NewReader(string(body))))
		if w.Code != c.status || node.changes != c.changes {
			t.Errorf("%s: got %d after %d changes, want %d after %d", c.name, w.Code, node.changes, c.status, c.changes)
		}
	}
}
