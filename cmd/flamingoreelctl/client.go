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

// Time limits of attempts.
const (
	// attemptTimeout bounds one attempt at one server.
	attemptTimeout = 3 * time.Second
	// roundPause is the time between two rounds over all servers.
	roundPause = 200 * time.Millisecond
	// maxAnswer bounds an answer.
	maxAnswer = 64 * text.MaxBytes
)

// client tries its servers in turn until one gives a final answer.
type client struct {
	http    http.Client
	servers []string
}

func newClient(servers []string) *client {
	return &client{http: http.Client{Timeout: attemptTimeout}, servers: servers}
}

// answer is a final answer of a server.
type answer struct {
	status int
	body   []byte
}

// call sends the same request until a server gives a final answer or ctx ends.
// Every request of the admin interface may be sent again: reads change
// nothing, and a change is refused or recognised by its base and its bytes.
func (c *client) call(ctx context.Context, method, path string, body any) (answer, error) {
	var content []byte
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return answer{}, err
		}
	}
	for {
		var last error
		for _, server := range c.servers {
			a, err := c.once(ctx, method, server+path, content)
			if err == nil {
				return a, nil
			}
			last = err
		}
		select {
		case <-ctx.Done():
			return answer{}, fmt.Errorf("no server gave an answer: %w", last)
		case <-time.After(roundPause):
		}
	}
}

// once returns an error where another attempt may succeed.
func (c *client) once(ctx context.Context, method, url string, content []byte) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return answer{}, err
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return answer{}, refusal(resp.StatusCode, data)
	}
	return answer{status: resp.StatusCode, body: data}, nil
}

// refusal returns the error of an answer that carries one.
func refusal(status int, body []byte) error {
	var e errkind.Error
	if json.Unmarshal(body, &e) == nil && e.Kind != "" {
		return &e
	}
	return fmt.Errorf("the server answered with status %d", status)
}

// get reads a JSON document.
func (c *client) get(ctx context.Context, path string, v any) error {
	a, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return refusal(a.status, a.body)
	}
	return json.Unmarshal(a.body, v)
}
