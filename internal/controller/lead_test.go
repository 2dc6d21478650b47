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

// Guards against a state that is encoded for each of hundreds of entries which ask
// at the same time after a restart of all VMs, and against one that is kept after
// a change.
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
	first, err := l.since(0).encoded()
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for range 50 {
		d := l.since(0)
		all.Go(func() {
			if news, err := d.encoded(); err != nil || &news[0] != &first[0] {
				t.Errorf("another encoding was made (%v)", err)
			}
		})
	}
	all.Wait()
	apply(2, "b")
	r := looked{delta: l.since(0)}
	data, err := r.encode()
	if err != nil {
		t.Fatal(err)
	}
	var got watch.Answer
	if err := watch.Decode(data, &got); err != nil || len(got.Delta.Items) != 2 || got.Delta.To != 2 {
		t.Errorf("got %+v, %v after a change, want both items", got.Delta, err)
	}
}

// Guards against entries that are held by a control VM which is cut off from the
// leader: its answer without news sends them on to another one.
func TestStaleControlVMAnswersAtOnce(t *testing.T) {
	v := startVMs(t)
	_, follower := v.leader()
	for _, c := range v.all {
		if c != follower {
			c.Close()
		}
	}
	revision, failure := ask(context.Background(), follower.loop, routine, func(results chan<- uint64) {
		results <- follower.loop.state.Revision()
	})
	if failure != nil {
		t.Fatal(failure)
	}
	var answer watch.Answer
	ask := func() time.Duration {
		begun := time.Now()
		answer = watchOnce(t, follower, watch.Request{Entry: "e", Revision: revision, Wait: watch.MaxWait})
		return time.Since(begun)
	}
	cut := time.Now()
	for answer.Age < watch.StaleAge {
		ask()
	}
	if took := time.Since(cut); took > watch.StaleAge+heartbeatInterval {
		t.Errorf("an entry learns after %v that the state is stale, want about %v", took, watch.StaleAge)
	}
	if took := ask(); took > watch.MaxWait/2 {
		t.Errorf("a stale control VM held a watch for %v", took)
	}
}
