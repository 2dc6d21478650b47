//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	status  int
	stamp   string
	body    string
	err     error
	sent    time.Duration
	took    time.Duration
	retryIn string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client is a stand-in for a client. keep says that it reuses its connection.
type client struct {
	s     *system
	http  *http.Client
	quiet bool
}

func (s *system) newClient(keep bool) *client {
	return &client{s: s, http: &http.Client{Transport: &http.Transport{
		DisableKeepAlives: !keep, DisableCompression: true, MaxConnsPerHost: 1,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// send sends one attempt and returns its answer.
func (c *client) send(method, addr, host, path, id string, deadline time.Duration, body string, key int) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, reader)
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("Flamingoreel-Request-Id", id)
	req.Header.Set("Flamingoreel-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	if key >= 0 {
		req.Header.Set("Flamingoreel-Shard-Key", strconv.Itoa(key))
	}
	a := answer{sent: c.s.since()}
	resp, err := c.http.Do(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		var data []byte
		data, err = io.ReadAll(resp.Body)
		a.status, a.stamp, a.body, a.retryIn = resp.StatusCode, resp.Header.Get("Flamingoreel-Response-Stamp"), string(data), resp.Header.Get("Retry-After")
	}
	a.err, a.took = err, c.s.since()-a.sent
	if c.quiet {
		return a
	}
	c.s.note("client", "%s %s%s %s at %s: status %d in %.3f s, error %v", method, host, path, id, addr, a.status, a.took.Seconds(), a.err)
	return a
}

// awaitServed waits until an entry answers a request with success.
func (s *system) awaitServed(addr, method, host, path string, key int, limit time.Duration) error {
	c := s.newClient(false)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if a := c.send(method, addr, host, path, newID(), 2*time.Second, "", key); a.err == nil && a.status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s did not serve within %v", addr, limit)
}
