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

// chaos is one random run: calls in both directions while connections break,
// fall silent and delay every write.
type chaos struct {
	rng  *rand.Rand
	mu   sync.Mutex
	ran  map[uint64]int
	down map[uint64]errkind.Kind
	bad  []string
}

func (c *chaos) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *chaos) ms(n int) time.Duration { return time.Duration(c.draw(n)) * time.Millisecond }

// bodyOf returns the only right answer to a request.
func bodyOf(id uint64) []byte {
	return bytes.Repeat(binary.BigEndian.AppendUint64(nil, id), int(id*id%9000)+1)
}

func (c *chaos) handle(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	id := binary.BigEndian.Uint64(payload)
	c.mu.Lock()
	c.ran[id]++
	c.mu.Unlock()
	select {
	case <-time.After(c.ms(80)):
	case <-ctx.Done():
	}
	if id%7 == 0 {
		return nil, errkind.New(errkind.NoOwner, "%d", id)
	}
	return bodyOf(id), nil
}

func (c *chaos) call(from *Node, to string, id uint64) {
	time.Sleep(c.ms(1500))
	ctx, cancel := context.WithTimeout(context.Background(), c.ms(400)+time.Millisecond)
	defer cancel()
	if c.draw(4) == 0 {
		time.AfterFunc(c.ms(100), cancel)
	}
	payload := binary.BigEndian.AppendUint64(nil, id)
	payload = append(payload, make([]byte, c.draw(5*ChunkSize))...)
	got, err := from.Call(ctx, to, "m", payload)
	c.judge(ctx, id, got, err)
}

// judge checks one call's end; runs of refused requests are checked at the end.
func (c *chaos) judge(ctx context.Context, id uint64, got []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fail := func(what string) { c.bad = append(c.bad, fmt.Sprintf("call %d: %s, %v", id, what, err)) }
	switch kind := kindOf(err); kind {
	case "":
		if id%7 == 0 || !bytes.Equal(got, bodyOf(id)) {
			fail(fmt.Sprintf("wrong answer of %d bytes", len(got)))
		}
	case errkind.NoOwner:
		if errkind.From(err).Message != fmt.Sprint(id) {
			fail("another call's error")
		}
	case errkind.LinkDown, errkind.Overloaded, errkind.QueueTimeout:
		c.down[id] = kind
	case errkind.AnswerTimeout:
		if ctx.Err() == nil {
			fail("timeout before the deadline")
		}
	case errkind.LinkLost:
	default:
		fail("unexpected kind")
	}
}

// run returns the faults of one random run.
func (c *chaos) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		slowest := 1 + c.draw(30)
		net.delay = func() time.Duration { return c.ms(slowest) }
		a, b := net.pair(map[string]Handler{"m": c.handle})
		var calls sync.WaitGroup
		for id := range uint64(40) {
			from, to := a, "b"
			if id%3 == 0 {
				from, to = b, "a"
			}
			calls.Go(func() { c.call(from, to, id+1) })
		}
		for range c.draw(8) {
			time.Sleep(c.ms(400))
			if c.draw(3) == 0 {
				net.silence()
			} else {
				net.cut()
			}
		}
		calls.Wait()
		_ = a.Close()
		_ = b.Close()
	})
	for id, kind := range c.down {
		if c.ran[id] > 0 {
			c.bad = append(c.bad, fmt.Sprintf("call %d: %s, but its handler ran", id, kind))
		}
	}
	for id, n := range c.ran {
		if n > 1 {
			c.bad = append(c.bad, fmt.Sprintf("call %d: ran %d times", id, n))
		}
	}
}

// Guards against calls that end with another call's answer, a part of it, the
// wrong kind or never, and above all against LinkDown for a request that ran.
func TestCallsUnderFaults(t *testing.T) {
	seed, err := strconv.ParseInt(cmp.Or(os.Getenv("FLAMINGOREEL_TEST_SEED"), "1"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	params := gopter.DefaultTestParametersWithSeed(seed)
	params.MinSuccessfulTests = 120
	result := prop.ForAll(func(s uint64) string {
		c := &chaos{rng: rand.New(rand.NewPCG(s, 0)), ran: map[uint64]int{}, down: map[uint64]errkind.Kind{}}
		c.run(t)
		return strings.Join(c.bad, "\n")
	}, gen.UInt64()).Check(params)
	if !result.Passed() {
		t.Errorf("%v %v\nrepeat with FLAMINGOREEL_TEST_SEED=%d go test -race -run TestCallsUnderFaults ./internal/link",
			result.Labels, result.Args, seed)
	}
}
