package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/apex/log"
)

// newHandler writes one key=value line per event, fields in the order of
// their names.
func newHandler(w io.Writer) log.Handler {
	return log.HandlerFunc(func(e *log.Entry) error {
		line := "level=" + e.Level.String() + " message=" + quote(e.Message)
		for _, name := range e.Fields.Names() {
			line += " " + name + "=" + quote(fmt.Sprint(e.Fields.Get(name)))
		}
		_, err := io.WriteString(w, line+"\n")
		return err
	})
}

// quote quotes values that would break a key=value line.
func quote(v string) string {
	if v == "" || strings.ContainsAny(v, " =\"\n\t") {
		return strconv.Quote(v)
	}
	return v
}
