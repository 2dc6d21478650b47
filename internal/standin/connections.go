package standin

import (
	"net"
	"net/http"
	"sync"
)

// connections counts open connections and closes those above the limit.
type connections struct {
	limit int

	mu         sync.Mutex
	open, peak int
	refused    int
	over       map[net.Conn]bool
}

// changed is the server's ConnState hook.
func (c *connections) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.add(conn)
	case http.StateClosed, http.StateHijacked:
		c.remove(conn)
	}
}

func (c *connections) add(conn net.Conn) {
	if c.open >= c.limit {
		c.refused++
		if c.over == nil {
			c.over = map[net.Conn]bool{}
		}
		c.over[conn] = true
		_ = conn.Close()
		return
	}
	c.open++
	c.peak = max(c.peak, c.open)
}

func (c *connections) remove(conn net.Conn) {
	if c.over[conn] {
		delete(c.over, conn)
		return
	}
	c.open--
}

func (c *connections) counts() (peak, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak, c.refused
}
