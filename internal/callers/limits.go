// Package callers enforces the configured limits on the connections of callers:
// the size of requests, the time to send them and the idle time. Changed limits
// also apply to open connections.
package callers

import (
	"net/http"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/items"
)

// Limits are the limits for callers, with defaults for those that the
// configuration doesn't set.
type Limits struct {
	// HeadBytes limits the size of the request line and the headers, BodyBytes that
	// of the body.
	HeadBytes, BodyBytes int64
	// HeadTimeout limits the time from the start of a connection, or from the first
	// byte of a later request, to the end of the headers.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
}

// Defaults for limits that the configuration doesn't set.
const (
	// MaxHeadBytes is the default and the upper limit of Limits.HeadBytes, in bytes; it
	// is the default of net/http.
	MaxHeadBytes = http.DefaultMaxHeaderBytes
	// defaultBodyBytes is the size of the largest body that the operators'
	// configurations allow.
	defaultBodyBytes = 64 << 20
	// defaultHeadTime allows for the retransmission of two lost packets.
	defaultHeadTime = 10 * time.Second
	// defaultIdleTime is longer than the 12 s for which callers are known to keep
	// idle connections.
	defaultIdleTime = 75 * time.Second
)

// LimitsOf returns the limits of a configuration. A nil configuration gives the
// defaults.
func LimitsOf(l *items.Limits) Limits {
	limits := Limits{HeadBytes: MaxHeadBytes, BodyBytes: defaultBodyBytes, HeadTimeout: defaultHeadTime, IdleTimeout: defaultIdleTime}
	if l == nil {
		return limits
	}
	if l.MaxHeaderBytes > 0 {
		limits.HeadBytes = min(int64(l.MaxHeaderBytes), MaxHeadBytes)
	}
	if l.MaxBodyBytes > 0 {
		limits.BodyBytes = int64(l.MaxBodyBytes)
	}
	if l.HeaderTimeout > 0 {
		limits.HeadTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		limits.IdleTimeout = l.IdleTimeout
	}
	return limits
}

// headBytes estimates the size of a request's head as it was sent: it assumes the
// usual notation, without optional white space.
func headBytes(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + len("  \r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return int64(size)
}
