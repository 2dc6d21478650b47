package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/admin"
)

// toolVariable is the environment variable that makes the test binary run as the tool.
const toolVariable = "FLAMINGOREELCTL_TEST_CHILD"

// Guards against an operator who isn't told that a change may have been accepted when
// the terminal closes while it is sent.
func TestInterruptedChangeIsReportedAsUnknown(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP} {
		t.Run(sig.String(), func(t *testing.T) { interruptChange(t, sig) })
	}
}

// interruptChange sends a signal to the tool while a server holds its change.
func interruptChange(t *testing.T, sig syscall.Signal) {
	changes := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_ = json.NewEncoder(w).Encode(admin.ConfigView{})
			return
		}
		// The server notices the end of the connection only after it read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case changes <- struct{}{}:
		default: // the tool sends the change again after a time without an answer
		}
		<-r.Context().Done()
	}))
	defer server.Close()
	tool := exec.Command(os.Args[0], "--server", server.URL, "apply", "../../examples/zdbs.yaml")
	tool.Env = append(os.Environ(), toolVariable+"=1")
	var stderr strings.Builder
	tool.Stderr = &stderr
	if err := tool.Start(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-changes:
	case <-time.After(10 * time.Second):
		t.Error("the tool sends no change")
	}
	_ = tool.Process.Signal(sig)
	err := tool.Wait()
	if code := tool.ProcessState.ExitCode(); code != exitFailed || !strings.Contains(stderr.String(), "not known whether the change was accepted") {
		t.Errorf("the tool ended with %v and %q, want exit code %d and a warning", err, stderr.String(), exitFailed)
	}
}
