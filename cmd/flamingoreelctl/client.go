package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/text"
)

// Limits of requests to servers.
const (
	// attemptTimeout bounds one request to one server.
	attemptTimeout = 3 * time.Second
	// retryDelay is the time between two rounds over all servers.
	retryDelay = 200 * time.Millisecond
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 64 * text.MaxBytes
)

// client sends requests to its servers in turn until one gives a final response.
type client struct {
	http    http.Client
	servers []string
}

func newClient(servers []string) *client {
	return &client{http: http.Client{Timeout: attemptTimeout}, servers: servers}
}

// response is a final response of a server.
type response struct {
	status int
	body   []byte
}

// call sends a request to the servers in turn, round after round, until one gives a
// final response or ctx ends. Every request of the admin interface may be retried:
// reads change nothing, and a retried change is refused or recognised by its base
// and its bytes.
func (c *client) call(ctx context.Context, method, path string, body any) (response, error) {
	var content []byte
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return response{}, err
		}
	}
	for {
		var lastErr error
		for _, server := range c.servers {
			resp, err := c.attempt(ctx, method, server+path, content)
			if err == nil {
				return resp, nil
			}
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return response{}, fmt.Errorf("no server gave an answer: %w", lastErr)
		case <-time.After(retryDelay):
		}
	}
}

// attempt sends a request to one server. It returns an error if another attempt may
// succeed.
func (c *client) attempt(ctx context.Context, method, url string, content []byte) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, err
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return response{}, responseError(resp.StatusCode, data)
	}
	return response{status: resp.StatusCode, body: data}, nil
}

// responseError returns the error in the body of a response, or one that names the
// status if there is none.
func responseError(status int, body []byte) error {
	var e errkind.Error
	if json.Unmarshal(body, &e) == nil && e.Kind != "" {
		return &e
	}
	return fmt.Errorf("the server answered with status %d", status)
}

// get reads the JSON document at path into v.
func (c *client) get(ctx context.Context, path string, v any) error {
	resp, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return responseError(resp.status, resp.body)
	}
	return json.Unmarshal(resp.body, v)
}
