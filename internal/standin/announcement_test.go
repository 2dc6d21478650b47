package standin

import (
	"net/http"
	"testing"
	"time"
)

// get sends a request without a grant and returns the header of the response.
func get(t *testing.T, to *Target, path string) http.Header {
	t.Helper()
	resp, err := http.Get("http://" + to.Addr() + path)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.Header
}

// Guards against a stand-in that does not say that it leaves, or that keeps saying
// so after a restart: tests of entries would prove nothing.
func TestLeaveIsAnnouncedUntilTheRestart(t *testing.T) {
	target := start(t, func(c *Config) { c.LeavingHeader, c.IgnoreGrants = "X-Leaving", true })
	for _, step := range []struct {
		change func()
		want   string
	}{{func() {}, ""}, {func() { target.Drain(time.Minute) }, "1"}, {func() { _ = target.Restart() }, ""}} {
		step.change()
		for _, path := range []string{"/", HealthPath} {
			if got := get(t, target, path).Get("X-Leaving"); got != step.want {
				t.Errorf("%s: the header is %q, want %q", path, got, step.want)
			}
		}
	}
}

// Guards against a stand-in that asks for no pause when it is full, or for one when
// it is not.
func TestFullTargetAsksForAPause(t *testing.T) {
	target := start(t, func(c *Config) { c.Pause, c.IgnoreGrants = 1500*time.Millisecond, true })
	if got := get(t, target, "/").Get("Retry-After"); got != "" {
		t.Errorf("a target with capacity asks for a pause of %s s", got)
	}
	target.Shed(time.Minute)
	if got := get(t, target, "/").Get("Retry-After"); got != "1.5" {
		t.Errorf("a full target asks for a pause of %q s, want 1.5", got)
	}
}

// Guards against a stand-in that does not name its limit in all responses: tests of
// entries would prove nothing.
func TestLimitIsNamedInAllResponses(t *testing.T) {
	target := start(t, func(c *Config) { c.LimitHeader, c.Limit, c.IgnoreGrants = "X-Limit", 2.5, true })
	for _, path := range []string{"/", HealthPath} {
		if got := get(t, target, path).Get("X-Limit"); got != "2.5" {
			t.Errorf("%s: the header is %q, want 2.5", path, got)
		}
	}
	target.Shed(time.Minute)
	if got := get(t, target, "/").Get("X-Limit"); got != "2.5" {
		t.Errorf("a refusal has %q, want 2.5", got)
	}
}
