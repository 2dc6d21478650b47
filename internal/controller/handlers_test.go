package controller

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/watch"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Guards against a delta that is encoded separately for each of hundreds of entry VMs
// that watch at the same time after a restart of all VMs, and against an encoding
// that is still used after a change.
func TestEntriesShareOneEncoding(t *testing.T) {
	l := &loop{state: fleet.NewState(), changed: make(chan struct{}), deltas: make(map[uint64]*sharedDelta)}
	apply := func(index uint64, name string) {
		data, err := wire.Marshal(&fleet.Command{Patch: &items.Patch{Items: []items.Item{{
			Key: items.Key{Collection: items.Services, Name: name}, Version: index, Service: &items.Service{},
		}}}})
		if err != nil {
			t.Fatal(err)
		}
		if failure := l.state.Apply(index, data); failure != nil {
			t.Fatal(failure)
		}
		l.notify()
	}
	apply(1, "a")
	first, err := l.deltaSince(0).encoded()
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for range 50 {
		d := l.deltaSince(0)
		all.Go(func() {
			if data, err := d.encoded(); err != nil || &data[0] != &first[0] {
				t.Errorf("the delta was encoded again (error %v)", err)
			}
		})
	}
	all.Wait()
	apply(2, "b")
	r := watchResult{delta: l.deltaSince(0)}
	data, err := r.encode()
	if err != nil {
		t.Fatal(err)
	}
	var got watch.Answer
	if err := watch.Decode(data, &got); err != nil || len(got.Delta.Items) != 2 || got.Delta.To != 2 {
		t.Errorf("got %+v, %v after a change, want both items", got.Delta, err)
	}
}

// Guards against entry VMs that keep waiting on a control VM which is cut off from
// the leader. An answer that shows the stale age makes them try another control VM.
func TestStaleControlVMAnswersAtOnce(t *testing.T) {
	v := startVMs(t)
	_, follower := v.leader()
	for _, c := range v.all {
		if c != follower {
			c.Close()
		}
	}
	revision, failure := call(context.Background(), follower.loop, routine, func(results chan<- uint64) {
		results <- follower.loop.state.Revision()
	})
	if failure != nil {
		t.Fatal(failure)
	}
	var answer watch.Answer
	watchTime := func() time.Duration {
		start := time.Now()
		answer = watchOnce(t, follower, watch.Request{Entry: "e", Revision: revision, Wait: watch.MaxWait})
		return time.Since(start)
	}
	cutOff := time.Now()
	for answer.Age < watch.StaleAge {
		watchTime()
	}
	if took := time.Since(cutOff); took > watch.StaleAge+heartbeatInterval {
		t.Errorf("an entry VM learned after %v that the state is stale, want about %v", took, watch.StaleAge)
	}
	if took := watchTime(); took > watch.MaxWait/2 {
		t.Errorf("a stale control VM answered a watch after %v", took)
	}
}
