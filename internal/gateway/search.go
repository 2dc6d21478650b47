package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// Time limits of the search for a control VM whose state is current.
const (
	// searchAfter is how long an answer may be late before the entry asks other
	// control VMs as well: round trips between regions and a batch of news.
	searchAfter = 300 * time.Millisecond
	// searchPace is the time between two watches while the VMs asked before are
	// silent, and on the mean once all VMs were asked.
	searchPace = 250 * time.Millisecond
	// searchTimeout is the time after which the entry starts anew with the control
	// VMs that it knows by then: the five of a deployment were asked once or more.
	searchTimeout = 2 * time.Second
)

// candidate is a control VM to ask, at the earliest at a time.
type candidate struct {
	addr      string
	notBefore time.Duration
}

// search asks the control VMs in turn until one has a current state and follows
// that one. A VM with an old state is passed over at once, and a silent one does
// not hold up the next. pending is where the reply of the VM that was followed
// may still come, or nil when it came.
func (f *follower) search(ctx context.Context, followed string, pending <-chan reply) bool {
	f.noteLost(followed)
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	pace, rest := searchPace, searchPace
	if !f.g.Ready() {
		// A whole state fills a narrow link: one at a time. Control VMs that start
		// with the entry answer a moment later.
		pace, rest = watchTimeout, watchPause
	}
	var queue []candidate
	for _, addr := range f.peers.others() {
		queue = append(queue, candidate{addr: addr})
	}
	// again is how long a VM that answered is left alone.
	again := rest * time.Duration(len(queue)+1)
	replies := make(chan reply)
	expect := func(from <-chan reply) {
		go func() {
			select {
			case replies <- <-from:
			case <-ctx.Done():
			}
		}()
	}
	if pending != nil {
		expect(pending)
	} else {
		queue = append(queue, candidate{followed, f.g.now() + again})
	}
	var earliest time.Duration
	for {
		var due <-chan time.Time
		if len(queue) > 0 {
			due = time.After(max(earliest, queue[0].notBefore) - f.g.now())
		}
		select {
		case r := <-replies:
			if f.consider(r) {
				f.peers.follow(r.from)
				return true
			}
			earliest = 0
			queue = append(queue, candidate{r.from, f.g.now() + again})
		case <-due:
			expect(f.ask(ctx, queue[0].addr, 0, watchTimeout))
			queue = queue[1:]
			earliest = f.g.now() + pace
		case <-ctx.Done():
			return false
		}
	}
}

// noteLost records the control VM that the entry turns away from.
func (f *follower) noteLost(addr string) {
	if !f.lost {
		f.g.cfg.Logger.WithFields(log.Fields{
			"control": addr, "state_age": f.g.now() - time.Duration(f.g.contact.Load()), "stale_after": watch.StaleAge,
		}).Warn("control VM lost")
	}
	f.lost = true
}

// noteRegained records that the entry follows a control VM again.
func (f *follower) noteRegained() {
	if f.lost {
		peer, _ := f.peers.current()
		f.g.cfg.Logger.WithField("control", peer.Addr).Info("control VM regained")
	}
	f.lost = false
}
