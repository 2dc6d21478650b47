package items

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Severity says how grave a finding is.
type Severity string

// The severities.
const (
	// Error is an item that is refused, changes nothing or can never be used.
	Error Severity = "error"
	// Warning is an item that is accepted but probably not what was meant.
	Warning Severity = "warning"
)

// Finding is something about an item that the operator should know.
type Finding struct {
	Severity   Severity   `json:"severity"`
	Collection Collection `json:"collection"`
	Name       string     `json:"name"`
	Message    string     `json:"message"`
}

// LintOptions is what a check knows besides the items. Checks that need a value which
// isn't given are left out.
type LintOptions struct {
	// Regions are all regions of the deployment.
	Regions []string
	// DefaultLimits are the limits that entries use where the items set none.
	DefaultLimits Limits
	// MaxHeaderBytes is the highest limit on the head of a request that entries enforce.
	MaxHeaderBytes int64
	// BodyMemory is the memory in bytes for the request bodies of an entry.
	BodyMemory int64
	// FormatVersion formats a version as the operators write it; nil means as a number.
	FormatVersion func(uint64) string
}

// Report is the result of a check of a change.
type Report struct {
	// Findings are sorted by severity, errors first, then by collection and name.
	Findings []Finding `json:"findings"`
	// Differences are sorted by collection and name.
	Differences []Difference `json:"differences"`
	// Unchanged is the number of items that are in force before and after the change
	// with the same version.
	Unchanged int `json:"unchanged"`
}

// Failed reports whether one of the findings is an error.
func (r Report) Failed() bool {
	return slices.ContainsFunc(r.Findings, func(f Finding) bool { return f.Severity == Error })
}

// maxCallerIdle is the longest time for which callers are known to keep connections
// without traffic; internal/callers derives its default idle timeout from it.
const maxCallerIdle = 12 * time.Second

// Lint checks a patch before it is sent and compares the items in force before and after
// it. It reports an error for every patch that Apply or CheckPlaces refuses. Findings about
// single routes and the limits concern the items of the patch; those about services and
// about routes that conflict concern all items that are in force after it.
func Lint(inForce *Set, p Patch, options LintOptions) Report {
	l := &linter{before: inForce, after: Restore(inForce.All()), options: options, changed: make(map[Key]bool), findings: []Finding{}}
	for _, item := range p.Items {
		l.checkItem(item)
		l.checkVersion(item)
		if current, ok := l.after.items[item.Key]; !ok || current.Version < item.Version {
			l.after.items[item.Key], l.changed[item.Key] = item, true
		}
	}
	for _, item := range l.after.All() {
		switch {
		case item.Removed:
		case item.Route != nil:
			l.checkReferences(item)
		case item.Service != nil:
			l.checkService(item)
		}
		if l.changed[item.Key] {
			l.checkUse(item)
		}
	}
	l.checkPlaces()
	slices.SortStableFunc(l.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Collection, b.Collection), cmp.Compare(a.Name, b.Name))
	})
	differences, unchanged := compareSets(l.before, l.after, l.version)
	return Report{Findings: l.findings, Differences: differences, Unchanged: unchanged}
}

// linter collects the findings of one check.
type linter struct {
	before, after *Set
	// changed are the keys of the patch's items that are newer than those in force.
	changed  map[Key]bool
	options  LintOptions
	findings []Finding
}

func (l *linter) add(severity Severity, key Key, format string, args ...any) {
	l.findings = append(l.findings, Finding{severity, key.Collection, key.Name, fmt.Sprintf(format, args...)})
}

func (l *linter) version(v uint64) string {
	if l.options.FormatVersion == nil {
		return strconv.FormatUint(v, 10)
	}
	return l.options.FormatVersion(v)
}

// checkItem reports what makes an item invalid regardless of the others.
func (l *linter) checkItem(item Item) {
	if item.Collection == Routes && !item.Removed && item.Route != nil {
		for _, fault := range item.Route.faults(item.Name) {
			l.add(Error, item.Key, "%s", fault)
		}
		return
	}
	if err := item.check(); err != nil {
		l.add(Error, item.Key, "%s", err.Message)
	}
}

// checkVersion reports an item that changes nothing.
func (l *linter) checkVersion(item Item) {
	if l.changed[item.Key] {
		l.add(Error, item.Key, "the change has this item more than once; only the highest version would count")
		return
	}
	current, ok := l.before.items[item.Key]
	switch {
	case !ok || current.Removed && current.Version < item.Version:
		if item.Removed {
			l.add(Warning, item.Key, "the item to remove is not in force")
		}
	case item.Version > current.Version:
	case item.Version < current.Version:
		l.add(Error, item.Key, "version %s is below %s, which is in force: the item would change nothing", l.version(item.Version), l.version(current.Version))
	case item.Removed != current.Removed || len(changedFields(current, item)) > 0:
		l.add(Error, item.Key, "version %s is in force with other content: the item would change nothing", l.version(item.Version))
	default:
		l.add(Error, item.Key, "version %s is in force already: the item would change nothing", l.version(item.Version))
	}
}

// checkReferences reports the services of a route in force that aren't.
func (l *linter) checkReferences(item Item) {
	reported := make(map[string]bool)
	for _, share := range item.Route.Split {
		key := Key{Services, share.Service}
		if _, ok := l.after.Get(key); ok || share.Service == "" || reported[share.Service] {
			continue
		}
		reported[share.Service] = true
		if _, ok := l.before.Get(key); ok {
			l.add(Error, item.Key, "it refers to the service %q, which the change removes", share.Service)
		} else {
			l.add(Error, item.Key, "it refers to the unknown service %q", share.Service)
		}
	}
}

// checkPlaces reports routes in force that match the same requests.
func (l *linter) checkPlaces() {
	places := make(map[routeKey]Item)
	for _, item := range l.after.All() {
		if item.Collection != Routes || item.Removed || item.Route == nil || item.Route.Host == "" {
			continue
		}
		place := routeKey{strings.ToLower(item.Route.Host), item.Route.Prefix}
		other, ok := places[place]
		if !ok {
			places[place] = item
			continue
		}
		if l.changed[other.Key] && !l.changed[item.Key] {
			item, other = other, item
		}
		// Routes in force whose hosts differ only in case were accepted by an earlier build.
		severity := Error
		if item.Route.Host != other.Route.Host && !l.changed[item.Key] && !l.changed[other.Key] {
			severity = Warning
		}
		l.add(severity, item.Key, "route %q has the same host, without regard to case, and prefix %s%s; only one of them can match", other.Name, place.host, place.prefix)
	}
}

// checkUse reports what keeps a valid item from being used as it seems to be meant.
func (l *linter) checkUse(item Item) {
	if item.Removed {
		return
	}
	if item.Route != nil {
		l.checkHost(item)
		l.checkPrefix(item)
		l.checkRegions(item)
		l.checkTimes(item)
	}
	if s := item.Service; s != nil && s.ColdPeriod > 0 && s.ColdRate == 0 {
		l.add(Warning, item.Key, "targets are cold for %s after their start, but the rate of cold targets is 0: they get no or very few requests meanwhile", s.ColdPeriod)
	}
	if item.Limits != nil {
		l.checkLimits(item)
	}
}

// checkHost reports hosts that no request has: entries refuse requests with an invalid
// Host header and remove the port from valid ones.
func (l *linter) checkHost(item Item) {
	host := item.Route.Host
	if !httpguts.ValidHostHeader(host) {
		l.add(Error, item.Key, "the host %q has characters that no Host header has: the route can never match", host)
	} else if _, _, err := net.SplitHostPort(host); err == nil {
		l.add(Error, item.Key, "the host %q has a port, but requests are matched without it: the route can never match", host)
	} else if strings.Contains(host, "*") {
		l.add(Warning, item.Key, "the host %q is matched literally; there are no wildcards", host)
	}
}

// checkPrefix reports prefixes that no path has: paths are matched as they are sent,
// without decoding and without the query.
func (l *linter) checkPrefix(item Item) {
	prefix := item.Route.Prefix
	if strings.ContainsFunc(prefix, func(r rune) bool { return r <= ' ' || r == '?' || r == 0x7f }) {
		l.add(Error, item.Key, "the prefix %q has a character that no path has: the route can never match", prefix)
	} else if strings.ContainsFunc(prefix, func(r rune) bool { return r > 0x7f }) {
		l.add(Warning, item.Key, "the prefix %q is not percent-encoded, but paths are matched as they are sent", prefix)
	}
}

// checkRegions reports allowed regions that the deployment doesn't have.
func (l *linter) checkRegions(item Item) {
	known, unknown := l.knownRegions(item.Route.AllowedRegions)
	switch {
	case len(unknown) == 0:
	case len(known) == 0:
		l.add(Error, item.Key, "none of the allowed regions is known (%s): the requests can never be served", strings.Join(unknown, ", "))
	default:
		l.add(Warning, item.Key, "allowed regions are unknown: %s", strings.Join(unknown, ", "))
	}
}

// knownRegions divides a list of regions; all are known if Regions isn't given.
func (l *linter) knownRegions(list []string) (known, unknown []string) {
	for _, region := range list {
		if len(l.options.Regions) == 0 || slices.Contains(l.options.Regions, region) {
			known = append(known, region)
		} else {
			unknown = append(unknown, region)
		}
	}
	return known, unknown
}

func (l *linter) checkTimes(item Item) {
	r := item.Route
	if r.LatencyObjective > r.Timeout && r.LatencyObjective-r.Timeout < maxLatencyExcess {
		l.add(Warning, item.Key, "the latency objective of %s is above the timeout of %s", r.LatencyObjective, r.Timeout)
	}
	if r.Timeout > maxCallerIdle {
		l.add(Warning, item.Key, "the timeout of %s is longer than the %s for which callers are known to keep connections without traffic", r.Timeout, maxCallerIdle)
	}
}

// checkService reports a service in force that gets no requests, or for some keys of which
// no target may serve all routes.
func (l *linter) checkService(item Item) {
	var names []string
	routes := make(map[string]Item)
	for _, route := range l.after.All() {
		if route.Removed || route.Route == nil || !route.Route.sendsTo(item.Name) {
			continue
		}
		known, unknown := l.knownRegions(route.Route.AllowedRegions)
		if len(known) == 0 && len(unknown) > 0 {
			known = unknown
		}
		content := *route.Route
		content.AllowedRegions = known
		route.Route = &content
		routes[route.Name] = route
		if len(known) > 0 {
			names = append(names, fmt.Sprintf("%q: %s", route.Name, strings.Join(known, ", ")))
		}
	}
	if len(routes) == 0 {
		l.add(Warning, item.Key, "no route sends requests to it")
	}
	if item.Service.Sharded && regionsOf(item.Name, maps.Values(routes)).Contradictory() {
		l.add(Warning, item.Key, "each key is held by one target, but no region is allowed by all routes (%s): some requests can't be served", strings.Join(names, "; "))
	}
}

// sendsTo reports whether some of the requests of the route go to a service.
func (r *Route) sendsTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// checkLimits reports limits that contradict each other or those of the entries.
func (l *linter) checkLimits(item Item) {
	limits, defaults := item.Limits, l.options.DefaultLimits
	head, idle := cmp.Or(limits.HeaderTimeout, defaults.HeaderTimeout), cmp.Or(limits.IdleTimeout, defaults.IdleTimeout)
	if head > idle && idle > 0 {
		l.add(Warning, item.Key, "the header timeout of %s is above the idle timeout of %s", head, idle)
	}
	if bound := l.options.MaxHeaderBytes; bound > 0 && int64(limits.MaxHeaderBytes) > bound {
		l.add(Warning, item.Key, "the limit of %d bytes for headers is above %d, which is the most that entries enforce", limits.MaxHeaderBytes, bound)
	}
	body := int64(cmp.Or(limits.MaxBodyBytes, defaults.MaxBodyBytes))
	if memory := l.options.BodyMemory; memory > 0 && body > memory {
		l.add(Warning, item.Key, "a body of the limit of %d bytes is above %d, the memory of an entry for all bodies: it is always refused", body, memory)
	}
}
