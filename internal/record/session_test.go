package record

import (
	"context"
	"testing"
	"testing/synctest"
)

// Guards against running two resends that arrive at once at two dispatchers.
func TestDuplicatesRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, names := newCluster(5)
		b := request(names)
		results := make(chan string, 2)
		for _, vm := range []string{"d1", "d2"} {
			go func() {
				r, s := begin(NewCoordinator(vm, 1, c.from(vm)), b)
				if r != nil {
					r.Finish(context.Background(), Answer{Status: 200, Body: []byte("posted")})
				}
				results <- s
			}()
		}
		got := map[string]int{<-results: 1}
		got[<-results]++
		if got["running"] != 1 || got[`answer 200 "posted"`] != 1 {
			t.Fatalf("got %v", got)
		}
	})
}

// Guards against a restarted holder that refuses for ever, or that grants an
// ID whose record it lost.
func TestRestartedHolderCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, names := newCluster(3)
		b := request(names)
		if _, got := begin(NewCoordinator("d1", 1, c.from("d1")), b); got != "running" {
			t.Fatal(got)
		}
		c.restart(names[0])
		if err := c.recover(names[0], names); err != nil {
			t.Fatal(err)
		}
		if _, got := begin(NewCoordinator("d2", 1, c.from("d2")), b); got != "started_elsewhere (unknown)" {
			t.Fatal(got)
		}
	})
}
