package controller

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/link"
	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// keepBusy keeps the queue of a VM's control goroutine full with events of a
// given cost until the test ends.
func keepBusy(t *testing.T, c *Controller, cost time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var senders sync.WaitGroup
	for range 8 {
		senders.Go(func() {
			for ctx.Err() == nil {
				c.loop.post(ctx, routine, func() { time.Sleep(cost) })
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		senders.Wait()
	})
	for len(c.loop.events[routine]) < laneCapacity {
		time.Sleep(time.Millisecond)
	}
}

// Guards against an operator's change that gets no response for seconds because
// heartbeats and watches are queued for the control goroutine before it.
func TestChangeIsAcknowledgedWhileControlVMsAreBusy(t *testing.T) {
	v := startVMs(t)
	_, follower := v.leader()
	for _, c := range v.all {
		keepBusy(t, c, 2*time.Millisecond)
	}
	for version := uint64(2); version < 6; version++ {
		if failure := follower.Change(context.Background(), serviceChange(version)); failure != nil {
			t.Errorf("version %d: %v", version, failure)
		}
	}
}

// Guards against a leader that loses its lease because the replies of its followers
// are queued behind heartbeats and watches. The next leader would get the same load.
func TestBusyLeaderKeepsItsLease(t *testing.T) {
	v := startVMs(t)
	leader, _ := v.leader()
	keepBusy(t, leader, 2*time.Millisecond)
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		for _, c := range v.all {
			if got := c.Leader(); got != leader.cfg.Addr {
				t.Fatalf("%s follows %q, want the leader %s", c.cfg.Addr, got, leader.cfg.Addr)
			}
		}
	}
}

// Guards against a queue that never drains, because each heartbeat or watch is
// handled after its sender has given up and sent the next one.
func TestAbandonedCallsAreNotRun(t *testing.T) {
	v := startVMs(t)
	c := v.all[0]
	release := make(chan struct{})
	c.loop.post(context.Background(), routine, func() { <-release })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	ran := false
	if _, failure := call(ctx, c.loop, routine, func(results chan<- bool) { ran = true; results <- true }); failure == nil {
		t.Fatal("a call was answered while the control goroutine was busy")
	}
	close(release)
	if _, failure := call(context.Background(), c.loop, routine, func(results chan<- bool) { results <- true }); failure != nil {
		t.Fatal(failure)
	}
	if ran {
		t.Error("an event was run after its caller had given up")
	}
}

// Guards against a call that keeps waiting for a leader that hangs or is cut off
// although the next leader is known. It would use up nearly all of a change's time.
func TestCallIsRetriedOnTheNextLeader(t *testing.T) {
	v := startVMs(t)
	leader, follower := v.leader()
	frozen, err := link.Listen(watch.LinkConfig(freeAddrs(t, 1)[0], 9, follower.cfg.Logger))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = frozen.Close() }()
	called := make(chan struct{}, 1)
	frozen.Handle(methodChange, func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		called <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	frozen.Serve()
	follow(t, follower, frozen.Addr())
	answered := make(chan *errkind.Error, 1)
	start := time.Now()
	go func() { answered <- follower.Change(context.Background(), serviceChange(2)) }()
	<-called
	follower.leader.set(leader.cfg.Addr)
	if failure := <-answered; failure != nil {
		t.Error(failure)
	}
	if took := time.Since(start); took > callTimeout/2 {
		t.Errorf("the change took %v", took)
	}
}
