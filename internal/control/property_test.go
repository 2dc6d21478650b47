package control

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// simCases is the number of interleavings unless FLAMINGOREEL_SOAK_SEEDS is set.
const simCases = 12

// envNumber returns the number in an environment variable, or fallback if there
// is none.
func envNumber(name string, fallback int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

// Guards against two owners of a hash, fences, epochs or configuration numbers
// that decrease, lost changes and assignments, replicas that diverge, and slices
// that remain unavailable after all faults have ended. FLAMINGOREEL_SOAK_SEEDS
// sets the number of interleavings.
func TestRandomInterleavings(t *testing.T) {
	t.Parallel()
	seed := envNumber("FLAMINGOREEL_TEST_SEED", 1)
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = int(envNumber("FLAMINGOREEL_SOAK_SEEDS", simCases))
	properties := gopter.NewProperties(parameters)
	properties.Property("single owner, monotonic fences, epochs and numbers, no lost changes", prop.ForAllNoShrink(
		func(interleaving uint64) string { return strings.Join(runInterleaving(interleaving), "\n") },
		gen.UInt64(),
	))
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Errorf("FLAMINGOREEL_TEST_SEED=%d go test ./internal/control -run TestRandomInterleavings", seed)
	}
}

// Guards against the faults that TestRandomInterleavings guards against, in the
// one interleaving whose seed, as printed by the property, is set in
// FLAMINGOREEL_INTERLEAVING.
func TestInterleaving(t *testing.T) {
	seed, _ := strconv.ParseUint(os.Getenv("FLAMINGOREEL_INTERLEAVING"), 10, 64)
	if faults := runInterleaving(seed); len(faults) > 0 {
		t.Error(strings.Join(faults[:min(len(faults), 20)], "\n"))
	}
}

// operator changes the configuration text and keeps the acknowledged changes.
// The base of a change may be outdated by the time the change is committed.
type operator struct {
	out      bool
	version  int
	accepted map[uint64]string
}

func (o *operator) change(s *sim) {
	o.version++
	text := simText
	if o.out = !o.out; o.out {
		text = strings.Replace(text, "n1, state: in", "n1, state: out", 1)
	}
	text += fmt.Sprintf("# %d\n", o.version)
	base := s.state.ConfigNumber()
	s.propose(Command{ChangeConfig: &ChangeConfig{Base: base, Text: []byte(text)}}, func(r any) {
		if result := r.(*ChangeResult); result.Accepted {
			if before, ok := o.accepted[result.Number]; ok && before != text {
				s.fault("two texts were accepted as number %d", result.Number)
			}
			o.accepted[result.Number] = text
		}
	})
}

// check compares the current configuration text with the acknowledged changes.
func (o *operator) check(s *sim) {
	for number, text := range o.accepted {
		if number > s.state.ConfigNumber() {
			s.fault("number %d was acknowledged and is lost", number)
		}
		if number == s.state.ConfigNumber() && text != string(s.state.configText) {
			s.fault("text of number %d differs from the acknowledged one", number)
		}
	}
}

// runInterleaving runs one random interleaving of faults and changes and returns
// the violations that it found.
func runInterleaving(seed uint64) []string {
	s := newConfiguredSim(seed, seed%2 == 0)
	if seed%3 == 0 {
		// One VM per region stays alive.
		for _, i := range []int{1, 2, 3, 5} {
			s.vms[i].dead = true
		}
	}
	o := &operator{accepted: map[uint64]string{}}
	s.loss, s.jitter = 0.05, 200*time.Millisecond
	if os.Getenv("FLAMINGOREEL_TRACE") != "" {
		s.trace = func(format string, args ...any) {
			fmt.Printf("%8v %s\n", s.now, fmt.Sprintf(format, args...))
		}
	}
	for range 30 {
		s.injectFault(o)
		s.run(time.Duration(s.rng.IntN(400)) * time.Millisecond)
		o.check(s)
		if len(s.faults) > 0 {
			return s.faults
		}
	}
	s.run(200 * time.Millisecond)
	s.heal()
	s.run(10 * time.Second)
	o.check(s)
	s.checkReplicas()
	s.checkGroups()
	if n := len(s.unservedFor); n > 0 {
		s.fault("%d slices are not served after all faults ended", n)
	}
	return s.faults
}

// injectFault starts or ends one random fault.
func (s *sim) injectFault(o *operator) {
	v := s.vms[s.rng.IntN(len(s.vms))]
	t := s.targets[s.rng.IntN(len(s.targets))]
	s.trace("fault on %s %s", v.Name, t.ID)
	switch s.rng.IntN(16) {
	case 0:
		v.pausedUntil = s.now + time.Duration(s.rng.IntN(1500))*time.Millisecond
	case 1:
		v.restart(s, 1)
	case 2:
		v.leaderPartitioned = !v.leaderPartitioned
	case 3, 4:
		v.partitioned[t.ID] = !v.partitioned[t.ID]
	case 5:
		for _, t := range s.targets {
			v.partitioned[t.ID] = true
		}
	case 6, 7:
		t.paused = !t.paused
	case 8:
		t.restart(s, 1)
		s.announce(t)
	case 9:
		if s.planner != nil {
			// The leader lease of 150 ms expires before an election.
			s.depose(s.rng.IntN(4), time.Duration(150+s.rng.IntN(150))*time.Millisecond)
		}
	case 10:
		o.change(s)
	case 11:
		v.Stopping = true
	case 12:
		s.isolate(t)
		if s.planner != nil && s.rng.IntN(2) == 0 {
			s.depose(0, 150*time.Millisecond)
		}
	case 13:
		// The dispatcher is disconnected while its contract moves to another VM.
		if d := s.vm(s.state.dispatches[t.ID].Dispatch.VM); d != nil {
			d.Stopping = true
			// The delay ends before heal is called.
			s.after(time.Duration(s.rng.IntN(200))*time.Millisecond, func() { s.isolate(t) })
		}
	case 14:
		s.replayCommands()
	case 15:
		t.hot = s.rng.Uint64()
		if entries := s.state.Table().Contracts(v.Name, v.Incarnation); len(entries) > 0 && len(entries[0].Slices) > 0 {
			slice := entries[0].Slices[0].Slice
			t = s.target(entries[0].Target.ID)
			t.hot = slice.Lo + (slice.Hi-slice.Lo)/2
		}
	}
}

// isolate disconnects the target from all VMs but its dispatcher, and the
// dispatcher from the leader.
func (s *sim) isolate(t *simTarget) {
	name := s.state.dispatches[t.ID].Dispatch.VM
	for _, v := range s.vms {
		v.leaderPartitioned = v.leaderPartitioned || v.Name == name
		v.partitioned[t.ID] = v.Name != name
	}
}

// replayCommands commits random earlier commands again, as if they had been
// delayed until they were stale.
func (s *sim) replayCommands() {
	for range 20 {
		data := s.log[s.rng.IntN(len(s.log))].Data
		c, _ := Decode(data)
		if c.RegisterVM == nil && c.RegisterTarget == nil && c.MarkTarget == nil {
			s.commit(simProposal{data: data})
		}
	}
}

// heal ends all faults.
func (s *sim) heal() {
	s.trace("heal")
	s.loss, s.jitter = 0, 0
	for _, v := range s.vms {
		v.leaderPartitioned, v.pausedUntil = false, 0
		clear(v.partitioned)
		if v.Stopping {
			v.restart(s, 1)
		}
	}
	for _, t := range s.targets {
		t.paused, t.hot = false, 0
	}
	s.propose(Command{ChangeConfig: &ChangeConfig{Base: s.state.ConfigNumber(), Text: []byte(simText)}}, nil)
}

// checkGroups reports gaps and overlaps between slices as faults.
func (s *sim) checkGroups() {
	for _, key := range s.state.groupKeys() {
		next := uint64(0)
		for i, id := range s.state.groups[key].ids {
			slice := s.state.slices[id].Slice
			if slice.Lo != next || slice.Hi < slice.Lo {
				s.fault("slice %d begins at %x, want %x", id, slice.Lo, next)
			}
			if i == len(s.state.groups[key].ids)-1 && slice.Hi != math.MaxUint64 {
				s.fault("the last slice ends at %x", slice.Hi)
			}
			next = slice.Hi + 1
		}
	}
}

// Guards against log entries of arbitrary bytes that make a replica panic or
// that replicas apply differently.
func TestApplyOfArbitraryBytes(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(envNumber("FLAMINGOREEL_TEST_SEED", 1))
	properties := gopter.NewProperties(parameters)
	valid, _ := Encode(Command{Split: &Split{Slice: 1, Fence: 1, After: 7}})
	properties.Property("no panic, same bytes", prop.ForAll(
		func(data []byte, at int) bool {
			a, b := newSessionState(t), newSessionState(t)
			mixed := append(append([]byte(nil), valid[:at%len(valid)]...), data...)
			for i, s := range []*State{a, b, a, b} {
				_, _ = s.Apply(s.Version()+1, [][]byte{data, mixed}[i/2])
			}
			x, _ := a.Snapshot()
			y, _ := b.Snapshot()
			return string(x) == string(y)
		},
		gen.SliceOf(gen.UInt8()), gen.IntRange(0, math.MaxInt32),
	))
	properties.TestingRun(t)
}

// newSessionState returns a state with the simulated configuration text.
func newSessionState(t *testing.T) *State {
	s := NewState()
	data, err := Encode(Command{ChangeConfig: &ChangeConfig{Text: []byte(simText)}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Apply(1, data); err != nil {
		t.Fatal(err)
	}
	return s
}
