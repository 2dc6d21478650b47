// Package admin serves the operators' HTTP interface of a VM: configuration,
// status, health, metrics and profiles.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/flamingoreel/flamingoreel/internal/callers"
	"github.com/flamingoreel/flamingoreel/internal/configtext"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/vm"
)

// Node is the part of a VM that the admin interface uses.
type Node interface {
	ChangeConfig(ctx context.Context, base uint64, content []byte) (control.ChangeResult, []configtext.Fault, *errkind.Error)
	Config(ctx context.Context) (number uint64, content []byte, err error)
	Status(ctx context.Context) (vm.Status, error)
	// NotReadyReason returns the reason for which the VM does not accept callers, or
	// an empty string if it does.
	NotReadyReason() string
}

// ConfigView is the response to GET /v1/config.
type ConfigView struct {
	Number uint64 `json:"number"`
	Text   string `json:"text"`
}

// ConfigChange is the body of PUT /v1/config.
type ConfigChange struct {
	Base uint64 `json:"base"`
	Text string `json:"text"`
}

// ChangeView is the response to PUT /v1/config.
type ChangeView struct {
	Accepted bool   `json:"accepted"`
	Number   uint64 `json:"number"`
	Current  string `json:"current,omitempty"`
}

// FaultsView is the response to PUT /v1/config with an invalid text.
type FaultsView struct {
	Faults []configtext.Fault `json:"faults"`
}

type server struct {
	node   Node
	bodies *callers.BodyReader
}

const (
	// maxChangeBytes bounds the body of a change of the configuration. The text of a
	// deployment with thousands of tenants is smaller.
	maxChangeBytes = 1 << 20
	// changeTimeout bounds the time in which it is received.
	changeTimeout = 10 * time.Second
)

// Handler returns the HTTP handler of the admin address. bodies reads the bodies of its
// requests.
func Handler(node Node, gatherer prometheus.Gatherer, bodies *callers.BodyReader) http.Handler {
	s := &server{node: node, bodies: bodies}
	e := echo.New()
	e.HideBanner = true
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.ready)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})))
	e.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	e.GET("/v1/config", s.getConfig)
	e.PUT("/v1/config", s.putConfig)
	e.GET("/v1/status", s.status)
	return e
}

func (s *server) ready(c echo.Context) error {
	if reason := s.node.NotReadyReason(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

func (s *server) getConfig(c echo.Context) error {
	number, content, err := s.node.Config(c.Request().Context())
	if err != nil {
		return writeError(c, errkind.From(err))
	}
	return c.JSON(http.StatusOK, ConfigView{Number: number, Text: string(content)})
}

func (s *server) putConfig(c echo.Context) error {
	limits := callers.LimitsOf(nil)
	limits.BodyBytes = maxChangeBytes
	body, failure := s.bodies.Read(c.Response(), c.Request(), limits, changeTimeout)
	if failure != nil {
		return writeError(c, failure)
	}
	defer body.Release()
	var change ConfigChange
	if err := json.Unmarshal(body.Bytes, &change); err != nil {
		return writeError(c, errkind.New(errkind.BadRequest, "the change is not valid JSON"))
	}
	if !body.Reserve(parsedBytes(change.Text)) {
		return writeError(c, errkind.New(errkind.Overloaded, "the memory of this VM does not suffice to check a text with so many values"))
	}
	result, faults, err := s.node.ChangeConfig(c.Request().Context(), change.Base, []byte(change.Text))
	switch {
	case len(faults) > 0:
		return c.JSON(http.StatusUnprocessableEntity, FaultsView{Faults: faults})
	case err != nil:
		return writeError(c, err)
	case !result.Accepted:
		return c.JSON(http.StatusConflict, ChangeView{Number: result.Number, Current: string(result.Current)})
	}
	return c.JSON(http.StatusOK, ChangeView{Accepted: true, Number: result.Number})
}

// memoryPerToken is the estimated memory in bytes of a token of a text and of its nodes.
const memoryPerToken = 600

// parsedBytes estimates the memory that is needed to check a text.
func parsedBytes(text string) int64 {
	tokens := 0
	for _, separator := range []string{"\n", ":", ",", "- "} {
		tokens += strings.Count(text, separator)
	}
	return int64(len(text)) + int64(tokens)*memoryPerToken
}

func (s *server) status(c echo.Context) error {
	status, err := s.node.Status(c.Request().Context())
	if err != nil {
		return writeError(c, errkind.From(err))
	}
	return c.JSON(http.StatusOK, status)
}

// writeError writes an error with the HTTP status of its kind.
func writeError(c echo.Context, err *errkind.Error) error {
	return c.JSON(errkind.ResponseFor(err.Kind).Status, err)
}
