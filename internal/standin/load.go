package standin

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/target"
)

// loadSample is the load since the time at.
type loadSample struct {
	at   time.Time
	load target.Load
}

// recordLoad records the load after a change. The caller holds Target.mu.
func (t *Target) recordLoad(run *incarnation) {
	now := time.Now()
	run.samples = append(run.samples, loadSample{at: now, load: target.Load{
		InFlight: run.inFlight,
		Queued:   run.queued,
		WarmKeys: len(run.warmKeys),
	}})
	run.dropOldSamples(now.Add(-t.cfg.LoadLag))
}

// dropOldSamples drops the samples that a later one replaced by the time before.
func (r *incarnation) dropOldSamples(before time.Time) {
	first := 0
	for first+1 < len(r.samples) && !r.samples[first+1].at.After(before) {
		first++
	}
	r.samples = r.samples[first:]
}

// reportedLoad returns the load as it was Config.LoadLag ago, or the load at
// which FreezeLoadReport froze the report. The caller holds Target.mu.
func (t *Target) reportedLoad(run *incarnation) loadSample {
	if t.loadStopped {
		return t.stoppedLoad
	}
	at := time.Now().Add(-t.cfg.LoadLag)
	run.dropOldSamples(at)
	if len(run.samples) == 0 || run.samples[0].at.After(at) {
		return loadSample{}
	}
	return run.samples[0]
}
