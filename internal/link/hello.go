package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

var (
	errWrongCluster = errors.New("peer belongs to another cluster")
	errUnknownName  = errors.New("peer has an unknown name")
	errWrongPeer    = errors.New("address belongs to another VM")
	errNoHello      = errors.New("connection did not start with a hello frame")
	errVersion      = errors.New("peer uses another protocol version")
)

// helloReason returns the metric label for a failed handshake.
func helloReason(err error) string {
	switch {
	case errors.Is(err, errWrongCluster):
		return "wrong_cluster"
	case errors.Is(err, errUnknownName):
		return "unknown_peer"
	case errors.Is(err, errWrongPeer):
		return "wrong_peer"
	case errors.Is(err, errVersion):
		return "wrong_version"
	}
	return "no_hello"
}

// sendHello sends this node's hello frame to the VM to.
func (n *Node) sendHello(nc net.Conn, to string) error {
	e := newEncoder()
	e.append(&frame{Type: frameHello, Number: protocolVersion, Name: n.cfg.Cluster, From: n.cfg.Name, To: to})
	_, err := nc.Write(e.buf.Bytes())
	return err
}

// readHello reads and checks the peer's hello frame and returns the peer's
// name.
func (n *Node) readHello(r *bufio.Reader) (from string, err error) {
	body, err := readFrame(r, nil)
	if err != nil {
		return "", fmt.Errorf("%w: %v", errNoHello, err)
	}
	f, err := newDecoder().decode(body)
	if err != nil || f.Type != frameHello {
		return "", errNoHello
	}
	if f.Number != protocolVersion {
		return "", fmt.Errorf("%w: %d", errVersion, f.Number)
	}
	if f.Name != n.cfg.Cluster {
		return "", fmt.Errorf("%w: %q", errWrongCluster, f.Name)
	}
	if f.To != n.cfg.Name {
		return "", fmt.Errorf("%w: meant for %q", errWrongPeer, f.To)
	}
	return f.From, nil
}

// dial opens a connection to a peer and performs the handshake.
func (n *Node) dial(p *peer, addr string) (*conn, *bufio.Reader, error) {
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	nc, err := n.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	stop := closeOnDone(ctx, nc)
	r := bufio.NewReaderSize(nc, readBuffer)
	err = n.dialHandshake(nc, r, p.name)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = nc.Close()
		return nil, nil, err
	}
	return newConn(n, p, nc, true), r, nil
}

// dialHandshake performs the dialing side of the handshake.
func (n *Node) dialHandshake(nc net.Conn, r *bufio.Reader, peer string) error {
	if err := n.sendHello(nc, peer); err != nil {
		return err
	}
	from, err := n.readHello(r)
	if err != nil {
		return n.rejectHello(err)
	}
	if from != peer {
		return n.rejectHello(fmt.Errorf("%w: %q", errWrongPeer, from))
	}
	return nil
}

// rejectHello counts a hello of the wrong VM, cluster or version and returns
// err. A connection that was lost before its hello is not counted.
func (n *Node) rejectHello(err error) error {
	if reason := helloReason(err); reason != "no_hello" {
		n.closedByReason.add(reason)
	}
	return err
}

// acceptHandshake performs the accepting side of the handshake.
func (n *Node) acceptHandshake(nc net.Conn) (*conn, *bufio.Reader, error) {
	_ = nc.SetDeadline(time.Now().Add(dialTimeout))
	r := bufio.NewReaderSize(nc, readBuffer)
	from, err := n.readHello(r)
	if err != nil {
		return nil, nil, err
	}
	p := n.lookup(from)
	if p == nil && n.cfg.AcceptUnknown && from != n.cfg.Name {
		n.SetPeer(from, from)
		p = n.lookup(from)
	}
	if p == nil || from == n.cfg.Name {
		return nil, nil, fmt.Errorf("%w: %q", errUnknownName, from)
	}
	if err := n.sendHello(nc, from); err != nil {
		return nil, nil, err
	}
	_ = nc.SetDeadline(time.Time{})
	return newConn(n, p, nc, false), r, nil
}
