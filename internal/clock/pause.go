package clock

import (
	"context"
	"time"
)

// Pause waits for d. It returns true after d, or false as soon as ctx ends.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
