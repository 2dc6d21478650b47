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

// Limits of one page of a copy and of a recovery.
const (
	pageRecords = 256
	// pageScan is the maximum number of records that a page examines. It bounds
	// how long the lock is held when few records match.
	pageScan     = 4096
	pageBytes    = 256 << 10
	copyParallel = 4
	copyTimeout  = 2 * time.Second
	copyRetry    = 200 * time.Millisecond
)

// copyPage returns a page of the records that the VM from must hold too. The
// incarnation of from is stored before any record is read, so that every later
// reply reports it.
func (s *Store) copyPage(from string, r CopyRequest) CopyReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readiness.observeIncarnation(from, r.Incarnation)
	reply := CopyReply{Incarnation: s.readiness.startedAt, CompleteFrom: s.readiness.reportedCompleteFrom(), HolderIncarnations: maps.Clone(s.readiness.incarnations)}
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
	if listsHolder(e.holders.Value(), vm) {
		return true
	}
	return slices.ContainsFunc(e.copies(), func(h StoredAttempt) bool { return listsHolder(h.Holders, vm) })
}

func (e *entry) export() CopiedRecord {
	c := CopiedRecord{ID: e.id, FirstSent: e.firstSent, ExpiresAt: e.expiresAt, Holders: e.holders.Value()}
	own := StoredAttempt{Attempt: e.attempt, Fingerprint: e.fingerprint, Holders: e.holders.Value()}
	switch e.phase {
	case phaseStarted:
		c.Unfinished = append(c.Unfinished, own)
	case phaseFinished:
		c.Finished = &own
		c.Response = e.response
	}
	if e.extras != nil {
		c.Unfinished = append(c.Unfinished, e.extras.copied...)
		c.Aborted = slices.Clone(e.extras.aborted)
		c.Refused = slices.Clone(e.extras.refused)
	}
	return c
}

// merge adds the record that another holder has of an ID. It adds unfinished
// attempts only if a predecessor of this store may have seen the ID.
func (s *Store) merge(c CopiedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entryFor(c.ID, c.FirstSent, c.ExpiresAt, c.Holders)
	defer s.account(e)
	if c.Finished != nil {
		s.setResponse(e, c.Finished.Attempt, c.Finished.Fingerprint, c.Response)
	}
	for _, a := range c.Aborted {
		e.markAborted(intern(a))
	}
	for _, a := range c.Refused {
		if !e.refuses(a) {
			e.ensureExtras().refused = append(e.ensureExtras().refused, intern(a))
		}
	}
	if c.FirstSent > s.readiness.predecessorMax {
		return
	}
	for _, h := range c.Unfinished {
		e.addCopied(h)
	}
}

// addCopied adds an attempt that another holder stores, unless it is aborted or
// already stored, or this holder has granted an attempt itself: for that it had
// to be ready.
func (e *entry) addCopied(h StoredAttempt) {
	if e.phase != phaseNone || e.isAborted(h.Attempt) || e.stores(h.Attempt) {
		return
	}
	h.Attempt = intern(h.Attempt)
	e.ensureExtras().copied = append(e.ensureExtras().copied, h)
}

// Recover copies the records of all other holders and retries failed copies
// until ctx ends. others must list every VM of every holder set within the
// retention except the local one. The error names the holders whose records
// could not be copied; the copies that succeeded remain valid, and Recover may
// be called again.
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
	s.readiness.lowerCompleteFrom(others)
	s.mu.Unlock()
	return errors.Join(failures...)
}

func (s *Store) copyUntilDone(ctx context.Context, t Transport, vm string) error {
	for {
		err := s.copyFrom(ctx, t, vm)
		if err == nil {
			return nil
		}
		if !clock.Sleep(ctx, copyRetry) {
			return fmt.Errorf("copy records from %s: %w", vm, err)
		}
	}
}

// observeIncarnations stores the incarnation of the copied holder and those that
// it knows of, so that the proofs of this holder cover at least the incarnations
// that they covered before it lost its memory.
func (s *Store) observeIncarnations(vm string, page CopyReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readiness.observeIncarnation(vm, page.Incarnation)
	for name, incarnation := range page.HolderIncarnations {
		s.readiness.observeIncarnation(name, incarnation)
	}
}

// copyFrom copies all pages of one holder. It fails if the holder restarts
// between two pages, because the holder has then lost records.
func (s *Store) copyFrom(ctx context.Context, t Transport, vm string) error {
	request := CopyRequest{Incarnation: s.readiness.startedAt}
	completeFrom := int64(0)
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
		completeFrom = max(completeFrom, page.CompleteFrom)
		s.observeIncarnations(vm, page)
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
	s.readiness.addCopy(vm, completeFrom)
	return nil
}
