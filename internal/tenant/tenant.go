// Package tenant holds the rules that follow from whose behalf a request is
// made on: its residency and its label in metrics.
package tenant

import (
	"sync"

	"github.com/flamingoreel/flamingoreel/internal/contract"
	"github.com/flamingoreel/flamingoreel/internal/text"
)

// MaxLabels bounds the number of tenants with a metric label of their own, so
// that the number of time series stays bounded.
const MaxLabels = 50

// OtherLabel is the metric label of all tenants beyond MaxLabels.
const OtherLabel = "other"

// Residency returns the residency of a tenant of the operators' text.
func Residency(t *text.Tenant) contract.Residency {
	return contract.NewResidency(t.HomeRegions)
}

// Labels gives tenants their metric labels. It is safe for concurrent use.
type Labels struct {
	mu   sync.RWMutex
	seen map[string]bool
}

// NewLabels returns an empty set of labels.
func NewLabels() *Labels { return &Labels{seen: make(map[string]bool)} }

// For returns the label of a tenant.
func (l *Labels) For(name string) string {
	l.mu.RLock()
	known, full := l.seen[name], len(l.seen) >= MaxLabels
	l.mu.RUnlock()
	if known {
		return name
	}
	if full {
		return OtherLabel
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.seen) >= MaxLabels && !l.seen[name] {
		return OtherLabel
	}
	l.seen[name] = true
	return name
}
