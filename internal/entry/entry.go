// Package entry is the caller's side of a VM: it reads requests over HTTP,
// checks where they may go, relays them to the owner's dispatcher and writes
// whole answers.
package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/record"
	"github.com/flamingoreel/flamingoreel/internal/relay"
	"github.com/flamingoreel/flamingoreel/internal/routing"
	"github.com/flamingoreel/flamingoreel/internal/target"
	"github.com/flamingoreel/flamingoreel/internal/tenant"
)

// Router is what an entry needs from its VM.
type Router interface {
	// Table returns the routing table in force; its Text is nil before the
	// first configuration.
	Table() *control.Table
	// LeaseValid reports whether this VM may take and send work.
	LeaseValid() bool
	// Relay hands a request to the dispatcher on the named VM.
	Relay(ctx context.Context, vm string, req *relay.Request) (*relay.Reply, *errkind.Error)
	// Announce takes in the announcement of a target.
	Announce(a target.Announcement) *errkind.Error
}

// Config is what an entry needs.
type Config struct {
	Region     string
	DataCentre string
	Router     Router
	Records    *record.Coordinator
	// Now is the monotonic time since the process started.
	Now      func() time.Duration
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

// New returns an entry; serve its Handler.
func New(cfg Config) *Entry {
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

// announce takes in a target's announcement.
func (e *Entry) announce(c echo.Context) error {
	var a target.Announcement
	if err := c.Bind(&a); err != nil {
		return writeError(c, errkind.New(errkind.BadRequest, "the announcement is not valid JSON"))
	}
	if err := e.cfg.Router.Announce(a); err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, map[string]bool{"accepted": true})
}

// serve answers one caller.
func (e *Entry) serve(c echo.Context) error {
	arrived := e.cfg.Now()
	req, reply, err := e.handle(c)
	e.metrics.observe(req, err, e.cfg.Now()-arrived)
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
	if err := e.checkHome(c, table, req); err != nil {
		return req, nil, err
	}
	limits := table.Text().Limits
	if req.Body, err = readBody(c.Request(), limits.MaxBodyBytes); err != nil {
		return req, nil, err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), deadline(c.Request(), limits.DefaultDeadline))
	defer cancel()
	reply, err := e.route(ctx, req)
	if err == nil {
		return req, reply, nil
	}
	reply, err = e.confirmRefusal(c.Request().Context(), table, req, err)
	return req, reply, err
}

// table returns the routing table, waiting a moment for a lease so that a
// short loss of the control leader does not refuse callers.
func (e *Entry) table(ctx context.Context) (*control.Table, *errkind.Error) {
	limit := e.cfg.Now() + leaseWait
	for {
		if t := e.cfg.Router.Table(); e.cfg.Router.LeaseValid() && t.Text() != nil {
			return t, nil
		}
		if e.cfg.Now() >= limit || !sleep(ctx, retryPause) {
			return nil, errkind.New(errkind.NoLease, "this VM is not in contact with the control leader")
		}
	}
}

// checkHome refuses a request of a tenant whose home regions do not include
// this VM's and names the entries that may take it. The connection is closed
// so that the server does not read the body after the refusal.
func (e *Entry) checkHome(c echo.Context, table *control.Table, req *relay.Request) *errkind.Error {
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

// refuseUnchecked returns the error for a request that is refused while no
// record can be looked up.
func refuseUnchecked(req *relay.Request, err *errkind.Error) *errkind.Error {
	if req.Idempotent() {
		return err
	}
	return errkind.Wrap(errkind.EarlierUnknown, err, "this request did not run; whether an earlier one with the same key ran is not known")
}

// readHeaders reads all of a request but its body.
func readHeaders(r *http.Request) (*relay.Request, *errkind.Error) {
	h := r.Header
	req := &relay.Request{
		Tenant:  h.Get(target.HeaderTenant),
		Service: h.Get(target.HeaderService),
		Key:     h.Get(target.HeaderKey),
		Class:   relay.Class(h.Get(target.HeaderClass)),
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Header:  forwarded(h),
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

// readIdentity reads what makes a non-idempotent request run at most once.
func readIdentity(req *relay.Request, h http.Header) *errkind.Error {
	req.IdempotencyKey = h.Get(target.HeaderIdemKey)
	if req.IdempotencyKey == "" || len(req.IdempotencyKey) > maxKeyBytes {
		return errkind.New(errkind.BadRequest, "header %s is required and at most %d bytes", target.HeaderIdemKey, maxKeyBytes)
	}
	firstSent, err := strconv.ParseInt(h.Get(target.HeaderFirstSent), 10, 64)
	if err != nil {
		return errkind.New(errkind.BadRequest, "header %s must be the unix time in ms of the first attempt", target.HeaderFirstSent)
	}
	req.FirstSent = firstSent
	return nil
}

// ownHeaders are read or written by flamingoreel itself, hop-by-hop headers
// belong to one connection; neither is forwarded.
var ownHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Content-Length": true, "Host": true,
}

// forwarded returns the headers that travel with the request.
func forwarded(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if ownHeaders[name] || strings.HasPrefix(name, "Flamingoreel-") {
			continue
		}
		out[name] = values
	}
	return out
}

func readBody(r *http.Request, limit int) ([]byte, *errkind.Error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "the body could not be read")
	}
	if len(body) > limit {
		return nil, errkind.New(errkind.BadRequest, "the body is larger than %d bytes", limit)
	}
	return body, nil
}

// deadline returns the time that the caller gives the request.
func deadline(r *http.Request, byDefault time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(target.HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return byDefault
	}
	return min(time.Duration(ms)*time.Millisecond, maxDeadline)
}

// writeReply writes a whole answer.
func writeReply(c echo.Context, reply *relay.Reply) error {
	header := c.Response().Header()
	for name, values := range reply.Header {
		if !ownHeaders[name] {
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

// errorBody is the body of an answer that carries an error.
type errorBody struct {
	Kind      errkind.Kind    `json:"kind"`
	Message   string          `json:"message"`
	Outcome   errkind.Outcome `json:"outcome"`
	RetrySafe bool            `json:"retry_safe"`
}

// writeError writes the answer that the table gives for the error's kind.
func writeError(c echo.Context, err *errkind.Error) error {
	a := errkind.AnswerFor(err.Kind)
	header := c.Response().Header()
	header.Set(target.HeaderOutcome, string(a.Outcome))
	header.Set(target.HeaderErrorKind, string(err.Kind))
	return c.JSON(a.Status, errorBody{Kind: err.Kind, Message: err.Message, Outcome: a.Outcome, RetrySafe: a.RetrySafe})
}
