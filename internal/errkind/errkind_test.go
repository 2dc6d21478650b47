package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"testing"
)

// declaration matches a constant of type Kind in the source.
var declaration = regexp.MustCompile(`(?m)^\t(\w+) +Kind = "(\w+)"$`)

// TestTableIsComplete guards against a constant without a table entry, for which
// callers would receive the response for Internal, against a value that two
// constants share, and against a table entry without a constant.
func TestTableIsComplete(t *testing.T) {
	source, err := os.ReadFile("errkind.go")
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[Kind]string)
	for _, found := range declaration.FindAllStringSubmatch(string(source), -1) {
		kind := Kind(found[2])
		if other, used := names[kind]; used {
			t.Errorf("%s and %s are both %q", found[1], other, kind)
		}
		names[kind] = found[1]
		if _, ok := table[kind]; !ok {
			t.Errorf("%s has no table entry", found[1])
		}
	}
	for _, kind := range Kinds() {
		if names[kind] == "" {
			t.Errorf("table entry %q has no constant", kind)
		}
	}
}

// mayHaveRun holds the kinds of errors that can occur after a request, or a
// change of the control state, may have taken effect.
var mayHaveRun = map[Kind]bool{
	LinkLost: true, TargetLost: true, AnswerTimeout: true, AnswerTooLarge: true,
	StartedElsewhere: true, AnswerNotKept: true, Internal: true, DiskFailed: true,
	ExpiredID: true, EarlierUnknown: true,
}

// TestOutcomesAndStatusesAgree guards against an error that reports not_run
// although the request may have run, against needless unknown outcomes, and
// against misleading statuses: an unknown outcome must not have the status of an
// invalid request, a 503 must be safe to retry, and no error may have the status
// of a success.
func TestOutcomesAndStatusesAgree(t *testing.T) {
	for kind, row := range table {
		if (row.Outcome == Unknown) != mayHaveRun[kind] || row.Outcome == Answered {
			t.Errorf("%s has outcome %s", kind, row.Outcome)
		}
		unknown := row.Outcome == Unknown
		switch {
		case row.Status < 400 || http.StatusText(row.Status) == "",
			unknown && row.Status < 500 && row.Status != http.StatusConflict,
			unknown && row.RetrySafe == (kind == ExpiredID), // the record of an expired ID is gone
			row.Status == http.StatusServiceUnavailable && !row.RetrySafe:
			t.Errorf("%s has a misleading status: %+v", kind, row)
		}
	}
}

// TestFromKeepsTheKind guards against losing the kind of a wrapped error, and
// against an error of an unlisted kind that is reported as not_run.
func TestFromKeepsTheKind(t *testing.T) {
	inner := Wrap(LinkLost, errors.New("reset"), "call %s", "a")
	if got := From(fmt.Errorf("begin: %w", inner)); got.Kind != LinkLost || got.Unwrap() == nil {
		t.Errorf("got %v", got)
	}
	if got := From(errors.New("x")); got.Kind != Internal || ResponseFor("unlisted") != table[Internal] {
		t.Errorf("got %v", got)
	}
}
