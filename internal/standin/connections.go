package standin

import (
	"net"
	"net/http"
	"sync"
)

// connLimiter counts a server's open connections and closes those above the
// limit.
type connLimiter struct {
	limit int

	mu         sync.Mutex
	open, peak int
	refused    int
	rejected   map[net.Conn]bool
}

// onConnState is the server's ConnState hook.
func (c *connLimiter) onConnState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.add(conn)
	case http.StateClosed, http.StateHijacked:
		c.remove(conn)
	}
}

func (c *connLimiter) add(conn net.Conn) {
	if c.open >= c.limit {
		c.refused++
		if c.rejected == nil {
			c.rejected = map[net.Conn]bool{}
		}
		c.rejected[conn] = true
		_ = conn.Close()
		return
	}
	c.open++
	c.peak = max(c.peak, c.open)
}

func (c *connLimiter) remove(conn net.Conn) {
	if c.rejected[conn] {
		delete(c.rejected, conn)
		return
	}
	c.open--
}

func (c *connLimiter) counts() (peak, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak, c.refused
}
