// Package tenant derives from the tenant of a request where the request may go
// (its residency) and its label in metrics.
package tenant

import (
	"sync"

	"github.com/flamingoreel/flamingoreel/internal/configtext"
	"github.com/flamingoreel/flamingoreel/internal/contract"
)

// MaxLabels bounds the number of tenants that have their own metric label, so
// that the number of time series stays bounded.
const MaxLabels = 50

// OtherLabel is the metric label of all tenants beyond MaxLabels.
const OtherLabel = "other"

// Residency returns the residency of a tenant of the configuration text.
func Residency(t *configtext.Tenant) contract.Residency {
	return contract.NewResidency(t.HomeRegions)
}

// Labels assigns metric labels to tenants. It is safe for concurrent use.
type Labels struct {
	mu   sync.RWMutex
	seen map[string]bool
}

// NewLabels returns an empty set of labels.
func NewLabels() *Labels { return &Labels{seen: make(map[string]bool)} }

// For returns the metric label of a tenant: its name, or OtherLabel if MaxLabels
// other tenants already have their own label.
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
