package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against reporting only the first invalid setting, so that the operator
// needs one start per fault, and against starting with invalid settings.
func TestSettingsReportAllFaults(t *testing.T) {
	t.Setenv("FLAMINGOREEL_STANDIN_JITTER", "-1")
	var out bytes.Buffer
	args := "standin --addr here --announce ftp://x,http://127.0.0.1:1 --slots 0 --announce-interval 0s --load-lag -1s"
	if code := run(context.Background(), strings.Fields(args), &out); code != exitSettings {
		t.Errorf("exit code %d", code)
	}
	goldie.New(t).Assert(t, "faults", out.Bytes())
}

// Guards against a stop signal that does not drain the target or ends the process
// with an exit code other than 0.
func TestStopDrains(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	args := "standin --id ledger-1 --service ledger --data-centre lj-a --drain-grace 0s"
	if code := run(ctx, strings.Fields(args), &out); code != exitOK || !strings.Contains(out.String(), "target stopped") {
		t.Errorf("exit code %d, %s", code, out.String())
	}
}
