package control

import (
	"bytes"
	"crypto/sha256"
	"sort"

	"github.com/flamingoreel/flamingoreel/internal/text"
)

// changeConfig replaces the text by compare-and-set. A change that was
// accepted before, recognised by its base and the hash of its bytes, gets the
// first answer again.
func (s *State) changeConfig(c ChangeConfig) (*ChangeResult, error) {
	hash := textHash(c.Text)
	if entry, ok := s.accepted(c.Base); ok && bytes.Equal(entry.Hash, hash) {
		return &ChangeResult{Accepted: true, Number: entry.Number}, nil
	}
	refused := &ChangeResult{Number: s.number, Current: s.raw}
	if c.Base != s.number {
		return refused, nil
	}
	parsed, faults := text.Parse(c.Text)
	if len(faults) > 0 {
		return refused, invalidText(faults[0].Message)
	}
	if parsed == nil {
		return refused, invalidText("empty text")
	}
	s.number++
	s.raw = bytes.Clone(c.Text)
	s.layout = newLayout(parsed)
	s.remember(historyEntry{Number: s.number, Base: c.Base, Hash: hash})
	s.updateGroups()
	s.touch()
	return &ChangeResult{Accepted: true, Number: s.number}, nil
}

func textHash(data []byte) []byte {
	sum := sha256.Sum256(data)
	return bytes.Clone(sum[:hashBytes])
}

// accepted returns the change that was accepted on the base.
func (s *State) accepted(base uint64) (historyEntry, bool) {
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Base >= base })
	if i == len(s.history) || s.history[i].Base != base {
		return historyEntry{}, false
	}
	return s.history[i], true
}

func (s *State) remember(entry historyEntry) {
	s.history = append(s.history, entry)
	if excess := len(s.history) - MaxHistory; excess > 0 {
		s.history = append([]historyEntry(nil), s.history[excess:]...)
	}
}

// updateGroups creates the slices that the text calls for and drops the groups
// that it no longer calls for and that nobody owns.
func (s *State) updateGroups() {
	for _, service := range s.layout.text.Services {
		for _, res := range s.layout.residencies {
			s.createGroup(groupKey{Service: service.Name, Residency: res})
		}
	}
	for _, key := range s.groupKeys() {
		s.dropUnwanted(key)
	}
}
