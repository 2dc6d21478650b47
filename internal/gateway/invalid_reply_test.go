package gateway

import (
	"context"
	"net/http"
	"testing"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Guards against a relayed response that isn't valid HTTP or not whole and reaches the
// caller, and against valid ones that are refused.
func TestInvalidRelayedResponsesAreLost(t *testing.T) {
	for name, s := range map[string]struct {
		reply relayReply
		valid bool
	}{
		"whole":               {relayReply{Status: 200, Header: http.Header{"X-A": {"b\tc", "\xc3\xa4"}, "Content-Length": {"2"}}, Body: []byte("ok"), Length: 2}, true},
		"no content":          {relayReply{Status: 204}, true},
		"not modified":        {relayReply{Status: 304, Header: http.Header{"Content-Length": {"12"}}}, true},
		"highest status":      {relayReply{Status: 599}, true},
		"status 600":          {relayReply{Status: 600}, false},
		"status 999":          {relayReply{Status: 999}, false},
		"body cut off":        {relayReply{Status: 200, Body: []byte("ok"), Length: 3}, false},
		"body missing":        {relayReply{Status: 200, Length: 3}, false},
		"body too long":       {relayReply{Status: 200, Body: []byte("ok"), Length: 1}, false},
		"unknown length":      {relayReply{Status: 200, Body: []byte("ok"), Length: -1}, false},
		"body of no content":  {relayReply{Status: 204, Body: []byte("ok"), Length: 2}, false},
		"body of 304":         {relayReply{Status: 304, Body: []byte("ok"), Length: 2}, false},
		"blank in a name":     {relayReply{Status: 200, Header: http.Header{"X Y": {"z"}}}, false},
		"control byte in one": {relayReply{Status: 200, Header: http.Header{"X\x01Y": {"z"}}}, false},
		"empty name":          {relayReply{Status: 200, Header: http.Header{"": {"z"}}}, false},
		"line in a value":     {relayReply{Status: 200, Header: http.Header{"X": {"y\r\nSet-Cookie: z"}}}, false},
		"NUL in a value":      {relayReply{Status: 200, Header: http.Header{"X": {"y\x00z"}}}, false},
		"head in a value":     {relayReply{Status: 200, Header: http.Header{"X": {"HTTP/1.1 503 Busy"}}}, false},
		"malformed length":    {relayReply{Status: 200, Header: http.Header{"Content-Length": {"2x"}}, Body: []byte("ok"), Length: 2}, false},
		"conflicting lengths": {relayReply{Status: 200, Header: http.Header{"Content-Length": {"2", "3"}}, Body: []byte("ok"), Length: 2}, false},
		"another length":      {relayReply{Status: 200, Header: http.Header{"Content-Length": {"3"}}, Body: []byte("ok"), Length: 2}, false},
		"hidden length":       {relayReply{Status: 200, Header: http.Header{"content-length": {"9"}}, Body: []byte("ok"), Length: 2}, false},
		"transfer coding":     {relayReply{Status: 200, Header: http.Header{"Transfer-Encoding": {"chunked"}}, Body: []byte("ok"), Length: 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			bed := newScriptedPeers(t, 2, func(context.Context, *relayRequest) ([]byte, error) {
				calls++
				return wire.Marshal(&s.reply)
			})
			r := bed.serve("/post/x", "1")
			switch {
			case s.valid && (r.Err != nil || r.Response.Status != s.reply.Status || string(r.Response.Body) != string(s.reply.Body)):
				t.Errorf("got %+v, want the response", r)
			case !s.valid && (r.Err == nil || r.Err.Outcome() != errkind.Unknown || calls != 1):
				t.Errorf("got %+v after %d calls, want an unknown outcome after one", r, calls)
			}
		})
	}
}
