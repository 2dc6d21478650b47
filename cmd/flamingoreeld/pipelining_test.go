package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// pipeliningNetwork is the third octet of the VMs' addresses.
const pipeliningNetwork = 26

const readItems = `{"upsert":{"services":{"reads":{"health_path":"/health","max_conns":110,"cold_start":"3s","cold_per_s":5.8,"version":"00000001"}},` +
	`"routes":{"read":{"hostname":"a.example","path_prefix":"/read/","kind":"safe","timeout":"6s","target_latency":"2s","service":"reads","max_attempts":1,"version":"00000001"}}}}`

// Guards against an entry that serves pipelined reads one after the other, mixes up their
// responses, works on for a caller that has left, or cuts them off when it stops.
func TestPipelinedReadsOfAnEntry(t *testing.T) {
	const reads = 6
	s := newDeployment(t, pipeliningNetwork, 1)
	var targets []*platformTarget
	for i := range reads {
		targets = append(targets, startPlatformTarget(t, &platformTarget{id: fmt.Sprint("reads-", i), service: "reads", zone: "z1", controls: s.controls}))
	}
	s.callAny("config.patch", "", readItems)
	s.awaitReady()
	s.eventually("a read", 10*time.Second, func() bool {
		status, _ := s.request(0, "GET", "/read/warm", "warm", "")
		return status == http.StatusOK
	})
	inProgress := func(round string) (count int) {
		for _, target := range targets {
			for i := range reads {
				if target.working(fmt.Sprint(round, i)) {
					count++
				}
			}
		}
		return count
	}
	// send sends reads on a new connection and waits until targets run all of them.
	send := func(round, path string) (net.Conn, *bufio.Reader) {
		c, err := net.DialTimeout("tcp", s.entries[0], time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		var requests strings.Builder
		for i := range reads {
			fmt.Fprintf(&requests, "GET %s?%d HTTP/1.1\r\nHost: a.example\r\nFlamingoreel-Request-Id: %s%d\r\nFlamingoreel-Deadline-Ms: 6000\r\n\r\n", path, i, round, i)
		}
		_, _ = io.WriteString(c, requests.String())
		s.eventually("all reads of "+round+" in progress", 5*time.Second, func() bool { return inProgress(round) == reads })
		return c, bufio.NewReader(c)
	}
	receive := func(r *bufio.Reader, round string) {
		for i := range reads {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("%s: no response to read %d: %v", round, i, err)
			}
			body, err := io.ReadAll(resp.Body)
			if want := fmt.Sprintf("GET /read/x?%d ", i); err != nil || resp.StatusCode != http.StatusOK || string(body) != want {
				t.Errorf("%s: got %d %q, %v, want %q", round, resp.StatusCode, body, err, want)
			}
		}
	}
	for _, target := range targets {
		target.setServiceTime(time.Second)
	}
	_, r := send("answered-", "/read/x")
	receive(r, "answered-")

	for _, target := range targets {
		target.setServiceTime(0)
	}
	c, _ := send("left-", "/read"+slowPath)
	_ = c.Close()
	s.eventually("no read in progress for a caller that has left", 2*time.Second, func() bool { return inProgress("left-") == 0 })

	for _, target := range targets {
		target.setServiceTime(time.Second)
	}
	_, r = send("stopped-", "/read/x")
	if err := s.procs["entry-0"].Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	receive(r, "stopped-")
}
