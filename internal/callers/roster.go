package callers

import "container/list"

// Bound limits what the connections of one listener take together. The zero value
// is no limit.
type Bound struct {
	// Connections is the largest number of open connections.
	Connections int
	// HeadMemory is the memory in bytes for heads beyond includedHeadMemory of each
	// connection. One head alone may take more.
	HeadMemory int64
	// UsualWindows is the number of connections with a receive buffer of the usual size. 0
	// means that the kernel chooses all sizes.
	UsualWindows int
}

const (
	// connectionMemory is the memory in bytes that is planned for a connection, with a
	// head of usual size. A connection that had sent nothing took 14 KB on the heap and
	// in stacks (1,000 connections of net/http, Go 1.26), and the garbage collector lets
	// the heap grow to twice what is in use.
	connectionMemory = 32 << 10
	// includedHeadMemory is the part of connectionMemory for the head: 1 KiB in 25
	// lines.
	includedHeadMemory = 8 << 10
	// memoryPerHeadByte and memoryPerHeadLine are the estimated memory of a head. A
	// line of 64 KB took 1.2 times its size and takes twice as much while the buffer
	// grows; 1,300 header lines of 6 bytes with distinct names took 124 KB, 95 bytes for
	// each. The headers of a request that is sent to a target exist twice.
	memoryPerHeadByte = 3
	memoryPerHeadLine = 200
	// connectionShare and headShare are the fractions of a VM's memory for connections
	// and for heads beyond the usual size. On a VM of 144 MB they allow 691 connections;
	// ordinary load takes a few hundred.
	connectionShare = 0.15
	headShare       = 0.1
	// descriptorShare is the fraction of the descriptors for callers: each request that
	// is served takes one towards its target as well.
	descriptorShare = 0.5
	// minConnections is the least bound, for VMs with very little memory.
	minConnections = 16
)

// BoundFor returns the bound for a process with some memory in bytes and some
// descriptors; 0 means that the number is not known and does not bound.
func BoundFor(memory, descriptors int64) Bound {
	var b Bound
	if memory > 0 {
		b.Connections = max(int(connectionShare*float64(memory)/connectionMemory), minConnections)
		b.HeadMemory = int64(headShare * float64(memory))
		b.UsualWindows = max(int(windowShare*float64(memory)/(2*usualWindow)), 1)
	}
	if most := int(descriptorShare * float64(descriptors)); descriptors > 0 && (b.Connections == 0 || most < b.Connections) {
		b.Connections = max(most, minConnections)
	}
	return b
}

// head is the size of a head, or of the part of it that was received.
type head struct{ bytes, lines int64 }

// memory estimates the memory of a head beyond includedHeadMemory.
func (h head) memory() int64 {
	return max(0, memoryPerHeadByte*h.bytes+memoryPerHeadLine*h.lines-includedHeadMemory)
}

// roster orders the connections of a listener by the time in their phase and decides
// which one is closed if all together exceed the bound. It does no I/O.
type roster struct {
	bound   Bound
	byPhase [phases]list.List
	count   int
	// headMemory is the sum of the heads' memory, and largeHeads the number of
	// connections with a head that counts towards it.
	headMemory int64
	largeHeads int
}

// add adds a connection to the end of its phase.
func (r *roster) add(c *connection) {
	r.count++
	c.element = r.byPhase[c.phase].PushBack(c)
}

// remove removes a connection and its head.
func (r *roster) remove(c *connection) {
	r.count--
	r.byPhase[c.phase].Remove(c.element)
	r.setHead(c, head{})
}

// move moves a connection to the end of another phase. Phases must be entered in the
// order of time.
func (r *roster) move(c *connection, to phase) {
	r.byPhase[c.phase].Remove(c.element)
	c.phase = to
	c.element = r.byPhase[to].PushBack(c)
	if to == idle {
		r.setHead(c, head{})
	}
}

// setHead records the size of a connection's head.
func (r *roster) setHead(c *connection, to head) {
	before, after := c.head.memory(), to.memory()
	r.headMemory += after - before
	switch {
	case before == 0 && after > 0:
		r.largeHeads++
	case before > 0 && after == 0:
		r.largeHeads--
	}
	c.head = to
}

// excess returns the connection to close next, nil while all are within the bound. It
// is the one that has been reading a head or receiving a body for longest. While no head is
// read, it is the longest idle one if that is idle for longer. It is never one whose request
// is served. newest, if not nil, was just opened and is closed only if all others are served.
func (r *roster) excess(newest *connection) *connection {
	if r.bound.HeadMemory > 0 && r.headMemory > r.bound.HeadMemory && r.largeHeads > 1 {
		if c := r.oldestArriving(func(c *connection) bool { return c.head.memory() > 0 }, reading, receiving); c != nil {
			return c
		}
	}
	if r.bound.Connections == 0 || r.count <= r.bound.Connections {
		return nil
	}
	notNewest := func(c *connection) bool { return c != newest }
	oldest := r.oldestArriving(notNewest, reading, receiving)
	if e := r.byPhase[idle].Front(); e != nil && r.oldestArriving(notNewest, reading) == nil {
		if c := e.Value.(*connection); oldest == nil || c.since.Before(oldest.since) {
			return c
		}
	}
	if oldest == nil {
		return newest
	}
	return oldest
}

// oldestArriving returns the connection that has been in one of some phases for longest among
// those that match, or nil.
func (r *roster) oldestArriving(match func(*connection) bool, in ...phase) (oldest *connection) {
	for _, p := range in {
		for e := r.byPhase[p].Front(); e != nil; e = e.Next() {
			if c := e.Value.(*connection); match(c) {
				if oldest == nil || c.since.Before(oldest.since) {
					oldest = c
				}
				break
			}
		}
	}
	return oldest
}

// oldestBody returns the connection whose body has memory and has been arriving for longest,
// nil if none has been for longer than that of another connection.
func (r *roster) oldestBody(than *connection) *connection {
	for e := r.byPhase[receiving].Front(); e != nil; e = e.Next() {
		c := e.Value.(*connection)
		if c == than {
			return nil
		}
		if c.body != nil && c.body.reserved > 0 {
			return c
		}
	}
	return nil
}
