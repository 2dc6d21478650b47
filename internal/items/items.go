// Package items holds the configuration as named items, each with its own version:
// routes, services and the limits. It is pure: it decides which version of an item
// is in force and which changes are refused.
//
// Invariant: of all versions accepted under one name, the highest is in force,
// whether it sets or removes the item. Repeating or reordering accepted changes
// does not alter the result.
package items

import (
	"time"
)

// Collection is the group of items to which a name belongs.
type Collection string

// The collections.
const (
	Routes   Collection = "route"
	Services Collection = "service"
	// LimitSet has a single item, the limits; its name is empty.
	LimitSet Collection = "limits"
)

// Kind says whether a request of a route may be repeated.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests may run at most once.
	Unsafe Kind = "unsafe"
	// Download requests have large responses and may run more than once.
	Download Kind = "download"
)

// Known reports whether the kind is one of those above.
func (k Kind) Known() bool { return k == Safe || k == Unsafe || k == Download }

// Idempotent reports whether a request may run more than once. This decides whether
// it may be repeated after it may have run, hedged, or sent to a target that was not
// used before.
func (k Kind) Idempotent() bool { return k == Safe || k == Download }

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string `msgpack:"s"`
	Weight  int    `msgpack:"w"`
}

// Route says which requests go to which services and under which limits.
type Route struct {
	Host string `msgpack:"h"`
	// Prefix begins and ends with a slash.
	Prefix string `msgpack:"p"`
	Kind   Kind   `msgpack:"k"`
	// Timeout bounds the time until the final response.
	Timeout time.Duration `msgpack:"t"`
	// LatencyObjective is the latency objective of the route: a later response is worth
	// less to the caller.
	LatencyObjective time.Duration `msgpack:"a"`
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int     `msgpack:"r"`
	Split    []Share `msgpack:"s"`
	// MaxAttempts bounds the number of targets to which one request is sent.
	MaxAttempts int `msgpack:"m"`
	// AllowedRegions are the only regions in which the requests may be served; empty means
	// all regions.
	AllowedRegions []string `msgpack:"o"`
}

// Service says how the targets of a service are used.
type Service struct {
	HealthPath string `msgpack:"h"`
	// MaxConns bounds the connections to a target over all VMs.
	MaxConns int `msgpack:"c"`
	// ColdPeriod is how long a target is cold after its start, and ColdRate how
	// many requests per second it can serve meanwhile, over all VMs.
	ColdPeriod time.Duration `msgpack:"d"`
	ColdRate   float64       `msgpack:"r"`
	// Sharded says that each key is served by the one target that holds it.
	Sharded bool `msgpack:"s"`
	// Warmup is how long requests for a key are slow after the key moved without
	// a handover.
	Warmup time.Duration `msgpack:"w"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int           `msgpack:"h"`
	MaxBodyBytes   int           `msgpack:"b"`
	HeaderTimeout  time.Duration `msgpack:"t"`
	IdleTimeout    time.Duration `msgpack:"i"`
}

// Key identifies an item.
type Key struct {
	Collection Collection `msgpack:"c"`
	Name       string     `msgpack:"n"`
}

// Item is one version of an item. Exactly one of Route, Service and Limits is
// set, or none when Removed.
type Item struct {
	Key     `msgpack:"k"`
	Version uint64   `msgpack:"v"`
	Removed bool     `msgpack:"d"`
	Route   *Route   `msgpack:"r"`
	Service *Service `msgpack:"s"`
	Limits  *Limits  `msgpack:"l"`
	// Source is the encoded item as the client sent it; reads return it unchanged.
	Source []byte `msgpack:"o"`
	// Revision is the log index of the change that put the item in force.
	Revision uint64 `msgpack:"i"`
}

// Patch is one change: either all its items are accepted or none.
type Patch struct {
	Items []Item `msgpack:"i"`
}
