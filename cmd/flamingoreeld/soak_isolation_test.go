package main

import "time"

// soakPlaces are the places of the entry VMs of a soak.
var soakPlaces = []place{firstPlace, firstPlace, {"z2", "r1"}}

// Limits of the time for which entry VMs of a soak reach no target.
const (
	minIsolation = time.Second
	maxIsolation = 4 * time.Second
)

// isolateEntries breaks the paths of one entry VM, or of all in a data centre, to all
// targets in one of the ways, and heals them later. Other faults overlap.
func (s *soak) isolateEntries() {
	fault := []pathFault{pathSilent, pathReset, pathRefused}[s.rng.IntN(3)]
	names := [][]string{{"entry-0"}, {"entry-1"}, {"entry-2"}, {"entry-0", "entry-1"}}[s.rng.IntN(4)]
	duration := minIsolation + time.Duration(s.rng.Int64N(int64(maxIsolation-minIsolation)))
	if s.paths == nil || s.paths.isolating() {
		return
	}
	s.undoAfter(duration, func() { s.paths.isolate(fault, names...) }, s.paths.heal)
}
