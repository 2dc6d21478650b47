package record

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Sizes of a holder set.
const (
	largeSetSize = 5
	smallSetSize = 3
)

// Holders selects the holders of an ID by rendezvous hashing: 5 of five or more
// candidates, 3 of three or four, otherwise all. The result does not depend on
// the order of the candidates.
func Holders(id ID, candidates []string) []string {
	type ranked struct {
		name  string
		score uint64
	}
	unique := slices.Compact(slices.Sorted(slices.Values(candidates)))
	ranking := make([]ranked, len(unique))
	for i, name := range unique {
		ranking[i] = ranked{name, score(id, name)}
	}
	slices.SortStableFunc(ranking, func(a, b ranked) int {
		if a.score > b.score {
			return -1
		}
		if a.score < b.score {
			return 1
		}
		return 0
	})
	picked := make([]string, holderCount(len(unique)))
	for i := range picked {
		picked[i] = ranking[i].name
	}
	return picked
}

func holderCount(candidates int) int {
	switch {
	case candidates >= largeSetSize:
		return largeSetSize
	case candidates >= smallSetSize:
		return smallSetSize
	}
	return candidates
}

func score(id ID, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{id.Tenant, id.Service, id.Key, vm} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func majority(n int) int { return n/2 + 1 }

// union returns the holders of all sets without duplicates, in order of first
// appearance.
func union(sets [][]string) []string {
	var all []string
	for _, set := range sets {
		for _, vm := range set {
			if !slices.Contains(all, vm) {
				all = append(all, vm)
			}
		}
	}
	return all
}

// Separators of joined holder sets. VM names contain neither.
const (
	nameSeparator = ","
	setSeparator  = ";"
)

func joinSets(sets [][]string) string {
	joined := make([]string, len(sets))
	for i, set := range sets {
		joined[i] = strings.Join(set, nameSeparator)
	}
	return strings.Join(joined, setSeparator)
}

func splitSets(joined string) [][]string {
	if joined == "" {
		return nil
	}
	var sets [][]string
	for _, set := range strings.Split(joined, setSeparator) {
		sets = append(sets, strings.Split(set, nameSeparator))
	}
	return sets
}

// listsHolder reports whether vm is a holder in the joined sets. It does not
// allocate, because copyPage calls it for every record.
func listsHolder(joined, vm string) bool {
	for rest := joined; ; {
		end := strings.IndexAny(rest, nameSeparator+setSeparator)
		if end < 0 {
			return rest == vm
		}
		if rest[:end] == vm {
			return true
		}
		rest = rest[end+1:]
	}
}
