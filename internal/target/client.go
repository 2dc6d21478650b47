package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Limits of the connections to one target.
const (
	// connectTimeout bounds one TCP connect; a target opens one in about 1 ms.
	connectTimeout = 500 * time.Millisecond
	// idleTimeout closes connections that carried no request for this long.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// maxControlAnswer bounds the answer to a grant or a revocation in bytes.
	maxControlAnswer = 1 << 20
	// ControlConns is the number of connections of a client besides maxConns:
	// one for grants and one for revocations, which may wait for work to end.
	ControlConns = 2
)

// DialFunc opens a connection to a target.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Client is the HTTP client of one target. It never sends a request twice.
// Work, grants and revocations use separate connections, so that neither full
// slots nor a waiting revocation delay a renewal.
type Client struct {
	addr                string
	work, grant, revoke *http.Transport
}

// NewClient returns a client with at most maxConns connections for work. A nil
// dial is TCP.
func NewClient(addr string, maxConns int, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	return &Client{
		addr:   addr,
		work:   newTransport(max(maxConns, 1), dial),
		grant:  newTransport(1, dial),
		revoke: newTransport(1, dial),
	}
}

func newTransport(conns int, dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        conns,
		MaxIdleConns:           conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		// Answers are passed on as they are.
		DisableCompression: true,
	}
}

// Close closes the connections that carry no request.
func (c *Client) Close() {
	c.work.CloseIdleConnections()
	c.grant.CloseIdleConnections()
	c.revoke.CloseIdleConnections()
}

// Grant renews the target's grants. Errors are those of Do; a reply that
// cannot be read is TargetLost, because the grant may be in force.
func (c *Client) Grant(ctx context.Context, req GrantRequest) (GrantReply, error) {
	var reply GrantReply
	err := c.control(ctx, c.grant, GrantPath, req, &reply)
	return reply, err
}

// Revoke takes slices from the target. It returns when none of their work
// runs any more, or with an error of Do.
func (c *Client) Revoke(ctx context.Context, req RevokeRequest) (RevokeReply, error) {
	var reply RevokeReply
	err := c.control(ctx, c.revoke, RevokePath, req, &reply)
	return reply, err
}

// control posts a JSON request and decodes its JSON reply. A target answers a
// refused request with 409 and a reply.
func (c *Client) control(ctx context.Context, t *http.Transport, path string, req, reply any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode request for %s", path)
	}
	resp, err := c.exchange(ctx, t, Request{
		Method: http.MethodPost, Path: path, Body: body, MaxAnswer: maxControlAnswer,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK && resp.Status != http.StatusConflict {
		return errkind.New(errkind.TargetLost, "%s answered %s with status %d", c.addr, path, resp.Status)
	}
	if err := json.NewDecoder(bytes.NewReader(resp.Body)).Decode(reply); err != nil {
		return errkind.Wrap(errkind.TargetLost, err, "reply of %s to %s", c.addr, path)
	}
	return nil
}
