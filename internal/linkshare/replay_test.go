package linkshare

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// replay is the load of one entry in virtual time. The link sends in the order of arrival
// in each direction; what a policy changes is when bytes arrive at it.
type replay struct {
	now    time.Duration
	events eventHeap
	// capacity is in bytes per second, busyUntil when each direction is idle again.
	capacity  float64
	busyUntil [directions]time.Duration
	// share is nil for the policy without a rule.
	share *Share
	// window is the receive window of a connection in bytes.
	window int
	armed  [directions]time.Duration
	load   replayLoad
	// smalls holds the time that short requests and their responses spent on the link.
	smalls                         []time.Duration
	offered, inTime, late, refused int
	waits                          map[*Download]func(bool)
}

// replayLoad is what one entry gets.
type replayLoad struct {
	reads, posts, downloads, burst float64
	meanBytes                      float64
	// stalled is the share of downloads whose callers stop reading after 32 KiB, and slow
	// the share of those that read slowRate bytes per second.
	stalled, slow float64
}

// adverts is the load of one of the 88 entries of the deployment with the narrow links.
var adverts = replayLoad{reads: 15, posts: 4.5, downloads: 154.0 / 88, burst: 2.6, meanBytes: 90e3}

const (
	replayTime      = 240 * time.Second
	burstEvery      = 30 * time.Second
	burstTime       = 6 * time.Second
	replayObjective = 3 * time.Second
	replayTimeout   = 6 * time.Second
	replayService   = 140 * time.Millisecond
	slowRate        = 25e3
)

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (r *replay) at(t time.Duration, run func()) {
	heap.Push(&r.events, event{t, len(r.events) + int(t), run})
}

// send puts bytes on the link and returns when they have passed it.
func (r *replay) send(dir Direction, bytes int) time.Duration {
	r.busyUntil[dir] = max(r.busyUntil[dir], r.now) + time.Duration(float64(bytes)/r.capacity*float64(time.Second))
	return r.busyUntil[dir]
}

func (r *replay) dispatch(dir Direction) {
	for {
		c, wait := r.share.Next(r.now, dir)
		if c != nil {
			close(c.Ready)
			r.at(r.now, func() { r.waits[c.Download](true) })
			continue
		}
		if wait > 0 && (r.armed[dir] <= r.now || r.armed[dir] > r.now+wait) {
			r.armed[dir] = r.now + wait
			r.at(r.now+wait, func() { r.dispatch(dir) })
		}
		return
	}
}

func (r *replay) startNext() {
	for {
		d, refusal := r.share.StartNext(r.now)
		if d == nil {
			break
		}
		r.waits[d](refusal == nil)
	}
	if r.share.Waiting() {
		r.at(r.now+50*time.Millisecond, r.startNext)
	}
}

func service(rng *rand.Rand, mean time.Duration) time.Duration {
	took := float64(mean) * (0.7 + 0.9*rng.Float64())
	if rng.Float64() < 0.2 {
		took *= 3
	}
	return time.Duration(took)
}

// arrivals calls run at the times of a Poisson process. Each process draws from its own
// source, so that all policies get the same load.
func (r *replay) arrivals(rng *rand.Rand, rate, burst float64, run func(rng *rand.Rand)) {
	current := rate
	if r.now%burstEvery >= burstEvery-burstTime {
		current *= burst
	}
	wait := time.Duration(rng.ExpFloat64() / current * float64(time.Second))
	if r.now+wait > replayTime {
		return
	}
	r.at(r.now+wait, func() { run(rng); r.arrivals(rng, rate, burst, run) })
}

// small sends a short request through the entry to a target and its response back.
func (r *replay) small(up, down int, mean time.Duration) func(*rand.Rand) {
	return func(rng *rand.Rand) {
		took := service(rng, mean)
		size := up
		if up > 1000 {
			size = min(int(rng.ExpFloat64()*float64(up)), 24<<10) + 400
		}
		var spent time.Duration
		pass := func(dir Direction, bytes int, next func()) {
			if r.share != nil {
				r.share.Count(r.now, dir, int64(bytes))
			}
			done := r.send(dir, bytes)
			spent += done - r.now
			r.at(done, next)
		}
		pass(In, size, func() {
			pass(Out, size, func() {
				r.at(r.now+took, func() {
					pass(In, down, func() { pass(Out, down, func() { r.smalls = append(r.smalls, spent) }) })
				})
			})
		})
	}
}

// size returns the length of a download: log-normal with sigma 0.6.
func (r *replay) size(rng *rand.Rand) int {
	const sigma = 0.6
	return int(min(r.load.meanBytes*math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2), 540e3))
}

func (r *replay) delivered(arrived, done time.Duration) {
	switch took := done - arrived; {
	case took <= replayObjective:
		r.inTime++
	case took <= replayTimeout:
		r.late++
	}
}

// unscheduled replays a download without a rule: its target sends the whole body.
func (r *replay) unscheduled(rng *rand.Rand) {
	r.offered++
	arrived, size, took := r.now, r.size(rng), service(rng, replayService)
	rng.Float64()
	r.at(r.now+took, func() {
		held, flowing := 0, false
		for sent := 0; sent < size; {
			n := min(chunkBytes, size-sent)
			sent += n
			whole := sent == size
			r.at(r.send(In, n), func() {
				if held += n; held < holdBytes && !flowing && !whole {
					return
				}
				done := r.send(Out, held)
				held, flowing = 0, true
				if whole {
					r.delivered(arrived, done)
				}
			})
		}
	})
}

// scheduled replays a download under the rule.
func (r *replay) scheduled(rng *rand.Rand) {
	r.offered++
	arrived, size, took := r.now, r.size(rng), service(rng, replayService)
	kind := rng.Float64()
	stalls, slow := kind < r.load.stalled, kind > 1-r.load.slow
	d, refusal := r.share.Admit(r.now, Demand{
		Route: "bundle", Objective: r.now + replayObjective, Service: replayService * 5 / 4, Limited: true,
	})
	if refusal != nil {
		r.refused++
		return
	}
	end := func() {
		r.share.End(d)
		delete(r.waits, d)
		r.startNext()
	}
	transfer := func() {
		r.share.Announce(r.now, d, int64(size))
		r.share.Observe("bundle", int64(size))
		read, written, sent := 0, 0, 0
		var arrivals []time.Duration // of each chunk that the target sent
		fill := func() {
			for sent < min(size, read+r.window) {
				n := min(chunkBytes, size-sent)
				sent += n
				arrivals = append(arrivals, r.send(In, n))
			}
		}
		fill()
		var next func()
		ask := func(dir Direction, n int, passed func(int)) {
			c := r.share.Ask(r.now, d, dir, n)
			if c == nil {
				passed(n)
				return
			}
			r.waits[d] = func(bool) { passed(c.Bytes) }
			r.dispatch(dir)
		}
		next = func() {
			switch {
			case written == size:
				end()
			case read < min(size, holdBytes) || read == written:
				ask(In, min(chunkBytes, size-read), func(n int) {
					r.at(max(r.now, arrivals[read/chunkBytes]), func() {
						read += n
						fill()
						next()
					})
				})
			case stalls && written >= holdBytes/2:
				r.at(arrived+replayTimeout, end)
			default:
				ask(Out, min(chunkBytes, read-written), func(n int) {
					written += n
					if done := r.send(Out, n); written == size {
						r.delivered(arrived, done)
					}
					if slow {
						r.at(r.now+time.Duration(float64(n)/slowRate*float64(time.Second)), next)
						return
					}
					next()
				})
			}
		}
		next()
	}
	r.waits[d] = func(ok bool) {
		if !ok {
			r.refused++
			return
		}
		r.at(r.now+took, transfer)
	}
	if d.started {
		r.waits[d](true)
	}
	r.startNext()
}

type replayResult struct {
	p50, p99                       time.Duration
	offered, inTime, late, refused int
}

func (s replayResult) String() string {
	return fmt.Sprintf("short messages p50 %.1f ms, p99 %.1f ms; %d downloads: %d in time (%.3f), %d late, %d refused",
		s.p50.Seconds()*1000, s.p99.Seconds()*1000, s.offered, s.inTime, float64(s.inTime)/float64(s.offered), s.late, s.refused)
}

// run replays a load with several seeds; prepare changes the share, nil runs without one.
func runReplay(load replayLoad, prepare func(*Share)) replayResult {
	var sum replayResult
	var smalls []time.Duration
	for seed := range uint64(3) {
		r := &replay{capacity: 450e3, load: load, waits: make(map[*Download]func(bool))}
		bundle := r.unscheduled
		if prepare != nil {
			r.share = New(r.capacity)
			prepare(r.share)
			r.window = r.share.Window()
			bundle = r.scheduled
		}
		r.arrivals(rand.New(rand.NewPCG(seed, 1)), load.reads, 1, r.small(400, 700, 170*time.Millisecond))
		r.arrivals(rand.New(rand.NewPCG(seed, 2)), load.posts, 1, r.small(4000, 400, 220*time.Millisecond))
		r.arrivals(rand.New(rand.NewPCG(seed, 3)), load.downloads, load.burst, bundle)
		for r.events.Len() > 0 {
			e := heap.Pop(&r.events).(event)
			r.now = e.at
			e.run()
		}
		smalls = append(smalls, r.smalls...)
		sum.offered, sum.inTime, sum.late, sum.refused = sum.offered+r.offered, sum.inTime+r.inTime, sum.late+r.late, sum.refused+r.refused
	}
	slices.Sort(smalls)
	sum.p50, sum.p99 = smalls[len(smalls)/2], smalls[len(smalls)*99/100]
	return sum
}

// Guards against short messages that wait behind downloads, against downloads that are
// sent although they will be late, and against a rule that loses downloads which the link
// could carry.
func TestReplayOfABurst(t *testing.T) {
	for _, c := range []struct {
		factor float64
		// p99 is the longest time of short messages on the link, all four passes together.
		p99 time.Duration
		// inTime is the least share of downloads in time.
		inTime float64
	}{{1, 120 * time.Millisecond, 0.95}, {1.5, 120 * time.Millisecond, 0.85}, {2.5, 120 * time.Millisecond, 0.6}} {
		load := adverts
		load.downloads *= c.factor
		before, after := runReplay(load, nil), runReplay(load, unchanged)
		t.Logf("%.1f times the load, before: %v", c.factor, before)
		t.Logf("%.1f times the load, after: %v", c.factor, after)
		if after.p99 > c.p99 || after.p99 > before.p99/10 || after.share() < c.inTime {
			t.Errorf("%.1f times the load: %v", c.factor, after)
		}
	}
}

// Guards against downloads that are held up by callers that stop reading or read slowly:
// their parts of the link and their places among the concurrent ones must be given to
// others.
func TestReplayWithSlowCallers(t *testing.T) {
	whole := runReplay(adverts, unchanged).share()
	stalled, slow := adverts, adverts
	stalled.stalled, slow.slow = 0.1, 0.4
	for name, load := range map[string]replayLoad{"stop reading": stalled, "read slowly": slow} {
		got := runReplay(load, unchanged)
		t.Logf("some callers %s: %v", name, got)
		// Each of the slow ones is counted as lost, although short responses reach it.
		if expected := whole * (1 - load.stalled - load.slow); got.share() < expected-0.01 {
			t.Errorf("some callers %s: %.3f of the downloads were in time, want %.3f", name, got.share(), expected)
		}
	}
}

// Guards against any effect on a link of 2 Mbit/s with short responses of routes for
// downloads.
func TestReplayOfShortDownloads(t *testing.T) {
	s := New(250e3)
	for now := time.Duration(0); now < 10*time.Second; now += 25 * time.Millisecond {
		d, refusal := s.Admit(now, Demand{Route: "r", Objective: now + time.Second, Service: 100 * time.Millisecond, Limited: true})
		if refusal != nil || !d.started {
			t.Fatalf("at %v: refused or held back (%+v)", now, refusal)
		}
		s.Announce(now, d, 6<<10)
		s.Observe("r", 6<<10)
		if s.Ask(now, d, In, 6<<10) != nil || s.Ask(now, d, Out, 6<<10) != nil {
			t.Fatalf("at %v: a short response is delayed", now)
		}
		s.End(d)
	}
}

func unchanged(*Share) {}

func (s replayResult) share() float64 { return float64(s.inTime) / float64(s.offered) }

// BenchmarkOrder compares the orders of chunks at 1.5 times the load.
//
//	go test -run XX -bench Order -benchtime 1x ./internal/linkshare
func BenchmarkOrder(b *testing.B) {
	load := adverts
	load.downloads *= 1.5
	aged := func(c *Chunk) float64 {
		return float64(c.Download.left[Out]) + 100e3*c.Download.objective.Seconds()
	}
	for name, before := range map[string]func(a, b *Chunk) bool{
		"due_first": dueFirst, "round_robin": func(a, b *Chunk) bool { return a.since < b.since },
		"shortest":      func(a, b *Chunk) bool { return a.Download.left[Out] < b.Download.left[Out] },
		"shortest_aged": func(a, b *Chunk) bool { return aged(a) < aged(b) },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				got := runReplay(load, func(s *Share) { s.before = before })
				b.ReportMetric(got.share(), "in-time")
				b.ReportMetric(got.p99.Seconds()*1000, "short-p99-ms")
			}
		})
	}
}
