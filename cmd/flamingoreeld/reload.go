package main

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/flamingoreel/flamingoreel/platform"
)

// settingsPollInterval is the interval at which the settings file is checked for
// a change, which may come without a signal.
const settingsPollInterval = time.Second

// watchSettings reloads the settings on request and when their file changes, until
// ctx ends. It has a goroutine of its own, because a stop must not wait for a file
// that can't be read.
func (p *process) watchSettings(ctx context.Context, addSeeds func([]string)) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	modified := p.modified
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reloads:
			p.reload(ctx, addSeeds, "signal")
		case <-poll.C:
			if at := modifiedAt(p.path); !at.Equal(modified) {
				modified = at
				p.reload(ctx, addSeeds, "file changed")
			}
		}
	}
}

// modifiedAt returns the modification time of a file, or the zero time if it cannot
// be read.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload adds the seeds of changed settings. Other settings take effect at the
// next start.
func (p *process) reload(ctx context.Context, addSeeds func([]string), reason string) {
	logger := p.logger.WithField("reason", reason)
	s, err := platform.ReadSettings(p.path)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		logger.WithError(err).Warn("changed settings ignored")
		return
	}
	addSeeds(s.Seeds)
	logger.WithField("seeds", strings.Join(s.Seeds, ",")).Info("settings reloaded")
}
