package callers

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a default bound below ordinary load: a few hundred connections for
// each entry of the smallest size, and against one above what its descriptors and its
// memory allow.
func TestBoundsOfTheDeployments(t *testing.T) {
	for _, c := range []struct{ memoryMB, descriptors, least, most int64 }{
		{144, 3075, 600, 1538}, {184, 4100, 800, 2050}, {424, 10250, 1500, 5125}, {280, 0, 1000, 2000}, {0, 512, 256, 256}, {0, 0, 0, 0}, {4, 20, 16, 16},
	} {
		b := BoundFor(c.memoryMB<<20, c.descriptors)
		if n := int64(b.Connections); n < c.least || n > c.most {
			t.Errorf("%d MB and %d descriptors: %d connections, want %d to %d", c.memoryMB, c.descriptors, n, c.least, c.most)
		}
		planned := int64(b.Connections)*connectionMemory + b.HeadMemory
		if c.memoryMB > 4 && planned > c.memoryMB<<20/4 {
			t.Errorf("%d MB: connections and heads may take %d bytes", c.memoryMB, planned)
		}
	}
}

// flooded is a policy under a flood: open reports whether a new connection gets a
// place, after the policy has closed others.
type flooded interface {
	open(c *connection) bool
	isOpen(c *connection) bool
}

// unbounded is the policy without a bound: connections are accepted until the
// descriptors end, and then wait for another one to be closed.
type unbounded struct {
	descriptors int
	conns       map[*connection]bool
}

func (u *unbounded) open(c *connection) bool {
	if len(u.conns) == u.descriptors {
		return false
	}
	u.conns[c] = true
	return true
}

func (u *unbounded) isOpen(c *connection) bool { return u.conns[c] }

// bounded is the roster's policy.
type bounded struct {
	roster roster
	closed map[*connection]bool
}

func (b *bounded) open(c *connection) bool {
	b.roster.add(c)
	for victim := b.roster.excess(c); victim != nil; victim = b.roster.excess(c) {
		b.roster.remove(victim)
		b.closed[victim] = true
	}
	return !b.closed[c]
}

func (b *bounded) isOpen(c *connection) bool { return !b.closed[c] }

// Load pattern: a caller opens 5,000 connections and holds an unfinished head on each,
// at an entry with 600 descriptors of which 100 are in use for ordinary callers. Replays
// it against accepting without a bound, which turns ordinary callers away until the
// head time ends.
func TestHeldHeadsDoNotTurnCallersAway(t *testing.T) {
	replay := func(policy flooded, serve func(*connection)) (served, lost int) {
		var kept []*connection
		for range 100 {
			c := &connection{}
			policy.open(c)
			serve(c)
			kept = append(kept, c)
		}
		for i := range 5000 {
			policy.open(&connection{})
			if i%10 != 0 {
				continue
			}
			if c := (&connection{}); policy.open(c) {
				serve(c)
				served++
			}
		}
		for _, c := range kept {
			if !policy.isOpen(c) {
				lost++
			}
		}
		return served, lost
	}
	before, _ := replay(&unbounded{descriptors: 600, conns: make(map[*connection]bool)}, func(*connection) {})
	policy := &bounded{roster: roster{bound: Bound{Connections: 300}}, closed: make(map[*connection]bool)}
	after, lost := replay(policy, func(c *connection) {
		policy.roster.move(c, serving)
		if policy.roster.byPhase[serving].Len() > 100 {
			policy.roster.move(c, idle)
		}
	})
	if before > 60 {
		t.Errorf("without a bound %d of 500 callers are served; the replay shows no fault", before)
	}
	if after != 500 || lost != 0 {
		t.Errorf("with a bound %d of 500 callers are served and %d served requests were closed", after, lost)
	}
}

// Guards, over random histories, against a bound that is exceeded while something may
// be closed, a connection that is closed while it is served, the wrong order of closes,
// and sums that drift.
func TestRosterKeepsTheBound(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := roster{bound: Bound{Connections: 1 + rng.IntN(20), HeadMemory: 100_000}}
		now := time.Unix(0, 0)
		var open []*connection
		for range 2000 {
			now = now.Add(time.Millisecond)
			var newest *connection
			if len(open) == 0 || rng.IntN(3) == 0 {
				newest = &connection{since: now}
				r.add(newest)
				open = append(open, newest)
			} else {
				at := rng.IntN(len(open))
				c := open[at]
				switch rng.IntN(6) {
				case 5:
					if c.phase == serving {
						r.move(c, receiving)
						c.since = now
					}
				case 0:
					r.remove(c)
					open = append(open[:at], open[at+1:]...)
				case 1:
					r.move(c, serving)
					c.since = now
				case 2:
					r.move(c, idle)
					c.since = now
				default:
					if c.phase != serving && c.phase != receiving {
						if c.phase == idle {
							r.move(c, reading)
							c.since = now
						}
						r.setHead(c, head{c.head.bytes + int64(rng.IntN(8000)), c.head.lines + int64(rng.IntN(50))})
					}
				}
			}
			open = checkExcess(t, &r, open, newest)
		}
	}
}

// checkExcess closes the excess of a roster, checks each close, and returns the
// connections that stay open.
func checkExcess(t *testing.T, r *roster, open []*connection, newest *connection) []*connection {
	t.Helper()
	for {
		var sum int64
		large := 0
		for _, c := range open {
			sum += c.head.memory()
			if c.head.memory() > 0 {
				large++
			}
		}
		if r.count != len(open) || r.headMemory != sum || r.largeHeads != large {
			t.Fatalf("the sums are %d, %d and %d, want %d, %d and %d", r.count, r.headMemory, r.largeHeads, len(open), sum, large)
		}
		victim := r.excess(newest)
		heads := sum > r.bound.HeadMemory && large > 1
		if victim == nil {
			for _, c := range open {
				if r.count > r.bound.Connections && c.phase != serving || heads && (c.phase == reading || c.phase == receiving) && c.head.memory() > 0 {
					t.Fatalf("a bound is exceeded, but a connection in phase %v stays open", c.phase)
				}
			}
			return open
		}
		if victim.phase == serving && victim != newest {
			t.Fatal("a connection is closed while it is served")
		}
		var kept []*connection
		for _, c := range open {
			if c != victim {
				kept = append(kept, c)
			}
			older := c.since.Before(victim.since) && (!heads || c.head.memory() > 0)
			bothArrive := (c.phase == reading || c.phase == receiving) && (victim.phase == reading || victim.phase == receiving)
			bothIdle := c.phase == idle && victim.phase == idle
			receivingLonger := c.phase == receiving && victim.phase == idle && older
			wrong := older && (bothArrive || bothIdle) || !heads && (c.phase == reading && victim.phase == idle || receivingLonger)
			if c != newest && c != victim && wrong {
				t.Fatalf("closed in phase %v since %v before one in phase %v since %v", victim.phase, victim.since, c.phase, c.since)
			}
		}
		r.remove(victim)
		open = kept
	}
}
