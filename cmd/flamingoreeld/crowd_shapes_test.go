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

// Numbers of connections of a crowd.
const (
	// bodyCrowd connections with bodies of the largest size take more than the memory.
	bodyCrowd = 150
	// fieldCrowd connections with heads of many lines take more than the memory.
	fieldCrowd = 200
	// slowCrowd connections are more than the descriptors.
	slowCrowd = 600
	// aheadCrowd connections send aheadBytes of requests each.
	aheadCrowd = 100
	aheadBytes = 1 << 20
	// itemCrowd connections send bodies of many short items.
	itemCrowd = 40
	// dripInterval is the time between two bytes of a slow client, slowTime the time for
	// which a slow crowd is watched.
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
	almostBody   = strings.Repeat("x", crowdBodyBytes-1)
	overlongBody = strings.Repeat("x", 4*crowdBodyBytes)
)

// chunked returns a body of a size in chunks, without its end.
func chunked(size, chunk int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)), size/chunk)
}

// Guards against bodies of the largest size that are sent in one piece and stop short of their end.
func TestCrowdStopsShortOfBodies(t *testing.T) {
	crowd{connections: bodyCrowd, send: func(c net.Conn, to accessPoint) { write(c, to.bodyOf(crowdBodyBytes)+almostBody) }}.test(t)
}

// Guards against the same bodies sent in small pieces.
func TestCrowdStopsShortOfBodiesInSmallPieces(t *testing.T) {
	crowd{connections: bodyCrowd, send: func(c net.Conn, to accessPoint) {
		if write(c, to.bodyOf(crowdBodyBytes)) {
			writeParts(c, almostBody, 2<<10)
		}
	}}.test(t)
}

// Guards against chunked bodies up to the largest size that never end.
func TestCrowdStopsShortOfChunkedBodies(t *testing.T) {
	body := chunked(crowdBodyBytes-4096, 4096)
	crowd{connections: bodyCrowd, send: func(c net.Conn, to accessPoint) {
		write(c, to.head(to.bodyMethod())+"Transfer-Encoding: chunked\r\n\r\n"+body)
	}}.test(t)
}

// Guards against the same in chunks that are shorter than their framing.
func TestCrowdStopsShortOfBodiesInSmallChunks(t *testing.T) {
	body := chunked(crowdBodyBytes-16, 16)
	crowd{connections: bodyCrowd, send: func(c net.Conn, to accessPoint) {
		write(c, to.head(to.bodyMethod())+"Transfer-Encoding: chunked\r\n\r\n"+body)
	}}.test(t)
}

// Guards against announced bodies far over the limit of which much is sent.
func TestCrowdSendsBodiesOverTheLimit(t *testing.T) {
	crowd{connections: bodyCrowd, send: func(c net.Conn, to accessPoint) { write(c, to.bodyOf(1<<30)+overlongBody) }}.test(t)
}

// Guards against chunked bodies far over the limit.
func TestCrowdSendsChunksWithoutEnd(t *testing.T) {
	body := chunked(4*crowdBodyBytes, 4096)
	crowd{connections: bodyCrowd, send: func(c net.Conn, to accessPoint) {
		write(c, to.head(to.bodyMethod())+"Transfer-Encoding: chunked\r\n\r\n"+body)
	}}.test(t)
}

// Guards against heads within the limit whose many short fields take more memory than bytes, of requests whose bodies stop short.
func TestCrowdSendsHeadsOfManyShortFields(t *testing.T) {
	var lines strings.Builder
	for n := 0; lines.Len() < unboundedHeadBytes; n++ {
		lines.WriteString(shortLines(n))
	}
	crowd{connections: fieldCrowd, send: func(c net.Conn, to accessPoint) {
		head := to.head(to.bodyMethod()) + "Content-Length: 4\r\n"
		fields := lines.String()[:to.headBytes-len(head)]
		write(c, head+fields[:strings.LastIndex(fields, "\n")+1]+"\r\ndue")
	}}.test(t)
}

// Guards against many requests that are sent ahead by clients that read no response.
func TestCrowdSendsRequestsAhead(t *testing.T) {
	crowd{connections: aheadCrowd, send: func(c net.Conn, to accessPoint) {
		request := to.head("GET") + "\r\n"
		write(c, strings.Repeat(request, aheadBytes/len(request)))
	}}.test(t)
}

// Guards against clients that read the response to a long request slowly.
func TestCrowdReadsResponsesSlowly(t *testing.T) {
	crowd{connections: bodyCrowd, send: func(c net.Conn, to accessPoint) {
		if to.path == "/metrics" || to.path == "/readyz" || to.path == "/ready" {
			write(c, strings.Repeat(to.head("GET")+"\r\n", 100))
		} else {
			write(c, to.bodyOf(crowdBodyBytes)+almostBody+"x")
		}
	}, after: sip}.test(t)
}

// Guards against more clients than descriptors that send bodies slowly.
func TestCrowdSendsBodiesSlowly(t *testing.T) {
	crowd{connections: slowCrowd, send: func(c net.Conn, to accessPoint) {
		write(c, to.bodyOf(crowdBodyBytes))
		go drip(c)
		time.Sleep(slowTime)
	}}.test(t)
}

// Guards against more clients than descriptors that stop within a head.
func TestCrowdStopsInHeads(t *testing.T) {
	crowd{connections: slowCrowd, send: func(c net.Conn, to accessPoint) { write(c, to.head("GET")) }}.test(t)
}

// shortItems are complete bodies of many short items, by the path to which they are sent.
var shortItems = map[string]string{
	"/rpc?call=config.patch": `{"upsert":{"routes":{` + distinct(`"%x":0`) + `}}}`,
	"/rpc?call=instances.heartbeat&of=x": `{"service":"ledger","address":"127.0.0.1:1","zone":"z1","version":"v1","slots":4,"state":"ready",` +
		`"cold_left":"0ms","seq_no":1,"born":1,"holds":[` + repeated(`[0,0,0]`) + `]}`,
	"/flamingoreel/v1/targets": `{` + distinct(`"%x":0`) + `}`,
	"/v1/config":               `{"base":1,"text":"` + strings.Repeat(`- a\n`, crowdBodyBytes/len(`- a\n`)-10) + `"}`,
}

// distinct returns items with different numbers, up to the largest size of a body.
func distinct(format string) string {
	var b strings.Builder
	for i := 0; b.Len() < crowdBodyBytes*9/10; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

func repeated(item string) string {
	return item + strings.Repeat(","+item, crowdBodyBytes*9/10/(len(item)+1))
}

// Guards against bodies within the limit that take much more memory once they are decoded.
func TestCrowdSendsBodiesOfManyShortItems(t *testing.T) {
	crowd{connections: itemCrowd, send: func(c net.Conn, to accessPoint) {
		body := shortItems[to.path]
		write(c, to.bodyOf(len(body))+body)
	}}.test(t, func(s *crowdSystem) (decoding []accessPoint) {
		for _, to := range append(s.rolePoints(), s.vmPoints()...) {
			if shortItems[to.path] != "" {
				decoding = append(decoding, to)
			}
		}
		return decoding
	})
}

// Guards against the sum of what the other crowds take, each of which is within its own bound.
func TestCrowdDoesAllAtOnce(t *testing.T) {
	var lines strings.Builder
	for n := 0; lines.Len() < unboundedHeadBytes; n++ {
		lines.WriteString(shortLines(n))
	}
	chunks, endless := chunked(crowdBodyBytes-4096, 4096), chunked(4*crowdBodyBytes, 4096)
	var opened atomic.Int64
	crowd{connections: slowCrowd, send: func(c net.Conn, to accessPoint) {
		switch opened.Add(1) % 6 {
		case 0:
			write(c, to.bodyOf(crowdBodyBytes)+almostBody)
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
			write(c, strings.Repeat(request, aheadBytes/len(request)))
		case 5:
			write(c, to.head("GET"))
		}
	}}.test(t)
}
