package callers

import (
	"cmp"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// streamRequests are the requests of which random streams consist. The last ones are
// those after which the connection closes.
var streamRequests = []string{
	"GET /length?n=100" + host + "\r\n", "GET /length?n=9000" + host + "\r\n", "GET /length?n=90000" + host + "\r\n",
	"HEAD /length?n=100" + host + "\r\n", "GET /parts?n=70000" + host + "\r\n", "GET /parts?n=10" + host + "\r\n",
	"GET /flushed?n=5000" + host + "\r\n", "GET /status?n=204" + host + "\r\n", "GET /status?n=304" + host + "\r\n",
	"GET /interim" + host + "\r\n", "GET /" + host + "X: " + strings.Repeat("x", 5000) + "\r\n\r\n", "HEAD /parts?n=5000" + host + "\r\n",
	"POST /" + host + "Content-Length: 4\r\n\r\nbody", "\r\nPOST /" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	"PUT /parts?n=3000" + host + "\r\n", "POST /" + host + "Content-Length: 6000\r\n\r\n" + strings.Repeat("y", 6000), "GET /typed" + host + "\r\n",

	"GET /close" + host + "\r\n", "GET /short" + host + "\r\n", "GET /abort" + host + "\r\n", "malformed\r\n\r\n",
	"GET /" + host + "Connection: close\r\n\r\n", "GET / HTTP/1.0\r\n\r\n", "POST /close" + host + "\r\n",
}

// aloneChecker checks that no other request of a connection runs beside one with effects.
type aloneChecker struct {
	mu      sync.Mutex
	running map[string][]string
	faults  []string
}

func (a *aloneChecker) serve(w http.ResponseWriter, r *http.Request) {
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead
	a.mu.Lock()
	others := a.running[r.RemoteAddr]
	if len(others) > 0 && (!safe || slices.Contains(others, http.MethodPost) || slices.Contains(others, http.MethodPut)) {
		a.faults = append(a.faults, r.Method+" beside "+strings.Join(others, ", "))
	}
	a.running[r.RemoteAddr] = append(slices.Clone(others), r.Method)
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		left := slices.Clone(a.running[r.RemoteAddr])
		at := slices.Index(left, r.Method)
		a.running[r.RemoteAddr] = slices.Delete(left, at, at+1)
	}()
	time.Sleep(rand.N(3 * time.Millisecond))
	respondVariously(w, r)
}

// incomplete maps the descriptions of responses that are incomplete to the same one: how
// much of them arrives differs.
func incomplete(descriptions []string) []string {
	for i, description := range descriptions {
		if description == "no response" || strings.Contains(description, "unexpected EOF") {
			descriptions[i] = "incomplete"
		}
	}
	return descriptions
}

// Guards against streams of requests whose responses differ, in content or order, from
// those to the same requests sent one after the other to net/http.
func TestRandomStreamsGetSequentialResponses(t *testing.T) {
	reference := httptest.NewServer(http.HandlerFunc(respondVariously))
	defer reference.Close()
	alone := &aloneChecker{running: make(map[string][]string)}
	s, addr := startServer(t, alone.serve, func(cfg *ServerConfig) { cfg.MemoryBytes = 5 * readAheadBytes / readAheadMemoryFraction })
	seed, err := strconv.ParseInt(cmp.Or(os.Getenv("FLAMINGOREEL_TEST_SEED"), "1"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = 150
	parameters.MaxSize = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("responses to a stream equal the sequential ones", prop.ForAllNoShrink(func(indexes []int, split int) bool {
		var requests []string
		for _, index := range indexes {
			requests = append(requests, streamRequests[index])
		}
		want := incomplete(exchanged(t, strings.TrimPrefix(reference.URL, "http://"), requests))
		got := incomplete(streamed(t, addr, requests, split))
		if !slices.Equal(got, want) {
			t.Logf("%.100q, split %d:\ngot  %.200q\nwant %.200q", requests, split, got, want)
			return false
		}
		return true
	}, gen.SliceOf(gen.Frequency(map[int]gopter.Gen{30: gen.IntRange(0, 16), 1: gen.IntRange(17, len(streamRequests)-1)})), gen.IntRange(1, 20_000)))
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Errorf("repeat with FLAMINGOREEL_TEST_SEED=%d go test -run %s ./internal/callers", seed, t.Name())
	}
	awaitNoConns(t, s)
	if len(alone.faults) > 0 || len(s.slots) > 0 {
		t.Errorf("%q ran together; %d slots are held without a request", alone.faults, len(s.slots))
	}
}

// streamed sends requests in parts of a size, without waiting for responses, and returns
// the responses like exchanged.
func streamed(t *testing.T, addr string, requests []string, split int) (responses []string) {
	t.Helper()
	c, r := connect(t, addr)
	defer func() { _ = c.Close() }()
	go func() {
		for part := range slices.Chunk([]byte(strings.Join(requests, "")), split) {
			if _, err := c.Write(part); err != nil {
				return // The server has closed the connection.
			}
			if split < 1000 {
				time.Sleep(time.Microsecond)
			}
		}
	}()
	for _, request := range requests {
		for interim := true; interim; {
			response, status, closes := readRaw(r, strings.TrimSpace(request))
			responses = append(responses, response)
			if closes {
				if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
					t.Errorf("%q, %v behind the last response", rest, err)
				}
				return responses
			}
			interim = status < 200
		}
	}
	return responses
}
