// Package linkshare decides how the capacity of an entry's network link is shared:
// short messages are never delayed, and long bodies use what is left, in chunks. It is
// pure: times and observations are arguments.
//
// The load it is made for: downloads of 90 KB on average that arrive in bursts of 2.6
// times the mean and then need 0.9 of a link, beside reads of 400 bytes and posts of 4 KB.
package linkshare

import (
	"math"
	"slices"
	"time"
)

// Direction is a direction of the link.
type Direction int

// The directions. Each body passes the link once in each of them.
const (
	// In is from targets and callers to this VM.
	In Direction = iota
	// Out is from this VM to targets and callers.
	Out
	directions = 2
)

const (
	// BulkBytes is the length in bytes above which a body is long. A shorter one takes
	// less than 40 ms on a link of 450 KB/s.
	BulkBytes = 16 << 10
	// chunkBytes is the size of the parts in which long bodies pass the link: 9 ms of a
	// link of 450 KB/s.
	chunkBytes = 4 << 10
	// usableShare is the share of the capacity that is given out. The rest is for what
	// isn't counted: heads of packets, acknowledgements, the control VMs and new
	// connections.
	usableShare = 0.9
	// maxQueue bounds the queue on the link in front of a short message, to which one
	// chunk is added. It also covers late timers: while the process doesn't run, the
	// link sends what is queued.
	maxQueue = 25 * time.Millisecond
	// minBulkShare is the share of the usable capacity that long bodies get at least, so
	// that an excess of short messages doesn't stop them altogether.
	minBulkShare = 0.1
	// interactiveWindow is the time constant of the measured rate of short messages.
	interactiveWindow = 2 * time.Second
	// sizeWeight is the weight of a new observation in the expected size of a route's
	// responses.
	sizeWeight = 0.05
	// fastLink is the capacity in bytes per second from which a link isn't scheduled: it
	// carries the largest usual download, of 540 KB, within some tens of milliseconds.
	fastLink = 12.5e6
	// stallAfter is how long after its last chunk a download counts as stalled by its
	// target or caller if it asks for no other one. It exceeds the queue on the link and
	// a round trip of 18 ms. With 300 ms, callers that read 25 KB/s cost others more: with
	// two fifths of them, 0.582 instead of 0.663 of the downloads of a replay were in time.
	stallAfter = 100 * time.Millisecond
	// maxServiceExcess is the ratio to the service time after which a target that hasn't
	// responded counts as stalled. Noisy neighbours slow targets threefold.
	maxServiceExcess = 4
	// holdBytes is how much of a download is read before its first bytes are written.
	holdBytes = 64 << 10
	// pipelineDownloads is the number of downloads that keep both directions busy: in
	// each one, a second one goes on while the first one waits for its target or caller.
	// With 2 instead of 4, 0.55 instead of 0.64 of the downloads of a replay were in time
	// at 2.5 times the load; with any number, the share was lower and short messages
	// waited longer.
	pipelineDownloads = 4
	// probeInterval is the time without an admitted download of a route after which one is
	// admitted although it is expected to be late. It exceeds the time in which a backlog
	// drains, the longest latency objective of 3 s.
	probeInterval = 5 * time.Second
	// windowTime is the time in which the link carries the receive window of a
	// connection to a target. The window is what a target sends unasked, so it stands in
	// front of short messages. It has to exceed the round trip time, 18 ms between
	// regions, for a single download to fill the link.
	windowTime = 25 * time.Millisecond
	// minWindow holds responses of some kilobytes on slower links, which so need no
	// second round trip. With 18 KiB on a link of 450 KB/s the p99 of short messages in
	// the replay is 125 instead of 102 ms at 2.5 times the load.
	minWindow = 12 << 10
)

// Share divides a link. It is not safe for concurrent use.
type Share struct {
	// usable is in bytes per second.
	usable float64
	// window is the receive window of a connection in bytes.
	window int64
	paths  [directions]path
	// downloads holds the admitted downloads that haven't ended, in the order of their
	// arrival.
	downloads []*Download
	// sizes holds the expected size of responses by route, admittedAt when a download of
	// a route was last admitted.
	sizes      map[string]float64
	admittedAt map[string]time.Duration
	// before reports whether a chunk is passed before another one.
	before func(a, b *Chunk) bool
}

// path is one direction of the link.
type path struct {
	// busyUntil is when the link will have carried the bytes that were counted.
	busyUntil time.Duration
	// interactive is the measured rate of short messages in bytes per second at the
	// time measured.
	interactive float64
	measured    time.Duration
	// lastChunk is when a chunk was last passed.
	lastChunk time.Duration
	chunks    []*Chunk
}

// Download is the transfer of a response that is, or may turn out to be, long.
type Download struct {
	route string
	// objective is when the response becomes late, and service the usual time from the
	// send to the head.
	objective, service time.Duration
	// limited reports that it was admitted as a long one, so that it counts towards the
	// bound of concurrent downloads.
	limited bool
	// probe reports that it was admitted although it is expected to be late.
	probe bool
	// started reports that it was sent to a target, at startedAt.
	started   bool
	startedAt time.Duration
	// announced reports that the head has arrived.
	announced bool
	bulk      bool
	left      [directions]int64
	// unsent is the part of a response that its target hasn't been allowed to send.
	unsent int64
	// passed counts the bytes that were read of a response of unknown length.
	passed int64
	// active is when it last asked for a chunk or got one.
	active time.Duration
	asking int
	ended  bool
}

// Chunk is a part of a download that waits to be passed in one direction.
type Chunk struct {
	// Ready is closed by the owner of the Share when the chunk is passed.
	Ready     chan struct{}
	Direction Direction
	Bytes     int
	Download  *Download
	since     time.Duration
	// due is when the download should be complete, as of since.
	due time.Duration
}

// New returns the share of a link with a capacity in bytes per second, or nil if the link
// needn't be scheduled: the capacity is 0, which means unknown, or that of a fast link.
func New(capacity float64) *Share {
	if capacity <= 0 || capacity >= fastLink {
		return nil
	}
	s := &Share{
		usable: usableShare * capacity, window: int64(max(minWindow, capacity*windowTime.Seconds())), before: dueFirst,
		sizes: make(map[string]float64), admittedAt: make(map[string]time.Duration),
	}
	for d := range s.paths {
		s.paths[d].lastChunk = -time.Hour
	}
	return s
}

// dueFirst orders chunks by the times at which their downloads are due. With the sum of
// the bytes that are due before as the condition of admission, this order keeps what was
// promised at each admission; chunks of one download keep their order.
func dueFirst(a, b *Chunk) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.since < b.since
}

// due returns when a download should be complete: at its latency objective, or when the
// link alone would have carried the rest if that is later. So a response that is late in
// any case, such as one of many megabytes, gives way to those that can be in time, and is
// completed soon once little is left.
func (s *Share) due(now time.Duration, d *Download) time.Duration {
	return max(d.objective, now+s.time(d.rest()))
}

// rest returns the number of bytes that still have to pass the link in the busier
// direction. Of a response without a length, as many as have passed are expected.
func (d *Download) rest() int64 {
	if d.bulk && !d.announced {
		return d.passed
	}
	return max(d.left[In], d.left[Out])
}

// Count records bytes that pass the link at once: those of short messages.
func (s *Share) Count(now time.Duration, dir Direction, bytes int64) {
	p := &s.paths[dir]
	p.decay(now)
	p.interactive += float64(bytes) / interactiveWindow.Seconds()
	p.add(now, s.time(bytes))
}

func (p *path) decay(now time.Duration) {
	if now > p.measured {
		p.interactive *= math.Exp(-(now - p.measured).Seconds() / interactiveWindow.Seconds())
		p.measured = now
	}
}

func (p *path) add(now, took time.Duration) { p.busyUntil = max(p.busyUntil, now) + took }

// time returns how long the link takes for a number of bytes.
func (s *Share) time(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / s.usable * float64(time.Second))
}

// bulkRate returns the capacity in bytes per second that short messages leave to long
// bodies, in the busier direction.
func (s *Share) bulkRate(now time.Duration) float64 {
	rate := s.usable
	for d := range s.paths {
		s.paths[d].decay(now)
		rate = min(rate, s.usable-s.paths[d].interactive)
	}
	return max(rate, minBulkShare*s.usable)
}

// Ask adds a chunk of at most n bytes. A short body isn't divided and needn't ask: Ask
// returns nil and counts it as passed.
func (s *Share) Ask(now time.Duration, d *Download, dir Direction, n int) *Chunk {
	if !d.bulk && !d.announced {
		d.bulk = d.passed+int64(n) > BulkBytes
	}
	if !d.bulk || d.ended {
		if dir == In {
			d.passed += int64(n)
		}
		s.Count(now, dir, int64(n))
		return nil
	}
	c := &Chunk{Ready: make(chan struct{}), Direction: dir, Bytes: min(n, chunkBytes), Download: d, since: now, due: s.due(now, d)}
	d.asking++
	s.paths[dir].chunks = append(s.paths[dir].chunks, c)
	return c
}

// Next removes and returns the chunk that may be passed now. If there is none, it returns
// the time after which to ask again; 0 while no chunk waits.
func (s *Share) Next(now time.Duration, dir Direction) (*Chunk, time.Duration) {
	p := &s.paths[dir]
	if len(p.chunks) == 0 {
		return nil, 0
	}
	leastRate := p.lastChunk + time.Duration(float64(s.time(chunkBytes))/minBulkShare)
	if wait := min(p.busyUntil-maxQueue, leastRate) - now; wait > 0 {
		return nil, wait
	}
	best := 0
	for i, c := range p.chunks {
		if s.before(c, p.chunks[best]) {
			best = i
		}
	}
	c := p.chunks[best]
	p.chunks = slices.Delete(p.chunks, best, best+1)
	p.lastChunk = now
	p.add(now, s.time(c.Download.passedChunk(now, c)))
	return c, 0
}

// Window returns the number of bytes to which the receive window of a connection to a
// target should be limited.
func (s *Share) Window() int { return int(s.window) }

// passedChunk records a chunk and returns the number of bytes that it lets onto the link.
// A chunk that was read lets the target send as many bytes behind the window.
func (d *Download) passedChunk(now time.Duration, c *Chunk) int64 {
	d.asking--
	d.active = now
	d.left[c.Direction] = max(d.left[c.Direction]-int64(c.Bytes), 0)
	if c.Direction == Out {
		return int64(c.Bytes)
	}
	d.passed += int64(c.Bytes)
	if !d.announced {
		return int64(c.Bytes)
	}
	sent := min(int64(c.Bytes), d.unsent)
	d.unsent -= sent
	return sent
}

// Withdraw removes a chunk that is no longer wanted.
func (s *Share) Withdraw(c *Chunk) {
	p := &s.paths[c.Direction]
	if i := slices.Index(p.chunks, c); i >= 0 {
		p.chunks = slices.Delete(p.chunks, i, i+1)
		c.Download.asking--
	}
}

// Announce records the length of a response once its head has arrived; -1 is unknown. A
// download that is sent to another target is announced again.
func (s *Share) Announce(now time.Duration, d *Download, length int64) {
	d.active, d.passed = now, 0
	d.announced, d.bulk = length >= 0, length > BulkBytes
	if length >= 0 {
		d.left = [directions]int64{length, length}
		d.unsent = max(length-s.window, 0)
	}
	if d.bulk {
		s.paths[In].add(now, s.time(length-d.unsent))
	}
}

// Observe records the length of a successful response of a route.
func (s *Share) Observe(route string, length int64) {
	size, ok := s.sizes[route]
	if !ok {
		size = float64(length)
	}
	s.sizes[route] = size + sizeWeight*(float64(length)-size)
}

// Expected returns the expected length of a route's responses in bytes; 0 if it isn't
// known.
func (s *Share) Expected(route string) float64 { return s.sizes[route] }

// End releases what a download holds of the link.
func (s *Share) End(d *Download) {
	d.ended = true
	if i := slices.Index(s.downloads, d); i >= 0 {
		s.downloads = slices.Delete(s.downloads, i, i+1)
	}
}

// Passed returns how many bytes of the response were read.
func (d *Download) Passed() int64 { return d.passed }

// Bulk reports whether the response is long.
func (d *Download) Bulk() bool { return d.bulk }
