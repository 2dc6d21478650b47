package record

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/flamingoreel/flamingoreel/internal/clock"
)

// Bounds of one page and of a recovery.
const (
	pageRecords = 256
	// pageScan bounds how long a page holds the lock when few records match.
	pageScan     = 4096
	pageBytes    = 256 << 10
	copyParallel = 4
	copyTimeout  = 2 * time.Second
	copyRetry    = 200 * time.Millisecond
)

// copyPage returns the records that `from` also has to hold. The first page
// notes the incarnation of `from` before it reads any record, so that every
// later reply reports it.
func (s *Store) copyPage(from string, r CopyRequest) CopyReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readiness.note(from, r.Incarnation)
	reply := CopyReply{Incarnation: s.readiness.startedAt, Authority: s.readiness.exported(), Seen: maps.Clone(s.readiness.seen)}
	size, scanned := 0, 0
	for _, minute := range s.minutesFrom(r.Cursor.Minute) {
		index := 0
		if minute == r.Cursor.Minute {
			index = r.Cursor.Index
		}
		for ; index < len(s.buckets[minute]); index++ {
			if len(reply.Records) >= pageRecords || size >= pageBytes || scanned >= pageScan {
				reply.Next = Cursor{Minute: minute, Index: index}
				return reply
			}
			scanned++
			e := s.buckets[minute][index]
			if bucket(e.expiresAt) == minute && e.isHeldBy(from) {
				reply.Records = append(reply.Records, e.export())
				size += e.bytes
			}
		}
	}
	reply.Done = true
	return reply
}

func (s *Store) minutesFrom(first int64) []int64 {
	var minutes []int64
	for minute := range s.buckets {
		if minute >= first {
			minutes = append(minutes, minute)
		}
	}
	slices.Sort(minutes)
	return minutes
}

func (e *entry) isHeldBy(vm string) bool {
	if lists(e.holders.Value(), vm) {
		return true
	}
	return slices.ContainsFunc(e.copies(), func(h HeldAttempt) bool { return lists(h.Holders, vm) })
}

func (e *entry) export() CopiedRecord {
	c := CopiedRecord{ID: e.id, FirstSent: e.firstSent, ExpiresAt: e.expiresAt, Holders: e.holders.Value()}
	own := HeldAttempt{Attempt: e.attempt, Fingerprint: e.fingerprint, Holders: e.holders.Value()}
	switch e.phase {
	case phaseStarted:
		c.Held = append(c.Held, own)
	case phaseFinished:
		c.Finished = &own
		c.Answer = e.answer
	}
	if e.rare != nil {
		c.Held = append(c.Held, e.rare.copied...)
		c.Dead = slices.Clone(e.rare.dead)
		c.Refused = slices.Clone(e.rare.refused)
	}
	return c
}

// merge enters what another holder knows of an ID.
func (s *Store) merge(c CopiedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entryFor(c.ID, c.FirstSent, c.ExpiresAt, c.Holders)
	defer s.account(e)
	if c.Finished != nil {
		s.store(e, c.Finished.Attempt, c.Finished.Fingerprint, c.Answer)
	}
	for _, a := range c.Dead {
		e.kill(intern(a))
	}
	for _, a := range c.Refused {
		if !e.refuses(a) {
			e.extra().refused = append(e.extra().refused, intern(a))
		}
	}
	if c.FirstSent > s.readiness.floor {
		return
	}
	for _, h := range c.Held {
		e.adopt(h)
	}
}

// adopt enters an attempt of another holder, unless this holder granted an
// attempt itself, for which it had to be ready.
func (e *entry) adopt(h HeldAttempt) {
	if e.phase != phaseNone || e.isDead(h.Attempt) || e.stores(h.Attempt) {
		return
	}
	h.Attempt = intern(h.Attempt)
	e.extra().copied = append(e.extra().copied, h)
}

// Recover copies the records of all other holders and retries until ctx ends.
// `others` must list every VM of every holder set within the retention, except
// the own one. The error names the holders that could not be copied; the
// copies made count nevertheless, and Recover may be called again.
func (s *Store) Recover(ctx context.Context, t Transport, others []string) error {
	failures := make([]error, len(others))
	var group errgroup.Group
	group.SetLimit(copyParallel)
	for i, vm := range others {
		group.Go(func() error {
			failures[i] = s.copyUntilDone(ctx, t, vm)
			return nil
		})
	}
	_ = group.Wait()
	s.mu.Lock()
	s.readiness.settle(others)
	s.mu.Unlock()
	return errors.Join(failures...)
}

func (s *Store) copyUntilDone(ctx context.Context, t Transport, vm string) error {
	for {
		err := s.copyFrom(ctx, t, vm)
		if err == nil {
			return nil
		}
		if !clock.Pause(ctx, copyRetry) {
			return fmt.Errorf("copy records from %s: %w", vm, err)
		}
	}
}

// noteIncarnations keeps which incarnations the copied holder knows of, so that
// the proofs of this holder stay as strong as before it lost its memory.
func (s *Store) noteIncarnations(vm string, page CopyReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readiness.note(vm, page.Incarnation)
	for name, incarnation := range page.Seen {
		s.readiness.note(name, incarnation)
	}
}

// copyFrom copies all pages of one holder. A holder that restarts in between
// lost records, so the copy fails and begins again.
func (s *Store) copyFrom(ctx context.Context, t Transport, vm string) error {
	request := CopyRequest{Incarnation: s.readiness.startedAt}
	authority := int64(0)
	incarnation := int64(0)
	for {
		var page CopyReply
		if err := call(ctx, t, copyTimeout, vm, MethodCopy, request, &page); err != nil {
			return err
		}
		if incarnation != 0 && page.Incarnation != incarnation {
			return errRestarted
		}
		incarnation = page.Incarnation
		authority = max(authority, page.Authority)
		s.noteIncarnations(vm, page)
		for _, c := range page.Records {
			s.merge(c)
		}
		if page.Done {
			break
		}
		request.Cursor = page.Next
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readiness.noteCopy(vm, authority)
	return nil
}
