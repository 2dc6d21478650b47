package load

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// Audit compares the outcomes that callers received with the executions that
// targets recorded. The lists hold idempotency keys.
type Audit struct {
	// Posts is the number of POST requests.
	Posts int
	// RanTwice lists the POST requests that ran more than once.
	RanTwice []string
	// Lost lists those that were answered but did not run.
	Lost []string
	// RanDespiteNotRun lists those that were refused as not_run but ran.
	RanDespiteNotRun []string
	// UnknownRan and UnknownNotRun count the requests with an unknown outcome that
	// ran and that did not run.
	UnknownRan, UnknownNotRun int
}

// Passed reports whether no POST request was lost, ran more than once or ran
// although it was refused as not_run.
func (a Audit) Passed() bool {
	return len(a.RanTwice) == 0 && len(a.Lost) == 0 && len(a.RanDespiteNotRun) == 0
}

// Compare checks the POST requests against the journals of the targets. There is
// one file per target; each line is the idempotency key of one execution.
func Compare(posts []PostResult, journals []string) (Audit, error) {
	runs := make(map[string]int)
	for _, name := range journals {
		if err := countLines(name, runs); err != nil {
			return Audit{}, err
		}
	}
	a := Audit{Posts: len(posts)}
	for _, p := range posts {
		a.add(p, runs[p.ID])
	}
	return a, nil
}

// add checks a POST request that ran the given number of times.
func (a *Audit) add(p PostResult, runs int) {
	if runs > 1 {
		a.RanTwice = append(a.RanTwice, p.ID)
	}
	switch {
	case p.Outcome == errkind.Answered && runs == 0:
		a.Lost = append(a.Lost, p.ID)
	case p.Outcome == errkind.NotRun && runs > 0:
		a.RanDespiteNotRun = append(a.RanDespiteNotRun, p.ID)
	case p.Outcome == errkind.Unknown && runs > 0:
		a.UnknownRan++
	case p.Outcome == errkind.Unknown:
		a.UnknownNotRun++
	}
}

// countLines adds the number of times that each line occurs in a file.
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

// Write writes the audit as text, with the idempotency key of every failure.
func (a Audit) Write(w io.Writer) {
	fmt.Fprintf(w, "audit: %d postings, %d doubled, %d lost, %d refused as not_run but ran, %d unknown and ran, %d unknown and did not run\n",
		a.Posts, len(a.RanTwice), len(a.Lost), len(a.RanDespiteNotRun), a.UnknownRan, a.UnknownNotRun)
	for _, list := range []struct {
		name string
		ids  []string
	}{{"doubled", a.RanTwice}, {"lost", a.Lost}, {"falsely refused", a.RanDespiteNotRun}} {
		for _, id := range list.ids {
			fmt.Fprintf(w, "%s: %s\n", list.name, id)
		}
	}
}
