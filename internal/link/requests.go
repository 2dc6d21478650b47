package link

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// ErrCancelled is the cause of a handler's context when its caller gave up;
// ErrLinkBroke when the connection ended.
var (
	ErrCancelled = errors.New("caller cancelled the call")
	ErrLinkBroke = errors.New("link to the caller broke")
)

// served is one stream of the accepting side.
type served struct {
	stream uint64
	method string
	class  Class
	oneWay bool
	// deadline is the zero time when the caller has none.
	deadline time.Time
	in       *incoming
	out      *outgoing
	// cancel ends the handler's context; nil before the handler runs.
	cancel context.CancelCauseFunc
}

// handleRequest applies a frame of the dialing side. Frames of streams that
// ended already are dropped.
func (c *conn) handleRequest(f *frame) (Class, error) {
	if f.Type == frameOpen {
		return c.node.class(f.Name), c.beginRequest(f)
	}
	s := c.served[f.Stream]
	if s == nil {
		return Traffic, requestFrame(f)
	}
	switch f.Type {
	case frameData:
		return s.class, c.chunk(s.in, f)
	case frameClose:
		return s.class, c.endRequest(s, f)
	case frameCredit:
		return Control, c.raise(s.out, f.Number)
	case frameCancel:
		return Control, c.drop(s, ErrCancelled)
	}
	return s.class, requestFrame(f)
}

// requestFrame returns an error for frames that only the accepting side sends.
func requestFrame(f *frame) error {
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
	if len(c.served) >= maxStreams || f.OneWay > 1 {
		return fmt.Errorf("%w: %d streams open", errOutOfState, len(c.served))
	}
	c.lastStream = f.Stream
	s := &served{stream: f.Stream, method: f.Name, class: c.node.class(f.Name), oneWay: f.OneWay == 1}
	if f.Remaining != 0 {
		left := time.Duration(min(f.Remaining, uint64(maxRemaining.Microseconds()))) * time.Microsecond
		s.deadline = time.Now().Add(left)
	}
	c.served[f.Stream] = s
	m, err := c.receive(f.Stream, s.class, f.Number)
	s.in = m
	return err
}

// endRequest starts the handler of a complete request.
func (c *conn) endRequest(s *served, f *frame) error {
	payload, err := c.complete(s.in, f)
	if err != nil {
		return err
	}
	s.in = nil
	if s.oneWay {
		delete(c.served, s.stream)
	}
	ctx, cancel := context.WithCancelCause(c.node.ctx)
	s.cancel = cancel
	started := c.node.spawn(c.peer, s.method, func() {
		defer cancel(nil)
		c.serve(ctx, s, payload)
	})
	if !started {
		cancel(nil)
		c.answer(s, nil, refused(c.node.cfg.Name))
	}
	return nil
}

// serve runs a handler and queues its answer.
func (c *conn) serve(ctx context.Context, s *served, payload []byte) {
	if !s.deadline.IsZero() {
		var end context.CancelFunc
		ctx, end = context.WithDeadline(ctx, s.deadline)
		defer end()
	}
	answer, err := c.node.invoke(ctx, c.peer.name, s.method, payload)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.served[s.stream] == s {
		c.answer(s, answer, err)
	}
}

// answer queues the answer of a stream; the caller holds the mutex.
func (c *conn) answer(s *served, payload []byte, err *errkind.Error) {
	if s.oneWay {
		return
	}
	s.out = &outgoing{class: s.class, answer: true, stream: s.stream, payload: payload}
	if err == nil && len(payload) > c.node.cfg.MaxMessage {
		err = errkind.New(errkind.AnswerTooLarge, "answer of %d bytes", len(payload))
	}
	if err != nil {
		s.out.payload = nil
		s.out.fail = failFrame(s.stream, err)
	}
	s.out.finished = func() { delete(c.served, s.stream) }
	c.sched.enqueue(s.out)
	c.signal()
}

func failFrame(stream uint64, err *errkind.Error) *frame {
	text := err.Message
	if cause := errors.Unwrap(err); cause != nil {
		text = fmt.Sprintf("%s: %v", text, cause)
	}
	return &frame{
		Type: frameFail, Stream: stream,
		Name: cut(string(err.Kind), maxName),
		Text: cut(text, maxErrorText),
	}
}

func cut(s string, limit int) string { return s[:min(len(s), limit)] }

// drop ends a stream without an answer.
func (c *conn) drop(s *served, cause error) error {
	delete(c.served, s.stream)
	if s.cancel != nil {
		s.cancel(cause)
	}
	if s.out != nil {
		s.out.done = true
		s.out.payload = nil
	}
	return c.release(s.in)
}

// endServed ends all streams when the connection ends.
func (c *conn) endServed() {
	for _, s := range c.served {
		_ = c.drop(s, ErrLinkBroke)
	}
}

func refused(vm string) *errkind.Error {
	return errkind.New(errkind.Overloaded, "%s runs too many handlers for this peer", vm)
}

// invoke runs the handler of a method and turns its failure into an error of a
// known kind. A request whose deadline passed does not run.
func (n *Node) invoke(ctx context.Context, from, method string, payload []byte) (answer []byte, failed *errkind.Error) {
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
			answer, failed = nil, errkind.New(errkind.Internal, "handler panicked")
		}
	}()
	answer, err := h(ctx, from, payload)
	if err == nil {
		return answer, nil
	}
	var known *errkind.Error
	if !errors.As(err, &known) && ctx.Err() != nil {
		return nil, errkind.Wrap(errkind.AnswerTimeout, err, "handler of %q ended", method)
	}
	return nil, notDown(errkind.From(err))
}

// notDown turns a handler's LinkDown into LinkLost, because LinkDown promises
// that the handler did not run.
func notDown(err *errkind.Error) *errkind.Error {
	if err.Kind != errkind.LinkDown {
		return err
	}
	return errkind.Wrap(errkind.LinkLost, err, "inside the handler")
}

// spawn runs f in its own goroutine if the peer has room for one more handler
// of the method's class.
func (n *Node) spawn(p *peer, method string, f func()) bool {
	class := n.class(method)
	if !p.acquire(class, n.room(class)) {
		p.counters[class].refused.Add(1)
		return false
	}
	if !n.begin(&n.handlers) {
		p.releaseHandler(class)
		return false
	}
	go func() {
		defer n.handlers.Done()
		defer p.releaseHandler(class)
		f()
	}()
	return true
}

func (n *Node) room(class Class) int {
	if class == Control {
		return maxPriorityHandlers
	}
	return n.cfg.MaxHandlers
}
