package reach

import (
	"math/rand/v2"
	"slices"
)

// Target is a target that a check may try to connect to.
type Target struct {
	Addr, DataCentre string
	// Lost reports that the target was lost lately or is known to be down. It is
	// tried only if there are no others.
	Lost bool
}

// Sample returns up to n targets to try in a check. It takes them from the data
// centres in turn, that of the entry VM first, because neither a cut between data
// centres nor the loss of one isolates an entry VM.
func Sample(rng *rand.Rand, ownDataCentre string, targets []Target, n int) []Target {
	shuffled := slices.Clone(targets)
	rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	var usable, lost []Target
	for _, t := range shuffled {
		if t.Lost {
			lost = append(lost, t)
		} else {
			usable = append(usable, t)
		}
	}
	sample := inTurn(ownDataCentre, usable)
	if len(sample) < n {
		sample = append(sample, inTurn(ownDataCentre, lost)...)
	}
	return sample[:min(n, len(sample))]
}

// inTurn orders targets so that each data centre is present once before any is
// present again.
func inTurn(ownDataCentre string, targets []Target) []Target {
	byDataCentre := make(map[string][]Target)
	order := []string{ownDataCentre}
	for _, t := range targets {
		if !slices.Contains(order, t.DataCentre) {
			order = append(order, t.DataCentre)
		}
		byDataCentre[t.DataCentre] = append(byDataCentre[t.DataCentre], t)
	}
	list := make([]Target, 0, len(targets))
	for round := 0; len(list) < len(targets); round++ {
		for _, dataCentre := range order {
			if round < len(byDataCentre[dataCentre]) {
				list = append(list, byDataCentre[dataCentre][round])
			}
		}
	}
	return list
}
