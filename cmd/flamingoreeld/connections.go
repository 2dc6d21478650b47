package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections follows the connections of a server, so that a stopping process
// knows when no caller waits for it.
type connections struct {
	mu   sync.Mutex
	busy map[net.Conn]bool
	// since is when the last connection became idle or ended.
	since time.Time
}

func newConnections() *connections {
	return &connections{busy: make(map[net.Conn]bool), since: time.Now()}
}

// note is the server's ConnState hook. A new connection counts as busy, because
// its request may be on the way.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		c.busy[conn] = true
	default:
		delete(c.busy, conn)
		c.since = time.Now()
	}
}

// quiet returns for how long no connection was busy; 0 while one is.
func (c *connections) quiet() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.busy) > 0 {
		return 0
	}
	return time.Since(c.since)
}
