package main

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// newHandler writes one key=value line per event.
func newHandler(w io.Writer) log.Handler { return logfmt.New(w) }
