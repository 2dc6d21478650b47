package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
)

// Limits of a chunked body, besides those of its data.
const (
	// maxSizeDigits is the maximum number of digits of a chunk size.
	maxSizeDigits = 16
	// chunkOverhead is the number of bytes besides its data that each chunk may have.
	// Data allows twice its size in addition. Extensions beyond that count towards
	// maxExcessBytes, so that a target can't send them without end.
	chunkOverhead  = 16
	maxExcessBytes = 16 << 10
	// maxTrailerBytes limits the total size of the trailers, which are not forwarded.
	maxTrailerBytes = 16 << 10
)

// chunkedBody reads a chunked body and checks it strictly. After the trailers it
// returns io.EOF. Other errors are ErrInvalid, ErrMergedHead, ErrUnbounded, or those of
// the connection.
type chunkedBody struct {
	r *bufio.Reader
	// left is the number of unread bytes of the current chunk.
	left int64
	// begun reports that the current chunk still has to be ended by CRLF.
	begun  bool
	excess int64
	err    error
}

// Read implements io.Reader. It doesn't wait for more once it has read something.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	for b.err == nil && n < len(p) {
		if b.left == 0 {
			if n > 0 && !b.nextIsBuffered() {
				break
			}
			b.left, b.err = b.nextChunk()
			continue
		}
		if n > 0 && b.r.Buffered() == 0 {
			break
		}
		m, err := b.r.Read(p[n:min(int64(len(p)), int64(n)+b.left)])
		n += m
		b.left -= int64(m)
		b.err = unexpectedEOF(err)
	}
	return n, b.err
}

// nextIsBuffered reports whether the end of the current chunk and the next size were
// received.
func (b *chunkedBody) nextIsBuffered() bool {
	received, _ := b.r.Peek(b.r.Buffered())
	return len(received) > len("\r\n") && bytes.IndexByte(received[len("\r\n"):], '\n') >= 0
}

// nextChunk reads the end of the current chunk and the size of the next one. After
// the last chunk it reads the trailers and returns io.EOF.
func (b *chunkedBody) nextChunk() (size int64, err error) {
	if b.begun {
		var end [2]byte
		if _, err := io.ReadFull(b.r, end[:]); err != nil {
			return 0, unexpectedEOF(err)
		}
		if string(end[:]) != "\r\n" {
			return 0, invalid("a chunk doesn't end after its size")
		}
		b.begun = false
	}
	line, err := readShortLine(b.r)
	if err != nil {
		return 0, err
	}
	if size, err = parseChunkSize(line); err != nil {
		return 0, err
	}
	b.excess = max(0, b.excess+int64(len(line))-chunkOverhead-2*min(size, MaxBodyBytes))
	if b.excess > maxExcessBytes {
		return 0, ErrUnbounded
	}
	if size == 0 {
		return 0, readTrailers(b.r)
	}
	b.begun = true
	return size, nil
}

// readShortLine returns a line without its CRLF. It must fit into the buffer of r, and
// is valid until the next read.
func readShortLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, ErrUnbounded
	case err != nil:
		return nil, unexpectedEOF(err)
	case len(line) < 2 || line[len(line)-2] != '\r':
		return nil, invalid("a line doesn't end with CRLF")
	}
	return line[:len(line)-2], nil
}

// parseChunkSize parses the line before a chunk, without CRLF. Extensions are ignored.
func parseChunkSize(line []byte) (int64, error) {
	size, digits := uint64(0), 0
	for digits < len(line) {
		digit, ok := hexDigit(line[digits])
		if !ok {
			break
		}
		if digits++; digits > maxSizeDigits {
			return 0, invalid("chunk size out of range")
		}
		size = size<<4 | uint64(digit)
	}
	extension := line[digits:]
	if digits == 0 || len(extension) > 0 && extension[0] != ';' {
		return 0, invalid("malformed chunk size")
	}
	for _, b := range extension {
		if byteClasses[b]&textByte == 0 {
			return 0, invalid("control byte in a chunk extension")
		}
	}
	if size > 1<<63-1 {
		return 0, invalid("chunk size out of range")
	}
	return int64(size), nil
}

func hexDigit(b byte) (digit byte, ok bool) {
	switch {
	case b >= '0' && b <= '9':
		return b - '0', true
	case b >= 'a' && b <= 'f':
		return b - 'a' + 10, true
	case b >= 'A' && b <= 'F':
		return b - 'A' + 10, true
	}
	return 0, false
}

// readTrailers reads the trailers up to the empty line and returns io.EOF if they are
// valid.
func readTrailers(r *bufio.Reader) error {
	for total := 0; total <= maxTrailerBytes; {
		line, err := readShortLine(r)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		total += len(line)
		name, value, err := parseField(string(line))
		switch {
		case err != nil:
			return err
		case strings.EqualFold(name, "Content-Length"), strings.EqualFold(name, "Transfer-Encoding"):
			return invalid("a trailer determines the end of the body")
		case containsStatusLine(value):
			return ErrMergedHead
		}
	}
	return ErrUnbounded
}
