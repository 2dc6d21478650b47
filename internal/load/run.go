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
	began  time.Time
	wait   sync.WaitGroup
	slots  chan struct{}
	lb     *balancer
	ids    uint64
}

// request is one caller's request with all its resends.
type request struct {
	stream *Stream
	key    string
	// id is the idempotency key of a posting; empty for a read.
	id string
}

// Run sends requests at a fixed rate, whether or not earlier ones were
// answered, and returns what callers saw.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, MaxIdleConns: 0, IdleConnTimeout: 30 * time.Second}
	lbCtx, stop := context.WithCancel(ctx)
	defer stop()
	r := &runner{
		lb:  newBalancer(lbCtx, cfg.Entries, cfg.Checks),
		cfg: cfg, client: &http.Client{Transport: transport},
		result: newResult(cfg.Duration), began: time.Now(),
		slots: make(chan struct{}, cfg.MaxInFlight),
	}
	r.generate(ctx)
	r.wait.Wait()
	transport.CloseIdleConnections()
	return r.result, nil
}

// generate starts requests by the clock until the duration has passed.
func (r *runner) generate(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	interval := time.Duration(float64(time.Second) / r.cfg.Rate)
	for next := time.Duration(0); next < r.cfg.Duration && ctx.Err() == nil; next += interval {
		if ahead := next - time.Since(r.began); ahead > 0 {
			time.Sleep(ahead)
		}
		q := r.draw(rng)
		via := rng.IntN(len(r.cfg.Entries))
		select {
		case r.slots <- struct{}{}:
			r.wait.Add(1)
			go r.send(ctx, q, via)
		default:
			r.result.notSent()
		}
	}
}

// draw picks stream, key and kind of the next request.
func (r *runner) draw(rng *rand.Rand) request {
	pick, stream := rng.Float64(), &r.cfg.Streams[0]
	for i := range r.cfg.Streams {
		stream = &r.cfg.Streams[i]
		if pick -= stream.Share; pick < 0 {
			break
		}
	}
	q := request{stream: stream, key: "k0"}
	if rng.Float64() >= stream.Hot {
		q.key = "k" + strconv.Itoa(rng.IntN(stream.Keys))
	}
	if rng.Float64() < stream.PostShare {
		r.ids++
		q.id = fmt.Sprintf("load-%d-%d", r.cfg.Seed, r.ids)
	}
	return q
}

// send sends a request, and a posting again through other entries while its
// outcome is not known.
func (r *runner) send(ctx context.Context, q request, via int) {
	defer r.wait.Done()
	defer func() { <-r.slots }()
	started := time.Now()
	outcome, kind := r.attempt(ctx, q, via, started)
	for n := 1; q.id != "" && n <= r.cfg.Resends && outcome != errkind.Answered; n++ {
		time.Sleep(time.Duration(n) * 50 * time.Millisecond)
		r.result.resent()
		outcome, kind = r.resolve(ctx, q, via+n, started, outcome)
	}
	r.result.add(q, outcome, kind, started.Sub(r.began), time.Since(started))
	if outcome != errkind.Answered {
		r.probe(ctx, q, via, started)
	}
}

// Bounds of the probes after a failed request.
const (
	probePause = 20 * time.Millisecond
	probeLimit = 30 * time.Second
)

// probe reads the key of a failed request again and again until it is
// answered, so that the time in which the key is not served is measured to
// within one pause and not until the next request that happens to come.
func (r *runner) probe(ctx context.Context, q request, via int, failed time.Time) {
	read := request{stream: q.stream, key: q.key}
	if !r.result.beginProbe(read, failed.Sub(r.began)) {
		return
	}
	for time.Since(failed) < probeLimit && ctx.Err() == nil {
		if outcome, _ := r.attempt(ctx, read, via, time.Now()); outcome == errkind.Answered {
			r.result.endProbe(read, time.Since(r.began))
			return
		}
		via++
		time.Sleep(probePause)
	}
}

// resolve sends a posting again. Once an attempt ended with an unknown
// outcome, a later not_run does not make the posting known as not run.
func (r *runner) resolve(ctx context.Context, q request, via int, started time.Time, before errkind.Outcome) (errkind.Outcome, string) {
	outcome, kind := r.attempt(ctx, q, via, started)
	if outcome == errkind.NotRun && before == errkind.Unknown {
		return errkind.Unknown, kind
	}
	return outcome, kind
}

// attempt sends a request once and returns its outcome. A broken connection
// says nothing about the outcome.
func (r *runner) attempt(ctx context.Context, q request, via int, firstSent time.Time) (errkind.Outcome, string) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Deadline+time.Second)
	defer cancel()
	resp, err := r.client.Do(r.build(ctx, q, r.lb.pick(via), firstSent))
	if err != nil {
		return errkind.Unknown, "connection"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errkind.Unknown, "connection"
	}
	return errkind.Outcome(resp.Header.Get(target.HeaderOutcome)), result(resp)
}

func (r *runner) build(ctx context.Context, q request, entry string, firstSent time.Time) *http.Request {
	method, body := http.MethodGet, ""
	if q.id != "" {
		method, body = http.MethodPost, `{"amount": 1}`
	}
	req, err := http.NewRequestWithContext(ctx, method, entry+q.stream.Path, strings.NewReader(body))
	if err != nil {
		panic(err) // the entries were checked at the start of the run
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

// result names an answer in the report: its status and error kind.
func result(resp *http.Response) string {
	name := strconv.Itoa(resp.StatusCode)
	if kind := resp.Header.Get(target.HeaderErrorKind); kind != "" {
		name += " " + kind
	}
	return name
}
