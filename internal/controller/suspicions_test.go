package controller

import (
	"context"
	"testing"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/watch"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// watchOnce runs one watch on a control VM and returns its answer.
func watchOnce(t *testing.T, c *Controller, req watch.Request) (answer watch.Answer) {
	t.Helper()
	payload, err := wire.Marshal(&req)
	if err != nil {
		t.Fatal(err)
	}
	data, err := c.handleWatch(context.Background(), req.Entry, payload)
	if err != nil {
		t.Fatal(err)
	}
	if err := watch.Decode(data, &answer); err != nil {
		t.Fatal(err)
	}
	return answer
}

// Guards against suspicions that reach only the entry VMs that watch one control VM,
// and against suspicions that are repeated in each answer to an entry VM.
func TestSuspicionsReachTheEntriesOfAllControlVMs(t *testing.T) {
	v := startVMs(t)
	suspicion := admission.Suspicion{Fingerprint: 7, Target: "t", Incarnation: 1}
	watchOnce(t, v.all[0], watch.Request{Entry: "a", Suspicions: []admission.Suspicion{suspicion}})
	for i, c := range v.all {
		var answer watch.Answer
		v.await("the suspicion arrives", time.Second, func() bool {
			answer = watchOnce(t, c, watch.Request{Entry: "b"})
			return len(answer.Suspicions) == 1 && answer.Suspicions[0] == suspicion
		})
		if again := watchOnce(t, c, watch.Request{Entry: "b", Received: answer.Received}); len(again.Suspicions) != 0 {
			t.Errorf("VM %d sends %v again", i, again.Suspicions)
		}
	}
}

// Guards against a list of suspicions that grows without bound, and against an entry
// VM that lags behind and does not get the suspicions that are left.
func TestSuspicionsAreBounded(t *testing.T) {
	s := suspicions{origin: 1}
	for i := range uint64(3 * maxSuspicions) {
		s.add([]admission.Suspicion{{Fingerprint: i}})
	}
	for _, after := range []watch.Cursor{{}, {Origin: 1, Next: 5}, {Origin: 2, Next: 3 * maxSuspicions}} {
		list, end := s.since(after)
		if len(list) != maxSuspicions || list[0].Fingerprint != 2*maxSuspicions || end.Next != 3*maxSuspicions {
			t.Errorf("after %+v: %d suspicions up to %+v", after, len(list), end)
		}
	}
	if list, _ := s.since(watch.Cursor{Origin: 1, Next: 3*maxSuspicions - 2}); len(list) != 2 {
		t.Errorf("%d suspicions, want the last two", len(list))
	}
}
