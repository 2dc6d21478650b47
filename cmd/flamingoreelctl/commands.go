package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/flamingoreel/flamingoreel/internal/admin"
	"github.com/flamingoreel/flamingoreel/internal/text"
)

// tool runs one command and holds its exit code.
type tool struct {
	stdout, stderr io.Writer
	output         string
	code           int
}

// printErrors writes one line per error to stderr.
func (t *tool) printErrors(messages ...string) {
	for _, m := range messages {
		fmt.Fprintln(t.stderr, "flamingoreelctl:", m)
	}
}

// failed prints err and returns the exit code.
func (t *tool) failed(err error) int {
	t.printErrors(err.Error())
	return exitFailed
}

// print writes v as JSON, or calls printText for text output.
func (t *tool) print(v any, printText func()) {
	if t.output != outputJSON {
		printText()
		return
	}
	encoder := json.NewEncoder(t.stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}

// fileFaults is the JSON output of a check of a text.
type fileFaults struct {
	File   string       `json:"file"`
	Faults []text.Fault `json:"faults"`
}

// faults prints the faults of a text and returns the exit code.
func (t *tool) faults(file string, faults []text.Fault) int {
	t.print(fileFaults{File: file, Faults: faults}, func() {
		for _, f := range faults {
			fmt.Fprintf(t.stderr, "%s:%d:%d: %s: %s\n", file, f.Line, f.Column, f.Kind, f.Message)
		}
	})
	return exitFaults
}

// read reads and checks FILE. If it returns no parsed text, code is the exit code.
func (t *tool) read(file string) (content []byte, parsed *text.Text, code int) {
	content, err := os.ReadFile(file)
	if err != nil {
		t.printErrors(err.Error())
		return nil, nil, exitFaults
	}
	parsed, faults := text.Parse(content)
	if len(faults) > 0 {
		return nil, nil, t.faults(file, faults)
	}
	return content, parsed, exitOK
}

func (t *tool) check(_ context.Context, s settings) int {
	_, parsed, code := t.read(s.file)
	if parsed == nil {
		return code
	}
	t.print(fileFaults{File: s.file, Faults: []text.Fault{}}, func() {
		fmt.Fprintf(t.stdout, "%s: no faults\n", s.file)
	})
	return exitOK
}

// difference is the JSON output of diff.
type difference struct {
	Number  uint64   `json:"number"`
	Changes []string `json:"changes"`
	Diff    string   `json:"diff"`
}

func (t *tool) diff(ctx context.Context, s settings) int {
	content, parsed, code := t.read(s.file)
	if parsed == nil {
		return code
	}
	var current admin.ConfigView
	if err := newClient(s.servers).get(ctx, "/v1/config", &current); err != nil {
		return t.failed(err)
	}
	t.show(compare(current.Number, current.Text, content, parsed), s.file)
	return exitOK
}

// compare returns the difference from the current text to a new one.
func compare(number uint64, current string, content []byte, parsed *text.Text) difference {
	old, _ := text.Parse([]byte(current))
	changes := text.Changes(old, parsed)
	if changes == nil {
		changes = []string{}
	}
	return difference{Number: number, Changes: changes, Diff: text.Diff([]byte(current), content)}
}

func (t *tool) show(d difference, file string) {
	t.print(d, func() {
		if d.Diff == "" {
			fmt.Fprintf(t.stdout, "%s equals configuration %d\n", file, d.Number)
			return
		}
		for _, change := range d.Changes {
			fmt.Fprintln(t.stdout, change)
		}
		fmt.Fprint(t.stdout, d.Diff)
	})
}

// applied is the JSON output of apply.
type applied struct {
	Accepted bool   `json:"accepted"`
	Number   uint64 `json:"number"`
	// Conflict is the difference from the text in force to FILE if the change was
	// refused because its base is not current.
	Conflict *difference `json:"conflict,omitempty"`
}

func (t *tool) apply(ctx context.Context, s settings) int {
	content, parsed, code := t.read(s.file)
	if parsed == nil {
		return code
	}
	c := newClient(s.servers)
	if !s.baseGiven {
		var current admin.ConfigView
		if err := c.get(ctx, "/v1/config", &current); err != nil {
			return t.failed(err)
		}
		if current.Number > 0 && current.Text == string(content) {
			t.print(applied{Accepted: true, Number: current.Number}, func() {
				fmt.Fprintf(t.stdout, "%s equals configuration %d\n", s.file, current.Number)
			})
			return exitOK
		}
		s.base = current.Number
	}
	resp, err := c.call(ctx, http.MethodPut, "/v1/config", admin.ConfigChange{Base: s.base, Text: string(content)})
	if err != nil {
		t.printErrors(fmt.Sprintf("it is not known whether the change was accepted; apply it again with --base %d", s.base))
		return t.failed(err)
	}
	return t.result(resp, s, content, parsed)
}

// result prints the response to a change and returns the exit code.
func (t *tool) result(resp response, s settings, content []byte, parsed *text.Text) int {
	switch resp.status {
	case http.StatusUnprocessableEntity:
		var view admin.FaultsView
		if err := json.Unmarshal(resp.body, &view); err != nil {
			return t.failed(err)
		}
		return t.faults(s.file, view.Faults)
	case http.StatusOK, http.StatusConflict:
	default:
		return t.failed(responseError(resp.status, resp.body))
	}
	var view admin.ChangeView
	if err := json.Unmarshal(resp.body, &view); err != nil {
		return t.failed(err)
	}
	if view.Accepted {
		t.print(applied{Accepted: true, Number: view.Number}, func() {
			fmt.Fprintf(t.stdout, "accepted as configuration %d\n", view.Number)
		})
		return exitOK
	}
	d := compare(view.Number, view.Current, content, parsed)
	if t.output == outputJSON {
		t.print(applied{Number: view.Number, Conflict: &d}, nil)
		return exitFailed
	}
	t.printErrors(fmt.Sprintf("conflict: the change is based on configuration %d, but configuration %d is in force", s.base, view.Number))
	t.show(d, s.file)
	return exitFailed
}

func (t *tool) get(ctx context.Context, s settings) int {
	var current admin.ConfigView
	if err := newClient(s.servers).get(ctx, "/v1/config", &current); err != nil {
		return t.failed(err)
	}
	t.print(current, func() { fmt.Fprint(t.stdout, current.Text) })
	return exitOK
}
