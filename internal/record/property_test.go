package record

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// envInt returns the positive number in an environment variable, or fallback.
func envInt(name string, fallback int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv(name), 10, 64); err == nil && n > 0 {
		return n
	}
	return fallback
}

// interleaving is one random run: dispatchers that race for one ID and may
// crash, holders that restart empty and recover, and a faulty network.
type interleaving struct {
	c    *cluster
	seed uint64
	// names are the names of the holders.
	names []string
	sent  BeginRequest

	mu   sync.Mutex
	rand *rand.Rand
	// calls counts the calls by the hash of their sender, receiver and content.
	calls map[uint64]uint64
	// crashed are the dispatchers whose requests are lost from now on.
	crashed map[string]bool
	// senders are the attempts that sent the request to a target.
	senders []Attempt
}

func (i *interleaving) intn(n int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rand.IntN(n)
}

func (i *interleaving) ms(n int) time.Duration { return time.Duration(i.intn(n)) * time.Millisecond }

func (i *interleaving) alive(vm string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.crashed[vm]
}

// fault returns the fault of a call. It depends only on the seed and the call,
// not on the order of goroutines.
func (i *interleaving) fault(from, to, method string, payload []byte) fault {
	key := xxhash.Sum64String(fmt.Sprint(from, to, method)) ^ xxhash.Sum64(payload)
	i.mu.Lock()
	i.calls[key]++
	r := rand.New(rand.NewPCG(i.seed^key, i.calls[key]))
	crashed := i.crashed[from]
	i.mu.Unlock()
	f := fault{
		loseRequest: crashed || r.IntN(100) < 15,
		loseReply:   r.IntN(100) < 10,
		duplicate:   !crashed && r.IntN(100) < 10,
	}
	maxDelaysMs := []int{3, 3, 3, 40, 40, 300}
	f.delay = time.Duration(r.IntN(maxDelaysMs[r.IntN(len(maxDelaysMs))])) * time.Millisecond
	f.replyDelay = time.Duration(r.IntN(maxDelaysMs[r.IntN(len(maxDelaysMs))])) * time.Millisecond
	return f
}

// dispatcher begins the request once or twice.
func (i *interleaving) dispatcher(vm string, sets [][]string) {
	d := NewCoordinator(vm, 1, i.c.from(vm))
	d.SetFenced(func(string, uint64) bool { return true })
	b := i.sent
	b.HolderSets = sets
	for range 1 + i.intn(2) {
		time.Sleep(i.ms(150))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond+i.ms(700))
		r, _, _ := d.Begin(ctx, b)
		cancel()
		if r == nil || !i.alive(vm) {
			continue
		}
		i.endAttempt(r)
	}
}

// endAttempt aborts, finishes or abandons a running attempt.
func (i *interleaving) endAttempt(r *Running) {
	choice := i.intn(10)
	if choice == 0 {
		r.Abort(context.Background())
		return
	}
	i.mu.Lock()
	i.senders = append(i.senders, r.attempt)
	i.mu.Unlock()
	time.Sleep(i.ms(200))
	if choice > 5 {
		r.Finish(context.Background(), Response{Status: 200})
	}
}

// restartRepeatedly restarts and recovers a holder up to twice.
func (i *interleaving) restartRepeatedly(name string) {
	for range i.intn(3) {
		time.Sleep(i.ms(300))
		i.c.restart(name)
		time.Sleep(i.ms(30))
		_ = i.c.recover(name, i.names)
	}
}

// run runs the dispatchers and the restarts of the holders until all have ended.
func (i *interleaving) run() {
	var wg sync.WaitGroup
	var sets [][][]string
	if len(i.names) == 6 {
		// The holder set changes from the first three to the last three.
		before, after := i.names[:3], i.names[3:]
		sets = [][][]string{{before}, {after, before}}
	} else {
		sets = [][][]string{{i.names}}
	}
	for d := range 2 + i.intn(3) {
		vm := fmt.Sprintf("d%d", d+1)
		wg.Go(func() { i.dispatcher(vm, sets[d%len(sets)]) })
		if i.intn(2) == 0 {
			time.AfterFunc(i.ms(300), func() { i.mu.Lock(); i.crashed[vm] = true; i.mu.Unlock() })
		}
	}
	for _, name := range i.names {
		wg.Go(func() { i.restartRepeatedly(name) })
	}
	wg.Wait()
}

// checkAfterFaults recovers all holders after the faults have ended, then begins
// the request and a new one. It returns a description of what failed, or "".
func (i *interleaving) checkAfterFaults() string {
	time.Sleep(time.Minute)
	i.c.set(func() { i.c.inject = nil })
	for _, name := range i.names {
		if err := i.c.recover(name, i.names); err != nil {
			return "recover: " + err.Error()
		}
	}
	d := NewCoordinator("d9", 1, i.c.from("d9"))
	i.sent.HolderSets = [][]string{i.names[len(i.names)/2:], i.names[:3]}
	if len(i.names) != 6 {
		i.sent.HolderSets = [][]string{i.names}
	}
	if r, _ := begin(d, i.sent); r != nil {
		i.senders = append(i.senders, r.attempt)
	}
	i.sent.ID.Key = "dues-2"
	i.sent.FirstSent = time.Now().UnixMilli()
	if _, got := begin(d, i.sent); got != "running" {
		return "new request after the faults: " + got
	}
	return ""
}

// runInterleaving runs the interleaving of the seed. fault describes what failed
// after the network faults ended, and is empty if nothing did.
func runInterleaving(t *testing.T, seed uint64) (senders []Attempt, fault string) {
	synctest.Test(t, func(*testing.T) {
		r := rand.New(rand.NewPCG(seed, 0))
		c, names := newCluster([]int{3, 3, 5, 6}[r.IntN(4)])
		i := &interleaving{
			c: c, seed: seed, names: names, sent: request(), rand: r,
			calls: make(map[uint64]uint64), crashed: make(map[string]bool),
		}
		c.inject = i.fault
		i.run()
		fault = i.checkAfterFaults()
		senders = i.senders
		time.Sleep(time.Minute)
	})
	return senders, fault
}

// TestAtMostOneAttemptSends guards against a second run of an ID when messages
// are lost, delayed or duplicated, holders lose their memory, dispatchers crash,
// and dispatchers are wrongly reported as fenced, in any interleaving. It also
// guards against holders that stay unready after the faults have ended.
func TestAtMostOneAttemptSends(t *testing.T) {
	seed := envInt("FLAMINGOREEL_TEST_SEED", 1)
	cases := envInt("FLAMINGOREEL_SOAK_SEEDS", 300)
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = int(cases)
	parameters.MaxShrinkCount = 0
	sent := 0
	properties := gopter.NewProperties(parameters)
	properties.Property("an ID is sent by at most one attempt", prop.ForAll(
		func(seed uint64) string {
			senders, fault := runInterleaving(t, seed)
			sent += len(senders)
			if len(senders) > 1 || fault != "" {
				return fmt.Sprintf("seed %d: sent by %v %s", seed, senders, fault)
			}
			return ""
		}, gen.UInt64()))
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Fatalf("reproduce with: FLAMINGOREEL_TEST_SEED=%d FLAMINGOREEL_SOAK_SEEDS=%d go test -run %s ./internal/record", seed, cases, t.Name())
	}
	if int64(sent) < cases/4 {
		t.Fatalf("only %d of %d runs sent the request: the property would hold without records", sent, cases)
	}
	t.Logf("%d of %d runs sent the request", sent, cases)
}
