package control

import (
	"sort"

	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// MaxHistory is the number of accepted configuration changes that are
// remembered, so that a change that is sent again gets the first result.
const MaxHistory = 10_000

// MaxSlicesPerGroup is the maximum number of slices of one service and residency.
const MaxSlicesPerGroup = 1 << 16

// hashBytes is the length of the truncated SHA-256 of a configuration text.
const hashBytes = 16

// historyEntry records an accepted configuration change.
type historyEntry struct {
	Number uint64 `msgpack:"n"`
	Base   uint64 `msgpack:"b"`
	// Hash is the truncated SHA-256 of the text.
	Hash []byte `msgpack:"h"`
}

// dispatchEntry is a dispatch contract with the data needed to determine when
// the VM that had the contract before has stopped using it.
type dispatchEntry struct {
	Dispatch contract.Dispatch `msgpack:"d"`
	// Since is the index of the command that set the contract.
	Since uint64 `msgpack:"s"`
	// PreviousVM is the VM that had the contract before. It is empty if no VM
	// or the same VM had it.
	PreviousVM          string `msgpack:"v"`
	PreviousIncarnation uint64 `msgpack:"i"`
}

// holder is a VM that may hold request records.
type holder struct {
	Name       string `msgpack:"n"`
	DataCentre string `msgpack:"d"`
}

// holderSet is a set of record holders. Number is the index of the command that
// made it the current set.
type holderSet struct {
	Number  uint64   `msgpack:"n"`
	Members []holder `msgpack:"m"`
}

// groupKey identifies the group of slices of one service and residency.
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
	// initialSlices is the number of slices, of equal width, that the group was
	// created with.
	initialSlices int
	// initialFence is the fence with which the slices were created.
	initialFence contract.Fence
	ids          []contract.SliceID
	// view is the group's part of the table, or nil if the group has changed
	// since the table was built.
	view []ContractSlice
}

// State is the replicated control state. It is not safe for concurrent use;
// Table returns a view that is.
//
// Invariants: the fence of a hash, the epoch of a target and the configuration
// number never decrease, and slice identifiers are never reused.
type State struct {
	version uint64
	// revision counts the commands that changed the state.
	revision uint64

	configNumber uint64
	configText   []byte
	config       *configIndex
	history      []historyEntry

	vms     map[string]VM
	targets map[string]Target
	// targetSince is the index at which the target's incarnation registered.
	targetSince map[string]uint64
	dispatches  map[string]dispatchEntry
	slices      map[contract.SliceID]*ContractSlice
	groups      map[groupKey]*group
	holders     []holderSet
	lastSlice   contract.SliceID
	// fenceFloor and epochFloor are at least the fences of removed slices and
	// the epochs of removed targets. New slices and targets start from them, so
	// that their later fences and epochs are higher.
	fenceFloor contract.Fence
	epochFloor contract.Epoch

	table *Table
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		config:      newConfigIndex(nil),
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

// ConfigNumber returns the number of the current configuration text, 0 before
// the first change.
func (s *State) ConfigNumber() uint64 { return s.configNumber }

// Config returns the current configuration text and its number. The caller must
// not modify the text.
func (s *State) Config() (number uint64, text []byte) { return s.configNumber, s.configText }

// markChanged records that a command changed the state.
func (s *State) markChanged() {
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

// epochOf returns the epoch of the target's dispatch contract, or epochFloor if it
// has none. The next contract gets this epoch + 1.
func (s *State) epochOf(target string) contract.Epoch {
	if entry, ok := s.dispatches[target]; ok {
		return entry.Dispatch.Epoch
	}
	return s.epochFloor
}
