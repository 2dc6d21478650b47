// Package standin implements a simulated target for tests: it speaks the
// published target protocol and keeps a ledger per key in memory. Tests embed
// it; cmd/standin runs it as a program. It can freeze, crash, slow down, become
// cold, drain and shed load on request, and it counts how often it ran each
// request.
package standin

import (
	"net"
	"net/http"
	"time"
)

// Defaults of a Config.
const (
	DefaultSlots            = 4
	DefaultConnections      = 110
	DefaultAnnounceInterval = time.Second
	DefaultColdRequests     = 20
	DefaultColdFactor       = 4.0
)

// Config describes a stand-in target and its behaviour. Only ID, Service
// and DataCentre are required.
type Config struct {
	ID, Service, DataCentre string
	// Addr is the address to listen on; default "127.0.0.1:0".
	Addr string
	// Listen opens the listener at the start and after each restart. Nil
	// listens on TCP at Addr.
	Listen func() (net.Listener, error)
	// Announce lists base URLs of VMs, such as "http://127.0.1.1:8001". If it
	// is empty, the target sends no announcements.
	Announce []string
	// AnnounceInterval is the time between announcements.
	AnnounceInterval time.Duration
	// Client sends announcements; nil uses a client with a timeout of 1 s.
	Client *http.Client
	// Incarnation is the number of the first incarnation; 0 means the Unix time
	// in ms. Each restart adds 1.
	Incarnation uint64
	// Slots is how many requests run concurrently; QueueLimit is how many more
	// may wait. A negative QueueLimit means that none may wait; 0 means 8*Slots.
	Slots, QueueLimit int
	// Connections bounds the open connections; further ones are closed
	// immediately.
	Connections int
	// IgnoreGrants makes the target run requests without checking slice, fence
	// (fencing token), epoch and expiry. Its announcements say so.
	IgnoreGrants bool
	// AnyOwner makes the target run requests that name no slice (ownership
	// "any"); epoch and expiry of the grant are still checked.
	AnyOwner bool
	// ServiceTime is the time to run a warm request. A random fraction of it
	// from 0 to Jitter is added. Seed seeds the random numbers.
	ServiceTime time.Duration
	Jitter      float64
	Seed        uint64
	// ColdRequests is how many requests run cold after a start; ColdFactor
	// multiplies the service time of these and of the first request of a key.
	// With a negative ColdRequests the target starts warm.
	ColdRequests int
	ColdFactor   float64
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// LeavingHeader names a header that all responses carry, with the value 1, while
	// the target drains; empty means none.
	LeavingHeader string
	// LimitHeader names a header in which all responses name Limit, the requests a
	// second that the target takes from all senders together; empty means none.
	LimitHeader string
	Limit       float64
	// Pause is the time for which the target asks senders to send nothing when it
	// sheds a request; 0 asks for none.
	Pause time.Duration
	// Ledger holds the accounts that the target serves; nil creates a new one.
	// Targets that share a ledger see each other's postings.
	Ledger *Ledger
	// Exit ends the process when the target crashes. Nil closes the listener
	// and all connections instead.
	Exit func()
}

func (c Config) withDefaults() Config {
	if c.Addr == "" {
		c.Addr = "127.0.0.1:0"
	}
	if c.AnnounceInterval == 0 {
		c.AnnounceInterval = DefaultAnnounceInterval
	}
	if c.Client == nil {
		c.Client = &http.Client{Timeout: time.Second}
	}
	if c.Incarnation == 0 {
		c.Incarnation = uint64(time.Now().UnixMilli())
	}
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = 8 * c.Slots
	}
	if c.Connections == 0 {
		c.Connections = DefaultConnections
	}
	if c.ColdRequests == 0 {
		c.ColdRequests = DefaultColdRequests
	}
	if c.ColdFactor == 0 {
		c.ColdFactor = DefaultColdFactor
	}
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	return c
}
