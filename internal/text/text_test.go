package text

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// minimal is the smallest valid text.
const minimal = `
name: zdbs
regions:
  - name: osrednja
    data_centres: [{name: lj-a}, {name: lj-b, state: out}]
services:
  - {name: ledger, ownership: exclusive, endpoints: 17, slots: 6, connections: 110}
`

// Guards against changed defaults: each would change the behaviour of every
// deployment that relies on it.
func TestParseFillsInDefaults(t *testing.T) {
	got, faults := Parse([]byte(minimal))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	s := got.Services[0]
	if got.RecordRetention != time.Hour || s.Slices != 64 || s.QueueLimit != 48 || s.ColdSlots != 1 ||
		s.Weights != (Weights{Churn: 1, Balance: 1}) || s.MaxMovesPerSecond != 50 {
		t.Errorf("service defaults: %+v, retention %s", s, got.RecordRetention)
	}
	if got.Limits != (Limits{1 << 20, 16 << 20, 2 * time.Second, 0.1, 0.05}) {
		t.Errorf("limits: %+v", got.Limits)
	}
	if dcs := got.Regions[0].DataCentres; dcs[0].State != DataCentreIn || dcs[1].State != DataCentreOut {
		t.Errorf("data centres: %+v", dcs)
	}
}

// Each file under testdata/faults must give exactly the faults of its golden
// file: a missing fault means that an invalid text is accepted, and a wrong
// position points the operator to the wrong line.
func TestParseFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/faults/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		got, faults := Parse(data)
		if got != nil || len(faults) == 0 {
			t.Errorf("%s: accepted", file)
		}
		var out strings.Builder
		for _, f := range faults {
			fmt.Fprintln(&out, f)
		}
		goldie.New(t, goldie.WithFixtureDir("testdata/faults")).Assert(t, strings.TrimSuffix(filepath.Base(file), ".yaml"), []byte(out.String()))
	}
}

// A text over the size limit must be refused before it is parsed.
func TestParseTooLarge(t *testing.T) {
	_, faults := Parse([]byte(strings.Repeat("#", MaxBytes+1)))
	if len(faults) != 1 || faults[0].Kind != TooLarge {
		t.Error(faults)
	}
}

// Input whose parsing takes time and memory that grow with the square of its
// size must be refused before it is parsed: a single configuration change with
// such a text would stop a VM.
func TestParseRefusesCostlyInput(t *testing.T) {
	const size = 20_000
	for unit, want := range map[string]string{
		"[": tooDeep, "{": tooDeep, "{a: ": tooDeep, "- ": tooDeep, "a: ": tooDeep,
		"a:\n": tooEmpty, "-\n": tooEmpty, "{a, b}, ": tooEmpty,
		"? ": unsupported, "!t ": unsupported, "&a ": unsupported,
	} {
		input := strings.Repeat(unit, size/len(unit))
		if strings.HasSuffix(unit, ", ") {
			input = "a: [" + input + "]"
		}
		_, faults := Parse([]byte(input))
		if len(faults) != 1 || faults[0].Message != want {
			t.Errorf("%q: %v", unit, faults)
		}
	}
}

// Changes must report every difference, so that an operator sees it before
// applying the text, and nothing for equal texts.
func TestChanges(t *testing.T) {
	old, _ := Parse([]byte(minimal))
	if got := Changes(old, old); len(got) != 0 {
		t.Error(got)
	}
	changed := strings.NewReplacer("state: out", "state: in", "slots: 6", "slots: 4, depends_on: [books]").Replace(minimal) +
		"  - {name: books, ownership: any, endpoints: 1, slots: 1, connections: 1}\ntenants: [{name: '*', home_regions: [osrednja]}]\nretired_targets: [ledger-1]\n"
	updated, faults := Parse([]byte(changed))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	goldie.New(t).Assert(t, "changes", []byte(strings.Join(Changes(old, updated), "\n")+"\n"))
	goldie.New(t).Assert(t, "diff", []byte(Diff([]byte(minimal), []byte(changed))))
}

// The example configuration texts must stay valid: operators start from them.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.yaml")
	if err != nil || len(files) != 2 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, faults := Parse(data); len(faults) > 0 {
			t.Errorf("%s: %v", file, faults)
		}
	}
}
