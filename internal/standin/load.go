package standin

import (
	"time"

	"github.com/flamingoreel/flamingoreel/internal/target"
)

// loadSample is the load from a time on.
type loadSample struct {
	at   time.Time
	load target.Load
}

// sample records the load after a change. The caller holds Target.mu.
func (t *Target) sample(run *incarnation) {
	now := time.Now()
	run.samples = append(run.samples, loadSample{at: now, load: target.Load{
		InFlight: run.inFlight,
		Queued:   run.queued,
		WarmKeys: len(run.warmKeys),
	}})
	run.forgetSamples(now.Add(-t.cfg.LoadLag))
}

// forgetSamples drops samples that a later one replaced before the time.
func (r *incarnation) forgetSamples(before time.Time) {
	first := 0
	for first+1 < len(r.samples) && !r.samples[first+1].at.After(before) {
		first++
	}
	r.samples = r.samples[first:]
}

// reported returns the load as it was Config.LoadLag ago. The caller holds
// Target.mu.
func (t *Target) reported(run *incarnation) loadSample {
	if t.loadStopped {
		return t.stoppedLoad
	}
	at := time.Now().Add(-t.cfg.LoadLag)
	run.forgetSamples(at)
	if len(run.samples) == 0 || run.samples[0].at.After(at) {
		return loadSample{}
	}
	return run.samples[0]
}
