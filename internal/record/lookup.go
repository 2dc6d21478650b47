package record

import (
	"context"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Found is what a majority of holders knows of a non-idempotent request.
type Found struct {
	// Answer is nil while the request is started and has no answer.
	Answer *Answer
}

// Lookup asks the holders of a request for its record without starting an
// attempt. It returns nil, nil when no attempt can have run, and an error with
// outcome unknown when too few holders answered to tell. An attempt seen at a
// minority counts as started, since its late starts may still give it a
// majority. A request first sent
// before the retention gets the error ExpiredID.
func (c *Coordinator) Lookup(ctx context.Context, b BeginRequest) (*Found, *errkind.Error) {
	s, err := c.newSession(b)
	if err != nil {
		return nil, err
	}
	v := s.ask(ctx, Attempt{}, true)
	answer, err := v.verdict()
	if answer != nil {
		return &Found{Answer: answer}, nil
	}
	if err != nil {
		return nil, err
	}
	if len(v.others(nil)) > 0 {
		return &Found{}, nil
	}
	if !v.known() {
		return nil, errkind.New(errkind.EarlierUnknown, "too few record holders answered")
	}
	return nil, nil
}

// known reports whether a majority of every set gave a clear answer.
func (v *view) known() bool {
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
