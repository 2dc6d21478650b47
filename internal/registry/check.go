package registry

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
)

// Bounds of the values of a heartbeat. Other writers may send heartbeats too, and an
// accepted value is kept in the log, the snapshots and the views of all entry VMs.
const (
	// maxStartMs is the start of the year 2200 as Unix time in milliseconds. It does
	// not depend on the clock of this VM, which may be wrong.
	maxStartMs = 7258118400000
	// maxNameBytes bounds names, and maxHandoverBytes the text that a target passes on
	// with a row: the response to a heartbeat is limited to 4 KiB.
	maxNameBytes     = 256
	maxHandoverBytes = 4 << 10
	// maxHeartbeatRows bounds the rows of one heartbeat.
	maxHeartbeatRows = 1 << 12
)

// Check returns why a heartbeat describes no target of the fleet, or nil. A leaving
// target needs only its identity.
func (b Heartbeat) Check() error {
	t := b.Target
	if t.ID == "" || len(t.ID) > maxNameBytes {
		return fmt.Errorf("an ID of %d bytes", len(t.ID))
	}
	if t.StartMs < 0 || t.StartMs > maxStartMs {
		return fmt.Errorf("a start at %d", t.StartMs)
	}
	if t.Condition >= fleet.Leaving {
		return nil
	}
	for name, value := range map[string]string{"service": t.Service, "address": t.Address, "data centre": t.DataCentre} {
		if value == "" || len(value) > maxNameBytes {
			return fmt.Errorf("a %s of %d bytes", name, len(value))
		}
	}
	if len(t.Build) > maxNameBytes {
		return fmt.Errorf("a build of %d bytes", len(t.Build))
	}
	if addr, err := netip.ParseAddrPort(t.Address); err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return fmt.Errorf("the address %q, to which no connection can be made", t.Address)
	}
	if t.Slots < 1 || t.Slots > fleet.MaxSlots {
		return fmt.Errorf("%d slots", t.Slots)
	}
	if t.ColdFor < 0 || t.ColdFor > fleet.MaxColdFor {
		return fmt.Errorf("a cold time of %v", t.ColdFor)
	}
	if b.Seq < 0 {
		return fmt.Errorf("the sequence number %d", b.Seq)
	}
	if len(b.Held)+len(b.Released) > maxHeartbeatRows {
		return fmt.Errorf("%d rows", len(b.Held)+len(b.Released))
	}
	return nil
}

// WithoutOddRows returns the heartbeat without rows that are no range of keys. A
// target that sends one is followed on: without heartbeats it would lose all its keys.
func (b Heartbeat) WithoutOddRows() Heartbeat {
	odd := func(from, to int) bool { return from < 0 || from > to || to > fleet.MaxKey }
	b.Held = slices.DeleteFunc(slices.Clone(b.Held), func(r Range) bool { return odd(r.From, r.To) })
	b.Released = slices.DeleteFunc(slices.Clone(b.Released), func(r Released) bool {
		return odd(r.From, r.To) || len(r.Handover) > maxHandoverBytes
	})
	return b
}
