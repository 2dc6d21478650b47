package main

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Numbers of connections of a flood.
const (
	// bodyFlood connections with bodies of the largest size take more than the memory.
	bodyFlood = 150
	// fieldFlood connections with heads of many lines take more than the memory.
	fieldFlood = 200
	// slowFlood connections are more than the descriptors.
	slowFlood = 600
	// pipelineFlood connections send pipelineBytes of requests each.
	pipelineFlood = 100
	pipelineBytes = 1 << 20
	// decodingFlood connections send bodies that expand when they are decoded.
	decodingFlood = 40
	// dripInterval is the time between two bytes of a slow client, slowTime the time for
	// which a slow flood is watched.
	dripInterval = 100 * time.Millisecond
	slowTime     = 2 * time.Second
)

// write writes a text and reports whether the connection takes more.
func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// writeParts writes a text in parts.
func writeParts(c net.Conn, text string, size int) {
	for len(text) > 0 {
		n := min(size, len(text))
		if !write(c, text[:n]) {
			return
		}
		text = text[n:]
	}
}

// drip sends one byte after the other.
func drip(c net.Conn) {
	for write(c, "x") {
		time.Sleep(dripInterval)
	}
}

// sip reads one byte after the other.
func sip(c net.Conn) {
	for {
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return
		}
		time.Sleep(dripInterval)
	}
}

// bodyOf returns the start of a request with a body of a size.
func (a accessPoint) bodyOf(size int) string {
	return a.head(a.bodyMethod()) + "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n"
}

// bodyMethod returns the method of a request that has a body.
func (a accessPoint) bodyMethod() string {
	if strings.HasPrefix(a.path, "/v1/config") {
		return "PUT"
	}
	return "POST"
}

var (
	incompleteBody = strings.Repeat("x", floodBodyBytes-1)
	oversizedBody  = strings.Repeat("x", 4*floodBodyBytes)
)

// chunked returns a body of a size in chunks, without its end.
func chunked(size, chunk int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)), size/chunk)
}

// Guards against incomplete bodies of almost the largest size, each in one write.
func TestFloodOfIncompleteBodies(t *testing.T) {
	clientFlood{connections: bodyFlood, send: func(c net.Conn, to accessPoint) { write(c, to.bodyOf(floodBodyBytes)+incompleteBody) }}.test(t)
}

// Guards against the same bodies in small writes.
func TestFloodOfIncompleteBodiesInSmallWrites(t *testing.T) {
	clientFlood{connections: bodyFlood, send: func(c net.Conn, to accessPoint) {
		if write(c, to.bodyOf(floodBodyBytes)) {
			writeParts(c, incompleteBody, 2<<10)
		}
	}}.test(t)
}

// Guards against incomplete chunked bodies of almost the largest size.
func TestFloodOfIncompleteChunkedBodies(t *testing.T) {
	body := chunked(floodBodyBytes-4096, 4096)
	clientFlood{connections: bodyFlood, send: func(c net.Conn, to accessPoint) {
		write(c, to.head(to.bodyMethod())+"Transfer-Encoding: chunked\r\n\r\n"+body)
	}}.test(t)
}

// Guards against the same in chunks that are shorter than their framing.
func TestFloodOfIncompleteBodiesInSmallChunks(t *testing.T) {
	body := chunked(floodBodyBytes-16, 16)
	clientFlood{connections: bodyFlood, send: func(c net.Conn, to accessPoint) {
		write(c, to.head(to.bodyMethod())+"Transfer-Encoding: chunked\r\n\r\n"+body)
	}}.test(t)
}

// Guards against announced, oversized bodies of which several times the limit is sent.
func TestFloodOfOversizedBodies(t *testing.T) {
	clientFlood{connections: bodyFlood, send: func(c net.Conn, to accessPoint) { write(c, to.bodyOf(1<<30)+oversizedBody) }}.test(t)
}

// Guards against chunked bodies without a last chunk, several times the limit.
func TestFloodOfUnboundedChunkedBodies(t *testing.T) {
	body := chunked(4*floodBodyBytes, 4096)
	clientFlood{connections: bodyFlood, send: func(c net.Conn, to accessPoint) {
		write(c, to.head(to.bodyMethod())+"Transfer-Encoding: chunked\r\n\r\n"+body)
	}}.test(t)
}

// Guards against heads within the limit with so many fields that they take several times their size, before incomplete bodies.
func TestFloodOfHeadsWithManyFields(t *testing.T) {
	var lines strings.Builder
	for n := 0; lines.Len() < unboundedHeadBytes; n++ {
		lines.WriteString(shortLines(n))
	}
	clientFlood{connections: fieldFlood, send: func(c net.Conn, to accessPoint) {
		head := to.head(to.bodyMethod()) + "Content-Length: 4\r\n"
		fields := lines.String()[:to.headBytes-len(head)]
		write(c, head+fields[:strings.LastIndex(fields, "\n")+1]+"\r\ndue")
	}}.test(t)
}

// Guards against pipelined requests of clients that read no response.
func TestFloodOfUnreadPipelinedRequests(t *testing.T) {
	clientFlood{connections: pipelineFlood, send: func(c net.Conn, to accessPoint) {
		request := to.head("GET") + "\r\n"
		write(c, strings.Repeat(request, pipelineBytes/len(request)))
	}}.test(t)
}

// Guards against clients that read the response to a long request slowly.
func TestFloodOfSlowReaders(t *testing.T) {
	clientFlood{connections: bodyFlood, send: func(c net.Conn, to accessPoint) {
		if to.path == "/metrics" || to.path == "/readyz" || to.path == "/ready" {
			write(c, strings.Repeat(to.head("GET")+"\r\n", 100))
		} else {
			write(c, to.bodyOf(floodBodyBytes)+incompleteBody+"x")
		}
	}, after: sip}.test(t)
}

// Guards against more clients than descriptors that send bodies slowly.
func TestFloodOfSlowBodies(t *testing.T) {
	clientFlood{connections: slowFlood, send: func(c net.Conn, to accessPoint) {
		write(c, to.bodyOf(floodBodyBytes))
		go drip(c)
		time.Sleep(slowTime)
	}}.test(t)
}

// Guards against more clients than descriptors that send incomplete heads.
func TestFloodOfIncompleteHeads(t *testing.T) {
	clientFlood{connections: slowFlood, send: func(c net.Conn, to accessPoint) { write(c, to.head("GET")) }}.test(t)
}

// expandingBodies are complete bodies that expand when they are decoded, by the path to which they are sent.
var expandingBodies = map[string]string{
	"/rpc?call=config.patch": `{"upsert":{"routes":{` + distinct(`"%x":0`) + `}}}`,
	"/rpc?call=instances.heartbeat&of=x": `{"service":"ledger","address":"127.0.0.1:1","zone":"z1","version":"v1","slots":4,"state":"ready",` +
		`"cold_left":"0ms","seq_no":1,"born":1,"holds":[` + repeated(`[0,0,0]`) + `]}`,
	"/flamingoreel/v1/targets": `{` + distinct(`"%x":0`) + `}`,
	"/v1/config":               `{"base":1,"text":"` + strings.Repeat(`- a\n`, floodBodyBytes/len(`- a\n`)-10) + `"}`,
}

// distinct returns items with different numbers, up to the largest size of a body.
func distinct(format string) string {
	var b strings.Builder
	for i := 0; b.Len() < floodBodyBytes*9/10; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

func repeated(item string) string {
	return item + strings.Repeat(","+item, floodBodyBytes*9/10/(len(item)+1))
}

// Guards against bodies within the limit that take much more memory once they are decoded.
func TestFloodOfBodiesThatExpandWhenDecoded(t *testing.T) {
	clientFlood{connections: decodingFlood, send: func(c net.Conn, to accessPoint) {
		body := expandingBodies[to.path]
		write(c, to.bodyOf(len(body))+body)
	}}.test(t, func(s *floodedSystem) (decoding []accessPoint) {
		for _, to := range append(s.rolePoints(), s.vmPoints()...) {
			if expandingBodies[to.path] != "" {
				decoding = append(decoding, to)
			}
		}
		return decoding
	})
}

// Guards against the sum of what the other floods take, each of which is within its own bound.
func TestFloodOfMixedRequests(t *testing.T) {
	var lines strings.Builder
	for n := 0; lines.Len() < unboundedHeadBytes; n++ {
		lines.WriteString(shortLines(n))
	}
	chunks, endless := chunked(floodBodyBytes-4096, 4096), chunked(4*floodBodyBytes, 4096)
	var opened atomic.Int64
	clientFlood{connections: slowFlood, send: func(c net.Conn, to accessPoint) {
		switch opened.Add(1) % 6 {
		case 0:
			write(c, to.bodyOf(floodBodyBytes)+incompleteBody)
		case 1:
			write(c, to.head(to.bodyMethod())+"Transfer-Encoding: chunked\r\n\r\n"+chunks)
		case 2:
			write(c, to.head(to.bodyMethod())+"Transfer-Encoding: chunked\r\n\r\n"+endless)
		case 3:
			head := to.head(to.bodyMethod()) + "Content-Length: 4\r\n"
			fields := lines.String()[:to.headBytes-len(head)]
			write(c, head+fields[:strings.LastIndex(fields, "\n")+1]+"\r\ndue")
		case 4:
			request := to.head("GET") + "\r\n"
			write(c, strings.Repeat(request, pipelineBytes/len(request)))
		case 5:
			write(c, to.head("GET"))
		}
	}}.test(t)
}
