// Package load drives callers' requests against running VMs and measures what
// callers and operators see: outcomes, latency, unavailable time, churn of key
// ownership, imbalance and the cost of control.
package load

import (
	"fmt"
	"time"
)

// Stream is one kind of caller.
type Stream struct {
	Service string
	Tenant  string
	// Share is the stream's part of all requests.
	Share float64
	// PostShare is the part of the stream's requests that are postings.
	PostShare float64
	// Keys is the number of keys; Hot is the part of requests that goes to
	// the first key.
	Keys int
	Hot  float64
	// Path is the path of reads and postings.
	Path string
}

// Config describes one bounded load run.
type Config struct {
	// Entries are base URLs of VMs for callers.
	Entries []string
	// Checks are readiness URLs, one per entry, for the balancer; empty
	// without one.
	Checks  []string
	Streams []Stream
	// Rate is in requests a second over all streams.
	Rate     float64
	Duration time.Duration
	// Deadline is what callers give each request.
	Deadline time.Duration
	// Resends is how often a caller sends a posting again whose outcome is
	// unknown or that did not run.
	Resends int
	// MaxInFlight bounds the requests in flight; requests beyond it are
	// counted as not sent.
	MaxInFlight int
	Seed        uint64
}

// Limits of a run, so that a wrong flag cannot flood the machine.
const (
	maxRate     = 50000
	maxDuration = 15 * time.Minute
)

// Validate returns the first fault of the configuration.
func (c Config) Validate() error {
	switch {
	case len(c.Entries) == 0:
		return fmt.Errorf("no entries")
	case len(c.Streams) == 0:
		return fmt.Errorf("no streams")
	case c.Rate <= 0 || c.Rate > maxRate:
		return fmt.Errorf("rate must be above 0 and at most %d", maxRate)
	case c.Duration <= 0 || c.Duration > maxDuration:
		return fmt.Errorf("duration must be above 0 and at most %v", maxDuration)
	case c.MaxInFlight <= 0:
		return fmt.Errorf("max in flight must be positive")
	}
	return nil
}
