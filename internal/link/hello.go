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
	errWrongCluster = errors.New("peer of another cluster")
	errStranger     = errors.New("peer of an unknown name")
	errWrongPeer    = errors.New("address belongs to another VM")
	errNoHello      = errors.New("connection did not open with a hello")
	errVersion      = errors.New("peer speaks another protocol version")
)

// helloReason returns the label under which a refused hello is counted.
func helloReason(err error) string {
	switch {
	case errors.Is(err, errWrongCluster):
		return "wrong_cluster"
	case errors.Is(err, errStranger):
		return "unknown_peer"
	case errors.Is(err, errWrongPeer):
		return "wrong_peer"
	case errors.Is(err, errVersion):
		return "wrong_version"
	}
	return "no_hello"
}

// greet sends this node's hello.
func (n *Node) greet(nc net.Conn, to string) error {
	e := newEncoder()
	e.append(&frame{Type: frameHello, Number: protocolVersion, Name: n.cfg.Cluster, From: n.cfg.Name, To: to})
	_, err := nc.Write(e.buf.Bytes())
	return err
}

// readHello reads and checks the other side's hello.
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

// dial opens a connection to a peer and exchanges hellos.
func (n *Node) dial(p *peer, addr string) (*conn, *bufio.Reader, error) {
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	nc, err := n.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	stop := closeOnDone(ctx, nc)
	r := bufio.NewReaderSize(nc, readBuffer)
	err = n.shake(nc, r, p.name)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = nc.Close()
		return nil, nil, err
	}
	return newConn(n, p, nc, true), r, nil
}

// shake is the dialing side of the exchange of hellos.
func (n *Node) shake(nc net.Conn, r *bufio.Reader, peer string) error {
	if err := n.greet(nc, peer); err != nil {
		return err
	}
	from, err := n.readHello(r)
	if err != nil {
		return n.refuseHello(err)
	}
	if from != peer {
		return n.refuseHello(fmt.Errorf("%w: %q", errWrongPeer, from))
	}
	return nil
}

// refuseHello counts a hello that is wrong; a link that broke before it is not.
func (n *Node) refuseHello(err error) error {
	if reason := helloReason(err); reason != "no_hello" {
		n.bad.add(reason)
	}
	return err
}

// accept is the accepting side of the exchange of hellos.
func (n *Node) accept(nc net.Conn) (*conn, *bufio.Reader, error) {
	_ = nc.SetDeadline(time.Now().Add(dialTimeout))
	r := bufio.NewReaderSize(nc, readBuffer)
	from, err := n.readHello(r)
	if err != nil {
		return nil, nil, err
	}
	p := n.lookup(from)
	if p == nil && n.cfg.Learn && from != n.cfg.Name {
		n.SetPeer(from, from)
		p = n.lookup(from)
	}
	if p == nil || from == n.cfg.Name {
		return nil, nil, fmt.Errorf("%w: %q", errStranger, from)
	}
	if err := n.greet(nc, from); err != nil {
		return nil, nil, err
	}
	_ = nc.SetDeadline(time.Time{})
	return newConn(n, p, nc, false), r, nil
}
