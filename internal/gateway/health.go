package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

// Limits of health checks.
const (
	// firstCheckDelay is the delay before the first health check of a target
	// that failed, and maxCheckDelay is the longest delay between two checks.
	// Health checks are billed.
	firstCheckDelay = 300 * time.Millisecond
	maxCheckDelay   = 4 * time.Second
	// checkTimeout bounds one health check.
	checkTimeout = 700 * time.Millisecond
	// maxHealthBytes bounds the body of the response to a health check, in bytes. A link
	// of 450 KB/s carries about as much within checkTimeout.
	maxHealthBytes = 320 << 10
	// forever blocks a target until it is unblocked.
	forever = time.Duration(1<<63 - 1)
)

// blockUntilHealthy keeps a target from being chosen until it passes a health
// check; the mutex is held.
func (g *Gateway) blockUntilHealthy(c choice) {
	if c.state.recovering {
		return
	}
	c.state.recovering = true
	c.state.checks++
	checks := c.state.checks
	c.state.Block(forever)
	g.cfg.Logger.WithFields(log.Fields{"target": c.endpoint.ID, "address": c.endpoint.Address}).Warn("target lost")
	g.pool.CloseIdle(c.endpoint.Address)
	g.start(func(ctx context.Context) { g.checkUntilHealthy(ctx, c, checks) })
}

// checkUntilHealthy checks a target until it is healthy or gone from the view, or
// until the checks with the given number are abandoned. It pauses while this VM
// reaches no target.
func (g *Gateway) checkUntilHealthy(ctx context.Context, c choice, checks int) {
	interval := firstCheckDelay
	for clock.Sleep(ctx, g.checkDelay(c, interval)) {
		e, ok := g.view.Load().Endpoint(c.endpoint.ID)
		if !ok || e.StartMs != c.endpoint.StartMs || g.leaving(c) {
			return
		}
		if g.isolated() {
			continue
		}
		if g.checksAbandoned(c, checks) {
			return
		}
		if coldFor, healthy := g.checkHealth(ctx, c); healthy {
			now := g.now()
			g.mu.Lock()
			c.state.Unblock()
			c.state.recovering = false
			c.state.coldUntil = now + coldFor
			g.released(c, now)
			g.mu.Unlock()
			g.cfg.Logger.WithFields(log.Fields{"target": c.endpoint.ID, "cold_for": coldFor}).Info("target healthy again")
			return
		}
		interval = min(2*interval, maxCheckDelay)
	}
}

// checksAbandoned reports whether the target was made usable meanwhile.
func (g *Gateway) checksAbandoned(c choice, checks int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.state.checks != checks
}

// checkHealth sends a health check to a target and returns how long the target
// stays cold and whether it is healthy.
func (g *Gateway) checkHealth(ctx context.Context, c choice) (coldFor time.Duration, healthy bool) {
	service, ok := g.view.Load().Service(c.endpoint.Service)
	if !ok {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	g.metrics.probes.Inc()
	resp, failure := g.pool.Do(ctx, &upstream.Request{
		Addr: c.endpoint.Address, Method: http.MethodGet, URI: service.HealthPath, Host: c.endpoint.Address, Header: http.Header{}, MaxBufferedBytes: holdBytes,
		// A response with an ID is a late duplicate of that to a request.
		Accept: func(r *upstream.Response) bool { return g.cfg.Dialect.Read(r).RequestID == "" },
	})
	if failure != nil {
		return 0, false
	}
	defer resp.Close()
	if !readHealth(resp) {
		return 0, false
	}
	s := g.cfg.Dialect.Read(resp)
	if s.Target == c.endpoint.ID {
		s.Limit.Unknown = !g.healthNamesLimit(c, s.Limit)
		g.updateAvailability(c, s)
	}
	return s.ColdFor, resp.Status == http.StatusOK && s.Target == c.endpoint.ID
}

// readHealth reads the rest of the response to a health check. It reports whether the
// response is complete, valid and not too long.
func readHealth(resp *upstream.Response) bool {
	if resp.Rest == nil {
		return true
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Rest, maxHealthBytes+1-int64(len(resp.Body))))
	return err == nil && int64(len(resp.Body))+n <= maxHealthBytes
}
