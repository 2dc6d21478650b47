package standin

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// The states that a target announces.
const (
	stateCold     = "cold"
	stateWarm     = "warm"
	stateDraining = "draining"
)

// Target is a running stand-in. Its methods are safe for concurrent use.
type Target struct {
	cfg         Config
	announceNow chan struct{} // triggers an announcement

	mu  sync.Mutex
	run *incarnation
	// Restart resets frozenUntil, slowFactor, shedUntil and loadStopped.
	frozenUntil   time.Time
	slowFactor    float64
	shedUntil     time.Time
	loadStopped   bool
	stoppedLoad   loadSample
	whileDraining int // requests that arrived while draining
	rng           *rand.Rand
	closed        bool
	announceStop  chan struct{}
	announceDone  chan struct{}
}

// incarnation is the state that a crash discards. All fields are guarded by
// Target.mu.
type incarnation struct {
	number   uint64
	started  time.Time
	listener net.Listener
	server   *http.Server
	conns    *connLimiter
	crashed  chan struct{}
	serving  chan struct{} // closed when the server has stopped

	grants      *grants
	running     map[contract.SliceID]int
	idle        *sync.Cond // signals that a request ended or the incarnation stopped
	inFlight    int
	queued      int
	slots       chan struct{}
	cold        int // requests that still run cold
	warmKeys    map[accountID]bool
	draining    bool
	refuseAfter time.Time
	samples     []loadSample
}

// Start starts a stand-in target and its announcements.
func Start(cfg Config) (*Target, error) {
	cfg = cfg.withDefaults()
	t := &Target{
		cfg:         cfg,
		announceNow: make(chan struct{}, 1),
		slowFactor:  1,
		rng:         rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	if err := t.startIncarnation(cfg.Incarnation); err != nil {
		return nil, err
	}
	t.startAnnouncing()
	return t, nil
}

// startIncarnation starts an incarnation. It stores the address of the listener,
// because a restart must use the same port.
func (t *Target) startIncarnation(number uint64) error {
	listener, err := t.listen()
	if err != nil {
		return err
	}
	run := &incarnation{
		number:   number,
		started:  time.Now(),
		listener: listener,
		conns:    &connLimiter{limit: t.cfg.Connections},
		crashed:  make(chan struct{}),
		serving:  make(chan struct{}),
		grants:   newGrants(t.cfg.ID, number),
		running:  map[contract.SliceID]int{},
		idle:     sync.NewCond(&t.mu),
		slots:    make(chan struct{}, t.cfg.Slots),
		cold:     max(t.cfg.ColdRequests, 0),
		warmKeys: map[accountID]bool{},
	}
	run.server = &http.Server{Handler: t.handler(run), ConnState: run.conns.onConnState}
	t.mu.Lock()
	t.cfg.Addr = listener.Addr().String()
	t.run = run
	t.mu.Unlock()
	go func() {
		defer close(run.serving)
		_ = run.server.Serve(listener)
	}()
	return nil
}

func (t *Target) listen() (net.Listener, error) {
	if t.cfg.Listen != nil {
		return t.cfg.Listen()
	}
	return net.Listen("tcp", t.cfg.Addr)
}

// Addr returns the address that the target announces.
func (t *Target) Addr() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cfg.Addr
}

// Incarnation returns the number of the current incarnation.
func (t *Target) Incarnation() uint64 { return t.current().number }

// Ledger returns the ledger that the target serves.
func (t *Target) Ledger() *Ledger { return t.cfg.Ledger }

func (t *Target) current() *incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.run
}

// Close stops the target and its announcements immediately.
func (t *Target) Close() {
	t.mu.Lock()
	already := t.closed
	t.closed = true
	t.mu.Unlock()
	if already {
		return
	}
	t.stopAnnouncing()
	t.stopIncarnation(t.current())
}

// Crash ends the incarnation. It calls Config.Exit if set; otherwise the listener
// and all connections are closed and no running request takes effect.
func (t *Target) Crash() {
	if t.cfg.Exit != nil {
		t.cfg.Exit()
		return
	}
	t.stopAnnouncing()
	t.stopIncarnation(t.current())
}

func (t *Target) stopIncarnation(run *incarnation) {
	t.mu.Lock()
	select {
	case <-run.crashed:
	default:
		close(run.crashed)
	}
	run.idle.Broadcast()
	t.mu.Unlock()
	_ = run.server.Close()
	<-run.serving
}

// Restart crashes the target and starts a new, cold incarnation at the same
// address. It keeps the ledger, and ends the effects of Freeze, SetServiceTimeFactor, Shed and
// FreezeLoadReport.
func (t *Target) Restart() error {
	t.Crash()
	t.mu.Lock()
	number := t.run.number + 1
	t.frozenUntil, t.shedUntil = time.Time{}, time.Time{}
	t.slowFactor = 1
	t.loadStopped = false
	t.mu.Unlock()
	if err := t.startIncarnation(number); err != nil {
		return err
	}
	t.startAnnouncing()
	return nil
}

// nowMs returns the reading of the incarnation's monotonic clock in ms.
func (r *incarnation) nowMs() int64 { return time.Since(r.started).Milliseconds() }

func (r *incarnation) isCrashed() bool {
	select {
	case <-r.crashed:
		return true
	default:
		return false
	}
}

// state returns the state that the incarnation announces. The caller holds
// Target.mu.
func (r *incarnation) state() string {
	switch {
	case r.draining:
		return stateDraining
	case r.cold > 0:
		return stateCold
	}
	return stateWarm
}
