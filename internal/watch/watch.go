// Package watch defines the protocol by which entry VMs follow the state of the
// fleet. It uses long polling: an entry VM requests from one control VM what changed
// since its revision, and the control VM answers when there is a change or the wait
// of the request ends.
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

// Link methods on which all VMs must agree.
const (
	// MethodWatch is the method of a watch request.
	MethodWatch = "watch"
	// MethodReplica carries the messages of the control log. It has priority over
	// all other methods, so that a large answer does not delay an election.
	MethodReplica = "replica"
)

// MaxWait is the longest time that a control VM waits for a change before it answers
// a request.
const MaxWait = 700 * time.Millisecond

// StaleAge is the age of the state from which an entry VM switches to another control
// VM. It is longer than an election takes and shorter than half of the time within
// which a change must be in force.
const StaleAge = 1200 * time.Millisecond

// UnknownAge is the age of a state whose age is not known.
const UnknownAge = time.Duration(1<<63 - 1)

// Cluster is the cluster name that all VMs of a deployment set for their links.
const Cluster = "flamingoreel"

// Time limits of the links. They are longer than the defaults of package link,
// because traffic between regions, including pings, is billed and retransmissions
// on lossy links delay frames.
const (
	pingInterval = 600 * time.Millisecond
	deadAfter    = 1800 * time.Millisecond
)

// Request is a request of an entry VM for what changed after a revision.
type Request struct {
	// Entry is the link address of the entry VM; Region and DataCentre are its
	// location.
	Entry      string `msgpack:"e"`
	Region     string `msgpack:"g"`
	DataCentre string `msgpack:"d"`
	// Revision is the revision of the state that the entry VM has.
	Revision uint64 `msgpack:"r"`
	// Wait is how long to wait for a change; it is limited to MaxWait.
	Wait time.Duration `msgpack:"w"`
	// KnownDigest is the Digest of the control VMs that the entry VM last received, or 0.
	KnownDigest uint64 `msgpack:"k,omitempty"`
	// Samples are the entry VM's measurements since its last request.
	Samples []registry.Samples `msgpack:"s,omitempty"`
	// Suspicions are those that the entry VM recorded since its last request. Received
	// is the position up to which it has received the suspicions of the control VM.
	Suspicions []admission.Suspicion `msgpack:"u,omitempty"`
	Received   Cursor                `msgpack:"h"`
}

// Cursor is a position in the list of suspicions of a control VM.
type Cursor struct {
	// Origin distinguishes the list from those of other VMs and of earlier starts of
	// the same VM.
	Origin uint64 `msgpack:"o"`
	// Next is the number of the first suspicion after the position.
	Next uint64 `msgpack:"n"`
}

// Answer is the answer to a Request.
type Answer struct {
	// Delta is what changed after the revision of the request.
	Delta fleet.Delta `msgpack:"-"`
	// EncodedDelta is the encoded Delta. Many entry VMs get the same delta, so the sender may
	// set an encoding that it already has. If EncodedDelta is empty, Encode sets it.
	EncodedDelta []byte `msgpack:"d"`
	// Age is the time since the state of the control VM contained everything that
	// the leader had committed. It is UnknownAge if that was never the case since the VM
	// started. Delta is then empty for an entry VM that already has a state, because
	// that state may be newer.
	Age time.Duration `msgpack:"a"`
	// ControlVMs are the control VMs. It is empty if their Digest is that of the request.
	ControlVMs []Peer `msgpack:"k,omitempty"`
	// Suspicions are those of all entry VMs that the requesting one has not received
	// yet. Received is the position after the last of them.
	Suspicions []admission.Suspicion `msgpack:"u,omitempty"`
	Received   Cursor                `msgpack:"h"`
}

// Peer is a control VM and its location, if known.
type Peer struct {
	Addr       string `msgpack:"a"`
	DataCentre string `msgpack:"d"`
	Region     string `msgpack:"r"`
	// CallAddr is the address at which targets and operators reach the VM.
	CallAddr string `msgpack:"c"`
	// Alive reports whether the leader recently received a message from the VM.
	Alive bool `msgpack:"l"`
}

// Digest returns a hash that identifies a list of control VMs; it is never 0.
func Digest(known []Peer) uint64 {
	h := fnv.New64a()
	for _, p := range known {
		// Writing to a hash never returns an error.
		_, _ = fmt.Fprintf(h, "%q %q %q %q %v\n", p.Addr, p.DataCentre, p.Region, p.CallAddr, p.Alive)
	}
	return max(h.Sum64(), 1)
}

// LinkConfig returns the link settings of a VM whose name is its address.
func LinkConfig(addr string, seed uint64, logger log.Interface) link.Config {
	return link.Config{
		Cluster: Cluster, Name: addr, Addr: addr, Seed: seed, Logger: logger, AcceptUnknown: true,
		PriorityMethods: []string{MethodReplica}, PingInterval: pingInterval, PingTimeout: deadAfter,
	}
}
