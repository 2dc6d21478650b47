// Package docs holds checks that the pages agree with the code.
package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

func page(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// A caller that follows a stale table would resend a request that may have
// run, or give up one that may be resent.
func TestProtocolListsErrorKinds(t *testing.T) {
	text := page(t, "protocol.md")
	for _, kind := range errkind.Kinds() {
		a := errkind.ResponseFor(kind)
		safe := "no"
		if a.RetrySafe {
			safe = "yes"
		}
		row := fmt.Sprintf("| `%s` | %d | %s | %s | ", kind, a.Status, a.Outcome, safe)
		if strings.Count(text, row) != 1 {
			t.Errorf("protocol.md has no row %q", row)
		}
	}
	if rows := strings.Count(text, " | yes | ") + strings.Count(text, " | no | "); rows < len(errkind.Kinds()) {
		t.Errorf("%d rows for %d kinds", rows, len(errkind.Kinds()))
	}
}

// A header, path or field that the page does not name cannot be implemented by
// the firms that write routers and targets.
func TestProtocolListsHeadersAndFields(t *testing.T) {
	text := page(t, "protocol.md")
	file, err := parser.ParseFile(token.NewFileSet(), "../internal/target/protocol.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		lit, ok := n.(*ast.BasicLit)
		if !ok || lit.Kind != token.STRING {
			return true
		}
		value, _ := strconv.Unquote(lit.Value)
		if name, isTag := strings.CutPrefix(value, `json:"`); isTag {
			name, _, _ = strings.Cut(strings.TrimSuffix(name, `"`), ",")
			value = `"` + name + `"`
		}
		if !strings.HasPrefix(value, "github.com/") && !strings.Contains(text, value) {
			t.Errorf("protocol.md does not name %s", value)
		}
		return true
	})
}

// Names in the glossary must exist, so that a reader can search for them.
func TestGlossaryNamesPackages(t *testing.T) {
	for _, part := range strings.Split(page(t, "glossary.md"), "`") {
		if strings.HasPrefix(part, "internal/") {
			if _, err := os.Stat("../" + part); err != nil {
				t.Error(err)
			}
		}
	}
}

// A proof that names a test which does not exist shows nothing.
func TestProofsNameTests(t *testing.T) {
	command := regexp.MustCompile("`go test -count=1 -run '\\^(Test\\w+)\\$(?:/\\^[^']+\\$)?' \\./([a-z/]+)`")
	text := page(t, "proofs.md")
	found := command.FindAllStringSubmatch(text, -1)
	if want := strings.Count(text, "`go test"); len(found) != want || want == 0 {
		t.Errorf("%d of %d commands have the form that scripts/prove.sh reads", len(found), want)
	}
	for _, c := range found {
		files, _ := filepath.Glob("../" + c[2] + "/*_test.go")
		declared := func(file string) bool { return strings.Contains(page(t, file), "func "+c[1]+"(t *testing.T)") }
		if !slices.ContainsFunc(files, declared) {
			t.Errorf("proofs.md names %s of %s", c[1], c[2])
		}
	}
}

// The rows are numbered without gaps, so that a promise of the design that has
// no row, or a row with two results, is seen. Section 2 of the design lists 11
// promises.
func TestProofsAreNumbered(t *testing.T) {
	next := map[string]int{"A": 1, "B": 1, "C": 1, "D": 1}
	for _, row := range regexp.MustCompile(`(?m)^\| ([A-D])([0-9]+) \|.*$`).FindAllStringSubmatch(page(t, "proofs.md"), -1) {
		if n, _ := strconv.Atoi(row[2]); n != next[row[1]] {
			t.Errorf("row %s%s comes after %s%d", row[1], row[2], row[1], next[row[1]]-1)
		}
		next[row[1]]++
		hasCommand := strings.Contains(row[0], "`go test") || strings.Contains(row[0], "`make demo-check`")
		if hasCommand == strings.Contains(row[0], "**not proved**") {
			t.Errorf("row %s%s must have a command or be not proved", row[1], row[2])
		}
	}
	if next["A"] < 12 {
		t.Errorf("%d of 11 promises have a row", next["A"]-1)
	}
}

// A kind, metric, readiness reason or log event of level error that the page
// does not name leaves the engineer on call without advice.
func TestOperationsNamesWhatIsSeen(t *testing.T) {
	text := page(t, "OPERATIONS.md")
	_, kinds, _ := strings.Cut(text, "## Error kinds")
	for _, kind := range errkind.Kinds() {
		if strings.Count(kinds, "\n| `"+string(kind)+"` | ") != 1 {
			t.Errorf("OPERATIONS.md has no row for the kind %s", kind)
		}
	}
	for _, seen := range []struct{ files, pattern, form string }{
		{"vm/metrics.go", `newDesc\("(\w+)", "(\w+)"`, "| `flamingoreel_%s_%s` | "},
		{"*/metrics.go", `Subsystem: "(\w+)", Name: "(\w+)"`, "| `flamingoreel_%s_%s` | "},
		{"dispatcher/metrics.go", `newHistogram\("(\w+)()"`, "| `flamingoreel_dispatcher_%s%s` | "},
		{"vm/status.go", `\t\treturn "([a-z ]+)()"`, "| `%s%s` | "},
		{"*/*.go", `\.Error\("([^"]+)()"\)`, "`%s%s`"},
		{"vm/*.go", `l\.fail\(err, "([^"]+)()"\)`, "`%s%s`"},
	} {
		files, _ := filepath.Glob("../internal/" + seen.files)
		files = slices.DeleteFunc(files, func(file string) bool { return strings.HasSuffix(file, "_test.go") })
		count := 0
		for _, file := range files {
			for _, m := range regexp.MustCompile(seen.pattern).FindAllStringSubmatch(page(t, file), -1) {
				count++
				if want := fmt.Sprintf(seen.form, m[1], m[2]); !strings.Contains(text, want) {
					t.Errorf("OPERATIONS.md does not name %s of %s", want, file)
				}
			}
		}
		if count == 0 {
			t.Errorf("nothing in %s has the form %s", seen.files, seen.pattern)
		}
	}
}
