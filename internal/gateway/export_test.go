package gateway

import (
	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/watch"
)

// Apply applies a change of the fleet state for the tests of the whole entry.
func (g *Gateway) Apply(d fleet.Delta) { g.applyAnswer(watch.Answer{Delta: d}, g.now()) }
