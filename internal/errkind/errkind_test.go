package errkind

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"strconv"
	"testing"
)

// declaredKinds reads the constants of type Kind from the source.
func declaredKinds(t *testing.T) map[string]Kind {
	file, err := parser.ParseFile(token.NewFileSet(), "errkind.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	kinds := make(map[string]Kind)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); !ok || name.Name != "Kind" {
			return true
		}
		for i, value := range spec.Values {
			text, err := strconv.Unquote(value.(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			kinds[spec.Names[i].Name] = Kind(text)
		}
		return true
	})
	return kinds
}

// Guards against a constant without a row, which callers would receive as
// internal, and against a row or a value that is used twice.
func TestTableIsComplete(t *testing.T) {
	values := make(map[Kind]string)
	for name, kind := range declaredKinds(t) {
		if other, used := values[kind]; used {
			t.Errorf("%s and %s are both %q", name, other, kind)
		}
		values[kind] = name
		if _, ok := table[kind]; !ok {
			t.Errorf("%s has no row", name)
		}
	}
	if len(Kinds()) != len(values) || len(values) == 0 {
		t.Errorf("the table has %d rows for %d constants", len(Kinds()), len(values))
	}
	for _, kind := range Kinds() {
		if values[kind] == "" {
			t.Errorf("row %q has no constant", kind)
		}
	}
}

// mayHaveRun are the kinds that arise after a request, or a change of the
// control state, may have taken effect.
var mayHaveRun = map[Kind]bool{
	LinkLost: true, TargetLost: true, AnswerTimeout: true, AnswerTooLarge: true,
	StartedElsewhere: true, AnswerNotKept: true, Internal: true, DiskFailed: true,
}

// Guards against a refusal that claims not_run although the request may have
// run, against needless unknown outcomes, and against statuses that mislead
// callers: an unknown outcome must not look like a fault of the caller that a
// changed request would mend, and no error may look like success.
func TestOutcomesAndStatusesAgree(t *testing.T) {
	for kind, row := range table {
		want := NotRun
		if mayHaveRun[kind] {
			want = Unknown
		}
		if row.Outcome != want {
			t.Errorf("%s has outcome %s, want %s", kind, row.Outcome, want)
		}
		if row.Status < 400 || http.StatusText(row.Status) == "" {
			t.Errorf("%s has status %d", kind, row.Status)
		}
		if row.Outcome == Unknown && row.Status < 500 && row.Status != http.StatusConflict {
			t.Errorf("%s has outcome unknown and status %d", kind, row.Status)
		}
		if row.Status == http.StatusServiceUnavailable && (row.Outcome != NotRun || !row.RetrySafe) {
			t.Errorf("%s has status 503, which callers retry, with %+v", kind, row)
		}
		if row.Outcome == Unknown && !row.RetrySafe {
			t.Errorf("%s: the record makes a resend of an unknown outcome safe", kind)
		}
	}
}

// Guards against losing the kind of a wrapped error, and against an error of
// an unlisted kind that would be answered as not_run.
func TestFromKeepsTheKind(t *testing.T) {
	inner := Wrap(LinkLost, errors.New("reset"), "call %s", "a")
	if got := From(fmt.Errorf("begin: %w", inner)); got.Kind != LinkLost || got.Unwrap() == nil {
		t.Errorf("got %v", got)
	}
	if got := From(errors.New("x")); got.Kind != Internal || got.Outcome() != Unknown {
		t.Errorf("got %v", got)
	}
	if got := AnswerFor("unlisted"); got != table[Internal] {
		t.Errorf("got %+v", got)
	}
}
