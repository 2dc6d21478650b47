package record

import (
	"context"
	"sync"
	"time"
	"unique"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Store keeps the records of one holder VM in memory. Its methods are safe for
// concurrent use. An entry is never removed before it expires.
type Store struct {
	now func() int64 // Unix time in ms

	mu        sync.Mutex
	entries   map[ID]*entry
	buckets   map[int64][]*entry // by minute of expiry
	bytes     int
	maxBytes  int
	readiness readiness
	starts    [stateCount]uint64 // by the state in the reply
}

// NewStore returns an empty store. startedAtUnixMs is the start time of the
// process and must increase with every restart of the VM; maxBytes limits the
// accounted memory of records.
func NewStore(startedAtUnixMs int64, maxBytes int) *Store {
	return &Store{
		now:       func() int64 { return time.Now().UnixMilli() },
		entries:   make(map[ID]*entry),
		buckets:   make(map[int64][]*entry),
		maxBytes:  maxBytes,
		readiness: newReadiness(startedAtUnixMs),
	}
}

// Handle returns the handler of one of the record methods, or nil for an
// unknown method. The parameter from of the handler is the name of the calling
// VM.
func (s *Store) Handle(method string) func(ctx context.Context, from string, payload []byte) ([]byte, error) {
	switch method {
	case MethodStart:
		return handler(func(_ string, r StartRequest) StartReply { return s.start(s.now(), r) })
	case MethodFinish:
		return handler(func(_ string, r FinishRequest) struct{} { s.finish(s.now(), r); return struct{}{} })
	case MethodAbort:
		return handler(func(_ string, r AbortRequest) AbortReply { return s.abort(s.now(), r) })
	case MethodCopy:
		return handler(func(from string, r CopyRequest) CopyReply { return s.copyPage(from, r) })
	}
	return nil
}

func handler[Req, Rep any](f func(from string, r Req) Rep) func(context.Context, string, []byte) ([]byte, error) {
	return func(_ context.Context, from string, payload []byte) ([]byte, error) {
		var r Req
		if err := decode(payload, &r); err != nil {
			return nil, err
		}
		return encode(f(from, r))
	}
}

func (s *Store) start(now int64, r StartRequest) StartReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.decide(now, r)
	reply.Proof = s.readiness.proof(r.Holders)
	if !r.Query {
		s.starts[reply.State]++
	}
	return reply
}

func (s *Store) decide(now int64, r StartRequest) StartReply {
	e := s.entries[r.ID]
	if e != nil {
		if reply, found := e.lookup(r); found {
			return reply
		}
	}
	if !s.readiness.ready(now, r.FirstSent, r.Retention, r.Holders) {
		return StartReply{State: NotReady}
	}
	if r.Query {
		return StartReply{State: Absent}
	}
	if e != nil && e.refuses(r.Attempt) {
		return StartReply{State: Aborted}
	}
	return s.grant(e, r)
}

// lookup returns the reply that follows from a stored attempt, if there is one.
func (e *entry) lookup(r StartRequest) (StartReply, bool) {
	if e.phase == phaseNone {
		return e.lookupCopied(r)
	}
	if e.fingerprint != r.Fingerprint {
		return StartReply{State: Mismatch}, true
	}
	if e.phase == phaseFinished {
		var a Response
		if decode(e.response, &a) != nil {
			a = Response{Dropped: true}
		}
		return StartReply{State: Finished, Attempt: e.attempt, Response: &a}, true
	}
	if e.attempt == r.Attempt {
		return StartReply{State: Granted, Attempt: e.attempt}, true
	}
	return StartReply{State: Started, Attempt: e.attempt, Holders: splitSets(e.holders.Value())}, true
}

// lookupCopied returns the reply that follows from attempts copied from other
// holders, if there are any. Copied attempts are never granted, because this
// holder may have promised to refuse them before it restarted. If there are
// several, the reply is NotReady, because any of them may be Running.
func (e *entry) lookupCopied(r StartRequest) (StartReply, bool) {
	copies := e.copies()
	if len(copies) == 0 {
		return StartReply{}, false
	}
	if len(copies) > 1 || copies[0].Attempt == r.Attempt {
		return StartReply{State: NotReady}, true
	}
	if copies[0].Fingerprint != r.Fingerprint {
		return StartReply{State: Mismatch}, true
	}
	return StartReply{State: Started, Attempt: copies[0].Attempt, Holders: splitSets(copies[0].Holders)}, true
}

func (s *Store) grant(e *entry, r StartRequest) StartReply {
	fresh := e == nil
	if fresh {
		e = &entry{id: r.ID}
		if s.bytes+e.size() > s.maxBytes {
			return StartReply{State: Full}
		}
	}
	e.attempt = intern(r.Attempt)
	e.phase = phaseStarted
	e.fingerprint = r.Fingerprint
	s.put(e, r.FirstSent, expiry(r.FirstSent, r.Retention), joinSets(r.Holders))
	return StartReply{State: Granted, Attempt: e.attempt}
}

// put adds or updates e under its ID and expiry, and accounts its memory. The
// expiry and the first-sent time of an entry only increase.
func (s *Store) put(e *entry, firstSent, expiresAt int64, holders string) {
	s.entries[e.id] = e
	e.holders = unique.Make(holders)
	e.firstSent = max(e.firstSent, firstSent)
	if expiresAt > e.expiresAt {
		e.expiresAt = expiresAt
		b := bucket(expiresAt)
		s.buckets[b] = append(s.buckets[b], e)
	}
	s.account(e)
}

// account updates the accounted memory after a change of e.
func (s *Store) account(e *entry) {
	size := e.size()
	s.bytes += size - e.bytes
	e.bytes = size
}

// entryFor returns the entry of an ID and creates an empty one if there is none.
func (s *Store) entryFor(id ID, firstSent, expiresAt int64, holders string) *entry {
	if e, ok := s.entries[id]; ok {
		return e
	}
	e := &entry{id: id}
	s.put(e, firstSent, expiresAt, holders)
	return e
}

// finish stores the response of an attempt that was Running. It is accepted in
// every state of the store; when the store is full, the response itself is
// dropped.
func (s *Store) finish(now int64, r FinishRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	expiresAt := expiry(r.FirstSent, r.Retention)
	if expiresAt < now {
		return
	}
	response, err := encode(dropOversized(r.Response))
	if err != nil {
		response, _ = encode(Response{Dropped: true})
	}
	e := s.entryFor(r.ID, r.FirstSent, expiresAt, joinSets(r.Holders))
	s.setResponse(e, r.Attempt, r.Fingerprint, response)
}

// setResponse sets the response of an entry unless it has one.
func (s *Store) setResponse(e *entry, a Attempt, fingerprint uint64, response []byte) {
	if e.phase == phaseFinished {
		return
	}
	if s.bytes+len(response) > s.maxBytes {
		response, _ = encode(Response{Dropped: true})
	}
	e.attempt = intern(a)
	e.phase = phaseFinished
	e.fingerprint = fingerprint
	e.response = response
	if e.extras != nil {
		e.extras.copied = nil
	}
	s.account(e)
}

func (s *Store) abort(now int64, r AbortRequest) AbortReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := AbortReply{Proof: s.readiness.proof(r.Holders)}
	expiresAt := expiry(r.FirstSent, r.Retention)
	if expiresAt < now {
		return reply
	}
	if !r.Promise {
		e := s.entryFor(r.ID, r.FirstSent, expiresAt, joinSets(r.Holders))
		e.markAborted(intern(r.Attempt))
		s.account(e)
		return reply
	}
	reply.Refused = s.promise(now, r, expiresAt)
	return reply
}

// promise makes this holder refuse an attempt, and reports true, if the holder
// knows that it has not granted the attempt.
func (s *Store) promise(now int64, r AbortRequest, expiresAt int64) bool {
	e := s.entries[r.ID]
	if e != nil && (e.stores(r.Attempt) || len(e.copies()) > 1 || e.phase == phaseFinished) {
		return false
	}
	if !s.readiness.ready(now, r.FirstSent, r.Retention, r.Holders) {
		return false
	}
	e = s.entryFor(r.ID, r.FirstSent, expiresAt, joinSets(r.Holders))
	if !e.refuses(r.Attempt) {
		e.ensureExtras().refused = append(e.ensureExtras().refused, intern(r.Attempt))
		s.account(e)
	}
	return true
}

// MaxResponseBytes is the maximum size of header and body of a stored response.
const MaxResponseBytes = 64 << 10

// dropOversized reduces a response that is too large to its status.
func dropOversized(a Response) Response {
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	if a.Dropped || size > MaxResponseBytes {
		return Response{Status: a.Status, Dropped: true}
	}
	return a
}

var errRestarted = errkind.New(errkind.LinkLost, "holder restarted during a copy")
