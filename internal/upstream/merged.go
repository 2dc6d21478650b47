package upstream

import (
	"errors"
	"net/http"
	"regexp"
	"strings"
)

// ErrMergedHead is the cause of TargetLost when the head of a response contains
// the status line of another one.
var ErrMergedHead = errors.New("the head of the response contains a second status line")

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// hasMergedHead reports whether the head of a response contains the status line of
// another one. A faulty target may begin to send an earlier response once more,
// break off within a line and send the response to the request. The first part
// would then determine the status of the second one, and whether it counts as a
// refusal.
func hasMergedHead(reason string, header http.Header) bool {
	if containsStatusLine(reason) {
		return true
	}
	for _, values := range header {
		for _, value := range values {
			if containsStatusLine(value) {
				return true
			}
		}
	}
	return false
}

func containsStatusLine(s string) bool {
	// Most values contain no version, and the search for one is fast.
	return strings.Contains(s, "HTTP/1.") && statusLine.MatchString(s)
}
