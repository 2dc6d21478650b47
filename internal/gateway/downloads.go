package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/linkshare"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

const (
	// messageHeadBytes is the assumed size of the head of a request or a response.
	messageHeadBytes = 500
	// startPollInterval is the interval at which it is looked for stalled downloads
	// while others wait for their places.
	startPollInterval = 50 * time.Millisecond
	// refusalLogInterval is the least time between two log lines about refused downloads.
	refusalLogInterval = time.Second
	// maxLinkRetryAfter bounds the Retry-After of a refused download. A backlog drains
	// within the longest latency objective, 3 s.
	maxLinkRetryAfter = 5 * time.Second
	// maxUnsentBytes is how much of a long response may wait in the kernel in front of
	// other responses: 18 ms of a link of 450 KB/s.
	maxUnsentBytes = 8 << 10
)

// linkScheduler applies the rule of linkshare to the transfers of this VM. A nil
// linkScheduler delays and refuses nothing.
type linkScheduler struct {
	now    func() time.Duration
	logger log.Interface

	mu    sync.Mutex
	share *linkshare.Share
	// timers call dispatch when the link has room for the next chunk in a direction.
	timers [2]*time.Timer
	// starts calls startNext while downloads wait for their places.
	starts  *time.Timer
	waiting map[*linkshare.Download]*transfer
	// unlogged counts the refusals since loggedAt, when the last log line was written.
	unlogged int
	loggedAt time.Duration

	refused prometheus.Counter
	waits   *prometheus.HistogramVec
}

// newLinkScheduler returns nil if the link isn't scheduled. guard runs a function whose
// panic must not end the process.
func newLinkScheduler(cfg Config, now func() time.Duration, guard func(func()) bool) *linkScheduler {
	share := linkshare.New(cfg.LinkBytes)
	if share == nil {
		return nil
	}
	s := &linkScheduler{
		now: now, logger: cfg.Logger, share: share, waiting: make(map[*linkshare.Download]*transfer), loggedAt: -refusalLogInterval,
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingoreel_gateway_link_refused_total", Help: "Downloads refused because the link of this VM can't deliver them in time.",
		}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "flamingoreel_gateway_link_wait_seconds", Help: "Waits for the link: of downloads before their send (start), and of parts of long bodies (in, out).",
			Buckets: []float64{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5},
		}, []string{"stage"}),
	}
	for dir := range s.timers {
		s.timers[dir] = newStoppedTimer(func() { guard(func() { s.dispatch(linkshare.Direction(dir)) }) })
	}
	s.starts = newStoppedTimer(func() { guard(s.startNext) })
	if cfg.Registry != nil {
		cfg.Registry.MustRegister(s.refused, s.waits, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "flamingoreel_gateway_link_owed_bytes", Help: "Bytes that the link still has to carry for admitted downloads.",
		}, func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(s.share.Owed(s.now()))
		}))
	}
	return s
}

func newStoppedTimer(run func()) *time.Timer {
	timer := time.AfterFunc(forever, run)
	timer.Stop()
	return timer
}

// count counts a message that passes the link at once, without its head.
func (s *linkScheduler) count(dir linkshare.Direction, bodyBytes int) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share.Count(s.now(), dir, int64(bodyBytes)+messageHeadBytes)
}

// transfer is the transfer of the response to one request over the link.
type transfer struct {
	s     *linkScheduler
	d     *linkshare.Download
	route string
	// unknownLength reports that the head of a successful response names no length, so
	// that the bytes that were read count as its size.
	unknownLength bool
	// ready is closed when the download may be sent to a target or is dropped, for the
	// reason that refusal then holds.
	ready   chan struct{}
	refusal *linkshare.Refusal
}

// admit counts a request that has arrived and returns the transfer of its response, or
// why it is refused. The transfer is nil if the link isn't scheduled.
func (s *linkScheduler) admit(a *activeRequest, now, service time.Duration) (*transfer, *linkshare.Refusal) {
	if s == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share.Count(now, linkshare.In, int64(len(a.req.Body))+messageHeadBytes)
	d, refusal := s.share.Admit(now, linkshare.Demand{
		Route: a.name, Objective: a.arrived + a.route.LatencyObjective, Service: service,
		Limited: a.route.Kind == items.Download && a.req.Method != http.MethodHead && !a.relayed,
	})
	if refusal != nil {
		s.noteRefusal(now, a.name, refusal)
		return nil, refusal
	}
	t := &transfer{s: s, d: d, route: a.name, ready: make(chan struct{})}
	if d.Started() {
		close(t.ready)
	} else {
		s.waiting[d] = t
		s.startWaiting(now)
	}
	return t, nil
}

// noteRefusal counts a refused download and logs at most one line in refusalLogInterval;
// the mutex is held.
func (s *linkScheduler) noteRefusal(now time.Duration, route string, r *linkshare.Refusal) {
	s.refused.Inc()
	s.unlogged++
	if now-s.loggedAt < refusalLogInterval {
		return
	}
	s.logger.WithFields(log.Fields{
		"count": s.unlogged, "route": route, "owed_bytes": r.Owed, "expected": r.Expected.Round(time.Millisecond), "retry_after": r.After.Round(time.Millisecond),
	}).Info("downloads refused because of the link")
	s.unlogged, s.loggedAt = 0, now
}

func (s *linkScheduler) startNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startWaiting(s.now())
}

// startWaiting lets waiting downloads go on; the mutex is held.
func (s *linkScheduler) startWaiting(now time.Duration) {
	for {
		d, refusal := s.share.StartNext(now)
		if d == nil {
			break
		}
		t := s.waiting[d]
		delete(s.waiting, d)
		if t.refusal = refusal; refusal != nil {
			s.noteRefusal(now, t.route, refusal)
		}
		close(t.ready)
	}
	if s.share.Waiting() {
		s.starts.Reset(startPollInterval)
	}
}

func (s *linkScheduler) dispatch(dir linkshare.Direction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass(dir)
}

// pass lets chunks pass as far as the link has room; the mutex is held.
func (s *linkScheduler) pass(dir linkshare.Direction) {
	for {
		c, wait := s.share.Next(s.now(), dir)
		if c == nil {
			if wait > 0 {
				s.timers[dir].Reset(wait)
			}
			return
		}
		close(c.Ready)
	}
}

// awaitStart waits until the download may be sent or is dropped. It returns false if ctx
// ends before.
func (t *transfer) awaitStart(ctx context.Context) bool {
	select {
	case <-t.ready:
		return true
	default:
	}
	began := t.s.now()
	defer func() { t.s.waits.WithLabelValues("start").Observe((t.s.now() - began).Seconds()) }()
	select {
	case <-t.ready:
		return true
	case <-ctx.Done():
		return false
	}
}

// announce records the head of a response.
func (t *transfer) announce(method string, r *upstream.Response) {
	if t == nil {
		return
	}
	s := t.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.share.Count(now, linkshare.In, messageHeadBytes)
	if method == http.MethodHead {
		return
	}
	s.share.Announce(now, t.d, r.Length)
	s.share.Track(t.d)
	if t.unknownLength = r.Length < 0 && r.Status == http.StatusOK; r.Length >= 0 && r.Status == http.StatusOK {
		s.share.Observe(t.route, r.Length)
	}
}

// receiving reports whether a long response is being received.
func (t *transfer) receiving() bool {
	if t == nil {
		return false
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	return t.d.Bulk()
}

// end releases the transfer's part of the link.
func (t *transfer) end() {
	if t == nil {
		return
	}
	s := t.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.unknownLength {
		s.share.Observe(t.route, t.d.Passed())
		t.unknownLength = false
	}
	delete(s.waiting, t.d)
	s.share.End(t.d)
	s.startWaiting(s.now())
}

// paceIn returns how the response is read from its target until ctx ends, or nil.
func (t *transfer) paceIn(ctx context.Context) func(n int) (int, error) {
	if t == nil {
		return nil
	}
	return func(n int) (int, error) { return t.wait(ctx, linkshare.In, n) }
}

// paceOut paces the writing of the response to its caller.
func (t *transfer) paceOut(ctx context.Context, n int) (int, error) {
	return t.wait(ctx, linkshare.Out, n)
}

// wait returns how many of the next n bytes may pass the link now.
func (t *transfer) wait(ctx context.Context, dir linkshare.Direction, n int) (int, error) {
	s := t.s
	s.mu.Lock()
	began := s.now()
	c := s.share.Ask(began, t.d, dir, n)
	if c == nil {
		s.mu.Unlock()
		return n, nil
	}
	s.share.Track(t.d)
	s.pass(dir)
	s.mu.Unlock()
	select {
	case <-c.Ready:
		stage := "in"
		if dir == linkshare.Out {
			stage = "out"
		}
		s.waits.WithLabelValues(stage).Observe((s.now() - began).Seconds())
		return c.Bytes, nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.share.Withdraw(c)
		return 0, ctx.Err()
	}
}

// admitDownload asks for the transfer of the response over the link of this VM. It
// returns the answer to a request that is refused, and false.
func (a *activeRequest) admitDownload(now time.Duration) (Result, bool) {
	if a.g.link == nil {
		return Result{}, true
	}
	a.g.mu.Lock()
	service := a.g.workOf(a.name, a.route)
	a.g.mu.Unlock()
	var refusal *linkshare.Refusal
	if a.transfer, refusal = a.g.link.admit(a, now, service); refusal != nil {
		a.g.metrics.requests.WithLabelValues(string(a.route.Kind), string(errkind.Overloaded)).Inc()
		return a.g.refuseDownload(refusal), false
	}
	return Result{}, true
}

// refuseDownload returns the answer to a download that the link can't deliver in time.
// Callers that were refused together return one after the other.
func (g *Gateway) refuseDownload(r *linkshare.Refusal) Result {
	result := g.refuse(errkind.New(errkind.Overloaded, "the link of this VM delivers the response after %v, %d bytes are owed", r.Expected.Round(time.Millisecond), r.Owed))
	g.mu.Lock()
	defer g.mu.Unlock()
	spread := time.Duration(g.rng.Float64() * float64(r.After) / 2)
	result.RetryAfter = min(result.RetryAfter+r.After+spread, maxLinkRetryAfter)
	return result
}

// runOnLink runs the request once the link has room for its response.
func (a *activeRequest) runOnLink(ctx context.Context) Result {
	if a.transfer == nil {
		return a.run(ctx)
	}
	delivers := false
	defer func() {
		if !delivers {
			a.transfer.end()
		}
	}()
	result := a.runOnceStarted(ctx)
	if delivers = result.Response != nil; !delivers {
		return result
	}
	a.g.link.count(linkshare.Out, 0)
	result.Response.Pace = a.transfer.paceOut
	if a.transfer.receiving() {
		result.Response.MaxUnsent = maxUnsentBytes
	}
	result.Response.OnClose(a.transfer.end)
	return result
}

// runOnceStarted runs the request as soon as its download may be sent.
func (a *activeRequest) runOnceStarted(ctx context.Context) Result {
	switch {
	case !a.transfer.awaitStart(ctx) && a.g.stopping.ended():
		return a.failureResult(errStopping())
	case ctx.Err() != nil:
		return a.failureResult(errkind.New(errkind.QueueTimeout, "the link had no room for the response in time"))
	case a.transfer.refusal != nil:
		return a.g.refuseDownload(a.transfer.refusal)
	}
	return a.run(ctx)
}
