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

// envInt reads a positive number from the environment.
func envInt(name string, otherwise int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv(name), 10, 64); err == nil && n > 0 {
		return n
	}
	return otherwise
}

// interleaving is one random run: dispatchers that race for one ID and may
// die, holders that restart empty and recover, and a faulty network.
type interleaving struct {
	c    *cluster
	seed uint64
	// names are the holders, sets the holder sets by dispatcher.
	names []string
	sent  BeginRequest

	mu      sync.Mutex
	rand    *rand.Rand
	calls   map[uint64]uint64
	dead    map[string]bool
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
	return !i.dead[vm]
}

// fault depends on the call only, not on the order of goroutines.
func (i *interleaving) fault(from, to, method string, payload []byte) fault {
	key := xxhash.Sum64String(fmt.Sprint(from, to, method)) ^ xxhash.Sum64(payload)
	i.mu.Lock()
	i.calls[key]++
	r := rand.New(rand.NewPCG(i.seed^key, i.calls[key]))
	dead := i.dead[from]
	i.mu.Unlock()
	f := fault{
		loseRequest: dead || r.IntN(100) < 15,
		loseReply:   r.IntN(100) < 10,
		duplicate:   !dead && r.IntN(100) < 10,
	}
	reach := []int{3, 3, 3, 40, 40, 300}
	f.delay = time.Duration(r.IntN(reach[r.IntN(len(reach))])) * time.Millisecond
	f.replyDelay = time.Duration(r.IntN(reach[r.IntN(len(reach))])) * time.Millisecond
	return f
}

// dispatcher begins the request a few times.
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
		i.end(r)
	}
}

// end aborts, finishes or leaves a running attempt.
func (i *interleaving) end(r *Running) {
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
		r.Finish(context.Background(), Answer{Status: 200})
	}
}

// churn restarts a holder and recovers it.
func (i *interleaving) churn(name string) {
	for range i.intn(3) {
		time.Sleep(i.ms(300))
		i.c.restart(name)
		time.Sleep(i.ms(30))
		_ = i.c.recover(name, i.names)
	}
}

// run lets dispatchers and holders end their random sequences.
func (i *interleaving) run() {
	var all sync.WaitGroup
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
		all.Go(func() { i.dispatcher(vm, sets[d%len(sets)]) })
		if i.intn(2) == 0 {
			time.AfterFunc(i.ms(300), func() { i.mu.Lock(); i.dead[vm] = true; i.mu.Unlock() })
		}
	}
	for _, name := range i.names {
		all.Go(func() { i.churn(name) })
	}
	all.Wait()
}

// settled sends the request and a new one after the faults ended, and returns
// what is wrong.
func (i *interleaving) settled() string {
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

func interleave(t *testing.T, seed uint64) (senders []Attempt, fault string) {
	synctest.Test(t, func(*testing.T) {
		r := rand.New(rand.NewPCG(seed, 0))
		c, names := newCluster([]int{3, 3, 5, 6}[r.IntN(4)])
		i := &interleaving{
			c: c, seed: seed, names: names, sent: request(), rand: r,
			calls: make(map[uint64]uint64), dead: make(map[string]bool),
		}
		c.inject = i.fault
		i.run()
		fault = i.settled()
		senders = i.senders
		time.Sleep(time.Minute)
	})
	return senders, fault
}

// Guards against a second run of an ID under any interleaving of messages that
// are lost, delayed or duplicated, holders that lose their memory, dispatchers
// that die, and wrong suspicions that a dispatcher is fenced. Guards against
// holders that stay unready after the faults ended.
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
			senders, fault := interleave(t, seed)
			sent += len(senders)
			if len(senders) > 1 || fault != "" {
				return fmt.Sprintf("seed %d: sent by %v %s", seed, senders, fault)
			}
			return ""
		}, gen.UInt64()))
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Fatalf("run again: FLAMINGOREEL_TEST_SEED=%d FLAMINGOREEL_SOAK_SEEDS=%d go test -run %s ./internal/record", seed, cases, t.Name())
	}
	if int64(sent) < cases/4 {
		t.Fatalf("only %d of %d runs sent: the property would hold without records", sent, cases)
	}
	t.Logf("%d of %d runs sent", sent, cases)
}
