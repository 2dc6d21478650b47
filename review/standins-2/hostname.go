//go:build review2

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["hostname"] = hostnameInCapitals }

// hostnameInCapitals adds a route whose host name begins with capital letters, as its
// clients write it too.
func hostnameInCapitals(s *system) error {
	if err := s.startSmall(2); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	first := configuration(7, []route{{name: "r-1", host: "ledger.example", prefix: "/view/", kind: "safe", service: "ledger", timeout: "1500ms", attempts: 2}}, []service{{"ledger", false}}, standardLimits)
	if _, err := s.order("call=config.patch", first, s.allControls(0)...); err != nil {
		return err
	}
	for i := range 3 {
		if _, err := s.startServer(fmt.Sprintf("i-%d", i), "ledger", fmt.Sprintf("%s.%d", s.prefix, 60+i), places[i%2], 50*time.Millisecond, false, s.allControls(i)...); err != nil {
			return err
		}
	}
	for i := range 2 {
		if err := s.awaitServed(s.frontAddr(i), "GET", "ledger.example", "/view/1", -1, 15*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	host := "shops.example"
	if s.trouble {
		host = "Shops.Example"
	}
	later := configuration(9, []route{{name: "r-2", host: host, prefix: "/view/", kind: "safe", service: "ledger", timeout: "1500ms", attempts: 2}}, nil, "")
	acknowledged, err := s.order("call=config.patch", later, s.allControls(0)...)
	if err != nil {
		return err
	}
	// The change must be in force 2 s after its acknowledgement.
	time.Sleep(3 * time.Second)
	refused := 0
	for n := range 40 {
		a := s.newClient(false).send("GET", s.frontAddr(n%2), host, fmt.Sprintf("/view/%d", n), newID(), 1500*time.Millisecond, "", -1)
		if a.status == http.StatusNotFound {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
	}
	if refused > 0 {
		s.breach("CONFIG", "%d of 40 requests for %s got 404, over 3 s after the change was acknowledged at %.3f s", refused, host, acknowledged.Seconds())
	}
	return nil
}
