package callers

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// Guards against a planned stop that closes a connection although a part of a request
// was read on it: behind a complete response or a response in progress, or as the first
// one of a connection that was opened long before.
func TestPlannedStopWaitsForBegunHeads(t *testing.T) {
	for name, before := range map[string]int{"first request": 0, "behind a response": 1, "behind a request in progress": 2} {
		t.Run(name, func(t *testing.T) {
			h := &gatedHandler{t: t}
			conns := NewConnections()
			inBody := make(chan struct{}, 1)
			h.respond = func(w http.ResponseWriter, r *http.Request) {
				_, _ = w.Write([]byte(r.URL.Path))
				if r.URL.Path == "/2" {
					// The head of this response is made before the stop begins.
					_ = http.NewResponseController(w).Flush()
					inBody <- struct{}{}
					<-h.gate("/body")
				}
			}
			s, addr := startServer(t, h.serve, func(cfg *ServerConfig) { cfg.Connections = conns })
			c, r := connect(t, addr)
			h.release("/1", "/2", "/3")
			switch before {
			case 1:
				send(t, c, getOf("/1"))
				expect(t, r, "/1")
			case 2:
				send(t, c, getOf("/2"))
				<-inBody
			}
			request := getOf("/3")
			send(t, c, request[:5])
			awaitPartialHead(t, s)
			for _, open := range s.openConns() {
				open.mu.Lock()
				open.created = time.Now().Add(-2 * firstRequestTime)
				open.mu.Unlock()
			}
			s.SetKeepAlivesEnabled(false)
			stopped := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), eventTime)
				defer cancel()
				stopped <- s.Shutdown(ctx)
			}()
			if before == 2 {
				h.release("/body")
				expect(t, r, "/2")
			}
			time.Sleep(50 * time.Millisecond) // Shutdown looks for idle connections meanwhile
			send(t, c, request[5:])
			if last := expect(t, r, "/3"); !last.Close {
				t.Error("the last response doesn't close the connection")
			}
			expectEnd(t, r)
			if err := <-stopped; err != nil {
				t.Errorf("Shutdown returned %v", err)
			}
		})
	}
}

// Guards against connections that don't count towards the bound while the server waits
// for their callers to close them, and against a planned stop that waits for these.
func TestClosingConnectionsCountTowardsTheBound(t *testing.T) {
	conns := NewConnections()
	s, addr := startServer(t, func(http.ResponseWriter, *http.Request) {}, func(cfg *ServerConfig) { cfg.Connections = conns })
	c, r := connect(t, addr)
	send(t, c, "malformed\r\n\r\n")
	if resp := expect(t, r, "400 Bad Request"); resp.StatusCode != http.StatusBadRequest {
		t.Fatalf("got %d", resp.StatusCode)
	}
	expectEnd(t, r) // the server has closed its direction only
	conns.mu.Lock()
	counted := conns.roster.count
	conns.mu.Unlock()
	if open := len(s.openConns()); counted != open || open != 1 {
		t.Errorf("%d connections count, %d are open, want 1", counted, open)
	}
	quiet := conns.IdleFor()
	_ = c.Close()
	awaitNoConns(t, s)
	if quiet == 0 || conns.IdleFor() < quiet {
		t.Errorf("idle for %v while the caller closes, %v afterwards", quiet, conns.IdleFor())
	}
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if conns.roster.count != 0 {
		t.Errorf("%d connections count after all have ended", conns.roster.count)
	}
}
