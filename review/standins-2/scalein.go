//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["scale-in"] = scaleIn }

// Sizes of the service in scaleIn.
const (
	firstEndpoints = 16
	lastEndpoints  = 2
	// stepShare is the largest share of the endpoints that is taken away at once.
	stepShare = 0.15
)

// scaleIn takes the endpoints of a service with keys away, a few at a time, until two are
// left. They get so many rows of keys that the response to a heartbeat is too large.
func scaleIn(s *system) error {
	const entries = 2
	if err := s.startSmall(entries); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	services := []service{{"ledger", false}, {"reporting", true}}
	first := configuration(7, []route{{name: "r-1", host: "ledger.example", prefix: "/view/", kind: "safe", service: "ledger", timeout: "1500ms", attempts: 2}}, services, standardLimits)
	if _, err := s.order("call=config.patch", first, s.allControls(0)...); err != nil {
		return err
	}
	var keyed []*server
	for i := range 2 + firstEndpoints {
		name := "ledger"
		if i >= 2 {
			name = "reporting"
		}
		srv, err := s.startServer(fmt.Sprintf("i-%d", i), name, fmt.Sprintf("%s.%d", s.prefix, 60+i), places[i%3], 50*time.Millisecond, i >= 2, s.allControls(i)...)
		if err != nil {
			return err
		}
		if i >= 2 {
			keyed = append(keyed, srv)
		}
	}
	for i := range entries {
		if err := s.awaitServed(s.frontAddr(i), "GET", "ledger.example", "/view/1", -1, 15*time.Second); err != nil {
			return err
		}
	}
	later := configuration(9, []route{{name: "r-2", host: "reporting.example", prefix: "/pull/", kind: "safe", service: "reporting", timeout: "2500ms", attempts: 2}}, nil, "")
	if _, err := s.order("call=config.patch", later, s.allControls(0)...); err != nil {
		return err
	}
	for i := range entries {
		if err := s.awaitServed(s.frontAddr(i), "GET", "reporting.example", "/pull/1", 1, 15*time.Second); err != nil {
			return err
		}
	}
	views := s.startLoad(stream{entries: entries, method: "GET", host: "ledger.example", prefix: "/view/", pause: 200 * time.Millisecond, deadline: 1500 * time.Millisecond})
	pulls := s.startLoad(stream{entries: entries, method: "GET", host: "reporting.example", prefix: "/pull/", pause: 100 * time.Millisecond, deadline: 4 * time.Second, key: func() int { return rand.IntN(65536) }})
	report := func(when string) (first, later float64) {
		vs, vd := views.take()
		ps, pd := pulls.take()
		var rows []int
		for _, srv := range keyed {
			rows = append(rows, srv.rowCount())
		}
		s.note("platform", "%s: %d of %d served on the first route, %d of %d on the later one; rows %v", when, vd, vs, pd, ps, rows)
		return float64(vd) / float64(max(vs, 1)), float64(pd) / float64(max(ps, 1))
	}
	time.Sleep(3 * time.Second)
	report("before")
	for s.trouble && len(keyed) > lastEndpoints {
		count := max(int(stepShare*float64(len(keyed))), 1)
		var leaving sync.WaitGroup
		for _, srv := range keyed[:count] {
			leaving.Go(srv.leave)
		}
		leaving.Wait()
		keyed = keyed[count:]
		report(fmt.Sprintf("%d endpoints left", len(keyed)))
	}
	time.Sleep(8 * time.Second)
	report("up to 8 s after the last step")
	time.Sleep(12 * time.Second)
	first1, later1 := report("8 to 20 s after the last step")
	views.end()
	pulls.end()
	if 4*later1 < first1 {
		s.breach("CONFIG", "%.2f of the requests on the later route were served, %.2f on the first one", later1, first1)
	}
	return nil
}
