// Package fleet holds the replicated state of a deployment whose targets receive
// their keys in the answers to heartbeats: configuration items, data centres out
// of service, targets, entry VMs, and the rows of keys that targets hold. State
// is the pure state machine of the control log; View is the copy of it from which
// entry VMs route requests.
package fleet

import (
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/items"
)

// MaxKey is the highest key of a sharded service; the lowest is 0.
const MaxKey = 65535

// Bounds of the values of a target.
const (
	// MaxSlots is far above the number of requests that a target of any deployment
	// runs at the same time.
	MaxSlots = 1 << 16
	// MaxColdFor is far above the time for which a target stays cold.
	MaxColdFor = time.Hour
)

// Condition says whether a target may get new work.
type Condition uint8

// The conditions of a target. Within one incarnation a condition never changes to
// an earlier one of this list, except for an ended target that is revived.
const (
	Ready Condition = iota
	// Draining targets finish their requests and get no new ones.
	Draining
	// Leaving targets announced that they are leaving; they may still run requests
	// and hold keys for a while.
	Leaving
	// Ended targets have stopped: a later incarnation has their ID or their address.
	Ended
)

// String returns the name of the condition.
func (c Condition) String() string {
	switch c {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Leaving:
		return "left"
	}
	return "ended"
}

// Incarnation identifies one start of a target, because a target may start again
// under its ID. StartMs is the Unix time of the start in milliseconds.
type Incarnation struct {
	ID      string `msgpack:"i"`
	StartMs int64  `msgpack:"b"`
}

// Target describes one incarnation of a target.
type Target struct {
	Incarnation `msgpack:"n"`
	Service     string    `msgpack:"s"`
	Address     string    `msgpack:"a"`
	DataCentre  string    `msgpack:"d"`
	Build       string    `msgpack:"u"`
	Slots       int       `msgpack:"l"`
	Condition   Condition `msgpack:"c"`
	// ColdFor is how long the target stays cold, counted from the time at which
	// this revision of the target is received.
	ColdFor time.Duration `msgpack:"o"`
	// Revision is the log index of the last change.
	Revision uint64 `msgpack:"r"`
}

// Row is a range of keys of a sharded service, both ends included, with its
// holder. Fence is the fencing token of the grant to the holder.
type Row struct {
	From  int    `msgpack:"f"`
	To    int    `msgpack:"t"`
	Fence uint64 `msgpack:"e"`
	// Holder holds the keys; an empty ID means that no target does.
	Holder Incarnation `msgpack:"h"`
	// Next receives the keys once Holder has released them. While it is set, the
	// row is left out of the grants to Holder.
	//
	// Holder serves the keys until it is notified.
	Next Incarnation `msgpack:"n"`
	// Handover is the text that the last holder passed on when it released the
	// keys.
	Handover string `msgpack:"o"`
	// Granted reports that Holder was notified of the grant of the row, and was
	// not yet notified to release it.
	Granted bool `msgpack:"g"`
	// Revision is the log index of the last change of the row.
	Revision uint64 `msgpack:"v,omitempty"`
}

// Moving reports whether the holder must release the row to Next.
func (r Row) Moving() bool { return r.Next.ID != "" }

// ShardMap is the assignment of all keys of one service to targets. Its rows are
// ascending, cover all keys and do not overlap.
type ShardMap struct {
	Service string `msgpack:"s"`
	Rows    []Row  `msgpack:"r"`
	// LastFence is the highest fence that was ever issued for the service.
	LastFence uint64 `msgpack:"f"`
	Revision  uint64 `msgpack:"v"`
}

// DataCentre records whether the operators took a data centre out of service.
type DataCentre struct {
	Name     string `msgpack:"n"`
	Out      bool   `msgpack:"o"`
	Revision uint64 `msgpack:"r"`
}

// Entry is an entry VM: it receives the requests of callers.
type Entry struct {
	// Addr is the address of the VM's links and identifies the VM.
	Addr       string `msgpack:"a"`
	Region     string `msgpack:"g"`
	DataCentre string `msgpack:"d"`
	Gone       bool   `msgpack:"o"`
	Revision   uint64 `msgpack:"r"`
}

// Command is one entry of the control log; exactly one field is set.
type Command struct {
	Patch          *items.Patch    `msgpack:"p,omitempty"`
	DataCentre     *DataCentre     `msgpack:"d,omitempty"`
	Targets        []Target        `msgpack:"t,omitempty"`
	ShardMapChange *ShardMapChange `msgpack:"s,omitempty"`
	Notification   *Notification   `msgpack:"o,omitempty"`
	Entries        []Entry         `msgpack:"e,omitempty"`
	// Revived are targets that counted as ended although they run. Builds before
	// RevivalLevel ignore them.
	Revived []Target `msgpack:"w,omitempty"`
}

// RevivalLevel is the level of the state machine from which on it applies
// Command.Revived. All replicas must have it before such a command is proposed.
const RevivalLevel = 1

// RefreshLevel is the level from which on a control VM forwards a heartbeat of each target
// from time to time although it repeats what is known. All control VMs must have it before
// silent targets count as ended.
const RefreshLevel = 2

// ShardMapChange replaces rows of a service with the rows of ShardMap. It has no effect
// if any row that they overlap changed after revision Base: the plan was then
// made from outdated rows.
type ShardMapChange struct {
	Base     uint64   `msgpack:"b"`
	ShardMap ShardMap `msgpack:"s"`
}

// overlay returns updates together with those of rows that overlap none of them.
// When a row is split, all of its parts must be among the updates.
//
// Both lists must be ascending and without overlaps; the result is ascending.
func overlay(rows, updates []Row) []Row {
	out := make([]Row, 0, len(rows)+len(updates))
	for _, row := range rows {
		for len(updates) > 0 && updates[0].To < row.From {
			out = append(out, updates[0])
			updates = updates[1:]
		}
		if len(updates) == 0 || updates[0].From > row.To {
			out = append(out, row)
		}
	}
	return append(out, updates...)
}

// ChangedRows returns the rows of next that are not in rows.
func ChangedRows(rows, next []Row) []Row {
	known := make(map[Row]bool, len(rows))
	for _, row := range rows {
		known[row] = true
	}
	return slices.DeleteFunc(slices.Clone(next), func(row Row) bool { return known[row] })
}

// Notification records of which changes the answer to a heartbeat notified a target: rows
// that it may serve from then on, and rows that it must release.
type Notification struct {
	Service string      `msgpack:"s"`
	Holder  Incarnation `msgpack:"h"`
	Rows    []RowRef    `msgpack:"r"`
}

// RowRef identifies a row of the holder in a Notification.
type RowRef struct {
	From  int    `msgpack:"f"`
	Fence uint64 `msgpack:"e"`
	// Granted is the new value of Row.Granted.
	Granted bool `msgpack:"g"`
}

// Delta holds the changes after revision From, up to and including revision To.
type Delta struct {
	From        uint64       `msgpack:"f"`
	To          uint64       `msgpack:"t"`
	Items       []items.Item `msgpack:"i,omitempty"`
	Targets     []Target     `msgpack:"g,omitempty"`
	ShardMaps   []ShardMap   `msgpack:"s,omitempty"`
	DataCentres []DataCentre `msgpack:"d,omitempty"`
	Entries     []Entry      `msgpack:"e,omitempty"`
}

// Empty reports whether the delta changes nothing.
func (d *Delta) Empty() bool {
	return len(d.Items)+len(d.Targets)+len(d.ShardMaps)+len(d.DataCentres)+len(d.Entries) == 0
}
