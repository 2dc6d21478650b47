package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// narrowLink carries the responses of an entry to its callers, in the order in which
// their bytes arrive.
type narrowLink struct {
	queue chan packet
}

// packet is a part of a response; one without data closes its connection.
type packet struct {
	to   net.Conn
	data []byte
}

// startNarrowLink returns the address at which callers reach the entry over the link.
func startNarrowLink(t *testing.T, entry string, bytesPerSecond float64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	l := &narrowLink{queue: make(chan packet, 10000)}
	go l.carry(bytesPerSecond)
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go l.connect(caller, entry)
		}
	}()
	return listener.Addr().String()
}

func (l *narrowLink) carry(bytesPerSecond float64) {
	next := time.Now()
	for p := range l.queue {
		if now := time.Now(); next.Before(now) {
			next = now
		}
		next = next.Add(time.Duration(float64(len(p.data)) / bytesPerSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		if len(p.data) == 0 {
			_ = p.to.Close()
			continue
		}
		_, _ = p.to.Write(p.data)
	}
}

func (l *narrowLink) connect(caller net.Conn, entry string) {
	defer func() { l.queue <- packet{to: caller} }()
	c, err := net.Dial("tcp", entry)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	go func() { _, _ = io.Copy(c, caller) }()
	for {
		data := make([]byte, 1400)
		n, err := c.Read(data)
		if err != nil {
			return
		}
		l.queue <- packet{caller, data[:n]}
	}
}

// readBesideDownloads fetches three long responses over a narrow link and returns the
// times of short ones meanwhile.
func readBesideDownloads(t *testing.T, linkBytes float64) []time.Duration {
	t.Helper()
	const linkRate, downloadBytes = 450e3, 200e3
	e := startEntryOnLink(t, linkBytes)
	target := startTarget(t, func(c net.Conn, req *http.Request) bool {
		size := 400
		if strings.HasPrefix(req.URL.Path, "/download/") {
			size = downloadBytes
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", idHeader, req.Header.Get(idHeader), stampHeader, size, strings.Repeat("x", size))
		return err == nil
	})
	e.setTarget("t", 1, target.addr)
	addr := startNarrowLink(t, e.addr, linkRate)
	get := func(path, id string) (int, error) {
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
		if err != nil {
			return 0, err
		}
		req.Host = "h"
		req.Header.Set(idHeader, id)
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
		resp, err := client.Do(req)
		if err != nil {
			return 0, err
		}
		defer func() { _ = resp.Body.Close() }()
		n, err := io.Copy(io.Discard, resp.Body)
		return int(n), err
	}
	var downloads sync.WaitGroup
	for i := range 3 {
		downloads.Go(func() {
			if n, err := get("/download/x", fmt.Sprint("long", i)); err != nil || n != downloadBytes {
				t.Errorf("a download ended after %d bytes: %v", n, err)
			}
		})
	}
	ended := make(chan struct{})
	go func() { downloads.Wait(); close(ended) }()
	var took []time.Duration
	for i := 0; ; i++ {
		select {
		case <-ended:
			slices.Sort(took)
			return took
		case <-time.After(50 * time.Millisecond):
		}
		began := time.Now()
		if n, err := get("/safe/x", fmt.Sprint("short", i)); err != nil || n != 400 {
			t.Errorf("a short response ended after %d bytes: %v", n, err)
		}
		took = append(took, time.Since(began))
	}
}

// Guards against short responses that wait behind downloads on a narrow link.
func TestShortResponsesPassDownloads(t *testing.T) {
	before, after := readBesideDownloads(t, 0), readBesideDownloads(t, 450e3)
	if len(before) == 0 || len(after) == 0 {
		t.Fatal("no short response was sent beside the downloads")
	}
	t.Logf("without a known capacity: %d short responses, median %v, longest %v", len(before), before[len(before)/2], before[len(before)-1])
	t.Logf("with it: %d, median %v, longest %v", len(after), after[len(after)/2], after[len(after)-1])
	if median := after[len(after)/2]; median > 150*time.Millisecond || median > before[len(before)/2]/3 {
		t.Errorf("the median of short responses is %v beside downloads, %v without the rule", median, before[len(before)/2])
	}
}
