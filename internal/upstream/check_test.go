package upstream

import (
	"net/http"
	"testing"
)

// Guards against the refusal of a relayed response to HEAD, which announces a length
// without a body, and against one that has a body.
func TestCheckOfResponsesToHEAD(t *testing.T) {
	header := http.Header{"Content-Length": {"12"}}
	for _, s := range []struct {
		response Response
		valid    bool
	}{
		{Response{Status: 200, Header: header, Length: 12}, true},
		{Response{Status: 200, Length: -1}, true},
		{Response{Status: 304, Header: header, Length: 12}, true},
		{Response{Status: 200, Header: header, Length: 12, Body: make([]byte, 12)}, false},
		{Response{Status: 200, Header: http.Header{"Content-Length": {}}}, false},
	} {
		if err := s.response.Check(http.MethodHead); (err == nil) != s.valid {
			t.Errorf("%+v: got %v, want valid %v", s.response, err, s.valid)
		}
	}
}
