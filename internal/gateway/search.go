package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// Timing of the search for a control VM whose state is current.
const (
	// searchDelay is how late an answer may be before the gateway queries other
	// control VMs too: it covers round trips between regions and the transfer
	// of a batch of changes.
	searchDelay = 300 * time.Millisecond
	// searchInterval is the time between two watches while the VMs queried
	// before do not answer, and the mean time between them once all VMs were
	// queried.
	searchInterval = 250 * time.Millisecond
	// searchTimeout is the time after which the search restarts with the
	// control VMs known by then; it suffices to query each of the five of a
	// deployment at least once.
	searchTimeout = 2 * time.Second
)

// candidate is a control VM to query, at notBefore or later.
type candidate struct {
	addr      string
	notBefore time.Duration
}

// search queries the control VMs in turn until one has a current state, and
// follows that one. It moves on at once from a VM with an outdated state, and a
// VM that does not answer does not delay the next one. pending delivers the
// outstanding reply of the VM that was followed; it is nil if the reply has
// arrived.
func (w *watcher) search(ctx context.Context, followed string, pending <-chan reply) bool {
	w.logLost(followed)
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	interval, restInterval := searchInterval, searchInterval
	if !w.g.Ready() {
		// A whole state fills a narrow link, so one VM is queried at a time.
		// Control VMs that start together with the gateway answer a moment
		// later.
		interval, restInterval = watchTimeout, watchRetryDelay
	}
	var queue []candidate
	for _, addr := range w.peers.others() {
		queue = append(queue, candidate{addr: addr})
	}
	// revisitAfter is the time until a VM that answered is queried again.
	revisitAfter := restInterval * time.Duration(len(queue)+1)
	replies := make(chan reply)
	forward := func(from <-chan reply) {
		go func() {
			select {
			case replies <- <-from:
			case <-ctx.Done():
			}
		}()
	}
	if pending != nil {
		forward(pending)
	} else {
		queue = append(queue, candidate{followed, w.g.now() + revisitAfter})
	}
	var earliest time.Duration
	for {
		var due <-chan time.Time
		if len(queue) > 0 {
			due = time.After(max(earliest, queue[0].notBefore) - w.g.now())
		}
		select {
		case r := <-replies:
			if w.handleReply(r) {
				w.peers.follow(r.from)
				return true
			}
			earliest = 0
			queue = append(queue, candidate{r.from, w.g.now() + revisitAfter})
		case <-due:
			forward(w.startWatch(ctx, queue[0].addr, 0, watchTimeout))
			queue = queue[1:]
			earliest = w.g.now() + interval
		case <-ctx.Done():
			return false
		}
	}
}

// logLost logs the control VM that the gateway stops following.
func (w *watcher) logLost(addr string) {
	if !w.lost {
		w.g.cfg.Logger.WithFields(log.Fields{
			"control": addr, "state_age": w.g.now() - time.Duration(w.g.stateTime.Load()), "stale_after": watch.StaleAge,
		}).Warn("control VM lost")
	}
	w.lost = true
}

// logRegained logs that the gateway follows a control VM again.
func (w *watcher) logRegained() {
	if w.lost {
		peer, _ := w.peers.current()
		w.g.cfg.Logger.WithField("control", peer.Addr).Info("following a control VM again")
	}
	w.lost = false
}
