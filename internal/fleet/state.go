package fleet

import (
	"cmp"
	"slices"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/items"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// maxTargets is the number of targets above which the oldest one that has left or
// ended is removed. Such targets are kept so that a late heartbeat does not revive
// them, and so that entry VMs that were disconnected learn of their end.
const maxTargets = 2048

// State is the state machine of the control log. It is not safe for concurrent
// use.
type State struct {
	revision    uint64
	items       *items.Set
	targets     map[string]Target
	shards      map[string]ShardMap
	dataCentres map[string]DataCentre
	entries     map[string]Entry
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		items:       items.NewSet(),
		targets:     make(map[string]Target),
		shards:      make(map[string]ShardMap),
		dataCentres: make(map[string]DataCentre),
		entries:     make(map[string]Entry),
	}
}

// Revision returns the log index of the last applied command.
func (s *State) Revision() uint64 { return s.revision }

// Items returns the configuration items.
func (s *State) Items() *items.Set { return s.items }

// Entries returns the entry VMs by address, gone ones included.
func (s *State) Entries() map[string]Entry { return s.entries }

// Target returns the newest known incarnation of a target.
func (s *State) Target(id string) (Target, bool) {
	t, ok := s.targets[id]
	return t, ok
}

// Targets returns the newest incarnation of every target by ID, ended ones
// included.
func (s *State) Targets() []Target {
	all := make([]Target, 0, len(s.targets))
	for _, t := range s.targets {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// TargetCount returns the number of targets, ended ones included.
func (s *State) TargetCount() int { return len(s.targets) }

// AtAddress returns the targets at an address, ended ones included.
func (s *State) AtAddress(address string) []Target {
	var found []Target
	for _, t := range s.targets {
		if t.Address == address {
			found = append(found, t)
		}
	}
	return found
}

// ShardMap returns the assignment of the keys of a service.
func (s *State) ShardMap(service string) (ShardMap, bool) {
	sh, ok := s.shards[service]
	return sh, ok
}

// DataCentreOut reports whether the operators took a data centre out of service.
func (s *State) DataCentreOut(name string) bool { return s.dataCentres[name].Out }

// Apply applies the command at a log index. A command that cannot be decoded
// or that is refused changes nothing but the revision. The error is of kind
// InvalidText for a refused change and Internal for data that cannot be decoded.
func (s *State) Apply(index uint64, data []byte) *errkind.Error {
	s.revision = index
	if len(data) == 0 {
		return nil
	}
	var cmd Command
	if err := wire.Unmarshal(data, &cmd); err != nil {
		return errkind.Wrap(errkind.Internal, err, "command %d cannot be decoded", index)
	}
	switch {
	case cmd.Patch != nil:
		return s.items.Apply(*cmd.Patch, index)
	case cmd.DataCentre != nil:
		dc := *cmd.DataCentre
		if s.dataCentres[dc.Name].Out != dc.Out {
			dc.Revision = index
			s.dataCentres[dc.Name] = dc
		}
	case cmd.ShardMapChange != nil:
		s.applyShard(index, *cmd.ShardMapChange)
	case cmd.Notification != nil:
		s.applyNotification(index, *cmd.Notification)
	case len(cmd.Entries) > 0:
		for _, e := range cmd.Entries {
			e.Revision = index
			s.entries[e.Addr] = e
		}
	case len(cmd.Revived) > 0:
		for _, t := range cmd.Revived {
			s.revive(index, t)
		}
	default:
		for _, t := range cmd.Targets {
			s.applyTarget(index, t)
		}
	}
	return nil
}

// applyTarget stores a target unless a later incarnation has its ID or its
// address. Within an incarnation the condition never changes to an earlier one.
func (s *State) applyTarget(index uint64, t Target) {
	known, ok := s.targets[t.ID]
	if ok && (known.StartMs > t.StartMs || known.StartMs == t.StartMs && known.Condition > t.Condition) {
		return
	}
	if t.Condition < Leaving && !s.claimAddress(index, t) {
		return
	}
	t.Revision = index
	s.targets[t.ID] = t
	s.evictOldest()
}

// revive stores a target that counted as ended and still runs.
func (s *State) revive(index uint64, t Target) {
	if known, ok := s.targets[t.ID]; ok && known.Incarnation == t.Incarnation && known.Condition == Ended && t.Condition < Leaving {
		t.Revision = index
		s.targets[t.ID] = t
	}
}

// claimAddress marks other targets at the target's address as ended if they
// started earlier. It reports false when one that started later has the address:
// the target's heartbeat was then delayed and the process that sent it has ended.
func (s *State) claimAddress(index uint64, t Target) bool {
	for id, other := range s.targets {
		if id == t.ID || other.Address != t.Address || other.Condition == Ended {
			continue
		}
		if other.StartMs > t.StartMs {
			return false
		}
		other.Condition = Ended
		other.Revision = index
		s.targets[id] = other
	}
	return true
}

// evictOldest removes, if there are more than maxTargets, the target whose last
// change is the oldest among those that have left or ended.
func (s *State) evictOldest() {
	if len(s.targets) <= maxTargets {
		return
	}
	oldest, found := Target{}, false
	for _, t := range s.targets {
		if t.Condition >= Leaving && (!found || t.Revision < oldest.Revision) {
			oldest, found = t, true
		}
	}
	if found {
		delete(s.targets, oldest.ID)
	}
}

// applyShard replaces rows of a service if the rows that the plan was made from
// are unchanged, no higher fence was issued since, and the result covers all keys.
// Other rows may have changed meanwhile, because holders are notified of their
// rows at any time.
func (s *State) applyShard(index uint64, change ShardMapChange) {
	current := s.shards[change.ShardMap.Service]
	if changedSince(current.Rows, change.ShardMap.Rows, change.Base) || change.ShardMap.LastFence < current.LastFence {
		return
	}
	for i := range change.ShardMap.Rows {
		change.ShardMap.Rows[i].Revision = index
	}
	rows := overlay(current.Rows, change.ShardMap.Rows)
	if !coversAllKeys(rows) {
		return
	}
	change.ShardMap.Rows, change.ShardMap.Revision = rows, index
	s.shards[change.ShardMap.Service] = change.ShardMap
}

// changedSince reports whether any of rows that overlaps one of others changed
// after a revision. Both lists are ascending.
func changedSince(rows, others []Row, revision uint64) bool {
	for _, row := range rows {
		for len(others) > 0 && others[0].To < row.From {
			others = others[1:]
		}
		if len(others) > 0 && others[0].From <= row.To && row.Revision > revision {
			return true
		}
	}
	return false
}

// applyNotification updates the granted flag of the rows of which a holder was
// notified, except for rows that have changed since: another holder or fence, or
// a move that has begun or ended.
func (s *State) applyNotification(index uint64, notification Notification) {
	shard, ok := s.shards[notification.Service]
	if !ok {
		return
	}
	rows := slices.Clone(shard.Rows)
	changed := false
	for i := range rows {
		for _, ref := range notification.Rows {
			row := &rows[i]
			same := row.Holder == notification.Holder && row.From == ref.From && row.Fence == ref.Fence
			if same && row.Moving() != ref.Granted && row.Granted != ref.Granted {
				row.Granted, row.Revision = ref.Granted, index
				changed = true
			}
		}
	}
	if changed {
		shard.Rows, shard.Revision = rows, index
		s.shards[notification.Service] = shard
	}
}

// coversAllKeys reports whether rows are ascending and cover every key exactly
// once.
func coversAllKeys(rows []Row) bool {
	next := 0
	for _, r := range rows {
		if r.From != next || r.To < r.From || r.To > MaxKey {
			return false
		}
		next = r.To + 1
	}
	return next == MaxKey+1
}

// Since returns the changes after a revision, as entry VMs need them: items without
// their source, and from revision 0 no targets that have left or ended.
func (s *State) Since(revision uint64) Delta {
	d := Delta{From: revision, To: s.revision}
	d.Items = s.items.Since(revision)
	for i := range d.Items {
		d.Items[i].Source = nil
	}
	for _, t := range s.targets {
		if t.Revision > revision && (revision > 0 || t.Condition < Leaving) {
			d.Targets = append(d.Targets, t)
		}
	}
	slices.SortFunc(d.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	for _, sh := range s.shards {
		if sh.Revision > revision {
			sh.Rows = rowsSince(sh.Rows, revision)
			d.ShardMaps = append(d.ShardMaps, sh)
		}
	}
	for _, dc := range s.dataCentres {
		if dc.Revision > revision {
			d.DataCentres = append(d.DataCentres, dc)
		}
	}
	for _, e := range s.entries {
		if e.Revision > revision {
			d.Entries = append(d.Entries, e)
		}
	}
	return d
}

// rowsSince returns the rows that changed after a revision, without the fields that
// only the leader needs. It copies only these rows: a service has hundreds of rows,
// and every entry VM requests the changes after each one.
func rowsSince(rows []Row, revision uint64) []Row {
	var changed []Row
	for i := range rows {
		if rows[i].Revision > revision {
			row := rows[i]
			row.Next, row.Handover = Incarnation{}, ""
			changed = append(changed, row)
		}
	}
	return changed
}

// image is the content of an encoded State.
type image struct {
	Revision    uint64       `msgpack:"v"`
	Items       []items.Item `msgpack:"i"`
	Targets     []Target     `msgpack:"t"`
	Shards      []ShardMap   `msgpack:"s"`
	DataCentres []DataCentre `msgpack:"d"`
	Entries     []Entry      `msgpack:"e"`
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	img := image{Revision: s.revision, Items: s.items.All(), Targets: s.Targets()}
	for _, sh := range s.shards {
		img.Shards = append(img.Shards, sh)
	}
	for _, dc := range s.dataCentres {
		img.DataCentres = append(img.DataCentres, dc)
	}
	for _, e := range s.entries {
		img.Entries = append(img.Entries, e)
	}
	return wire.Marshal(&img)
}

// Restore decodes a state that Snapshot encoded.
func Restore(data []byte) (*State, error) {
	var img image
	if err := wire.Unmarshal(data, &img); err != nil {
		return nil, err
	}
	s := NewState()
	s.revision = img.Revision
	s.items = items.Restore(img.Items)
	for _, t := range img.Targets {
		s.targets[t.ID] = t
	}
	for _, sh := range img.Shards {
		s.shards[sh.Service] = sh
	}
	for _, dc := range img.DataCentres {
		s.dataCentres[dc.Name] = dc
	}
	for _, e := range img.Entries {
		s.entries[e.Addr] = e
	}
	return s, nil
}
