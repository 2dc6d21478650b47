package link

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// protocolVersion is sent in the hello. A peer with another version is refused.
const protocolVersion = 1

// lengthPrefix is the size of the big-endian frame length in bytes.
const lengthPrefix = 4

type frameType uint8

const (
	frameHello frameType = iota + 1
	// frameOpen begins a request, frameResponse its response.
	frameOpen
	frameResponse
	frameData
	// frameClose ends a message and carries its length and checksum.
	frameClose
	// frameFail ends a stream with an error.
	frameFail
	// frameCredit raises the offset up to which the receiver of the frame may
	// send a message.
	frameCredit
	frameCancel
	framePing
)

// frame is a frame of any type. layouts lists the fields of each type.
type frame struct {
	Type   frameType
	Stream uint64
	// OneWay is 1 in an open frame whose sender expects no response.
	OneWay uint64
	// Number is the protocol version in a hello frame. Otherwise it is in bytes:
	// the total length of the message in open, response and close frames, the
	// offset in a data frame, and the new limit in a credit frame.
	Number uint64
	// Remaining is the time to the deadline in microseconds; 0 means no deadline.
	Remaining uint64
	// Sum is the checksum (xxHash64) of the payload.
	Sum uint64
	// Name is the cluster of a hello, the method of an open or the error kind of a
	// fail frame.
	Name string
	// From and To are the VM names of a hello.
	From, To string
	// Text is the error message of a fail frame.
	Text string
	// Body is the payload chunk of a data frame. In a decoded frame it points into
	// the decoder's buffer.
	Body []byte
}

type field uint8

const (
	fieldStream field = iota
	fieldOneWay
	fieldNumber
	fieldRemaining
	fieldSum
	fieldName
	fieldFrom
	fieldTo
	fieldText
	fieldBody
)

var layouts = [...][]field{
	frameHello:    {fieldNumber, fieldName, fieldFrom, fieldTo},
	frameOpen:     {fieldStream, fieldOneWay, fieldRemaining, fieldNumber, fieldName},
	frameResponse: {fieldStream, fieldNumber},
	frameData:     {fieldStream, fieldNumber, fieldBody},
	frameClose:    {fieldStream, fieldNumber, fieldSum},
	frameFail:     {fieldStream, fieldName, fieldText},
	frameCredit:   {fieldStream, fieldNumber},
	frameCancel:   {fieldStream},
	framePing:     {},
}

var errMalformed = errors.New("malformed frame")

func (f *frame) number(id field) *uint64 {
	switch id {
	case fieldStream:
		return &f.Stream
	case fieldOneWay:
		return &f.OneWay
	case fieldNumber:
		return &f.Number
	case fieldRemaining:
		return &f.Remaining
	case fieldSum:
		return &f.Sum
	}
	return nil
}

func (f *frame) text(id field) (value *string, limit int) {
	switch id {
	case fieldName:
		return &f.Name, maxName
	case fieldFrom:
		return &f.From, maxName
	case fieldTo:
		return &f.To, maxName
	case fieldText:
		return &f.Text, maxErrorText
	}
	return nil, 0
}

// encoder appends frames to a buffer.
type encoder struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
}

func newEncoder() *encoder {
	e := &encoder{}
	e.enc = msgpack.NewEncoder(&e.buf)
	return e
}

// shrink releases the memory of a large batch, because a VM has a connection to
// every other VM and most of them are idle.
func (e *encoder) shrink() {
	if e.buf.Cap() > idleBuffer {
		e.buf = bytes.Buffer{}
	}
}

// append adds one frame with its length prefix and returns its size in bytes.
func (e *encoder) append(f *frame) int {
	start := e.buf.Len()
	var prefix [lengthPrefix]byte
	e.buf.Write(prefix[:])
	layout := layouts[f.Type]
	// Writes to a bytes.Buffer never fail, so the encoder does not fail either.
	_ = e.enc.EncodeArrayLen(len(layout) + 1)
	_ = e.enc.EncodeUint(uint64(f.Type))
	for _, id := range layout {
		e.field(f, id)
	}
	size := e.buf.Len() - start
	binary.BigEndian.PutUint32(e.buf.Bytes()[start:], uint32(size-lengthPrefix))
	return size
}

func (e *encoder) field(f *frame, id field) {
	if id == fieldBody {
		_ = e.enc.EncodeBytes(f.Body)
		return
	}
	if n := f.number(id); n != nil {
		_ = e.enc.EncodeUint(*n)
		return
	}
	s, _ := f.text(id)
	_ = e.enc.EncodeString(*s)
}

// decoder decodes one frame at a time.
type decoder struct {
	r   bytes.Reader
	buf []byte
	dec *msgpack.Decoder
}

func newDecoder() *decoder {
	d := &decoder{}
	d.dec = msgpack.NewDecoder(&d.r)
	return d
}

// decode decodes the bytes of one frame without its prefix. The frame's Body
// points into buf.
func (d *decoder) decode(buf []byte) (frame, error) {
	d.buf = buf
	d.r.Reset(buf)
	d.dec.Reset(&d.r)
	var f frame
	length, err := d.dec.DecodeArrayLen()
	if err != nil {
		return f, fmt.Errorf("%w: %v", errMalformed, err)
	}
	kind, err := d.dec.DecodeUint64()
	if err != nil || kind == 0 || kind >= uint64(len(layouts)) {
		return f, fmt.Errorf("%w: unknown type", errMalformed)
	}
	f.Type = frameType(kind)
	layout := layouts[f.Type]
	if length != len(layout)+1 {
		return f, fmt.Errorf("%w: %d fields", errMalformed, length)
	}
	for _, id := range layout {
		if err := d.field(&f, id); err != nil {
			return f, fmt.Errorf("%w: %v", errMalformed, err)
		}
	}
	if d.r.Len() != 0 {
		return f, fmt.Errorf("%w: trailing bytes", errMalformed)
	}
	return f, nil
}

func (d *decoder) field(f *frame, id field) error {
	if n := f.number(id); n != nil {
		v, err := d.dec.DecodeUint64()
		*n = v
		return err
	}
	if id == fieldBody {
		body, err := d.bytes(ChunkSize)
		f.Body = body
		return err
	}
	s, limit := f.text(id)
	b, err := d.bytes(limit)
	*s = string(b)
	return err
}

// bytes returns the next string or binary value of at most limit bytes as a
// slice of the frame. A declared length beyond the frame is an error, so it
// allocates nothing.
func (d *decoder) bytes(limit int) ([]byte, error) {
	n, err := d.dec.DecodeBytesLen()
	if err != nil {
		return nil, err
	}
	if n < 0 || n > d.r.Len() || n > limit {
		return nil, errMalformed
	}
	start := len(d.buf) - d.r.Len()
	d.r.Reset(d.buf[start+n:])
	// The reader was reset to the bytes after the value; buf must match it.
	b := d.buf[start : start+n : start+n]
	d.buf = d.buf[start+n:]
	return b, nil
}
