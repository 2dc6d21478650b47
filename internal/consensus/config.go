package consensus

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Default settings of a replica.
const (
	DefaultHeartbeatInterval = 50 * time.Millisecond
	DefaultElectionMin       = 200 * time.Millisecond
	DefaultElectionMax       = 300 * time.Millisecond
	DefaultLeaderLease       = 150 * time.Millisecond
	// DefaultMaxAppendBytes bounds the entry data of one append.
	DefaultMaxAppendBytes = 64 << 10
	// DefaultTrailingEntries is the number of entries kept after a compaction.
	DefaultTrailingEntries = 256
)

const (
	// maxInflightAppends bounds the unacknowledged appends per follower, so
	// that an unresponsive follower is sent at most this many messages with
	// entries.
	maxInflightAppends = 16
	// maxUncommittedEntries bounds the entries that wait for a quorum; a leader
	// refuses proposals beyond it.
	maxUncommittedEntries = 4096
	// snapshotResendInterval is the time after which an unacknowledged snapshot
	// is sent again.
	snapshotResendInterval = time.Second
)

// Config holds the settings of a replica. Zero values other than ID and Seed
// are replaced by the defaults.
type Config struct {
	// ID is "VM name/identity". The ID of a replica that lost its disk is never
	// reused.
	ID string
	// HeartbeatInterval is the time between two appends to an idle follower.
	HeartbeatInterval time.Duration
	// ElectionMin and ElectionMax bound the election timeout. A voter ignores
	// vote requests for ElectionMin after it last received an append or a
	// snapshot from a leader.
	ElectionMin, ElectionMax time.Duration
	// LeaderLease is how long, from the time it was sent, an append that a
	// quorum acknowledged proves leadership. It is shorter than ElectionMin to
	// allow for clocks that run at different rates.
	LeaderLease time.Duration
	// Seed and ID together seed the random election timeouts.
	Seed uint64
	// MaxAppendBytes bounds the entry data of one append; a single larger
	// entry is sent alone.
	MaxAppendBytes int
	// TrailingEntries is the number of entries that stay in memory after a
	// compaction, so that a follower that lags slightly needs no snapshot.
	TrailingEntries int
}

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.ElectionMin, DefaultElectionMin)
	setDefault(&c.ElectionMax, DefaultElectionMax)
	setDefault(&c.LeaderLease, DefaultLeaderLease)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.TrailingEntries, DefaultTrailingEntries)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c Config) validate() error {
	switch {
	case c.ID == "":
		return errkind.New(errkind.BadRequest, "replica ID is empty")
	case c.HeartbeatInterval <= 0 || c.MaxAppendBytes <= 0 || c.TrailingEntries < 0:
		return errkind.New(errkind.BadRequest, "heartbeat interval, append size and trailing entries must be positive")
	case c.HeartbeatInterval >= c.LeaderLease:
		return errkind.New(errkind.BadRequest, "heartbeat interval %v must be below the leader lease %v", c.HeartbeatInterval, c.LeaderLease)
	case c.LeaderLease >= c.ElectionMin:
		return errkind.New(errkind.BadRequest, "leader lease %v must be below the election minimum %v", c.LeaderLease, c.ElectionMin)
	case c.ElectionMin >= c.ElectionMax:
		return errkind.New(errkind.BadRequest, "election minimum %v must be below the maximum %v", c.ElectionMin, c.ElectionMax)
	}
	return nil
}
