package upstream

import (
	"slices"
	"sync"
)

// UsedConns holds the connections on which one request was sent. It is safe for
// concurrent use; a nil UsedConns holds nothing.
type UsedConns struct {
	mu    sync.Mutex
	conns []*conn
}

func (u *UsedConns) add(c *conn) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, c)
}

func (u *UsedConns) contains(c *conn) bool {
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Contains(u.conns, c)
}
