// Package link carries calls between VMs: msgpack frames over TCP, many calls
// at once on one connection, with flow control, deadlines and cancellation.
//
// A node dials each peer that it calls; the peer's answers return on the same
// connection. A pair of VMs that call each other therefore has one connection
// per direction. Only the dialing side opens streams and only it reconnects,
// so stream numbers cannot collide and simultaneous dials need no tie-break.
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

// Sizes in bytes and limits per connection or peer.
const (
	// ChunkSize is the largest body of one data frame. It is also the credit
	// that every message has from its start.
	ChunkSize = 16 << 10
	// DefaultMaxMessage bounds one request or answer: the largest answer body
	// that the configuration text allows by default plus 1 MiB for headers.
	DefaultMaxMessage = 17 << 20
	// streamWindow is the credit beyond what arrived. At 16 ms round trip
	// between regions it allows 64 MiB/s for one message.
	streamWindow = 1 << 20
	// bufferBudget bounds the messages being received on one connection, apart
	// from the first chunk of each.
	bufferBudget = 64 << 20
	// batchSize is how much the writer collects for one write.
	batchSize = 2 * ChunkSize
	// readBuffer is the buffer between a connection and its decoder.
	readBuffer = ChunkSize / 2
	// idleBuffer is the write buffer that an idle connection may keep.
	idleBuffer = 4 << 10
	// maxFrame bounds one encoded frame: a chunk, or names and a message.
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
	// maxStreams bounds the streams that a peer has open here. A peer that
	// keeps to maxCalls and maxOneWay stays below it.
	maxStreams = 4096
	// maxControlFrames bounds the queued credit, cancel and ping frames.
	maxControlFrames = 2 * maxStreams
	// maxUnknownConns bounds the accepted connections without a hello yet.
	maxUnknownConns = 256
	// DefaultMaxHandlers bounds the running handlers of one peer.
	DefaultMaxHandlers = 1024
	// maxPriorityHandlers is the room of one peer for priority methods.
	maxPriorityHandlers = 256
	// priorityTurns is how many turns priority messages get for each turn of
	// the others, so that a large snapshot does not stop traffic.
	priorityTurns = 4
)

// Time limits.
const (
	// PingInterval is the time between two pings of each side.
	PingInterval = 100 * time.Millisecond
	// DeadAfter is the time without any frame after which a connection is
	// closed as lost.
	DeadAfter = 400 * time.Millisecond
	// BackoffMin and BackoffMax bound the pause before a reconnect.
	BackoffMin = 50 * time.Millisecond
	BackoffMax = time.Second
	// dialTimeout bounds a dial with its hello: three round trips of 16 ms
	// between regions, with room for a busy peer.
	dialTimeout = 500 * time.Millisecond
	// stableAfter is the life of a connection after which a break counts as
	// the first one again.
	stableAfter = time.Second
	// keepAlive is the TCP keepalive period.
	keepAlive = 15 * time.Second
	// maxRemaining bounds the deadline that a peer may send.
	maxRemaining = 24 * time.Hour
	// acceptPause is the pause after a failed accept.
	acceptPause = 10 * time.Millisecond
)

// Handler answers one request. The payload belongs to the handler. ctx ends at
// the caller's deadline, when the caller cancels and when the link breaks. An
// *errkind.Error arrives at the caller as one, except that LinkDown arrives as
// LinkLost: LinkDown promises that the handler did not run.
type Handler func(ctx context.Context, from string, payload []byte) ([]byte, error)

// Config configures a Node.
type Config struct {
	// Cluster and Name identify this VM; peers of other clusters are refused.
	Cluster, Name string
	// Addr is the TCP address to listen on.
	Addr string
	// MaxMessage bounds one payload in bytes; 0 is DefaultMaxMessage.
	MaxMessage int
	// MaxHandlers bounds the running handlers of each peer; 0 is
	// DefaultMaxHandlers. Priority methods have their own room.
	MaxHandlers int
	// Priority lists the methods of control traffic. All VMs of a cluster must
	// list the same ones.
	Priority []string
	// Seed makes the jitter of reconnects repeatable; 0 draws one.
	Seed uint64
	// PingInterval and DeadAfter replace the constants of these names when they
	// are set. Both sides of a link must use the same values.
	PingInterval, DeadAfter time.Duration
	// Learn accepts peers that were not set before. A peer's name is then the
	// address that it listens on, so a VM is reached by its address alone.
	Learn bool
	// Logger receives one event per change of a link; nil discards them.
	Logger log.Interface
	// Listener and Dial replace TCP when set.
	Listener net.Listener
	Dial     func(ctx context.Context, addr string) (net.Conn, error)
}
