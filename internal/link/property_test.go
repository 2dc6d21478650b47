package link

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// faultRun is one randomized run: calls in both directions while connections
// delay every write, are closed or drop writes silently.
type faultRun struct {
	rng      *rand.Rand
	mu       sync.Mutex
	ran      map[uint64]int
	notRun   map[uint64]errkind.Kind
	failures []string
}

func (r *faultRun) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *faultRun) ms(n int) time.Duration { return time.Duration(r.intN(n)) * time.Millisecond }

// responseBody returns the only correct response to a request.
func responseBody(id uint64) []byte {
	return bytes.Repeat(binary.BigEndian.AppendUint64(nil, id), int(id*id%9000)+1)
}

func (r *faultRun) serve(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	id := binary.BigEndian.Uint64(payload)
	r.mu.Lock()
	r.ran[id]++
	r.mu.Unlock()
	select {
	case <-time.After(r.ms(80)):
	case <-ctx.Done():
	}
	if id%7 == 0 {
		return nil, errkind.New(errkind.NoOwner, "%d", id)
	}
	return responseBody(id), nil
}

func (r *faultRun) call(from *Node, to string, id uint64) {
	time.Sleep(r.ms(1500))
	ctx, cancel := context.WithTimeout(context.Background(), r.ms(400)+time.Millisecond)
	defer cancel()
	if r.intN(4) == 0 {
		time.AfterFunc(r.ms(100), cancel)
	}
	payload := binary.BigEndian.AppendUint64(nil, id)
	payload = append(payload, make([]byte, r.intN(5*ChunkSize))...)
	got, err := from.Call(ctx, to, "m", payload)
	r.checkResult(ctx, id, got, err)
}

// checkResult checks the result of one call. Whether the handler of a refused
// request ran is checked at the end of the run.
func (r *faultRun) checkResult(ctx context.Context, id uint64, got []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fail := func(what string) { r.failures = append(r.failures, fmt.Sprintf("call %d: %s, %v", id, what, err)) }
	switch kind := kindOf(err); kind {
	case "":
		if id%7 == 0 || !bytes.Equal(got, responseBody(id)) {
			fail(fmt.Sprintf("wrong response of %d bytes", len(got)))
		}
	case errkind.NoOwner:
		if errkind.From(err).Message != fmt.Sprint(id) {
			fail("another call's error")
		}
	case errkind.LinkDown, errkind.Overloaded, errkind.QueueTimeout:
		r.notRun[id] = kind
	case errkind.AnswerTimeout:
		if ctx.Err() == nil {
			fail("timeout before the deadline")
		}
	case errkind.LinkLost:
	default:
		fail("unexpected kind")
	}
}

// run performs the run and stores what it finds wrong in failures.
func (r *faultRun) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		slowest := 1 + r.intN(30)
		net.delay = func() time.Duration { return r.ms(slowest) }
		a, b := net.pair(map[string]Handler{"m": r.serve})
		var calls sync.WaitGroup
		for id := range uint64(40) {
			from, to := a, "b"
			if id%3 == 0 {
				from, to = b, "a"
			}
			calls.Go(func() { r.call(from, to, id+1) })
		}
		for range r.intN(8) {
			time.Sleep(r.ms(400))
			if r.intN(3) == 0 {
				net.blackhole()
			} else {
				net.disconnect()
			}
		}
		calls.Wait()
		_ = a.Close()
		_ = b.Close()
	})
	for id, kind := range r.notRun {
		if r.ran[id] > 0 {
			r.failures = append(r.failures, fmt.Sprintf("call %d: %s, but its handler ran", id, kind))
		}
	}
	for id, n := range r.ran {
		if n > 1 {
			r.failures = append(r.failures, fmt.Sprintf("call %d: ran %d times", id, n))
		}
	}
}

// Guards against calls that never end or that end with another call's response,
// a partial response or the wrong error kind, in particular with LinkDown
// although the request ran.
func TestCallsUnderFaults(t *testing.T) {
	seed, err := strconv.ParseInt(cmp.Or(os.Getenv("FLAMINGOREEL_TEST_SEED"), "1"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	params := gopter.DefaultTestParametersWithSeed(seed)
	params.MinSuccessfulTests = 120
	result := prop.ForAll(func(s uint64) string {
		run := &faultRun{rng: rand.New(rand.NewPCG(s, 0)), ran: map[uint64]int{}, notRun: map[uint64]errkind.Kind{}}
		run.run(t)
		return strings.Join(run.failures, "\n")
	}, gen.UInt64()).Check(params)
	if !result.Passed() {
		t.Errorf("%v %v\nrepeat with FLAMINGOREEL_TEST_SEED=%d go test -race -run TestCallsUnderFaults ./internal/link",
			result.Labels, result.Args, seed)
	}
}
