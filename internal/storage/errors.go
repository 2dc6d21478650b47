package storage

import (
	"fmt"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// DamageError reports that the data directory is damaged or incomplete. The
// replica must not start: its directory must be emptied, and it gets a new
// identity.
type DamageError struct {
	// File is the path of the damaged file.
	File string
	// Offset is the position of the damage in the file, in bytes.
	Offset int64
	// Reason describes the damage.
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("data directory damaged: %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Unwrap returns the error kind, DiskFailed.
func (e *DamageError) Unwrap() error {
	return errkind.New(errkind.DiskFailed, "data directory damaged")
}

// LockedError reports that another process uses the data directory.
type LockedError struct {
	Dir   string
	cause error
}

// Error implements error.
func (e *LockedError) Error() string {
	return fmt.Sprintf("data directory %s is in use by another process: %v", e.Dir, e.cause)
}

// Unwrap returns the cause.
func (e *LockedError) Unwrap() error { return e.cause }

func diskFailed(err error, format string, args ...any) error {
	return errkind.Wrap(errkind.DiskFailed, err, format, args...)
}
