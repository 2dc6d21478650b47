// Package standin is a stand-in for a target: it speaks the published target
// protocol and keeps a ledger per key in memory. Tests embed it; cmd/standin
// runs it as a program. It can freeze, crash, slow down, turn cold, drain and
// shed load on request, and it counts how often it ran each request.
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

// Config says what a stand-in target is and how it behaves. Only ID, Service
// and DataCentre are required.
type Config struct {
	ID, Service, DataCentre string
	// Addr is the address to listen on; default "127.0.0.1:0".
	Addr string
	// Listen opens the listener, again after each restart. Nil listens on TCP.
	Listen func() (net.Listener, error)
	// Announce lists base URLs of VMs, such as "http://127.0.1.1:8001". Without
	// any the target does not announce itself.
	Announce []string
	// AnnounceInterval is the time between announcements.
	AnnounceInterval time.Duration
	// Client sends announcements; nil uses a client with a timeout of 1 s.
	Client *http.Client
	// Incarnation is the number of the first incarnation; 0 takes the wall
	// clock in ms. Each restart adds 1.
	Incarnation uint64
	// Slots is how many requests run at once; QueueLimit is how many more
	// wait. A negative QueueLimit means that none waits; 0 means 8*Slots.
	Slots, QueueLimit int
	// Connections bounds open connections; more are closed at once.
	Connections int
	// IgnoreGrants makes the target serve work without checking slice, fence,
	// epoch and expiry. It says so when it announces itself.
	IgnoreGrants bool
	// AnyOwner serves requests that name no slice (ownership "any"); epoch and
	// expiry of the grant are still checked.
	AnyOwner bool
	// ServiceTime is the time to run a warm request; Jitter is the largest
	// share of it that is added at random.
	ServiceTime time.Duration
	Jitter      float64
	Seed        uint64
	// ColdRequests is how many requests after a start run cold; ColdFactor
	// multiplies the service time of these and of the first request of a key.
	// A negative ColdRequests starts warm.
	ColdRequests int
	ColdFactor   float64
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// Ledger is the state behind the target; nil gives it a new one. Targets
	// that share one see each other's postings.
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
