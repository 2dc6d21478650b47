// Package docs holds checks that the pages agree with the code.
package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
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
		a := errkind.AnswerFor(kind)
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
