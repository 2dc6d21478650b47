package record

import (
	"context"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Await waits for the response of another attempt, after Begin with NoWait
// returned StartedElsewhere. It returns nil, nil when no attempt can be Running
// any more, so that Begin may be called again, and StartedElsewhere when ctx
// ended first.
func (c *Coordinator) Await(ctx context.Context, b BeginRequest) (*Response, *errkind.Error) {
	s, err := c.newSession(b)
	if err != nil {
		return nil, err
	}
	s.contended = true
	for ctx.Err() == nil {
		v := s.startOrQuery(ctx, Attempt{}, true)
		if response, err := v.finalResult(); response != nil || err != nil {
			return response, err
		}
		if ctx.Err() == nil && s.takeOverFenced(ctx, v, v.others(nil)) {
			return nil, nil
		}
		if !s.pause(ctx) {
			break
		}
	}
	return nil, errkind.New(errkind.StartedElsewhere, "another attempt of the request may be running")
}
