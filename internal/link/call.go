package link

import (
	"context"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Call sends a request to a peer and returns the handler's response. The
// payload must not change until Call returns.
//
// Errors are of type *errkind.Error: LinkDown if no byte of the request was
// sent, Overloaded if too many calls are in flight or the peer runs too many
// handlers, LinkLost if the request may have arrived, AnswerTimeout if ctx
// ended after the request was sent, and otherwise the handler's error.
func (n *Node) Call(ctx context.Context, to, method string, payload []byte) ([]byte, error) {
	if err := n.checkRequest(ctx, to, method, payload); err != nil {
		return nil, err
	}
	if to == n.cfg.Name {
		return n.callSelf(ctx, method, payload)
	}
	p := n.lookup(to)
	if p == nil {
		return nil, linkDown(to, errUnknownPeer)
	}
	c, k, err := p.startCall(ctx, method, payload)
	if err != nil {
		return nil, err
	}
	r := c.wait(ctx, k)
	if r.err != nil {
		return nil, r.err
	}
	return r.payload, nil
}

// startCall queues a request on the current connection, or on the next one if
// the connection ends before the request is queued.
func (p *peer) startCall(ctx context.Context, method string, payload []byte) (*conn, *call, error) {
	for {
		c, err := p.connection(ctx)
		if err != nil {
			return nil, nil, linkDown(p.name, err)
		}
		k, failed := c.startCall(ctx, method, payload)
		if failed == nil {
			return c, k, nil
		}
		if failed.Kind != errkind.LinkDown {
			return nil, nil, failed
		}
	}
}

// checkRequest returns an error if the request must not be sent: its context
// has ended, its method name is empty or too long, or its payload is too large.
func (n *Node) checkRequest(ctx context.Context, to, method string, payload []byte) error {
	if err := ctx.Err(); err != nil {
		return linkDown(to, err)
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return linkDown(to, context.DeadlineExceeded)
	}
	if method == "" || len(method) > maxName {
		return errkind.New(errkind.BadRequest, "method name of %d bytes", len(method))
	}
	if len(payload) > n.cfg.MaxMessage {
		return errkind.New(errkind.BadRequest, "request of %d bytes, at most %d", len(payload), n.cfg.MaxMessage)
	}
	return nil
}

// Send queues a one-way message if the link to the peer is up and its queue is
// not full; otherwise the message is dropped and counted. The payload must not
// change afterwards. Messages may arrive out of order.
func (n *Node) Send(to, method string, payload []byte) {
	if n.checkRequest(context.Background(), to, method, payload) != nil {
		return
	}
	if to == n.cfg.Name {
		n.sendSelf(method, payload)
		return
	}
	p := n.lookup(to)
	if p == nil {
		return
	}
	if c := p.current(); c == nil || !c.startOneWay(method, payload) {
		p.counters[n.class(method)].dropped.Add(1)
	}
}

// callSelf runs the handler for a call to the node's own name.
func (n *Node) callSelf(ctx context.Context, method string, payload []byte) ([]byte, error) {
	done := make(chan result, 1)
	copied := append([]byte(nil), payload...)
	started := n.spawn(n.self, method, func() {
		response, err := n.invoke(ctx, n.cfg.Name, method, copied)
		done <- result{payload: response, err: err}
	})
	if !started {
		return nil, tooManyHandlers(n.cfg.Name)
	}
	select {
	case r := <-done:
		if r.err != nil {
			return nil, r.err
		}
		return r.payload, nil
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.AnswerTimeout, ctx.Err(), "call to %s ended", n.cfg.Name)
	}
}

// sendSelf runs the handler for a one-way message to the node's own name.
func (n *Node) sendSelf(method string, payload []byte) {
	copied := append([]byte(nil), payload...)
	n.spawn(n.self, method, func() {
		_, _ = n.invoke(n.ctx, n.cfg.Name, method, copied)
	})
}
