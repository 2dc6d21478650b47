package link

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Causes of the end of a handler's context, as returned by context.Cause.
var (
	// ErrCancelled means that the caller cancelled the call.
	ErrCancelled = errors.New("caller cancelled the call")
	// ErrLinkLost means that the connection ended.
	ErrLinkLost = errors.New("link to the caller lost")
)

// serverStream is a stream on the accepting side.
type serverStream struct {
	stream uint64
	method string
	class  Class
	oneWay bool
	// deadline is the zero time if the caller set none.
	deadline time.Time
	in       *incoming
	out      *outgoing
	// reserved is the room that the request takes of Config.MaxReceiving. It is released
	// when the handler ends, or with the stream if it was not started.
	reserved int64
	// refused says that the rest of the request is dropped.
	refused bool
	// cancel cancels the handler's context; nil before the handler is started.
	cancel context.CancelCauseFunc
}

// handleRequest applies a frame of the dialing side. It drops frames of streams
// that have already ended.
func (c *conn) handleRequest(f *frame) (Class, error) {
	if f.Type == frameOpen {
		return c.node.class(f.Name), c.beginRequest(f)
	}
	s := c.serverStreams[f.Stream]
	if s == nil || s.refused && f.Type != frameCancel {
		return Traffic, checkRequestFrame(f)
	}
	switch f.Type {
	case frameData:
		return s.class, c.receiveData(s.in, f)
	case frameClose:
		return s.class, c.endRequest(s, f)
	case frameCredit:
		return Control, c.applyCredit(s.out, f.Number)
	case frameCancel:
		return Control, c.dropStream(s, ErrCancelled)
	}
	return s.class, checkRequestFrame(f)
}

// checkRequestFrame returns an error for frames that only the accepting side
// sends.
func checkRequestFrame(f *frame) error {
	switch f.Type {
	case frameData, frameClose, frameCredit, frameCancel:
		return nil
	}
	return fmt.Errorf("%w: type %d from the dialing side", errOutOfState, f.Type)
}

func (c *conn) beginRequest(f *frame) error {
	if f.Stream <= c.lastStream {
		return fmt.Errorf("%w: stream %d opened after %d", errOutOfState, f.Stream, c.lastStream)
	}
	if len(c.serverStreams) >= maxStreams || f.OneWay > 1 {
		return fmt.Errorf("%w: %d streams open", errOutOfState, len(c.serverStreams))
	}
	c.lastStream = f.Stream
	s := &serverStream{stream: f.Stream, method: f.Name, class: c.node.class(f.Name), oneWay: f.OneWay == 1}
	if f.Remaining != 0 {
		left := time.Duration(min(f.Remaining, uint64(maxRemaining.Microseconds()))) * time.Microsecond
		s.deadline = time.Now().Add(left)
	}
	c.serverStreams[f.Stream] = s
	if f.Number > ChunkSize && f.Number <= uint64(c.node.cfg.MaxMessage) && s.class != Control {
		if !c.node.reserveReceiving(int64(f.Number)) {
			c.refuse(s)
			return nil
		}
		s.reserved = int64(f.Number)
	}
	m, err := c.beginMessage(f.Stream, s.class, f.Number)
	s.in = m
	return err
}

// refuse answers a request for which there is no room before it is received.
func (c *conn) refuse(s *serverStream) {
	s.refused = true
	if s.oneWay {
		delete(c.serverStreams, s.stream)
		return
	}
	c.queueResponse(s, nil, errkind.New(errkind.Overloaded, "%s receives too many bytes at the same time", c.node.cfg.Name))
}

// endRequest starts the handler of a complete request.
func (c *conn) endRequest(s *serverStream, f *frame) error {
	payload, err := c.completeMessage(s.in, f)
	if err != nil {
		return err
	}
	s.in = nil
	if s.oneWay {
		delete(c.serverStreams, s.stream)
	}
	ctx, cancel := context.WithCancelCause(c.node.ctx)
	s.cancel = cancel
	reserved := s.reserved
	started := c.node.spawn(c.peer, s.method, func() {
		defer cancel(nil)
		defer c.node.receiving.Add(-reserved)
		c.runHandler(ctx, s, payload)
	})
	if !started {
		cancel(nil)
		c.node.receiving.Add(-reserved)
		c.queueResponse(s, nil, tooManyHandlers(c.node.cfg.Name))
	}
	return nil
}

// runHandler runs a handler and queues its response.
func (c *conn) runHandler(ctx context.Context, s *serverStream, payload []byte) {
	if !s.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, s.deadline)
		defer cancel()
	}
	response, err := c.node.invoke(ctx, c.peer.name, s.method, payload)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serverStreams[s.stream] == s {
		c.queueResponse(s, response, err)
	}
}

// queueResponse queues the response of a stream. The caller holds the mutex.
func (c *conn) queueResponse(s *serverStream, payload []byte, err *errkind.Error) {
	if s.oneWay {
		return
	}
	s.out = &outgoing{class: s.class, response: true, stream: s.stream, payload: payload}
	if err == nil && len(payload) > c.node.cfg.MaxMessage {
		err = errkind.New(errkind.AnswerTooLarge, "response of %d bytes", len(payload))
	}
	if err != nil {
		s.out.payload = nil
		s.out.failure = failFrame(s.stream, err)
	}
	s.out.onSent = func() { delete(c.serverStreams, s.stream) }
	c.sched.enqueue(s.out)
	c.wakeWriter()
}

func failFrame(stream uint64, err *errkind.Error) *frame {
	text := err.Message
	if cause := errors.Unwrap(err); cause != nil {
		text = fmt.Sprintf("%s: %v", text, cause)
	}
	return &frame{
		Type: frameFail, Stream: stream,
		Name: truncate(string(err.Kind), maxName),
		Text: truncate(text, maxErrorText),
	}
}

func truncate(s string, limit int) string { return s[:min(len(s), limit)] }

// dropStream ends a stream without a response and cancels its handler.
func (c *conn) dropStream(s *serverStream, cause error) error {
	delete(c.serverStreams, s.stream)
	if s.cancel != nil {
		s.cancel(cause)
	} else {
		c.node.receiving.Add(-s.reserved)
	}
	if s.out != nil {
		s.out.done = true
		s.out.payload = nil
	}
	return c.releaseBudget(s.in)
}

// cancelServerStreams ends all streams when the connection ends.
func (c *conn) cancelServerStreams() {
	for _, s := range c.serverStreams {
		_ = c.dropStream(s, ErrLinkLost)
	}
}

func tooManyHandlers(vm string) *errkind.Error {
	return errkind.New(errkind.Overloaded, "%s runs too many handlers for this peer", vm)
}

// invoke runs the handler of a method and converts its failure to an error of a
// known kind. It does not run the handler if ctx has already ended.
func (n *Node) invoke(ctx context.Context, from, method string, payload []byte) (response []byte, failed *errkind.Error) {
	h := n.handler(method)
	if h == nil {
		return nil, errkind.New(errkind.BadRequest, "no handler for method %q", method)
	}
	if ctx.Err() != nil {
		return nil, errkind.New(errkind.QueueTimeout, "deadline passed before the handler ran")
	}
	defer func() {
		if r := recover(); r != nil {
			n.log.WithField("method", method).WithField("peer", from).Errorf("handler panicked: %v", r)
			response, failed = nil, errkind.New(errkind.Internal, "handler panicked")
		}
	}()
	response, err := h(ctx, from, payload)
	if err == nil {
		return response, nil
	}
	var known *errkind.Error
	if !errors.As(err, &known) && ctx.Err() != nil {
		return nil, errkind.Wrap(errkind.AnswerTimeout, err, "handler of %q ended", method)
	}
	return nil, withoutLinkDown(errkind.From(err))
}

// withoutLinkDown converts a handler's LinkDown to LinkLost, because LinkDown
// promises that the handler did not run.
func withoutLinkDown(err *errkind.Error) *errkind.Error {
	if err.Kind != errkind.LinkDown {
		return err
	}
	return errkind.Wrap(errkind.LinkLost, err, "inside the handler")
}

// spawn calls run in its own goroutine. It returns false if the peer has
// reached the handler limit of the method's class or the node is closed.
func (n *Node) spawn(p *peer, method string, run func()) bool {
	class := n.class(method)
	if !p.acquireHandler(class, n.handlerLimit(class)) {
		p.counters[class].refused.Add(1)
		return false
	}
	if !n.addGoroutine(&n.handlers) {
		p.releaseHandler(class)
		return false
	}
	go func() {
		defer n.handlers.Done()
		defer p.releaseHandler(class)
		run()
	}()
	return true
}

func (n *Node) handlerLimit(class Class) int {
	if class == Control {
		return maxPriorityHandlers
	}
	return n.cfg.MaxHandlers
}
