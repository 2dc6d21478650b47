package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/upstream"
)

// Limits of the connections to one target.
const (
	// connectTimeout bounds one TCP connect. A target accepts one in about 1 ms.
	connectTimeout = 500 * time.Millisecond
	// idleTimeout is how long a connection may be idle before it is closed.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the headers of a response.
	maxHeaderBytes = 64 << 10
	// maxControlResponseBytes bounds the response to a grant or a revocation.
	maxControlResponseBytes = 1 << 20
	// ControlConns is the number of connections of a client besides maxConns:
	// one for grants and one for revocations, which may wait for requests to
	// end.
	ControlConns = 2
)

// DialFunc opens a connection to a target.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Client is the HTTP client of one target. It never sends a request twice.
// Requests, grants and revocations use separate connections, so that neither
// full slots nor a waiting revocation delay a renewal.
type Client struct {
	addr                    string
	requests, grant, revoke *http.Transport
	// lastID is the number in the ID of the newest request.
	lastID atomic.Uint64
	// echoesIDs is true once the target has sent a response with the ID of its
	// request. Until then each request takes a new connection.
	echoesIDs atomic.Bool
}

// NewClient returns a client with at most maxConns connections for requests. A
// nil dial means TCP.
func NewClient(addr string, maxConns int, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	return &Client{
		addr:     addr,
		requests: newTransport(max(maxConns, 1), dial),
		grant:    newTransport(1, dial),
		revoke:   newTransport(1, dial),
	}
}

func newTransport(conns int, dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            checked(dial),
		MaxConnsPerHost:        conns,
		MaxIdleConns:           conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		// Responses are forwarded unchanged.
		DisableCompression: true,
	}
}

// checked returns a dial function whose connections fail when the target sends a
// response that isn't valid HTTP/1.1. http.Transport accepts some of them.
func checked(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return upstream.NewCheckedConn(nc), nil
	}
}

// Close closes the connections that carry no request.
func (c *Client) Close() {
	c.requests.CloseIdleConnections()
	c.grant.CloseIdleConnections()
	c.revoke.CloseIdleConnections()
}

// Grant renews the target's grants. Errors are those of Do; a reply that cannot
// be decoded is TargetLost, because the target may have applied the grant.
func (c *Client) Grant(ctx context.Context, req GrantRequest) (GrantReply, error) {
	var reply GrantReply
	err := c.control(ctx, c.grant, GrantPath, req, &reply)
	return reply, err
}

// Revoke withdraws slices from the target. It returns when none of their
// requests runs any more, or with an error of Do.
func (c *Client) Revoke(ctx context.Context, req RevokeRequest) (RevokeReply, error) {
	var reply RevokeReply
	err := c.control(ctx, c.revoke, RevokePath, req, &reply)
	return reply, err
}

// control posts a JSON request and decodes its JSON reply. A target responds to
// a refused request with status 409 and a reply.
func (c *Client) control(ctx context.Context, t *http.Transport, path string, req, reply any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode request for %s", path)
	}
	resp, err := c.exchange(ctx, t, Request{
		Method: http.MethodPost, Path: path, Body: body, MaxResponseBytes: maxControlResponseBytes,
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
