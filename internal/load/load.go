// Package load sends requests of callers to running VMs and measures what callers
// and operators observe: outcomes, latency, unavailability, ownership changes,
// imbalance, and the processor time and control traffic of the VMs.
package load

import (
	"fmt"
	"time"
)

// Stream describes the requests of one kind of caller.
type Stream struct {
	Service string
	Tenant  string
	// Share is the fraction of all requests that belong to the stream.
	Share float64
	// PostShare is the fraction of the stream's requests that are POST requests.
	PostShare float64
	// Keys is the number of keys. HotShare is the fraction of requests that always use
	// the first key; the others use all keys evenly.
	Keys     int
	HotShare float64
	// Path is the path and query of GET and POST requests.
	Path string
}

// Config describes one load run.
type Config struct {
	// Entries are the base URLs of the VMs that requests are sent to.
	Entries []string
	// ReadinessURLs are the readiness URLs of the balancer, one per entry. If empty,
	// requests go to all entries.
	ReadinessURLs []string
	Streams       []Stream
	// Rate is the number of requests per second over all streams.
	Rate     float64
	Duration time.Duration
	// Deadline is the deadline that callers state for each request.
	Deadline time.Duration
	// MaxRetries is the maximum number of retries of a POST request whose outcome is
	// unknown or that did not run.
	MaxRetries int
	// MaxInFlight is the maximum number of requests in flight. Requests beyond it
	// are not sent, but counted.
	MaxInFlight int
	Seed        uint64
}

// Limits of a run, so that a wrong flag cannot overload the machine.
const (
	maxRate     = 50000
	maxDuration = 15 * time.Minute
)

// Validate returns an error for the first invalid setting.
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
