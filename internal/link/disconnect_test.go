package link

import (
	"context"
	"net"
	"testing"
	"time"
)

// Guards against a call that is cut because the link is closed as unused in the moment
// in which the call begins.
func TestDisconnectSparesCallsInFlight(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	n := newNetwork()
	a, b := n.pair(map[string]Handler{"wait": func(context.Context, string, []byte) ([]byte, error) {
		close(started)
		<-finish
		return []byte("done"), nil
	}})
	defer func() { _, _ = a.Close(), b.Close() }()
	result := make(chan error, 1)
	go func() {
		_, err := a.Call(context.Background(), "b", "wait", nil)
		result <- err
	}()
	<-started
	a.Disconnect("b")
	close(finish)
	if err := <-result; err != nil {
		t.Errorf("the call failed: %v", err)
	}
}

// Guards against a link that stays open for good because it was disconnected while it
// was being dialed.
func TestDisconnectEndsADial(t *testing.T) {
	n := newNetwork()
	a, b := n.pair(nil)
	defer func() { _, _ = a.Close(), b.Close() }()
	dialing, proceed := make(chan struct{}, 1), make(chan struct{})
	dial := a.cfg.Dial
	a.cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		dialing <- struct{}{}
		<-proceed
		return dial(ctx, addr)
	}
	a.Send("b", "x", nil)
	<-dialing
	a.Disconnect("b")
	close(proceed)
	p := a.lookup("b")
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		phase := p.phase
		p.mu.Unlock()
		if phase == phaseIdle {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the link is in phase %d", phase)
		}
	}
}
