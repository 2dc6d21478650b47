// Package link carries calls between VMs. It multiplexes concurrent calls over
// one TCP connection as msgpack frames, with flow control, deadlines and
// cancellation.
//
// A node dials each peer that it calls; the peer's responses return on the same
// connection. A pair of VMs that call each other therefore has one connection
// per direction. Only the dialing side opens streams and only it reconnects, so
// stream numbers cannot collide and simultaneous dials need no tie-break.
//
// Invariant: Call fails with errkind.LinkDown only if no byte of the request
// was handed to the connection. Every failure after that is LinkLost,
// AnswerTimeout or the handler's own error.
package link

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
)

// Sizes in bytes, and limits per connection or peer.
const (
	// ChunkSize is the largest body of one data frame. It is also the initial
	// credit of every message.
	ChunkSize = 16 << 10
	// DefaultMaxMessage bounds one request or response: the largest response body
	// that the configuration text allows by default, plus 1 MiB for headers.
	DefaultMaxMessage = 17 << 20
	// streamWindow is the credit beyond the bytes already received. At a round
	// trip of 16 ms between regions it allows 64 MiB/s for one message.
	streamWindow = 1 << 20
	// bufferBudget bounds the total size of the messages being received on one
	// connection, apart from the first chunk of each.
	bufferBudget = 64 << 20
	// batchSize is the size at which the writer stops adding frames to one write.
	batchSize = 2 * ChunkSize
	// readBuffer is the size of the buffer between a connection and its decoder.
	readBuffer = ChunkSize / 2
	// idleBuffer is the largest write buffer that an idle connection keeps.
	idleBuffer = 4 << 10
	// maxFrame bounds one encoded frame: a chunk, or names and an error message.
	maxFrame = ChunkSize + 1<<10
	// maxName bounds cluster, VM and method names.
	maxName = 128
	// maxErrorText bounds the message of a handler's error.
	maxErrorText = 512
	// maxCalls bounds the calls in flight on one connection.
	maxCalls = 2048
	// maxOneWay bounds the queued one-way messages of one connection.
	maxOneWay = 1024
	// maxOneWayBytes bounds the payload of queued one-way messages.
	maxOneWayBytes = 32 << 20
	// maxStreams bounds the streams that a peer has open on one connection. A
	// peer that respects maxCalls and maxOneWay stays below it.
	maxStreams = 4096
	// maxControlFrames bounds the queued credit, cancel and ping frames.
	maxControlFrames = 2 * maxStreams
	// maxPendingHandshakes bounds the accepted connections that are still in
	// the handshake.
	maxPendingHandshakes = 256
	// DefaultMaxHandlers bounds the handlers running for one peer.
	DefaultMaxHandlers = 1024
	// maxPriorityHandlers bounds the handlers of priority methods running for
	// one peer.
	maxPriorityHandlers = 256
	// priorityTurns is the number of turns that priority messages get for each
	// turn of other messages, so that a large snapshot does not block traffic.
	priorityTurns = 4
)

// Time limits.
const (
	// PingInterval is the interval at which each side sends pings.
	PingInterval = 100 * time.Millisecond
	// PingTimeout is the time without any received frame after which a connection
	// is closed as lost.
	PingTimeout = 400 * time.Millisecond
	// BackoffMin and BackoffMax bound the delay before a reconnect.
	BackoffMin = 50 * time.Millisecond
	BackoffMax = time.Second
	// dialTimeout bounds a dial with its handshake: three round trips of 16 ms
	// between regions, with a margin for a busy peer.
	dialTimeout = 500 * time.Millisecond
	// stableAfter is the duration of a connection that resets the backoff of
	// reconnects.
	stableAfter = time.Second
	// keepAlive is the TCP keepalive period.
	keepAlive = 15 * time.Second
	// maxRemaining bounds the remaining time that a peer may send as a deadline.
	maxRemaining = 24 * time.Hour
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
)

// Handler handles one request of the peer named from and returns the response.
// The payload belongs to the handler. ctx ends at the caller's deadline, when
// the caller cancels and when the link is lost. The caller receives an
// *errkind.Error with its kind, except that LinkDown becomes LinkLost, because
// LinkDown promises that the handler did not run.
type Handler func(ctx context.Context, from string, payload []byte) ([]byte, error)

// Config configures a Node.
type Config struct {
	// Cluster and Name identify this VM. Peers of other clusters are refused.
	Cluster, Name string
	// Addr is the TCP address to listen on.
	Addr string
	// MaxMessage bounds one payload in bytes; 0 means DefaultMaxMessage.
	MaxMessage int
	// MaxHandlers bounds the handlers running for each peer; 0 means
	// DefaultMaxHandlers. PriorityMethods have a separate limit.
	MaxHandlers int
	// MaxReceiving bounds in bytes the requests that are received or handled at the same
	// time, over all links. Requests of one chunk and those of PriorityMethods don't
	// count. Further ones are refused; 0 means no bound.
	MaxReceiving int64
	// PriorityMethods lists the methods of control traffic. All VMs of a cluster must
	// list the same ones.
	PriorityMethods []string
	// Seed makes the jitter of reconnects repeatable; 0 means a random seed.
	Seed uint64
	// PingInterval and PingTimeout override the constants of the same names if
	// positive. Both sides of a link must use the same values.
	PingInterval, PingTimeout time.Duration
	// AcceptUnknown accepts connections of peers that SetPeer was not called for. A peer's
	// name must then be the address that it listens on, so that the address is
	// enough to reach a VM.
	AcceptUnknown bool
	// Logger receives an entry for every change of a link; nil discards all
	// entries.
	Logger log.Interface
	// Listener and Dial replace TCP if set.
	Listener net.Listener
	Dial     func(ctx context.Context, addr string) (net.Conn, error)
}
