// Package entry serves callers over HTTP: it reads a request, checks in which
// regions it may run, relays it to the dispatcher of a target and writes the
// complete response.
package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/callers"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/record"
	"github.com/flamingoreel/flamingoreel/internal/relay"
	"github.com/flamingoreel/flamingoreel/internal/routing"
	"github.com/flamingoreel/flamingoreel/internal/target"
	"github.com/flamingoreel/flamingoreel/internal/tenant"
)

// Router is the part of a VM that its entry uses.
type Router interface {
	// Table returns the current routing table; its Text is nil before the first
	// configuration.
	Table() *control.Table
	// LeaseValid reports whether this VM may accept requests and send them to
	// targets.
	LeaseValid() bool
	// Relay forwards a request to the dispatcher on the named VM.
	Relay(ctx context.Context, vm string, req *relay.Request) (*relay.Reply, *errkind.Error)
	// Announce processes the announcement of a target.
	Announce(a target.Announcement) *errkind.Error
}

// Config holds the settings and dependencies of an Entry.
type Config struct {
	Region     string
	DataCentre string
	Router     Router
	Records    *record.Coordinator
	// Now is the monotonic time since the process started.
	Now func() time.Duration
	// Bodies reads the bodies of requests; nil means without a limit on their memory.
	Bodies   *callers.BodyReader
	Seed     uint64
	Logger   log.Interface
	Registry prometheus.Registerer
}

// Entry serves callers and target announcements.
type Entry struct {
	cfg       Config
	echo      *echo.Echo
	metrics   *metrics
	budget    *routing.Budget
	hedges    *routing.Budget
	selectors *selectors
}

// New returns an entry. The caller serves its Handler.
func New(cfg Config) *Entry {
	if cfg.Bodies == nil {
		cfg.Bodies = callers.NewBodies(0)
	}
	e := &Entry{
		cfg:       cfg,
		echo:      echo.New(),
		metrics:   newMetrics(cfg.Registry),
		budget:    routing.NewBudget(defaultRetryBudget),
		hedges:    routing.NewBudget(defaultHedgeBudget),
		selectors: newSelectors(cfg.Seed),
	}
	e.echo.HideBanner = true
	e.echo.POST(target.AnnouncePath, e.announce)
	e.echo.Any("/*", e.serve)
	return e
}

// Handler returns the HTTP handler of the caller address.
func (e *Entry) Handler() http.Handler { return e.echo }

// announce handles the announcement of a target.
func (e *Entry) announce(c echo.Context) error {
	body, failure := e.readBody(c, maxAnnouncementBytes, announceTimeout)
	if failure != nil {
		return writeError(c, failure)
	}
	defer body.Release()
	var a target.Announcement
	if err := json.Unmarshal(body.Bytes, &a); err != nil {
		return writeError(c, errkind.New(errkind.BadRequest, "the announcement is not valid JSON"))
	}
	if err := e.cfg.Router.Announce(a); err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, map[string]bool{"accepted": true})
}

// serve handles one request of a caller and writes the response.
func (e *Entry) serve(c echo.Context) error {
	start := e.cfg.Now()
	req, reply, err := e.handle(c)
	e.metrics.observe(req, err, e.cfg.Now()-start)
	if err != nil {
		return writeError(c, err)
	}
	return writeReply(c, reply)
}

// handle reads a request, checks it and routes it. The tenant's home regions
// are checked before the body is read.
func (e *Entry) handle(c echo.Context) (*relay.Request, *relay.Reply, *errkind.Error) {
	req, err := readHeaders(c.Request())
	if err != nil {
		return req, nil, err
	}
	table, err := e.table(c.Request().Context())
	if err != nil {
		return req, nil, refuseUnchecked(req, err)
	}
	if err := e.checkHomeRegion(c, table, req); err != nil {
		return req, nil, err
	}
	limits := table.Text().Limits
	timeout := requestTimeout(c.Request(), limits.DefaultDeadline)
	body, err := e.readBody(c, limits.MaxBodyBytes, timeout)
	if err != nil {
		return req, nil, refuseUnread(req, err)
	}
	defer body.Release()
	req.Body = body.Bytes
	ctx, cancel := context.WithTimeout(c.Request().Context(), timeout)
	defer cancel()
	reply, err := e.route(ctx, req)
	if err == nil {
		return req, reply, nil
	}
	reply, err = e.confirmRefusal(c.Request().Context(), table, req, err)
	return req, reply, err
}

// table returns the routing table. Without a valid lease or a configuration it
// waits for up to leaseWait, so that a short loss of the control leader does
// not lead to refused requests.
func (e *Entry) table(ctx context.Context) (*control.Table, *errkind.Error) {
	limit := e.cfg.Now() + leaseWait
	for {
		if t := e.cfg.Router.Table(); e.cfg.Router.LeaseValid() && t.Text() != nil {
			return t, nil
		}
		if e.cfg.Now() >= limit || !sleep(ctx, minRetryDelay) {
			return nil, errkind.New(errkind.NoLease, "this VM is not in contact with the control leader")
		}
	}
}

// checkHomeRegion refuses a request of a tenant whose home regions do not
// include this VM's region, and lists in HeaderEntries the entry VMs that may
// accept it. It closes the connection so that the server does not read the body
// after the refusal.
func (e *Entry) checkHomeRegion(c echo.Context, table *control.Table, req *relay.Request) *errkind.Error {
	t, ok := table.Tenant(req.Tenant)
	if !ok {
		return errkind.New(errkind.UnknownTenant, "tenant is not configured")
	}
	req.Residency = tenant.Residency(t)
	if req.Residency.Allows(e.cfg.Region) {
		return nil
	}
	var entries []string
	for _, vm := range table.VMs() {
		if req.Residency.Allows(vm.Region) {
			entries = append(entries, vm.CallerAddr)
		}
	}
	c.Response().Header().Set(target.HeaderEntries, strings.Join(entries, ","))
	c.Response().Header().Set(echo.HeaderConnection, "close")
	return errkind.New(errkind.WrongRegion, "region %s is outside the tenant's home regions", e.cfg.Region)
}

// refuseUnchecked returns the error for a request that is refused with err while
// no record can be looked up. It is EarlierUnknown for a non-idempotent request,
// because an earlier request with the same key may have run.
func refuseUnchecked(req *relay.Request, err *errkind.Error) *errkind.Error {
	if req.Idempotent() {
		return err
	}
	return errkind.Wrap(errkind.EarlierUnknown, err, "this request did not run; whether an earlier one with the same key ran is not known")
}

// readHeaders reads a request without its body.
func readHeaders(r *http.Request) (*relay.Request, *errkind.Error) {
	h := r.Header
	req := &relay.Request{
		Tenant:  h.Get(target.HeaderTenant),
		Service: h.Get(target.HeaderService),
		Key:     h.Get(target.HeaderKey),
		Class:   relay.Class(h.Get(target.HeaderClass)),
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Header:  forwardedHeaders(h),
	}
	if req.Tenant == "" || req.Service == "" || req.Key == "" {
		return req, errkind.New(errkind.BadRequest, "headers %s, %s and %s are required",
			target.HeaderTenant, target.HeaderService, target.HeaderKey)
	}
	if err := readClass(req); err != nil {
		return req, err
	}
	if req.Idempotent() {
		return req, nil
	}
	return req, readIdentity(req, h)
}

func readClass(req *relay.Request) *errkind.Error {
	switch req.Class {
	case relay.Interactive, relay.Write, relay.Batch:
	case "":
		req.Class = relay.Write
		if req.Idempotent() {
			req.Class = relay.Interactive
		}
	default:
		return errkind.New(errkind.BadRequest, "header %s must be interactive, write or batch", target.HeaderClass)
	}
	return nil
}

// readIdentity reads the headers by which a non-idempotent request runs at most
// once: the idempotency key and the time of the first attempt.
func readIdentity(req *relay.Request, h http.Header) *errkind.Error {
	req.IdempotencyKey = h.Get(target.HeaderIdemKey)
	if req.IdempotencyKey == "" || len(req.IdempotencyKey) > maxKeyBytes {
		return errkind.New(errkind.BadRequest, "header %s is required and at most %d bytes", target.HeaderIdemKey, maxKeyBytes)
	}
	firstSent, err := strconv.ParseInt(h.Get(target.HeaderFirstSent), 10, 64)
	if err != nil {
		return errkind.New(errkind.BadRequest, "header %s must be the unix time in ms of the first attempt", target.HeaderFirstSent)
	}
	req.FirstSentMs = firstSent
	return nil
}

// unforwardedHeaders are the hop-by-hop headers, which belong to one connection,
// and headers that flamingoreel itself reads or writes.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Content-Length": true, "Host": true,
}

// forwardedHeaders returns the headers to forward: all but unforwardedHeaders and
// those of flamingoreel.
func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if unforwardedHeaders[name] || strings.HasPrefix(name, "Flamingoreel-") {
			continue
		}
		out[name] = values
	}
	return out
}

const (
	// maxAnnouncementBytes bounds the announcement of a target, which has a few hundred
	// bytes.
	maxAnnouncementBytes = 64 << 10
	// announceTimeout bounds the time in which it is received.
	announceTimeout = 10 * time.Second
)

// readBody reads the body of a request within a limit in bytes and a timeout. The body must
// be released.
func (e *Entry) readBody(c echo.Context, limit int, timeout time.Duration) (*callers.Body, *errkind.Error) {
	limits := callers.LimitsOf(nil)
	limits.BodyBytes = int64(limit)
	body, err := e.cfg.Bodies.Read(c.Response(), c.Request(), limits, timeout)
	if err != nil && err.Kind == errkind.BodyTooLarge {
		return nil, errkind.New(errkind.BadRequest, "the body is larger than %d bytes", limit)
	}
	return body, err
}

// refuseUnread returns the error for a request whose body was not received. Without the body
// no record can be looked up.
func refuseUnread(req *relay.Request, err *errkind.Error) *errkind.Error {
	if err.Kind == errkind.BadRequest {
		return err
	}
	return refuseUnchecked(req, err)
}

// requestTimeout returns the time that the caller allows for the request, at most
// maxDeadline. A missing or invalid header means defaultTimeout.
func requestTimeout(r *http.Request, defaultTimeout time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(target.HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return defaultTimeout
	}
	return min(time.Duration(ms)*time.Millisecond, maxDeadline)
}

// writeReply writes a reply as the response to the caller.
func writeReply(c echo.Context, reply *relay.Reply) error {
	header := c.Response().Header()
	for name, values := range reply.Header {
		if !unforwardedHeaders[name] {
			header[name] = values
		}
	}
	header.Set(target.HeaderOutcome, string(errkind.Answered))
	if reply.Target != "" {
		header.Set(target.HeaderServedFrom, reply.Target)
	}
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(reply.Body)))
	c.Response().WriteHeader(reply.Status)
	if c.Request().Method == http.MethodHead {
		return nil
	}
	_, err := c.Response().Write(reply.Body)
	return err
}

// errorBody is the body of an error response.
type errorBody struct {
	Kind      errkind.Kind    `json:"kind"`
	Message   string          `json:"message"`
	Outcome   errkind.Outcome `json:"outcome"`
	RetrySafe bool            `json:"retry_safe"`
}

// writeError writes the response that errkind defines for the kind of err.
func writeError(c echo.Context, err *errkind.Error) error {
	resp := errkind.ResponseFor(err.Kind)
	header := c.Response().Header()
	header.Set(target.HeaderOutcome, string(resp.Outcome))
	header.Set(target.HeaderErrorKind, string(err.Kind))
	return c.JSON(resp.Status, errorBody{Kind: err.Kind, Message: err.Message, Outcome: resp.Outcome, RetrySafe: resp.RetrySafe})
}
