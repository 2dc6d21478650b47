package load

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Audit is the comparison of what callers were told with what targets ran.
type Audit struct {
	Postings int
	// Doubled ran more than once.
	Doubled []string
	// Lost were answered and did not run.
	Lost []string
	// FalseNotRun were refused as not_run and ran.
	FalseNotRun []string
	// UnknownRan and UnknownNotRun split the unknown ones.
	UnknownRan, UnknownNotRun int
}

// Passed reports whether no posting was lost, doubled or falsely refused.
func (a Audit) Passed() bool {
	return len(a.Doubled) == 0 && len(a.Lost) == 0 && len(a.FalseNotRun) == 0
}

// Compare checks the postings against the journals of the targets, one file
// per target with the idempotency key of one execution on each line.
func Compare(postings []Posting, journals []string) (Audit, error) {
	runs := make(map[string]int)
	for _, name := range journals {
		if err := countLines(name, runs); err != nil {
			return Audit{}, err
		}
	}
	a := Audit{Postings: len(postings)}
	for _, p := range postings {
		a.add(p, runs[p.ID])
	}
	return a, nil
}

func (a *Audit) add(p Posting, ran int) {
	if ran > 1 {
		a.Doubled = append(a.Doubled, p.ID)
	}
	switch {
	case p.Outcome == errkind.Answered && ran == 0:
		a.Lost = append(a.Lost, p.ID)
	case p.Outcome == errkind.NotRun && ran > 0:
		a.FalseNotRun = append(a.FalseNotRun, p.ID)
	case p.Outcome == errkind.Unknown && ran > 0:
		a.UnknownRan++
	case p.Outcome == errkind.Unknown:
		a.UnknownNotRun++
	}
}

func countLines(name string, runs map[string]int) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		runs[lines.Text()]++
	}
	return lines.Err()
}

// Write writes the audit as text.
func (a Audit) Write(w io.Writer) {
	fmt.Fprintf(w, "audit: %d postings, %d doubled, %d lost, %d refused as not_run but ran, %d unknown and ran, %d unknown and did not run\n",
		a.Postings, len(a.Doubled), len(a.Lost), len(a.FalseNotRun), a.UnknownRan, a.UnknownNotRun)
	for _, list := range []struct {
		name string
		ids  []string
	}{{"doubled", a.Doubled}, {"lost", a.Lost}, {"falsely refused", a.FalseNotRun}} {
		for _, id := range list.ids {
			fmt.Fprintf(w, "%s: %s\n", list.name, id)
		}
	}
}
