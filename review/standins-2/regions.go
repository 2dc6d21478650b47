//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["regions"] = allowedRegions }

// allowedRegions adds a route to a service with keys whose requests may be served in one
// region only. Keys are given to endpoints of all regions, so that most have no endpoint
// that may run the requests of the route.
func allowedRegions(s *system) error {
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
	// Two endpoints of the ledger, then six with keys, one of them in the third region.
	for i, at := range []int{0, 1, 0, 0, 1, 1, 3, 2} {
		name := "ledger"
		if i >= 2 {
			name = "reporting"
		}
		if _, err := s.startServer(fmt.Sprintf("i-%d", i), name, fmt.Sprintf("%s.%d", s.prefix, 60+i), places[at], 50*time.Millisecond, i >= 2, s.allControls(i)...); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := s.awaitServed(s.frontAddr(i), "GET", "ledger.example", "/view/1", -1, 15*time.Second); err != nil {
			return err
		}
	}
	// The keys are assigned meanwhile.
	time.Sleep(8 * time.Second)
	added := route{name: "r-2", host: "reporting.example", prefix: "/pull/", kind: "safe", service: "reporting", timeout: "2500ms", attempts: 2}
	if s.trouble {
		added.regions = []string{places[2].region}
	}
	if _, err := s.order("call=config.patch", configuration(9, []route{added}, nil, ""), s.allControls(0)...); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	views := s.startLoad(stream{entries: entries, method: "GET", host: "ledger.example", prefix: "/view/", pause: 200 * time.Millisecond, deadline: 1500 * time.Millisecond})
	pulls := s.startLoad(stream{entries: entries, method: "GET", host: "reporting.example", prefix: "/pull/", pause: 100 * time.Millisecond, deadline: 4 * time.Second, key: func() int { return rand.IntN(65536) }})
	time.Sleep(15 * time.Second)
	vs, vd := views.take()
	ps, pd := pulls.take()
	views.end()
	pulls.end()
	s.note("platform", "10 to 25 s after the acknowledgement: %d of %d served on the first route, %d of %d on the later one", vd, vs, pd, ps)
	first1, later1 := float64(vd)/float64(max(vs, 1)), float64(pd)/float64(max(ps, 1))
	if 4*later1 < first1 {
		s.breach("CONFIG", "%.2f of the requests on the later route were served, %.2f on the first one", later1, first1)
	}
	return nil
}
