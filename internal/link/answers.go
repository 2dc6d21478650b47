package link

import (
	"context"
	"errors"
	"fmt"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

var (
	errUnknownPeer = errors.New("unknown peer")
	errNoLink      = errors.New("not connected")
)

// result ends a call.
type result struct {
	payload []byte
	err     *errkind.Error
}

// call is one request of the dialing side. It ends once: whoever removes it
// from the connection's maps, under the mutex, sends its result.
type call struct {
	out *outgoing
	in  *incoming
	// result has room for the only result.
	result chan result
}

// start queues a request. It fails without having sent anything.
func (c *conn) start(ctx context.Context, method string, payload []byte) (*call, *errkind.Error) {
	deadline, _ := ctx.Deadline()
	k := &call{result: make(chan result, 1)}
	k.out = &outgoing{class: c.node.class(method), call: k, method: method, deadline: deadline, payload: payload}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, linkDown(c.peer.name, c.err)
	}
	if c.inFlight >= maxCalls {
		return nil, errkind.New(errkind.Overloaded, "%d calls to %s in flight", c.inFlight, c.peer.name)
	}
	c.inFlight++
	c.waiting[k] = struct{}{}
	c.sched.enqueue(k.out)
	c.signal()
	return k, nil
}

// startOneWay queues a one-way message and reports whether there was room.
func (c *conn) startOneWay(method string, payload []byte) bool {
	o := &outgoing{class: c.node.class(method), method: method, payload: payload}
	size := len(payload)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.oneWay >= maxOneWay || c.oneWayBytes+size > maxOneWayBytes {
		return false
	}
	c.oneWay++
	c.oneWayBytes += size
	o.finished = func() {
		c.oneWay--
		c.oneWayBytes -= size
		delete(c.oneWays, o.stream)
	}
	c.sched.enqueue(o)
	c.signal()
	return true
}

// wait returns the call's result, or gives the call up when ctx ends.
func (c *conn) wait(ctx context.Context, k *call) result {
	select {
	case r := <-k.result:
		return r
	case <-ctx.Done():
	}
	return c.abandon(k, ctx.Err())
}

// abandon ends a call whose context ended, unless its result is there already.
func (c *conn) abandon(k *call, cause error) result {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.remove(k) {
		return <-k.result
	}
	k.out.done = true
	k.out.payload = nil
	if k.out.stream == 0 {
		return result{err: linkDown(c.peer.name, cause)}
	}
	if err := c.control(frame{Type: frameCancel, Stream: k.out.stream}); err != nil {
		go c.fail(err)
	}
	return result{err: errkind.Wrap(errkind.AnswerTimeout, cause, "call to %s ended", c.peer.name)}
}

// remove takes a call from the maps and reports whether it was still there.
func (c *conn) remove(k *call) bool {
	_, waiting := c.waiting[k]
	known := waiting || (k.out.stream != 0 && c.calls[k.out.stream] == k)
	if !known {
		return false
	}
	delete(c.waiting, k)
	delete(c.calls, k.out.stream)
	c.inFlight--
	if k.in != nil {
		if err := c.release(k.in); err != nil {
			go c.fail(err)
		}
	}
	return true
}

// finish ends a call with its result.
func (c *conn) finish(k *call, r result) {
	if c.remove(k) {
		k.out.done = true
		k.out.payload = nil
		k.result <- r
	}
}

// endCalls ends all calls when the connection ends.
func (c *conn) endCalls() {
	for k := range c.waiting {
		c.finish(k, result{err: linkDown(c.peer.name, c.err)})
	}
	for _, k := range c.calls {
		c.finish(k, result{err: linkLost(c.peer.name, c.err)})
	}
}

// handleAnswer applies a frame of the accepting side. Frames of calls that
// ended already are dropped.
func (c *conn) handleAnswer(f *frame) (Class, error) {
	k := c.calls[f.Stream]
	if f.Type == frameCredit {
		return Control, c.raiseRequest(k, f)
	}
	if k == nil {
		return Traffic, answerFrame(f)
	}
	class := k.out.class
	switch f.Type {
	case frameAnswer:
		return class, c.beginAnswer(k, f)
	case frameData:
		return class, c.chunk(k.in, f)
	case frameClose:
		payload, err := c.complete(k.in, f)
		if err == nil {
			c.finish(k, result{payload: payload})
		}
		return class, err
	case frameFail:
		c.finish(k, result{err: remoteError(c.peer.name, f)})
		return class, nil
	}
	return class, answerFrame(f)
}

// answerFrame returns an error for frames that only the dialing side sends.
func answerFrame(f *frame) error {
	switch f.Type {
	case frameAnswer, frameData, frameClose, frameFail:
		return nil
	}
	return fmt.Errorf("%w: type %d from the accepting side", errOutOfState, f.Type)
}

func (c *conn) raiseRequest(k *call, f *frame) error {
	if k == nil {
		return c.raise(c.oneWays[f.Stream], f.Number)
	}
	return c.raise(k.out, f.Number)
}

func (c *conn) beginAnswer(k *call, f *frame) error {
	if k.in != nil {
		return fmt.Errorf("%w: second answer", errOutOfState)
	}
	m, err := c.receive(f.Stream, k.out.class, f.Number)
	k.in = m
	return err
}

// remoteError is the error of a handler. A handler's LinkDown becomes LinkLost,
// because LinkDown promises that the handler did not run.
func remoteError(peer string, f *frame) *errkind.Error {
	kind := errkind.Kind(f.Name)
	if kind == errkind.LinkDown {
		kind = errkind.LinkLost
	}
	return &errkind.Error{Kind: kind, Message: f.Text}
}
