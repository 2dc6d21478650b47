//go:build review2

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["recover"] = recoverRelaxed }

// restartDelay is the time after which a killed process is started again.
const restartDelay = 700 * time.Millisecond

// recoverRelaxed kills all processes right after a change was acknowledged that relaxes
// the latency objective of the only route.
func recoverRelaxed(s *system) error {
	if err := s.startSmall(2); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	change := func(version int, latency string) []byte {
		return []byte(fmt.Sprintf(`{"upsert":{"routes":{"r-1":{"hostname":"ledger.example","path_prefix":"/view/","kind":"safe","timeout":"2000ms","target_latency":%q,"priority":1,"service":"ledger","max_attempts":2,"allowed_regions":[],"version":"%08x"}}},"remove":{"routes":[]}}`, latency, version))
	}
	services := configuration(7, nil, []service{{"ledger", false}}, standardLimits)
	for _, body := range [][]byte{services, change(7, "800ms")} {
		if _, err := s.order("call=config.patch", body, s.allControls(0)...); err != nil {
			return err
		}
	}
	for i := range 4 {
		if _, err := s.startServer(fmt.Sprintf("i-%d", i), "ledger", fmt.Sprintf("%s.%d", s.prefix, 60+i), places[i%2], 100*time.Millisecond, false, s.allControls(i)...); err != nil {
			return err
		}
	}
	for i := range 2 {
		if err := s.awaitServed(s.frontAddr(i), "GET", "ledger.example", "/view/1", -1, 15*time.Second); err != nil {
			return err
		}
	}
	l := s.startLoad(stream{entries: 2, method: "GET", host: "ledger.example", prefix: "/view/", pause: 100 * time.Millisecond, deadline: 2 * time.Second})
	time.Sleep(8 * time.Second)
	if _, err := s.order("call=config.patch", change(9, "8s"), s.allControls(0)...); err != nil {
		return err
	}
	// Further changes follow, of the limits. The final fault comes right after the last one
	// was acknowledged.
	for version := 11; version <= 14; version++ {
		time.Sleep(time.Second)
		limits := fmt.Sprintf(`{"upsert":{"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"%dms","version":"%08x"}},"remove":{"routes":[]}}`, 1000*version, version)
		if _, err := s.order("call=config.patch", []byte(limits), s.allControls(0)...); err != nil {
			return err
		}
	}
	sent, served := l.take()
	s.note("platform", "before the final fault: %d of %d requests served", served, sent)
	if 4*served < sent {
		return fmt.Errorf("%d of %d requests served before the fault", served, sent)
	}
	if s.trouble {
		for i := range 5 {
			s.signal(controlName(i), syscall.SIGKILL)
		}
		for i := range 2 {
			s.signal(entryName(i), syscall.SIGKILL)
		}
		time.Sleep(restartDelay)
		for i := range 5 {
			if err := s.restart(controlName(i), "control"); err != nil {
				return err
			}
		}
		for i := range 2 {
			if err := s.restart(entryName(i), "entry"); err != nil {
				return err
			}
		}
	}
	time.Sleep(15 * time.Second)
	l.take()
	time.Sleep(15 * time.Second)
	l.end()
	sent, served = l.take()
	s.note("platform", "later than 15 s after the machines are back: %d of %d requests served", served, sent)
	if 4*served < sent {
		s.breach("RECOVER", "%d of %d requests sent later than recovery were served", served, sent)
	}
	return nil
}
