package record

import (
	"context"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// LookupResult is the result of a lookup of a request that an attempt has started.
type LookupResult struct {
	// Response is the stored response, or nil while there is none.
	Response *Response
}

// Lookup queries the holders of a request for its record without starting an
// attempt. It returns nil, nil when no attempt can have run, and an error with
// outcome unknown when too few holders replied to decide. An attempt that only a
// minority of holders stores counts as started, since delayed starts may still
// give it a majority. For a request that was first sent before the retention,
// the error is ExpiredID.
func (c *Coordinator) Lookup(ctx context.Context, b BeginRequest) (*LookupResult, *errkind.Error) {
	s, err := c.newSession(b)
	if err != nil {
		return nil, err
	}
	v := s.startOrQuery(ctx, Attempt{}, true)
	response, err := v.finalResult()
	if response != nil {
		return &LookupResult{Response: response}, nil
	}
	if err != nil {
		return nil, err
	}
	if len(v.others(nil)) > 0 {
		return &LookupResult{}, nil
	}
	if !v.conclusive() {
		return nil, errkind.New(errkind.EarlierUnknown, "too few record holders replied")
	}
	return nil, nil
}

// conclusive reports whether a majority of every set replied Absent or Started.
func (v *view) conclusive() bool {
	for _, set := range v.sets {
		clear := 0
		for _, vm := range set {
			if r, ok := v.replies[vm]; ok && (r.State == Absent || r.State == Started) {
				clear++
			}
		}
		if clear < majority(len(set)) {
			return false
		}
	}
	return true
}
