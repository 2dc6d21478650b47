package text

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const serviceCount = 6

// parameters returns test parameters with the seed from the environment, so
// that a failure can be reproduced.
func parameters(t *testing.T) *gopter.TestParameters {
	seed := int64(1)
	if v := os.Getenv("FLAMINGOREEL_TEST_SEED"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seed = n
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("repeat with FLAMINGOREEL_TEST_SEED=%d go test -run '^%s$' ./internal/text", seed, t.Name())
		}
	})
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = 300
	return p
}

// textWith renders a text whose services have the given dependencies; each
// edge is from*serviceCount+to.
func textWith(edges []int) string {
	deps := map[int][]string{}
	for _, e := range edges {
		deps[e/serviceCount] = append(deps[e/serviceCount], "s"+strconv.Itoa(e%serviceCount))
	}
	var out strings.Builder
	out.WriteString("name: p\nregions: [{name: r, data_centres: [{name: d}]}]\nservices:\n")
	for i := range serviceCount {
		fmt.Fprintf(&out, "- {name: s%d, ownership: any, endpoints: 1, slots: 1, connections: 1, depends_on: [%s]}\n", i, strings.Join(deps[i], ", "))
	}
	return out.String()
}

// hasCycle reports whether the dependencies have a cycle. It removes the edges
// to services without dependencies until none is left; the edges that remain
// lead to a cycle.
func hasCycle(edges []int) bool {
	for range serviceCount {
		out := [serviceCount]bool{}
		for _, e := range edges {
			out[e/serviceCount] = true
		}
		var rest []int
		for _, e := range edges {
			if out[e%serviceCount] {
				rest = append(rest, e)
			}
		}
		edges = rest
	}
	return len(edges) > 0
}

// Parse must refuse exactly the texts with a dependency cycle. An accepted cycle
// would make drains and early refusals wait for themselves; a refused acyclic
// text would block the operators.
func TestDependencyCyclesRefused(t *testing.T) {
	properties := gopter.NewProperties(parameters(t))
	properties.Property("a text is refused exactly if its dependencies have a cycle", prop.ForAll(
		func(edges []int) bool {
			_, faults := Parse([]byte(textWith(edges)))
			for _, f := range faults {
				if f.Kind != DependencyCycle {
					return false
				}
			}
			return (len(faults) > 0) == hasCycle(edges)
		},
		gen.SliceOfN(7, gen.IntRange(0, serviceCount*serviceCount-1)),
	))
	properties.TestingRun(t)
}

// Parse runs on input from the network: it must never panic, and must return
// either a text or faults with a kind and a position.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, faults := Parse(data)
		if (got == nil) == (len(faults) == 0) {
			t.Fatalf("text %v, faults %v", got, faults)
		}
		for _, fault := range faults {
			if fault.Kind == "" || fault.Message == "" || fault.Line < 1 || fault.Column < 1 {
				t.Fatalf("%+v", fault)
			}
		}
		if got != nil && len(Changes(got, got)) > 0 {
			t.Fatal(Changes(got, got))
		}
	})
}
