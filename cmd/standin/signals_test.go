package main

import (
	"bufio"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// targetVariable is the environment variable that makes the test binary run as the
// target.
const targetVariable = "FLAMINGOREEL_STANDIN_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(targetVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// Guards against a target that ends with requests in progress because of a SIGHUP or a
// repeated stop signal.
func TestSignalsDoNotCutTheDrain(t *testing.T) {
	target := exec.Command(os.Args[0], strings.Fields("--id ledger-1 --service ledger --data-centre lj-a --drain-grace 1s")...)
	target.Env = append(os.Environ(), targetVariable+"=1")
	output, err := target.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := target.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(output)
	for lines.Scan() && !strings.Contains(lines.Text(), "target started") {
	}
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		_ = target.Process.Signal(sig)
		time.Sleep(100 * time.Millisecond)
	}
	stopped := false
	for lines.Scan() {
		stopped = stopped || strings.Contains(lines.Text(), "target stopped")
	}
	if err := target.Wait(); err != nil || !stopped {
		t.Errorf("the target ended with %v, drained: %v", err, stopped)
	}
}
