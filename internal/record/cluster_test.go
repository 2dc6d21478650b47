package record

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// fault describes how the test network treats one call.
type fault struct {
	loseRequest, loseReply, duplicate bool
	delay, replyDelay                 time.Duration
}

// cluster is a set of holders on a simulated network. It runs in the virtual time
// of synctest.
type cluster struct {
	mu     sync.Mutex
	stores map[string]*Store
	down   map[string]bool
	// inject returns the fault of a call. If it is nil, there are no faults.
	inject func(from, to, method string, payload []byte) fault
}

const testRetention = time.Hour

func newCluster(n int) (*cluster, []string) {
	c := &cluster{stores: make(map[string]*Store), down: make(map[string]bool)}
	var names []string
	for i := range n {
		name := fmt.Sprintf("h%d", i+1)
		names = append(names, name)
		c.stores[name] = NewStore(time.Now().UnixMilli(), 1<<20)
	}
	time.Sleep(2 * ClockAllowance)
	return c, names
}

func (c *cluster) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *cluster) restart(name string) *Store {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stores[name] = NewStore(time.Now().UnixMilli(), 1<<20)
	c.down[name] = false
	return c.stores[name]
}

func (c *cluster) recover(name string, names []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
	c.mu.Lock()
	s := c.stores[name]
	c.mu.Unlock()
	return s.Recover(ctx, c.from(name), others)
}

type testTransport struct {
	c    *cluster
	name string
}

func (c *cluster) from(name string) Transport { return testTransport{c, name} }

var errLost = errkind.New(errkind.LinkLost, "lost")

// Call implements Transport.
func (t testTransport) Call(ctx context.Context, vm, method string, payload []byte) ([]byte, error) {
	var f fault
	t.c.mu.Lock()
	inject := t.c.inject
	t.c.mu.Unlock()
	if inject != nil {
		f = inject(t.name, vm, method, payload)
	}
	if f.duplicate {
		go func() {
			time.Sleep(f.delay + 20*time.Millisecond)
			_, _ = t.c.serve(t.name, vm, method, payload)
		}()
	}
	type result struct {
		reply []byte
		err   error
	}
	done := make(chan result, 1)
	// The request is still delivered after the caller has stopped waiting for it.
	go func() {
		time.Sleep(time.Millisecond + f.delay)
		if f.loseRequest {
			return
		}
		reply, err := t.c.serve(t.name, vm, method, payload)
		time.Sleep(f.replyDelay)
		if !f.loseReply {
			done <- result{reply, err}
		}
	}()
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		return nil, errLost
	}
}

func (c *cluster) serve(from, vm, method string, payload []byte) ([]byte, error) {
	c.mu.Lock()
	store, down := c.stores[vm], c.down[vm]
	c.mu.Unlock()
	if store == nil || down {
		return nil, errLost
	}
	return store.Handle(method)(context.Background(), from, payload)
}

func request(names ...[]string) BeginRequest {
	return BeginRequest{
		ID:          ID{Tenant: "club", Service: "ledger", Key: "dues-1"},
		Fingerprint: 7,
		FirstSent:   time.Now().UnixMilli(),
		Retention:   testRetention,
		HolderSets:  names,
	}
}

// begin calls Begin with a deadline of 2 s and describes the result.
func begin(c *Coordinator, b BeginRequest) (*Running, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, response, err := c.Begin(ctx, b)
	switch {
	case r != nil:
		return r, "running"
	case response != nil:
		return nil, fmt.Sprintf("answer %d %q", response.Status, response.Body)
	}
	return nil, fmt.Sprintf("%s (%s)", err.Kind, err.Outcome())
}
