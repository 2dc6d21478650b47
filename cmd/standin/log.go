package main

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// newHandler returns a log handler that writes one line of key=value pairs per
// event.
func newHandler(w io.Writer) log.Handler { return logfmt.New(w) }
