package record

import (
	"context"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// longRunningHolders returns three stores that started long ago, the current time
// in ms, and a function that returns a start of attempt n of one ID.
func longRunningHolders() (stores map[string]*Store, now int64, start func(n uint64) StartRequest) {
	now = 2 * testRetention.Milliseconds()
	names := []string{"h1", "h2", "h3"}
	stores = make(map[string]*Store)
	for _, name := range names {
		stores[name] = NewStore(0, 1<<24)
	}
	return stores, now, func(n uint64) StartRequest {
		return StartRequest{
			ID: ID{Key: "dues-1"}, Attempt: Attempt{VM: "d", Number: n}, FirstSent: now,
			Retention: testRetention, Holders: [][]string{names},
		}
	}
}

// restartAndRecoverH2 replaces the store of h2 by an empty one that has copied the
// records of h1 and h3.
func restartAndRecoverH2(stores map[string]*Store, now int64) {
	fresh := NewStore(now+1, 1<<20)
	for _, name := range []string{"h1", "h3"} {
		page := stores[name].copyPage("h2", CopyRequest{Incarnation: now + 1})
		for _, c := range page.Records {
			fresh.merge(c)
		}
		fresh.readiness.addCopy(name, page.CompleteFrom)
	}
	stores["h2"] = fresh
}

func promiseRequest(r StartRequest) AbortRequest {
	return AbortRequest{
		ID: r.ID, Attempt: r.Attempt, FirstSent: r.FirstSent,
		Retention: r.Retention, Holders: r.Holders, Promise: true,
	}
}

// TestPromisesAreKept guards against a holder that grants an attempt which a
// takeover counted as refused: on a delayed start, after a restart, or because
// the promise removed the record.
func TestPromisesAreKept(t *testing.T) {
	stores, now, start := longRunningHolders()
	stores["h1"].start(now, start(1))
	if stores["h1"].abort(now, promiseRequest(start(1))).Refused {
		t.Error("h1 refuses the attempt that it granted")
	}
	for _, name := range []string{"h2", "h3"} {
		if !stores[name].abort(now, promiseRequest(start(1))).Refused {
			t.Errorf("%s does not promise", name)
		}
		if got := stores[name].start(now, start(1)).State; got != Aborted {
			t.Errorf("delayed start at %s: %s", name, got)
		}
	}
	delete(stores["h1"].entries, start(1).ID)
	stores["h1"].buckets = nil // as if the start to h1 were delayed, too
	restartAndRecoverH2(stores, now)
	if got := stores["h2"].start(now, start(1)).State; got != Aborted {
		t.Errorf("delayed start after the restart: %s", got)
	}
	if got := stores["h2"].start(now, start(2)).State; got != Granted {
		t.Errorf("next attempt after the restart: %s", got)
	}
}

// TestCopiedAttemptBlocks guards against a recovered holder that discards an
// attempt because another holder promised to refuse it, and against granting an
// attempt that the holder may itself have promised to refuse before it restarted.
func TestCopiedAttemptBlocks(t *testing.T) {
	stores, now, start := longRunningHolders()
	stores["h1"].start(now, start(1))
	stores["h3"].abort(now, promiseRequest(start(1)))
	restartAndRecoverH2(stores, now)
	if got := stores["h2"].start(now, start(1)).State; got != NotReady {
		t.Errorf("the copied attempt: %s", got)
	}
	if got := stores["h2"].start(now, start(2)); got.State != Started || got.Attempt.Number != 1 {
		t.Errorf("another attempt: %+v", got)
	}
}

// TestSeveralCopiesBlock guards against a recovered holder that selects one of two
// copied attempts, either of which may be running, and against a holder that
// stays blocked after the response is known.
func TestSeveralCopiesBlock(t *testing.T) {
	stores, now, start := longRunningHolders()
	stores["h1"].start(now, start(1))
	stores["h3"].start(now, start(2))
	restartAndRecoverH2(stores, now)
	for n := range uint64(3) {
		if got := stores["h2"].start(now, start(n+1)).State; got != NotReady {
			t.Errorf("attempt %d: %s", n+1, got)
		}
	}
	if stores["h2"].abort(now, promiseRequest(start(3))).Refused {
		t.Error("promised without knowing which attempts were granted")
	}
	r := start(2)
	stores["h2"].finish(now, FinishRequest{ID: r.ID, Attempt: r.Attempt, FirstSent: now, Retention: testRetention})
	if got := stores["h2"].start(now, start(3)).State; got != Finished {
		t.Errorf("after the response: %s", got)
	}
}

// TestGrantsBeforeARestartDoNotCount guards against a majority that consists of a
// grant that a holder lost in a restart and a grant that another holder gave
// after the restarted holder had copied its records. The same holds for promises.
func TestGrantsBeforeARestartDoNotCount(t *testing.T) {
	stores, now, start := longRunningHolders()
	v := &view{sets: start(1).Holders, replies: make(map[string]StartReply)}
	v.replies["h2"] = stores["h2"].start(now, start(1))
	restartAndRecoverH2(stores, now)
	v.replies["h1"] = stores["h1"].start(now, start(1))
	if v.granted() {
		t.Error("the grant of h2 from before its restart counts")
	}
	p := promises{"h2": {Refused: true}, "h3": stores["h3"].abort(now, promiseRequest(start(1)))}
	if p.majorityRefuses(start(1).Holders[0]) {
		t.Error("the promise of h2 from before its restart counts")
	}
}

// TestSweepKeepsTheRetention guards against a record that is removed before its
// retention ends, and against memory that is never released.
func TestSweepKeepsTheRetention(t *testing.T) {
	stores, now, start := longRunningHolders()
	s := stores["h1"]
	s.start(now, start(1))
	end := expiry(now, testRetention)
	s.Sweep(end)
	if got := s.Stats(); got.Records != 1 || got.Starts[Granted] != 1 {
		t.Errorf("at the end of the retention: %+v", got)
	}
	s.Sweep(end + 2*time.Minute.Milliseconds())
	if got := s.Stats(); got.Records != 0 || got.Bytes != 0 || len(s.buckets) != 0 {
		t.Errorf("after the retention: %+v", got)
	}
}

// TestCopyIsPagedAndFiltered guards against a copy that misses records after a
// page boundary, or contains records of IDs that the other VM does not hold.
func TestCopyIsPagedAndFiltered(t *testing.T) {
	stores, now, start := longRunningHolders()
	want := 3 * pageRecords
	for n := range want + 2*pageScan {
		r := start(1)
		r.ID.Key = time.Duration(n).String()
		r.FirstSent -= int64(n) * 400
		if n >= want {
			r.Holders = [][]string{{"h1", "h22"}, {"h3"}}
		}
		stores["h1"].start(now, r)
	}
	pages, got := 0, 0
	for r := (CopyRequest{}); ; pages++ {
		page := stores["h1"].copyPage("h2", r)
		got += len(page.Records)
		if page.Done {
			break
		}
		r.Cursor = page.Next
	}
	if got != want || pages < 4 {
		t.Errorf("copied %d of %d records in %d pages", got, want, pages)
	}
}

// TestHoldersCheckTimes guards against granting an ID whose first-sent time is
// outside the range for which the holder, or the holder after a restart, can know
// which attempts it granted.
func TestHoldersCheckTimes(t *testing.T) {
	stores, now, start := longRunningHolders()
	for firstSent, want := range map[int64]State{
		now + ClockAllowance.Milliseconds():     Granted,
		now + ClockAllowance.Milliseconds() + 1: NotReady,
		now - expiry(0, testRetention):          Granted,
		now - expiry(0, testRetention) - 1:      NotReady,
	} {
		r := start(1)
		r.ID.Key, r.FirstSent = time.Duration(firstSent).String(), firstSent
		stores["h1"].readiness.predecessorMax = 0 // no predecessor can have seen any of the times
		if got := stores["h1"].start(now, r).State; got != want {
			t.Errorf("first sent at %d, now %d: %s", firstSent, now, got)
		}
	}
}

// pages is a Transport that returns the same pages in a cycle.
type pages []CopyReply

func (p *pages) Call(context.Context, string, string, []byte) ([]byte, error) {
	page := (*p)[0]
	*p = append((*p)[1:], page)
	return encode(page)
}

// TestCopyOfChangingHolder guards against counting a copy as complete when its
// holder restarted, or removed records, between two pages.
func TestCopyOfChangingHolder(t *testing.T) {
	s := NewStore(1, 1<<20)
	changed := &pages{{Incarnation: 1, CompleteFrom: 1}, {Incarnation: 2, CompleteFrom: 9, Done: true}}
	if s.copyFrom(t.Context(), changed, "h1") == nil || len(s.readiness.copiedFrom) != 0 {
		t.Error("a copy across a restart counts")
	}
	swept := &pages{{Incarnation: 1, CompleteFrom: 5}, {Incarnation: 1, CompleteFrom: 9, Done: true}}
	if err := s.copyFrom(t.Context(), swept, "h1"); err != nil || s.readiness.copiedFrom["h1"] != 9 {
		t.Errorf("authority %d, want 9: %v", s.readiness.copiedFrom["h1"], err)
	}
}

// TestHandlersAndHolders guards against accepting malformed payloads from a link,
// and against holder sets of a wrong size.
func TestHandlersAndHolders(t *testing.T) {
	s := NewStore(0, 0)
	for _, method := range []string{MethodStart, MethodFinish, MethodAbort, MethodCopy} {
		if _, err := s.Handle(method)(t.Context(), "x", []byte{0xc1}); err == nil {
			t.Errorf("%s accepts a malformed payload", method)
		}
	}
	for candidates, want := range []int{0, 1, 2, 3, 3, 5, 5} {
		names := []string{"a", "b", "c", "d", "e", "f"}[:candidates]
		if got := Holders(ID{Key: "k"}, append(names, names...)); len(got) != want {
			t.Errorf("%d candidates: %v", candidates, got)
		}
	}
}

// BenchmarkStoreStartFinish measures a start and a finish, and compares the
// accounted memory per record with the heap that it uses.
func BenchmarkStoreStartFinish(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	_, now, start := longRunningHolders()
	s := NewStore(0, 1<<40)
	response := Response{Status: 200, Body: make([]byte, 200)}
	for n := 0; b.Loop(); n++ {
		r := start(1)
		r.ID.Key = time.Duration(n).String()
		s.start(now, r)
		s.finish(now, FinishRequest{
			ID: r.ID, Attempt: r.Attempt, FirstSent: now, Retention: testRetention, Holders: r.Holders, Response: response,
		})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	stats := s.Stats()
	b.ReportMetric(float64(stats.Bytes)/float64(stats.Records), "accountedB/record")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(stats.Records), "heapB/record")
}

// BenchmarkHolders measures the selection of holders by the number of candidates.
func BenchmarkHolders(b *testing.B) {
	for _, n := range []int{9, 100, 800} {
		names := make([]string, n)
		for i := range names {
			names[i] = "vm-" + strconv.Itoa(i)
		}
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for b.Loop() {
				Holders(ID{Tenant: "club", Service: "ledger", Key: "k"}, names)
			}
		})
	}
}

// TestKnownIncarnationsSurviveARestart guards against a second run when a holder
// that knows of the restart of another holder restarts itself: if it lost that
// knowledge, a grant that the other holder gave before its restart would count
// again, together with a new grant of this holder. Without it, interleaving
// 18439088968397194391 let two attempts send one ID in 17 of 40 runs.
func TestKnownIncarnationsSurviveARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, names := newCluster(3)
		started := make(map[string]int64)
		for _, name := range []string{"h1", "h2"} {
			time.Sleep(time.Second)
			started[name] = time.Now().UnixMilli()
			c.restart(name)
			if err := c.recover(name, names); err != nil {
				t.Fatal(err)
			}
		}
		r := request(names)
		reply := c.stores["h2"].start(time.Now().UnixMilli(), StartRequest{
			ID: r.ID, Attempt: Attempt{VM: "d1", Number: 1}, FirstSent: r.FirstSent, Retention: r.Retention, Holders: [][]string{names},
		})
		if reply.Proof.HolderIncarnations["h1"] != started["h1"] {
			t.Errorf("proof %+v does not name the restart of h1 at %d", reply.Proof, started["h1"])
		}
	})
	for range 40 {
		if senders, fault := runInterleaving(t, 18439088968397194391); len(senders) > 1 || fault != "" {
			t.Fatalf("senders %v %s", senders, fault)
		}
	}
}
