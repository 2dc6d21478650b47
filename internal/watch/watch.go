// Package watch carries the state of the fleet from control VMs to entries: an
// entry asks one control VM for what changed since its revision and gets the
// answer when there is something, or after a while.
package watch

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/link"
	"github.com/flamingoreel/flamingoreel/internal/registry"
)

// Methods of the links that all VMs must agree on.
const (
	// Method is what a watch calls.
	Method = "watch"
	// MethodReplica carries the messages of the control log. It goes before all
	// others, so that a large answer does not delay an election.
	MethodReplica = "replica"
)

// MaxWait is how long a control VM holds an answer without news.
const MaxWait = 700 * time.Millisecond

// StaleAge is the age of a state above which an entry turns to another control
// VM. It is above an election and below half of the time within which a change
// must be in force.
const StaleAge = 1200 * time.Millisecond

// Unknown is an age that is not known.
const Unknown = time.Duration(1<<63 - 1)

// Cluster is the name that all links of a deployment carry.
const Cluster = "flamingoreel"

// Times of the links. They are longer than the defaults of link, because pings
// between regions are priced and lossy links delay frames by retransmissions.
const (
	pingInterval = 600 * time.Millisecond
	deadAfter    = 1800 * time.Millisecond
)

// Request asks for what changed after a revision.
type Request struct {
	// Entry is the link address of the entry, Region and DataCentre where it runs.
	Entry      string        `msgpack:"e"`
	Region     string        `msgpack:"g"`
	DataCentre string        `msgpack:"d"`
	Revision   uint64        `msgpack:"r"`
	Wait       time.Duration `msgpack:"w"`
	// Known is the digest of the control VMs that the entry knows, or 0.
	Known uint64 `msgpack:"k,omitempty"`
	// Samples are what the entry saw since its last watch.
	Samples []registry.Samples `msgpack:"s,omitempty"`
	// Suspicions are the entry's own since its last watch, Heard is up to where it
	// knows those of others.
	Suspicions []admission.Suspicion `msgpack:"u,omitempty"`
	Heard      Mark                  `msgpack:"h"`
}

// Mark is a place in the list of suspicions of a control VM.
type Mark struct {
	// Origin tells the list apart from those of other VMs and of earlier starts.
	Origin uint64 `msgpack:"o"`
	Next   uint64 `msgpack:"n"`
}

// Answer is what changed.
type Answer struct {
	Delta fleet.Delta `msgpack:"-"`
	// News is the encoded Delta. Many entries get the same one, so that its sender
	// may have it already; if it is empty Encode makes it.
	News []byte `msgpack:"d"`
	// Age is the time since the control VM's state held all that the leader had
	// committed; Unknown if it never did since the VM started. The delta is then
	// empty for an entry that has a state, which may be newer.
	Age time.Duration `msgpack:"a"`
	// Known are the control VMs, left out when the entry knows them.
	Known []Peer `msgpack:"k,omitempty"`
	// Suspicions are those of all entries that the asking one has not heard yet,
	// Heard is where they end.
	Suspicions []admission.Suspicion `msgpack:"u,omitempty"`
	Heard      Mark                  `msgpack:"h"`
}

// Peer is a control VM with its place, if known.
type Peer struct {
	Addr       string `msgpack:"a"`
	DataCentre string `msgpack:"d"`
	Region     string `msgpack:"r"`
	// CallAddr is where targets and operators reach it.
	CallAddr string `msgpack:"c"`
	// Alive says that the leader heard from it lately.
	Alive bool `msgpack:"l"`
}

// Digest tells lists of control VMs apart; it is never 0.
func Digest(known []Peer) uint64 {
	h := fnv.New64a()
	for _, p := range known {
		// Writing to a hash does not fail.
		_, _ = fmt.Fprintf(h, "%q %q %q %q %v\n", p.Addr, p.DataCentre, p.Region, p.CallAddr, p.Alive)
	}
	return max(h.Sum64(), 1)
}

// LinkConfig returns the settings of the links of a VM that is named by its
// address.
func LinkConfig(addr string, seed uint64, logger log.Interface) link.Config {
	return link.Config{
		Cluster: Cluster, Name: addr, Addr: addr, Seed: seed, Logger: logger, Learn: true,
		Priority: []string{MethodReplica}, PingInterval: pingInterval, DeadAfter: deadAfter,
	}
}
