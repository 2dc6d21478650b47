//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// caller calls the control interface. As the pages say, it moves on to another node
// with an increasing delay after a failure, a 5xx, a 408 or 429, or a second without a
// response. It ends an attempt by closing the connection.
func newCaller() *http.Client {
	return &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return http.ErrUseLastResponse
			}
			return nil
		},
	}
}

// call sends one call to one node.
func (s *system) call(addr, query string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/rpc?"+query, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := newCaller().Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// order sends an order of the operator to the nodes in the given sequence until one
// acknowledges it, and returns when that was.
func (s *system) order(query string, body []byte, nodes ...string) (time.Duration, error) {
	pause := 50 * time.Millisecond
	for attempt := range 40 {
		addr := nodes[attempt%len(nodes)]
		s.note("operator", "%s -> %s", query, addr)
		status, _, err := s.call(addr, query, body)
		switch {
		case err != nil:
			s.note("operator", "%s at %s: no answer", query, addr)
		case status == http.StatusOK:
			s.note("operator", "%s at %s: 200, acknowledged", query, addr)
			return s.since(), nil
		default:
			s.note("operator", "%s at %s: %d", query, addr, status)
		}
		time.Sleep(pause)
		pause = min(2*pause, 800*time.Millisecond)
	}
	return 0, fmt.Errorf("%s was never acknowledged", query)
}

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service, timeout string
	attempts                                   int
	// regions, if set, are the only ones in which the requests may be served.
	regions []string
}

// service is a service of the configuration.
type service struct {
	name    string
	sharded bool
}

// configuration returns the body of a call that sets routes and services.
func configuration(version int, routes []route, services []service, limits string) []byte {
	var r, v []string
	for _, x := range routes {
		regions, _ := json.Marshal(append([]string{}, x.regions...))
		r = append(r, fmt.Sprintf(`%q:{"hostname":%q,"path_prefix":%q,"kind":%q,"timeout":%q,"target_latency":"800ms","priority":1,"service":%q,"max_attempts":%d,"allowed_regions":%s,"version":"%08x"}`,
			x.name, x.host, x.prefix, x.kind, x.timeout, x.service, x.attempts, regions, version))
	}
	for _, x := range services {
		keyed := ""
		if x.sharded {
			keyed = `"sharded":true,"warmup":"5s","grants":"heartbeat",`
		}
		v = append(v, fmt.Sprintf(`%q:{"health_path":"/health","max_conns":110,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":5.8,%s"version":"%08x"}`, x.name, keyed, version))
	}
	if limits != "" {
		limits = `,"limits":` + limits
	}
	return []byte(fmt.Sprintf(`{"upsert":{"routes":{%s},"services":{%s}%s},"remove":{"routes":[]}}`, strings.Join(r, ","), strings.Join(v, ","), limits))
}

const standardLimits = `{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms","version":"00000007"}`
