//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["slow"] = slowForAWhile }

// slowPercent is how long work takes at a slow endpoint, in percent of the usual time.
const slowPercent = 1200

// slowForAWhile lets the endpoints of a service be slow for nine seconds, five times. Afterwards
// the entries still expect no response in time: they refuse the requests, and so they never
// see that the endpoints have recovered.
func slowForAWhile(s *system) error {
	const entries, endpoints, spells = 3, 4, 5
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
	for i := range endpoints + 3 {
		name, work := "ledger", 220*time.Millisecond
		if i >= 3 {
			name, work = "reporting", 550*time.Millisecond
		}
		srv, err := s.startServer(fmt.Sprintf("i-%d", i), name, fmt.Sprintf("%s.%d", s.prefix, 60+i), places[i%3], work, i >= 3, s.allControls(i)...)
		if err != nil {
			return err
		}
		srv.spread = 0.5
		if i >= 3 {
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
	views := s.startLoad(stream{entries: entries, method: "GET", host: "ledger.example", prefix: "/view/", pause: 400 * time.Millisecond, deadline: 1500 * time.Millisecond})
	pulls := s.startLoad(stream{entries: entries, method: "GET", host: "reporting.example", prefix: "/pull/", pause: 110 * time.Millisecond, deadline: 4 * time.Second, key: func() int { return rand.IntN(65536) }})
	report := func(when string) (first, later float64) {
		vs, vd := views.take()
		ps, pd := pulls.take()
		s.note("platform", "%s: %d of %d served on the first route, %d of %d on the later one", when, vd, vs, pd, ps)
		return float64(vd) / float64(max(vs, 1)), float64(pd) / float64(max(ps, 1))
	}
	time.Sleep(8 * time.Second)
	report("before")
	for n := range spells {
		if s.trouble {
			s.note("platform", "the endpoints of reporting turn slow")
			for _, srv := range keyed {
				srv.factor.Store(slowPercent)
			}
		}
		time.Sleep(9 * time.Second)
		for _, srv := range keyed {
			srv.factor.Store(100)
		}
		s.note("platform", "the endpoints of reporting work as usual")
		report(fmt.Sprintf("during spell %d", n+1))
		time.Sleep(time.Second)
	}
	time.Sleep(6 * time.Second)
	report("up to 7 s after the end")
	time.Sleep(15 * time.Second)
	first1, later1 := report("7 to 22 s after the end")
	views.end()
	pulls.end()
	if 4*later1 < first1 {
		s.breach("CONFIG", "%.2f of the requests on the later route were served, %.2f on the first one", later1, first1)
	}
	return nil
}
