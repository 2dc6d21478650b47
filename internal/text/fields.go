package text

import (
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Defaults of optional fields.
const (
	defaultRetention      = time.Hour
	defaultSlices         = 64
	defaultQueuePerSlot   = 8
	defaultColdSlots      = 1
	defaultConnections    = 110
	defaultWeight         = 1.0
	defaultMovesPerSecond = 50
	defaultShare          = 1
	defaultBodyBytes      = 1 << 20
	defaultAnswerBytes    = 16 << 20
	defaultDeadline       = 2 * time.Second
	defaultRetryBudget    = 0.1
	defaultHedgeBudget    = 0.05
)

// Bounds of field values.
const (
	minRetention      = time.Second
	maxRetention      = 7 * 24 * time.Hour
	maxSlices         = 1 << 16
	maxEndpoints      = 100_000
	maxSlots          = 4096
	maxConnections    = 1 << 16
	maxQueueLimit     = 1_000_000
	maxMovesPerSecond = 100_000
	maxWeight         = 1e6
	maxShare          = 1000
	maxBodyBytes      = 64 << 20
	maxAnswerBytes    = 256 << 20
	minDeadline       = time.Millisecond
	maxDeadline       = 5 * time.Minute
)

// text reads the root mapping.
func (d *decoder) text(n ast.Node) *Text {
	t := &Text{RecordRetention: defaultRetention, Limits: defaultLimits()}
	d.mapping(n, "the text", []string{"name", "regions", "services"}, fields{
		"name":             func(v ast.Node) { t.Name = d.name(v, "name", namePattern) },
		"record_retention": func(v ast.Node) { t.RecordRetention = d.duration(v, "record_retention", minRetention, maxRetention) },
		"regions":          func(v ast.Node) { d.regions(v, t) },
		"services":         func(v ast.Node) { d.services(v, t) },
		"tenants":          func(v ast.Node) { d.tenants(v, t) },
		"limits":           func(v ast.Node) { d.limits(v, &t.Limits) },
		"retired_targets":  func(v ast.Node) { t.RetiredTargets = d.names(v, "retired_targets") },
		"retired_vms":      func(v ast.Node) { t.RetiredVMs = d.names(v, "retired_vms") },
	})
	return t
}

// names reads a list of names of targets or VMs and reports duplicates.
func (d *decoder) names(n ast.Node, what string) []string {
	var out []string
	d.list(n, what, func(v ast.Node) {
		name := d.name(v, what, tenantPattern)
		d.nodes.registerName(d, v, what, name)
		out = append(out, name)
	})
	return out
}

func (d *decoder) regions(n ast.Node, t *Text) {
	d.nodes.regions = n
	d.nonEmptyList(n, "regions", func(v ast.Node) { t.Regions = append(t.Regions, d.region(v)) })
}

func (d *decoder) region(n ast.Node) Region {
	var r Region
	d.mapping(n, "a region", []string{"name", "data_centres"}, fields{
		"name": func(v ast.Node) {
			r.Name = d.name(v, "region name", namePattern)
			d.nodes.registerName(d, v, "region", r.Name)
		},
		"data_centres": func(v ast.Node) {
			d.nonEmptyList(v, "data_centres", func(item ast.Node) { r.DataCentres = append(r.DataCentres, d.dataCentre(item)) })
		},
	})
	return r
}

func (d *decoder) dataCentre(n ast.Node) DataCentre {
	dc := DataCentre{State: DataCentreIn}
	d.mapping(n, "a data centre", []string{"name"}, fields{
		"name": func(v ast.Node) {
			dc.Name = d.name(v, "data centre name", namePattern)
			d.nodes.registerName(d, v, "data centre", dc.Name)
		},
		"state": func(v ast.Node) {
			dc.State = DataCentreState(d.str(v, "state"))
			if dc.State != DataCentreIn && dc.State != DataCentreOut {
				d.fault(v, WrongType, "state must be %s or %s", DataCentreIn, DataCentreOut)
			}
		},
	})
	return dc
}

func (d *decoder) services(n ast.Node, t *Text) {
	d.nonEmptyList(n, "services", func(v ast.Node) { t.Services = append(t.Services, d.service(v)) })
}

func (d *decoder) service(n ast.Node) Service {
	s := Service{
		Slices:            defaultSlices,
		ColdSlots:         defaultColdSlots,
		Connections:       defaultConnections,
		MaxMovesPerSecond: defaultMovesPerSecond,
		Weights:           Weights{Churn: defaultWeight, Balance: defaultWeight},
	}
	var coldSlots ast.Node
	d.mapping(n, "a service", []string{"name", "ownership", "endpoints", "slots"}, fields{
		"name": func(v ast.Node) {
			s.Name = d.name(v, "service name", namePattern)
			d.nodes.registerName(d, v, "service", s.Name)
		},
		"depends_on":  func(v ast.Node) { s.DependsOn = d.dependencies(v) },
		"ownership":   func(v ast.Node) { s.Ownership = d.ownership(v) },
		"slices":      func(v ast.Node) { s.Slices = d.integer(v, "slices", 1, maxSlices) },
		"endpoints":   func(v ast.Node) { s.Endpoints = d.integer(v, "endpoints", 1, maxEndpoints) },
		"slots":       func(v ast.Node) { s.Slots = d.integer(v, "slots", 1, maxSlots) },
		"connections": func(v ast.Node) { s.Connections = d.integer(v, "connections", 1, maxConnections) },
		"queue_limit": func(v ast.Node) { s.QueueLimit = d.integer(v, "queue_limit", 1, maxQueueLimit) },
		"cold_slots": func(v ast.Node) {
			coldSlots = v
			s.ColdSlots = d.integer(v, "cold_slots", 1, maxSlots)
		},
		"weights": func(v ast.Node) { d.weights(v, &s.Weights) },
		"max_moves_per_second": func(v ast.Node) {
			s.MaxMovesPerSecond = d.integer(v, "max_moves_per_second", 1, maxMovesPerSecond)
		},
	})
	if coldSlots != nil && s.Slots > 0 && s.ColdSlots > s.Slots {
		d.fault(coldSlots, OutOfRange, "cold_slots must be from 1 to slots, %d", s.Slots)
	}
	if s.QueueLimit == 0 {
		s.QueueLimit = defaultQueuePerSlot * s.Slots
	}
	return s
}

func (d *decoder) ownership(n ast.Node) Ownership {
	o := Ownership(d.str(n, "ownership"))
	if o != Exclusive && o != AnyTarget {
		d.fault(n, WrongType, "ownership must be %s or %s", Exclusive, AnyTarget)
	}
	return o
}

func (d *decoder) weights(n ast.Node, w *Weights) {
	d.mapping(n, "weights", nil, fields{
		"churn":   func(v ast.Node) { w.Churn = d.number(v, "churn", 0, maxWeight) },
		"balance": func(v ast.Node) { w.Balance = d.number(v, "balance", 0, maxWeight) },
		"tail":    func(v ast.Node) { w.Tail = d.number(v, "tail", 0, maxWeight) },
	})
}

// dependencies reads a list of service names or mappings. A plain name is a
// required dependency.
func (d *decoder) dependencies(n ast.Node) []Dependency {
	var out []Dependency
	d.list(n, "depends_on", func(v ast.Node) {
		dep := Dependency{Required: true}
		if _, ok := entries(v); !ok {
			dep.Service = d.name(v, "depends_on", namePattern)
			d.nodes.addDependency(v)
			out = append(out, dep)
			return
		}
		serviceNode := v
		d.mapping(v, "a dependency", []string{"service"}, fields{
			"service": func(v ast.Node) {
				dep.Service = d.name(v, "service", namePattern)
				serviceNode = v
			},
			"required": func(v ast.Node) { dep.Required = d.boolean(v, "required") },
		})
		d.nodes.addDependency(serviceNode)
		out = append(out, dep)
	})
	return out
}

func (d *decoder) tenants(n ast.Node, t *Text) {
	d.list(n, "tenants", func(v ast.Node) { t.Tenants = append(t.Tenants, d.tenant(v)) })
}

func (d *decoder) tenant(n ast.Node) Tenant {
	tenant := Tenant{Share: defaultShare}
	d.mapping(n, "a tenant", []string{"name"}, fields{
		"name": func(v ast.Node) {
			tenant.Name = d.name(v, "tenant name", tenantPattern)
			d.nodes.registerName(d, v, "tenant", tenant.Name)
		},
		"home_regions": func(v ast.Node) { tenant.HomeRegions = d.homeRegions(v) },
		"share":        func(v ast.Node) { tenant.Share = d.integer(v, "share", 1, maxShare) },
	})
	return tenant
}

func (d *decoder) homeRegions(n ast.Node) []string {
	var out []string
	seen := map[string]bool{}
	d.list(n, "home_regions", func(v ast.Node) {
		name := d.name(v, "home region", namePattern)
		d.nodes.homeRegions = append(d.nodes.homeRegions, v)
		if seen[name] {
			d.fault(v, DuplicateName, "home region %q appears twice", name)
		}
		seen[name] = true
		out = append(out, name)
	})
	return out
}

func defaultLimits() Limits {
	return Limits{
		MaxBodyBytes:     defaultBodyBytes,
		MaxResponseBytes: defaultAnswerBytes,
		DefaultDeadline:  defaultDeadline,
		RetryBudget:      defaultRetryBudget,
		HedgeBudget:      defaultHedgeBudget,
	}
}

func (d *decoder) limits(n ast.Node, l *Limits) {
	d.mapping(n, "limits", nil, fields{
		"max_body_bytes":   func(v ast.Node) { l.MaxBodyBytes = d.integer(v, "max_body_bytes", 1, maxBodyBytes) },
		"max_answer_bytes": func(v ast.Node) { l.MaxResponseBytes = d.integer(v, "max_answer_bytes", 1, maxAnswerBytes) },
		"default_deadline": func(v ast.Node) { l.DefaultDeadline = d.duration(v, "default_deadline", minDeadline, maxDeadline) },
		"retry_budget":     func(v ast.Node) { l.RetryBudget = d.number(v, "retry_budget", 0, 1) },
		"hedge_budget":     func(v ast.Node) { l.HedgeBudget = d.number(v, "hedge_budget", 0, 1) },
	})
}
