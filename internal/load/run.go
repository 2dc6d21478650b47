package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/target"
)

// runner sends the requests of one run.
type runner struct {
	cfg    Config
	client *http.Client
	result *Result
	start  time.Time
	wait   sync.WaitGroup
	// slots limits the requests in flight.
	slots chan struct{}
	lb    *balancer
	// lastID is the number in the last idempotency key.
	lastID uint64
}

// request is one request of a caller. Its retries have the same idempotency key.
type request struct {
	stream *Stream
	key    string
	// id is the idempotency key of a POST request; it is empty for a GET request.
	id string
}

// Run sends requests at a fixed rate, independent of the responses to earlier ones
// (an open-loop load), and returns the results that callers observed.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, MaxIdleConns: 0, IdleConnTimeout: 30 * time.Second}
	lbCtx, stop := context.WithCancel(ctx)
	defer stop()
	r := &runner{
		lb:  newBalancer(lbCtx, cfg.Entries, cfg.ReadinessURLs),
		cfg: cfg, client: &http.Client{Transport: transport},
		result: newResult(cfg.Duration), start: time.Now(),
		slots: make(chan struct{}, cfg.MaxInFlight),
	}
	r.generate(ctx)
	r.wait.Wait()
	transport.CloseIdleConnections()
	return r.result, nil
}

// generate starts requests at regular intervals until the duration has passed.
func (r *runner) generate(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	interval := time.Duration(float64(time.Second) / r.cfg.Rate)
	for next := time.Duration(0); next < r.cfg.Duration && ctx.Err() == nil; next += interval {
		if ahead := next - time.Since(r.start); ahead > 0 {
			time.Sleep(ahead)
		}
		q := r.nextRequest(rng)
		entry := rng.IntN(len(r.cfg.Entries))
		select {
		case r.slots <- struct{}{}:
			r.wait.Add(1)
			go r.send(ctx, q, entry)
		default:
			r.result.countUnsent()
		}
	}
}

// nextRequest returns the next request with a random stream, key and method.
func (r *runner) nextRequest(rng *rand.Rand) request {
	remaining, stream := rng.Float64(), &r.cfg.Streams[0]
	for i := range r.cfg.Streams {
		stream = &r.cfg.Streams[i]
		if remaining -= stream.Share; remaining < 0 {
			break
		}
	}
	q := request{stream: stream, key: "k0"}
	if rng.Float64() >= stream.HotShare {
		q.key = "k" + strconv.Itoa(rng.IntN(stream.Keys))
	}
	if rng.Float64() < stream.PostShare {
		r.lastID++
		q.id = fmt.Sprintf("load-%d-%d", r.cfg.Seed, r.lastID)
	}
	return q
}

// send sends a request. It retries a POST request at other entries until it is
// answered or the retries are used up, and probes the key of a request that failed.
func (r *runner) send(ctx context.Context, q request, entry int) {
	defer r.wait.Done()
	defer func() { <-r.slots }()
	started := time.Now()
	outcome, kind := r.attempt(ctx, q, entry, started)
	for n := 1; q.id != "" && n <= r.cfg.MaxRetries && outcome != errkind.Answered; n++ {
		time.Sleep(time.Duration(n) * 50 * time.Millisecond)
		r.result.countRetry()
		outcome, kind = r.retry(ctx, q, entry+n, started, outcome)
	}
	r.result.add(q, outcome, kind, started.Sub(r.start), time.Since(started))
	if outcome != errkind.Answered {
		r.probe(ctx, q, entry, started)
	}
}

// Interval and maximum duration of the probes after a failed request.
const (
	probeInterval = 20 * time.Millisecond
	probeTimeout  = 30 * time.Second
)

// probe sends GET requests for the key of a failed request until one is answered.
// The unavailable time of the key is thus measured to within one probe interval,
// independent of when the next request of the load uses the key.
func (r *runner) probe(ctx context.Context, q request, entry int, failed time.Time) {
	get := request{stream: q.stream, key: q.key}
	if !r.result.beginProbe(get, failed.Sub(r.start)) {
		return
	}
	for time.Since(failed) < probeTimeout && ctx.Err() == nil {
		if outcome, _ := r.attempt(ctx, get, entry, time.Now()); outcome == errkind.Answered {
			r.result.endProbe(get, time.Since(r.start))
			return
		}
		entry++
		time.Sleep(probeInterval)
	}
}

// retry sends a POST request again and returns its combined outcome. If the outcome
// of an earlier attempt is unknown, not_run for this attempt leaves it unknown,
// because the earlier attempt may have run.
func (r *runner) retry(ctx context.Context, q request, entry int, started time.Time, before errkind.Outcome) (errkind.Outcome, string) {
	outcome, kind := r.attempt(ctx, q, entry, started)
	if outcome == errkind.NotRun && before == errkind.Unknown {
		return errkind.Unknown, kind
	}
	return outcome, kind
}

// attempt sends a request once and returns its outcome and the name of its result.
// After a connection error the outcome is unknown.
func (r *runner) attempt(ctx context.Context, q request, entry int, firstSent time.Time) (errkind.Outcome, string) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Deadline+time.Second)
	defer cancel()
	resp, err := r.client.Do(r.newRequest(ctx, q, r.lb.pick(entry), firstSent))
	if err != nil {
		return errkind.Unknown, "connection"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errkind.Unknown, "connection"
	}
	return errkind.Outcome(resp.Header.Get(target.HeaderOutcome)), resultName(resp)
}

// newRequest returns the HTTP request for one attempt.
func (r *runner) newRequest(ctx context.Context, q request, entry string, firstSent time.Time) *http.Request {
	method, body := http.MethodGet, ""
	if q.id != "" {
		method, body = http.MethodPost, `{"amount": 1}`
	}
	req, err := http.NewRequestWithContext(ctx, method, entry+q.stream.Path, strings.NewReader(body))
	if err != nil {
		panic(err) // the URL of the entry or the path of the stream is invalid
	}
	req.Header.Set(target.HeaderTenant, q.stream.Tenant)
	req.Header.Set(target.HeaderService, q.stream.Service)
	req.Header.Set(target.HeaderKey, q.key)
	req.Header.Set(target.HeaderDeadline, strconv.FormatInt(r.cfg.Deadline.Milliseconds(), 10))
	if q.id != "" {
		req.Header.Set(target.HeaderIdemKey, q.id)
		req.Header.Set(target.HeaderFirstSent, strconv.FormatInt(firstSent.UnixMilli(), 10))
	}
	return req
}

// resultName returns the name of a response in the report: its status and its error
// kind, if it has one.
func resultName(resp *http.Response) string {
	name := strconv.Itoa(resp.StatusCode)
	if kind := resp.Header.Get(target.HeaderErrorKind); kind != "" {
		name += " " + kind
	}
	return name
}
