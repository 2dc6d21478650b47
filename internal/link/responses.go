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

// result is the outcome of a call.
type result struct {
	payload []byte
	err     *errkind.Error
}

// call is one request of the dialing side. It ends exactly once: the function
// that removes it from the connection's maps, under the mutex, also provides
// its result.
type call struct {
	// out is the request, and in is the response being received, if any.
	out *outgoing
	in  *incoming
	// result has capacity 1, so that sending the only result does not block.
	result chan result
}

// startCall queues a request. If it returns an error, nothing was sent.
func (c *conn) startCall(ctx context.Context, method string, payload []byte) (*call, *errkind.Error) {
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
	c.unsent[k] = struct{}{}
	c.sched.enqueue(k.out)
	c.wakeWriter()
	return k, nil
}

// startOneWay queues a one-way message. It returns false if the connection has
// ended or the queue is full.
func (c *conn) startOneWay(method string, payload []byte) bool {
	o := &outgoing{class: c.node.class(method), method: method, payload: payload}
	size := len(payload)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.queuedOneWay >= maxOneWay || c.queuedOneWayBytes+size > maxOneWayBytes {
		return false
	}
	c.queuedOneWay++
	c.queuedOneWayBytes += size
	o.onSent = func() {
		c.queuedOneWay--
		c.queuedOneWayBytes -= size
		delete(c.oneWayStreams, o.stream)
	}
	c.sched.enqueue(o)
	c.wakeWriter()
	return true
}

// wait returns the call's result, or cancels the call when ctx ends.
func (c *conn) wait(ctx context.Context, k *call) result {
	select {
	case r := <-k.result:
		return r
	case <-ctx.Done():
	}
	return c.cancelCall(k, ctx.Err())
}

// cancelCall ends a call whose context ended, unless its result has already
// arrived.
func (c *conn) cancelCall(k *call, cause error) result {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.removeCall(k) {
		return <-k.result
	}
	k.out.done = true
	k.out.payload = nil
	if k.out.stream == 0 {
		return result{err: linkDown(c.peer.name, cause)}
	}
	if err := c.queueControl(frame{Type: frameCancel, Stream: k.out.stream}); err != nil {
		go c.closeWithError(err)
	}
	return result{err: errkind.Wrap(errkind.AnswerTimeout, cause, "call to %s ended", c.peer.name)}
}

// removeCall removes a call from the maps and reports whether it was still
// there.
func (c *conn) removeCall(k *call) bool {
	_, unsent := c.unsent[k]
	known := unsent || (k.out.stream != 0 && c.calls[k.out.stream] == k)
	if !known {
		return false
	}
	delete(c.unsent, k)
	delete(c.calls, k.out.stream)
	c.inFlight--
	if k.in != nil {
		if err := c.releaseBudget(k.in); err != nil {
			go c.closeWithError(err)
		}
	}
	return true
}

// finishCall ends a call with its result, unless it has already ended.
func (c *conn) finishCall(k *call, r result) {
	if c.removeCall(k) {
		k.out.done = true
		k.out.payload = nil
		k.result <- r
	}
}

// failCalls ends all calls with an error when the connection ends.
func (c *conn) failCalls() {
	for k := range c.unsent {
		c.finishCall(k, result{err: linkDown(c.peer.name, c.err)})
	}
	for _, k := range c.calls {
		c.finishCall(k, result{err: linkLost(c.peer.name, c.err)})
	}
}

// handleResponse applies a frame of the accepting side. It drops frames of
// calls that have already ended.
func (c *conn) handleResponse(f *frame) (Class, error) {
	k := c.calls[f.Stream]
	if f.Type == frameCredit {
		return Control, c.applyRequestCredit(k, f)
	}
	if k == nil {
		return Traffic, checkResponseFrame(f)
	}
	class := k.out.class
	switch f.Type {
	case frameResponse:
		return class, c.beginResponse(k, f)
	case frameData:
		return class, c.receiveData(k.in, f)
	case frameClose:
		payload, err := c.completeMessage(k.in, f)
		if err == nil {
			c.finishCall(k, result{payload: payload})
		}
		return class, err
	case frameFail:
		c.finishCall(k, result{err: remoteError(c.peer.name, f)})
		return class, nil
	}
	return class, checkResponseFrame(f)
}

// checkResponseFrame returns an error for frames that only the dialing side
// sends.
func checkResponseFrame(f *frame) error {
	switch f.Type {
	case frameResponse, frameData, frameClose, frameFail:
		return nil
	}
	return fmt.Errorf("%w: type %d from the accepting side", errOutOfState, f.Type)
}

func (c *conn) applyRequestCredit(k *call, f *frame) error {
	if k == nil {
		return c.applyCredit(c.oneWayStreams[f.Stream], f.Number)
	}
	return c.applyCredit(k.out, f.Number)
}

func (c *conn) beginResponse(k *call, f *frame) error {
	if k.in != nil {
		return fmt.Errorf("%w: second response", errOutOfState)
	}
	m, err := c.beginMessage(f.Stream, k.out.class, f.Number)
	k.in = m
	return err
}

// remoteError returns the error in a fail frame. LinkDown becomes LinkLost,
// because LinkDown promises that the handler did not run.
func remoteError(peer string, f *frame) *errkind.Error {
	kind := errkind.Kind(f.Name)
	if kind == errkind.LinkDown {
		kind = errkind.LinkLost
	}
	return &errkind.Error{Kind: kind, Message: f.Text}
}
