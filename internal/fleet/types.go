// Package fleet is the replicated state of a deployment whose targets fetch
// their keys by heartbeat: configuration items, data centres out of service,
// targets, and the rows of keys that targets hold. State is the pure state
// machine of the control log, View the copy from which entries route.
package fleet

import (
	"slices"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/items"
)

// MaxKey is the highest key of a sharded service; the lowest is 0.
const MaxKey = 65535

// Condition says whether a target may get new work.
type Condition uint8

// The conditions of a target, in the only order in which they follow each
// other within one incarnation.
const (
	Ready Condition = iota
	// Draining targets finish what they have and get nothing new.
	Draining
	// Left targets said that they leave; they may still run requests and hold
	// keys for a while.
	Left
	// Ended targets have stopped for certain: a later incarnation has their ID
	// or their address.
	Ended
)

// String returns the name of the condition.
func (c Condition) String() string {
	switch c {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Left:
		return "left"
	}
	return "ended"
}

// Incarnation is one start of a target. Born is the unix millisecond of the
// start: a target may start again under its ID.
type Incarnation struct {
	ID   string `msgpack:"i"`
	Born int64  `msgpack:"b"`
}

// Target is what is known of one incarnation of a target.
type Target struct {
	Incarnation `msgpack:"n"`
	Service     string    `msgpack:"s"`
	Address     string    `msgpack:"a"`
	DataCentre  string    `msgpack:"d"`
	Build       string    `msgpack:"u"`
	Slots       int       `msgpack:"l"`
	Condition   Condition `msgpack:"c"`
	// ColdFor is how long the target stays cold, counted from when this
	// revision of the target is received.
	ColdFor time.Duration `msgpack:"o"`
	// Revision is the log index of the last change.
	Revision uint64 `msgpack:"r"`
}

// Row is a range of keys of a sharded service with its holder.
type Row struct {
	From  int    `msgpack:"f"`
	To    int    `msgpack:"t"`
	Fence uint64 `msgpack:"e"`
	// Holder holds the keys; an empty ID means that nobody does.
	Holder Incarnation `msgpack:"h"`
	// Next is to hold the keys once Holder has released them. While it is set,
	// the row is left out of the grants to Holder.
	//
	// Holder serves the keys until it was told.
	Next Incarnation `msgpack:"n"`
	// Handover is what the last holder gave when it released the keys.
	Handover string `msgpack:"o"`
	// Granted says that Holder was told to hold the row, and not yet that it is
	// to release it.
	Granted bool `msgpack:"g"`
	// Revision is the log index of the last change of the row.
	Revision uint64 `msgpack:"v,omitempty"`
}

// Moving reports whether the holder is to release the row.
func (r Row) Moving() bool { return r.Next.ID != "" }

// Shard is the division of the keys of one service. Its rows are ascending,
// cover all keys and do not overlap.
type Shard struct {
	Service string `msgpack:"s"`
	Rows    []Row  `msgpack:"r"`
	// LastFence is the highest fence that was ever drawn for the service.
	LastFence uint64 `msgpack:"f"`
	Revision  uint64 `msgpack:"v"`
}

// DataCentre is the operators' word on a data centre.
type DataCentre struct {
	Name     string `msgpack:"n"`
	Out      bool   `msgpack:"o"`
	Revision uint64 `msgpack:"r"`
}

// Entry is a VM that takes requests of callers.
type Entry struct {
	// Addr is the address of its links and its name.
	Addr       string `msgpack:"a"`
	Region     string `msgpack:"g"`
	DataCentre string `msgpack:"d"`
	Gone       bool   `msgpack:"o"`
	Revision   uint64 `msgpack:"r"`
}

// Command is one entry of the control log; exactly one field is set.
type Command struct {
	Patch      *items.Patch `msgpack:"p,omitempty"`
	DataCentre *DataCentre  `msgpack:"d,omitempty"`
	Targets    []Target     `msgpack:"t,omitempty"`
	Shard      *ShardChange `msgpack:"s,omitempty"`
	Told       *Told        `msgpack:"o,omitempty"`
	Entries    []Entry      `msgpack:"e,omitempty"`
}

// ShardChange lays rows over those of a service if none of the rows that they
// cover changed after revision Base, so that a plan made from older rows has no
// effect.
type ShardChange struct {
	Base  uint64 `msgpack:"b"`
	Shard Shard  `msgpack:"s"`
}

// overlay returns rows with others laid over them: where they overlap, the
// others stand. A changed row comes with all rows that it was cut from.
//
// Both must be ascending and without overlaps; the result is ascending.
func overlay(rows, over []Row) []Row {
	out := make([]Row, 0, len(rows)+len(over))
	for _, row := range rows {
		for len(over) > 0 && over[0].To < row.From {
			out = append(out, over[0])
			over = over[1:]
		}
		if len(over) == 0 || over[0].From > row.To {
			out = append(out, row)
		}
	}
	return append(out, over...)
}

// Changed returns the rows of next that rows does not have.
func Changed(rows, next []Row) []Row {
	known := make(map[Row]bool, len(rows))
	for _, row := range rows {
		known[row] = true
	}
	return slices.DeleteFunc(slices.Clone(next), func(row Row) bool { return known[row] })
}

// Told records what a target learned from the answer to a heartbeat: rows that
// it may serve from then on, and rows that it is to release.
type Told struct {
	Service string      `msgpack:"s"`
	Holder  Incarnation `msgpack:"h"`
	Rows    []RowRef    `msgpack:"r"`
}

// RowRef names a row of one holder.
type RowRef struct {
	From  int    `msgpack:"f"`
	Fence uint64 `msgpack:"e"`
	// Granted is the row's new mark.
	Granted bool `msgpack:"g"`
}

// Delta is what changed after revision From up to revision To.
type Delta struct {
	From        uint64       `msgpack:"f"`
	To          uint64       `msgpack:"t"`
	Items       []items.Item `msgpack:"i,omitempty"`
	Targets     []Target     `msgpack:"g,omitempty"`
	Shards      []Shard      `msgpack:"s,omitempty"`
	DataCentres []DataCentre `msgpack:"d,omitempty"`
	Entries     []Entry      `msgpack:"e,omitempty"`
}

// Empty reports whether the delta changes nothing.
func (d *Delta) Empty() bool {
	return len(d.Items)+len(d.Targets)+len(d.Shards)+len(d.DataCentres)+len(d.Entries) == 0
}
