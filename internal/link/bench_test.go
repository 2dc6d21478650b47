package link

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkCall measures calls per second over loopback TCP by body size. The
// response has the same size as the request.
func BenchmarkCall(b *testing.B) {
	node := func(name string) *Node {
		n, err := Listen(Config{Cluster: "bench", Name: name, Addr: "127.0.0.1:0"})
		if err != nil {
			b.Fatal(err)
		}
		n.Handle("echo", echo)
		b.Cleanup(func() { _ = n.Close() })
		return n
	}
	x, y := node("x"), node("y")
	x.SetPeer("y", y.Addr())
	y.SetPeer("x", x.Addr())
	y.Serve()
	for _, size := range []int{100, 4 << 10, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("%dB", size), func(b *testing.B) {
			body := make([]byte, size)
			b.SetBytes(int64(2 * size))
			b.SetParallelism(8)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := x.Call(context.Background(), "y", "echo", body); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}
