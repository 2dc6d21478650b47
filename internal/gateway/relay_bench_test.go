package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// linkBytes returns the bytes that a VM sent and received over its links.
func linkBytes(g *Gateway) (bytes uint64) {
	for _, p := range g.links.Stats().Peers {
		bytes += p.BytesIn + p.BytesOut
	}
	return bytes
}

// BenchmarkRequest measures a request that goes directly to its target and one that
// a peer relays, each with the target in the same process.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{1_500, 90_000} {
		body := strings.Repeat("x", size)
		target := newTarget(b, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Signed", "1")
			_, _ = fmt.Fprint(w, body)
		})
		for _, path := range []string{"direct", "relayed"} {
			b.Run(fmt.Sprintf("%s-%d-bytes", path, size), func(b *testing.B) {
				bed := newRelayBed(b, []string{"r"}, target)
				entry := bed.testbed
				if path == "direct" {
					entry = bed.peers[0]
				} else {
					bed.isolateNow()
				}
				began := processorTime(b)
				for i := 0; b.Loop(); i++ {
					r := entry.serve("/post/x", fmt.Sprint(path, i))
					if r.Err != nil {
						b.Fatal(r.Err)
					}
					if r.Response.Rest != nil {
						if failure := readRest(r.Response, func(int64) bool { return true }); failure != nil {
							b.Fatal(failure)
						}
						r.Response.Close()
					}
				}
				if path == "relayed" {
					b.ReportMetric(float64(linkBytes(bed.g))/float64(b.N), "link-bytes/op")
				}
				b.ReportMetric(float64(processorTime(b)-began)/float64(b.N)/1e3, "cpu-µs/op")
			})
		}
	}
}
