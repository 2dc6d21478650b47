package items

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// with returns a copy of a route with a changed content.
func with(item Item, change func(*Route)) Item {
	content := *item.Route
	content.Split = slices.Clone(content.Split)
	change(&content)
	item.Route = &content
	return item
}

func limits(l Limits) Item { return Item{Key: Key{LimitSet, ""}, Version: 1, Limits: &l} }

// Guards against a change that is reported as good although it is refused or has no effect,
// and against findings about a good one.
func TestLintFindings(t *testing.T) {
	sharded := service("s", 6)
	sharded.Service.Sharded = true
	cold := service("s", 6)
	cold.Service.ColdPeriod = time.Second
	base := route("r", "/a/", "s", 6)
	options := LintOptions{
		Regions: []string{"r-1", "r-2"}, MaxHeaderBytes: 1000, BodyMemory: 5000,
		DefaultLimits: Limits{HeaderTimeout: 10 * time.Second, IdleTimeout: 20 * time.Second, MaxBodyBytes: 4000},
	}
	for name, c := range map[string]struct {
		patch []Item
		want  []string // severity, item and a part of the message of each finding
	}{
		"a good change":               {[]Item{service("t", 1), route("q", "/q/", "t", 1), base, limits(Limits{MaxHeaderBytes: 1000})}, nil},
		"a lower version":             {[]Item{route("r", "/a/", "s", 4)}, []string{"error r version 4 is below 5"}},
		"the same version":            {[]Item{route("r", "/a/", "s", 5)}, []string{"error r in force already"}},
		"the same version, otherwise": {[]Item{route("r", "/b/", "s", 5)}, []string{"error r with other content"}},
		"removed with that version":   {[]Item{removed("r", 5)}, []string{"error r with other content"}},
		"twice":                       {[]Item{base, removed("r", 7)}, []string{"error r more than once", "warning s no route"}},
		"nothing to remove":           {[]Item{removed("q", 5)}, []string{"warning q not in force"}},
		"several faults": {[]Item{with(base, func(r *Route) { r.Prefix, r.Kind, r.MaxAttempts = "a", "odd", 0 })}, []string{
			"error r begin and end with a slash", "error r kind is unknown", "error r attempts",
		}},
		"no content":              {[]Item{{Key: Key{Services, "q"}, Version: 1}}, []string{"error q no content"}},
		"a negative limit":        {[]Item{limits(Limits{IdleTimeout: -1})}, []string{"error  must not be negative"}},
		"an unknown service":      {[]Item{route("r", "/a/", "t", 6)}, []string{`error r unknown service "t"`, "warning s no route"}},
		"a removed service":       {[]Item{{Key: Key{Services, "s"}, Version: 6, Removed: true}}, []string{`error r "s", which the change removes`}},
		"the same place":          {[]Item{route("q", "/a/", "s", 1)}, []string{`error q route "r" has the same host`}},
		"the same place, capital": {[]Item{with(route("q", "/a/", "s", 1), func(r *Route) { r.Host = "A.example" })}, []string{`error q route "r" has the same host`}},
		"a service without route": {[]Item{service("t", 1)}, []string{"warning t no route"}},
		"no requests":             {[]Item{service("t", 1), with(base, func(r *Route) { r.Split = append(r.Split, Share{Service: "t"}) })}, []string{"warning t no route"}},
		"only weights of 0":       {[]Item{with(base, func(r *Route) { r.Split[0].Weight = 0 })}, []string{"error r no service has a positive weight", "warning s no route"}},
		"an invalid host":         {[]Item{with(base, func(r *Route) { r.Host = "a example" })}, []string{"error r no Host header has"}},
		"a host with a port":      {[]Item{with(base, func(r *Route) { r.Host = "a.example:80" })}, []string{"error r has a port"}},
		"a wildcard":              {[]Item{with(base, func(r *Route) { r.Host = "*.example" })}, []string{"warning r no wildcards"}},
		"an address":              {[]Item{with(base, func(r *Route) { r.Host = "::1" })}, nil},
		"a query":                 {[]Item{with(base, func(r *Route) { r.Prefix = "/a?b/" })}, []string{"error r no path has"}},
		"a prefix not encoded":    {[]Item{with(base, func(r *Route) { r.Prefix = "/ž/" })}, []string{"warning r not percent-encoded"}},
		"an unknown region":       {[]Item{with(base, func(r *Route) { r.AllowedRegions = []string{"r-1", "x"} })}, []string{"warning r unknown: x"}},
		"only unknown regions":    {[]Item{with(base, func(r *Route) { r.AllowedRegions = []string{"x"} })}, []string{"error r can never be served"}},
		"contradicting regions": {[]Item{sharded, with(base, func(r *Route) { r.AllowedRegions = []string{"r-1"} }), routeIn("q", 1, "r-2")},
			[]string{`warning s no region is allowed by all routes ("q": r-2; "r": r-1)`}},
		"only an unknown region in common": {[]Item{sharded, with(base, func(r *Route) { r.AllowedRegions = []string{"r-1", "x"} }), routeIn("q", 1, "r-2", "x")},
			[]string{"warning q unknown: x", "warning r unknown: x", "warning s no region"}},
		"an objective above the timeout": {[]Item{with(base, func(r *Route) { r.LatencyObjective *= 2 })}, []string{"warning r objective of 2s is above the timeout of 1s"}},
		"a long timeout":                 {[]Item{with(base, func(r *Route) { r.Timeout = 13 * time.Second })}, []string{"warning r longer than the 12s"}},
		"a cold rate of 0":               {[]Item{cold}, []string{"warning s rate of cold targets is 0"}},
		"a long header timeout":          {[]Item{limits(Limits{HeaderTimeout: 21 * time.Second})}, []string{"warning  header timeout of 21s is above the idle timeout of 20s"}},
		"large headers":                  {[]Item{limits(Limits{MaxHeaderBytes: 1001})}, []string{"warning  is above 1000"}},
		"large bodies":                   {[]Item{limits(Limits{MaxBodyBytes: 5001})}, []string{"warning  is above 5000"}},
	} {
		s := NewSet()
		mustApply(t, s, service("s", 5), route("r", "/a/", "s", 5))
		got := Lint(s, Patch{Items: c.patch}, options).Findings
		same := len(got) == len(c.want)
		for i := 0; same && i < len(got); i++ {
			severityAndName := string(got[i].Severity) + " " + got[i].Name + " "
			message, ok := strings.CutPrefix(c.want[i], severityAndName)
			same = ok && strings.Contains(got[i].Message, message)
		}
		if !same {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a check without regions, memory or bounds that reports what it can't know.
func TestLintWithoutOptions(t *testing.T) {
	s := NewSet()
	mustApply(t, s, service("s", 1))
	report := Lint(s, Patch{Items: []Item{routeIn("r", 1, "anywhere"), limits(Limits{MaxHeaderBytes: 1 << 40, MaxBodyBytes: 1 << 40, HeaderTimeout: time.Hour})}}, LintOptions{})
	if len(report.Findings) > 0 || report.Failed() {
		t.Errorf("got %v", report.Findings)
	}
}

// Guards against a check that accepts what the leader refuses when it proposes a change or
// applies it.
func TestLintReportsEveryRefusal(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	pick := func(values ...string) string { return values[rng.IntN(len(values))] }
	random := func() Item {
		version := 1 + rng.Uint64N(6)
		if rng.IntN(3) == 0 {
			item := service(pick("s", "t"), version)
			item.Removed = rng.IntN(3) == 0
			return item
		}
		item := route(pick("q", "r", "u"), pick("/a/", "/a/", "/b/", "/c"), pick("s", "t"), version)
		item.Removed = rng.IntN(4) == 0
		item.Route.Host, item.Route.Split[0].Weight = pick("a", "A"), min(1, rng.IntN(9))
		return item
	}
	refused := 0
	for range 5000 {
		s := NewSet()
		for range 6 {
			if p := (Patch{Items: []Item{random()}}); s.CheckPlaces(p) == nil {
				_ = s.Apply(p, 1)
			}
		}
		patch := Patch{Items: []Item{random(), random()}}
		report, invalid := Lint(s, patch, LintOptions{}), s.CheckPlaces(patch)
		if invalid == nil {
			invalid = s.Apply(patch, 2)
		}
		if invalid == nil {
			continue
		}
		refused++
		if !report.Failed() {
			t.Fatalf("%+v is refused (%v), but the findings are %v", patch, invalid, report.Findings)
		}
	}
	if refused < 1000 {
		t.Errorf("only %d patches were refused", refused)
	}
}

// Guards against a difference that misses items, or counts those that stay as changed.
func TestDifferences(t *testing.T) {
	s := NewSet()
	mustApply(t, s, service("s", 10), service("t", 1), route("a", "/a/", "s", 1), route("b", "/b/", "s", 1))
	report := Lint(s, Patch{Items: []Item{service("s", 11), removed("a", 2), with(route("b", "/b/", "s", 2), func(r *Route) {
		r.Timeout, r.AllowedRegions = 2*time.Second, []string{"r-1"}
	}), route("c", "/c/", "t", 1), removed("d", 1)}}, LintOptions{})
	want := []Difference{
		{Routes, "a", Removed, nil},
		{Routes, "b", Changed, []FieldChange{{"version", "1", "2"}, {"timeout", "1s", "2s"}, {"allowed regions", "all", "r-1"}}},
		{Routes, "c", Added, nil},
		{Services, "s", Changed, []FieldChange{{"version", "10", "11"}}},
	}
	if !reflect.DeepEqual(report.Differences, want) || report.Unchanged != 1 {
		t.Errorf("got %+v and %d unchanged, want %+v and 1", report.Differences, report.Unchanged, want)
	}
}

// Guards against a new field of an item whose changes are not shown.
func TestEachFieldIsCompared(t *testing.T) {
	for _, empty := range []Item{{Route: &Route{}}, {Service: &Service{}}, {Limits: &Limits{}}} {
		contents := func(item *Item) reflect.Value {
			return reflect.ValueOf(item).Elem().FieldByNameFunc(func(name string) bool {
				f := reflect.ValueOf(item).Elem().FieldByName(name)
				return f.Kind() == reflect.Pointer && !f.IsNil()
			}).Elem()
		}
		kind := contents(&empty).Type()
		for i := range kind.NumField() {
			item, value := empty, reflect.New(kind)
			switch f := value.Elem().Field(i); f.Kind() {
			case reflect.String:
				f.SetString("x")
			case reflect.Bool:
				f.SetBool(true)
			case reflect.Float64:
				f.SetFloat(1)
			case reflect.Slice:
				f.Set(reflect.MakeSlice(f.Type(), 1, 1))
			default:
				f.SetInt(1)
			}
			switch content := value.Interface().(type) {
			case *Route:
				item.Route = content
			case *Service:
				item.Service = content
			case *Limits:
				item.Limits = content
			}
			if len(changedFields(empty, item)) != 1 {
				t.Errorf("%s.%s: got %v", kind, kind.Field(i).Name, changedFields(empty, item))
			}
		}
	}
}
