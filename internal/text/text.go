// Package text parses and validates the configuration text, the single file
// with which operators configure the system.
package text

import "time"

// MaxBytes is the largest accepted size of a configuration text in bytes.
const MaxBytes = 1 << 20

// DataCentreState says whether a data centre may receive work.
type DataCentreState string

// The states of a data centre.
const (
	DataCentreIn  DataCentreState = "in"
	DataCentreOut DataCentreState = "out"
)

// Ownership says which targets of a service may serve a key.
type Ownership string

// The kinds of ownership.
const (
	// Exclusive gives each key one owning target; only the owner serves it.
	Exclusive Ownership = "exclusive"
	// AnyTarget lets every target of the service serve every key.
	AnyTarget Ownership = "any"
)

// AnyTenant is the name of the tenant entry that applies to all tenants not
// listed.
const AnyTenant = "*"

// Text is a configuration text with defaults filled in.
type Text struct {
	// Name is the name of the deployment.
	Name string `yaml:"name"`
	// RecordRetention is how long the record of a non-idempotent request is
	// kept; a request first sent earlier is refused. Default 1h.
	RecordRetention time.Duration `yaml:"record_retention"`
	Regions         []Region      `yaml:"regions"`
	Services        []Service     `yaml:"services"`
	Tenants         []Tenant      `yaml:"tenants"`
	Limits          Limits        `yaml:"limits"`
	// RetiredTargets lists targets that the operators declare permanently lost;
	// slices held for them may be reassigned.
	RetiredTargets []string `yaml:"retired_targets"`
	// RetiredVMs lists VMs that no longer hold request records or contracts.
	RetiredVMs []string `yaml:"retired_vms"`
}

// Region is a named region with its data centres.
type Region struct {
	Name        string       `yaml:"name"`
	DataCentres []DataCentre `yaml:"data_centres"`
}

// DataCentre is one data centre; State defaults to in.
type DataCentre struct {
	Name  string          `yaml:"name"`
	State DataCentreState `yaml:"state"`
}

// Dependency is a service that another service depends on. A request for a
// service whose required dependency cannot be served is refused.
type Dependency struct {
	Service  string `yaml:"service"`
	Required bool   `yaml:"required"`
}

// Service is one service that targets offer.
type Service struct {
	Name      string       `yaml:"name"`
	DependsOn []Dependency `yaml:"depends_on"`
	Ownership Ownership    `yaml:"ownership"`
	// Slices is the initial number of slices per residency. Default 64.
	Slices int `yaml:"slices"`
	// Endpoints is the number of targets that the operators expect.
	Endpoints int `yaml:"endpoints"`
	// Slots is the number of requests that a target runs concurrently.
	Slots int `yaml:"slots"`
	// Connections bounds the connections to a target over all VMs. Default 110.
	Connections int `yaml:"connections"`
	// QueueLimit bounds the requests that wait for a target. Default 8*Slots.
	QueueLimit int `yaml:"queue_limit"`
	// ColdSlots is the number of slots of a target that just started. Default 1.
	ColdSlots int     `yaml:"cold_slots"`
	Weights   Weights `yaml:"weights"`
	// MaxMovesPerSecond bounds planned and unplanned slice moves. Default 50.
	MaxMovesPerSecond int `yaml:"max_moves_per_second"`
}

// Weights weigh the cost terms of slice placement against each other.
type Weights struct {
	// Churn is the cost of moving one slice. Default 1.
	Churn float64 `yaml:"churn"`
	// Balance is the cost of imbalance across targets. Default 1.
	Balance float64 `yaml:"balance"`
	// Tail is the cost of keeping slices on a straggling target. Default 0.
	Tail float64 `yaml:"tail"`
}

// Tenant holds the rules of one tenant, or of all tenants not listed if its
// name is AnyTenant.
type Tenant struct {
	Name string `yaml:"name"`
	// HomeRegions are the only regions where the tenant's requests may be
	// served, sent or stored. Empty means all regions.
	HomeRegions []string `yaml:"home_regions"`
	// Share is the tenant's weight in fair queueing. Default 1.
	Share int `yaml:"share"`
}

// Limits bounds requests of all services.
type Limits struct {
	// MaxBodyBytes bounds a request body. Default 1 MiB.
	MaxBodyBytes int `yaml:"max_body_bytes"`
	// MaxResponseBytes bounds a response body. Default 16 MiB.
	MaxResponseBytes int `yaml:"max_answer_bytes"`
	// DefaultDeadline applies to requests without a deadline. Default 2s.
	DefaultDeadline time.Duration `yaml:"default_deadline"`
	// RetryBudget is the fraction of requests that may be retries. Default 0.1.
	RetryBudget float64 `yaml:"retry_budget"`
	// HedgeBudget is the fraction of requests that may be hedges. Default 0.05.
	HedgeBudget float64 `yaml:"hedge_budget"`
}

// Fault is an error found in a configuration text.
type Fault struct {
	// Line and Column start at 1; both are 0 if the fault has no position.
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Kind    string `json:"kind"`
	Message string `json:"message"`
}
