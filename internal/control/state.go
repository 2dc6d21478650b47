package control

import (
	"sort"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// MaxHistory is the number of accepted changes that are remembered, so that a
// change that is sent again gets the first answer.
const MaxHistory = 10_000

// MaxSlicesPerGroup bounds the slices of one service and residency.
const MaxSlicesPerGroup = 1 << 16

// hashBytes is the length of the truncated SHA-256 of a configuration text.
const hashBytes = 16

// historyEntry records an accepted change.
type historyEntry struct {
	Number uint64 `msgpack:"n"`
	Base   uint64 `msgpack:"b"`
	// Hash is the truncated SHA-256 of the text.
	Hash []byte `msgpack:"h"`
}

// dispatchEntry is a dispatch contract with what is needed to tell when the
// VM that had the contract before has stopped using it.
type dispatchEntry struct {
	Dispatch contract.Dispatch `msgpack:"d"`
	// Since is the index of the command that set the contract.
	Since uint64 `msgpack:"s"`
	// PreviousVM had the contract before; empty if nobody or the same VM had.
	PreviousVM          string `msgpack:"v"`
	PreviousIncarnation uint64 `msgpack:"i"`
}

// holder is a VM that may hold request records.
type holder struct {
	Name       string `msgpack:"n"`
	DataCentre string `msgpack:"d"`
}

// holderSet is the set of record holders from command index Number on.
type holderSet struct {
	Number  uint64   `msgpack:"n"`
	Members []holder `msgpack:"m"`
}

// groupKey names the slices of one service and residency.
type groupKey struct {
	Service   string             `msgpack:"s"`
	Residency contract.Residency `msgpack:"r"`
}

func (k groupKey) less(other groupKey) bool {
	if k.Service != other.Service {
		return k.Service < other.Service
	}
	return k.Residency < other.Residency
}

// group lists the slices of one service and residency in hash order. The
// slices cover the hash space without gap or overlap.
type group struct {
	key groupKey
	// initial is the number of equal ranges that the group started with.
	initial int
	// floor is the fence with which the slices were created.
	floor contract.Fence
	ids   []contract.SliceID
	// view is the group's part of the table; nil after a change.
	view []ContractSlice
}

// State is the replicated control state. It is not safe for concurrent use;
// Table returns a view that is.
//
// Invariants: fences of a hash and epochs of a target never decrease, slice
// identifiers are never used again, the configuration number never decreases.
type State struct {
	version uint64
	// revision counts the commands that changed something.
	revision uint64

	number  uint64
	raw     []byte
	layout  *layout
	history []historyEntry

	vms     map[string]VM
	targets map[string]Target
	// targetSince is the index at which the target's incarnation registered.
	targetSince map[string]uint64
	dispatches  map[string]dispatchEntry
	slices      map[contract.SliceID]*ContractSlice
	groups      map[groupKey]*group
	holders     []holderSet
	lastSlice   contract.SliceID
	// fenceFloor and epochFloor exceed no later fence or epoch and are at
	// least those of removed slices and targets.
	fenceFloor contract.Fence
	epochFloor contract.Epoch

	table *Table
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		layout:      newLayout(nil),
		vms:         map[string]VM{},
		targets:     map[string]Target{},
		targetSince: map[string]uint64{},
		dispatches:  map[string]dispatchEntry{},
		slices:      map[contract.SliceID]*ContractSlice{},
		groups:      map[groupKey]*group{},
	}
}

// Version returns the index of the last applied command.
func (s *State) Version() uint64 { return s.version }

// ConfigNumber returns the number of the configuration text in force, 0
// before the first change.
func (s *State) ConfigNumber() uint64 { return s.number }

// Config returns the configuration text in force and its number. The caller
// must not change the text.
func (s *State) Config() (number uint64, text []byte) { return s.number, s.raw }

// touch records that the command changed something.
func (s *State) touch() {
	s.revision++
	s.table = nil
}

// groupKeys returns the keys of all groups, sorted.
func (s *State) groupKeys() []groupKey {
	keys := make([]groupKey, 0, len(s.groups))
	for key := range s.groups {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	return keys
}

// sortedNames returns the keys of a map, sorted.
func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// epochOf returns the epoch after which the target's next contract counts.
func (s *State) epochOf(target string) contract.Epoch {
	if entry, ok := s.dispatches[target]; ok {
		return entry.Dispatch.Epoch
	}
	return s.epochFloor
}
