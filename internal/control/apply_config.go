package control

import (
	"bytes"
	"crypto/sha256"
	"sort"

	"github.com/flamingoreel/flamingoreel/internal/configtext"
)

// changeConfig replaces the configuration text by compare-and-set on its number.
// A change that was already accepted, identified by its base and the hash of its
// text, gets the first result again.
func (s *State) changeConfig(c ChangeConfig) (*ChangeResult, error) {
	hash := textHash(c.Text)
	if entry, ok := s.acceptedChange(c.Base); ok && bytes.Equal(entry.Hash, hash) {
		return &ChangeResult{Accepted: true, Number: entry.Number}, nil
	}
	refused := &ChangeResult{Number: s.configNumber, Current: s.configText}
	if c.Base != s.configNumber {
		return refused, nil
	}
	parsed, faults := configtext.Parse(c.Text)
	if len(faults) > 0 {
		return refused, invalidTextError(faults[0].Message)
	}
	if parsed == nil {
		return refused, invalidTextError("empty configuration text")
	}
	s.configNumber++
	s.configText = bytes.Clone(c.Text)
	s.config = newConfigIndex(parsed)
	s.recordChange(historyEntry{Number: s.configNumber, Base: c.Base, Hash: hash})
	s.updateGroups()
	s.markChanged()
	return &ChangeResult{Accepted: true, Number: s.configNumber}, nil
}

func textHash(data []byte) []byte {
	sum := sha256.Sum256(data)
	return bytes.Clone(sum[:hashBytes])
}

// acceptedChange returns the remembered change that was accepted with the base.
func (s *State) acceptedChange(base uint64) (historyEntry, bool) {
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Base >= base })
	if i == len(s.history) || s.history[i].Base != base {
		return historyEntry{}, false
	}
	return s.history[i], true
}

// recordChange adds a change to the history and drops the oldest ones beyond
// MaxHistory.
func (s *State) recordChange(entry historyEntry) {
	s.history = append(s.history, entry)
	if excess := len(s.history) - MaxHistory; excess > 0 {
		s.history = append([]historyEntry(nil), s.history[excess:]...)
	}
}

// updateGroups creates the groups that the configuration text requires and
// drops those that it no longer requires and of which no slice is assigned.
func (s *State) updateGroups() {
	for _, service := range s.config.text.Services {
		for _, res := range s.config.residencies {
			s.createGroup(groupKey{Service: service.Name, Residency: res})
		}
	}
	for _, key := range s.groupKeys() {
		s.dropUnusedGroup(key)
	}
}
