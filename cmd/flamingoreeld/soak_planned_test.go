package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// soakPlannedDuration is how long a soak has planned work only.
	soakPlannedDuration = 6 * time.Second
	// soakSignalInterval is the longest time between two signals to a stopping process.
	soakSignalInterval = 250 * time.Millisecond
	// soakLossSlack is how long after the last byte of a request its connection may
	// still end because the request crossed the end of the connection.
	soakLossSlack = 200 * time.Millisecond
	// soakFaultEcho is how long after its end a fault may still affect requests.
	soakFaultEcho = time.Second
)

// allEntries stands for the index of an entry VM in a span that affects all of them.
const allEntries = -1

// span is the time in which an unplanned fault affects requests to an entry VM.
type span struct {
	entry    int
	from, to time.Time
}

// unplanned records that an unplanned fault begins. The returned function records its
// end.
func (s *soak) unplanned(entry int) (end func()) {
	from := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.spans)
	s.spans = append(s.spans, span{entry: entry, from: from, to: from.Add(time.Hour)})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.spans[i].to = time.Now().Add(soakFaultEcho)
	}
}

// undisturbed reports whether no unplanned fault affected a request.
func (s *soak) undisturbed(r result) bool {
	for _, f := range s.spans {
		if (f.entry == allEntries || f.entry == r.entry) && f.from.Before(r.ended) && r.sent.Before(f.to) {
			return false
		}
	}
	return true
}

// lost reports whether an entry VM took a request, which targets ran the given number
// of times, and gave no answer.
func (s *soak) lost(r result, runs int) bool {
	if r.status != 0 || r.written.IsZero() || !s.undisturbed(r) {
		return false
	}
	// A reset shows that the process had not read the request when its connection ended.
	read := !errors.Is(r.err, syscall.ECONNRESET)
	return runs > 0 || read && r.ended.Sub(r.written) > soakLossSlack
}

// planWork starts one random piece of planned work.
func (s *soak) planWork() {
	switch s.rng.IntN(5) {
	case 0:
		s.faultProcess("control", s.rng.IntN(len(s.controls)), faultStop, 0)
	case 1, 2:
		s.faultProcess("entry", s.rng.IntN(len(s.entries)), faultStop, 0)
	default:
		s.changeSettings()
	}
}

// changeSettings replaces the settings file of a process, mostly with a signal. A
// process with a fault gets none: a SIGHUP right after its start comes before it can
// receive signals.
func (s *soak) changeSettings() {
	name, group := fmt.Sprint("control-", s.rng.IntN(len(s.controls))), "control"
	if s.rng.IntN(2) == 0 {
		name = fmt.Sprint("entry-", s.rng.IntN(len(s.entries)))
		group = name
	}
	hangup := s.rng.IntN(4) > 0
	s.rewriteSettings(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if hangup && !s.faulty[group] {
		if err := s.procs[name].Process.Signal(syscall.SIGHUP); err != nil {
			s.t.Errorf("SIGHUP to %s: %v", name, err)
		}
	}
}

// rewriteSettings replaces a settings file by one with its seeds in another order.
func (s *soak) rewriteSettings(name string) {
	path := filepath.Join(s.dir, name+".yaml")
	text, err := os.ReadFile(path)
	if err != nil {
		s.t.Error(err)
		return
	}
	before, rest, _ := strings.Cut(string(text), "seeds: [")
	list, after, _ := strings.Cut(rest, "]")
	first, others, _ := strings.Cut(list, ", ")
	changed, err := os.CreateTemp(s.dir, name)
	if err != nil {
		s.t.Error(err)
		return
	}
	_, err = changed.WriteString(before + "seeds: [" + others + ", " + first + "]" + after)
	if err != nil {
		s.t.Error(err)
	}
	_ = changed.Close()
	if err := os.Rename(changed.Name(), path); err != nil {
		s.t.Error(err)
	}
}

// stopUnderSignals stops a process and goes on sending it signals until it has ended
// by itself. Processes of earlier builds would end at such a signal, so they get none.
func (s *soak) stopUnderSignals(name string, cmd *exec.Cmd, rng *rand.Rand) {
	s.signal(name, syscall.SIGTERM)
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	for {
		select {
		case err := <-exited:
			if err != nil {
				s.t.Errorf("%s ended with %v in a planned stop", name, err)
			}
			return
		case <-time.After(time.Duration(rng.Int64N(int64(soakSignalInterval)))):
			if !ownBuild() {
				continue
			}
			sig := []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}[rng.IntN(4)]
			// The process may have ended.
			_ = cmd.Process.Signal(sig)
			if rng.IntN(4) == 0 {
				s.rewriteSettings(name)
			}
		}
	}
}
