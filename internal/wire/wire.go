// Package wire encodes and decodes the messages between the system's processes
// and their data on disk as msgpack, and checks the lengths in decoded data.
package wire

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting is the deepest nesting of values that Unmarshal accepts. A
// heartbeat has six levels.
const maxNesting = 16

var (
	errNesting  = errors.New("encoded value is nested too deeply")
	errTrailing = errors.New("trailing bytes after the encoded value")
)

// Marshal encodes a value as msgpack. Integers are encoded compactly, because
// small messages are most of the control traffic.
func Marshal(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Unmarshal decodes msgpack data from a peer or from disk. It first checks that
// the data contains as many elements as every length in it declares, because
// the decoder allocates a slice of structs by the declared length alone.
func Unmarshal(data []byte, value any) error {
	reader := bytes.NewReader(data)
	if err := checkLengths(msgpack.NewDecoder(reader), maxNesting); err != nil {
		return err
	}
	if reader.Len() > 0 {
		return errTrailing
	}
	return msgpack.Unmarshal(data, value)
}

// checkLengths reads one value without storing it. It returns an error if the
// data is shorter than a declared length or nested deeper than nesting levels.
func checkLengths(d *msgpack.Decoder, nesting int) error {
	if nesting == 0 {
		return errNesting
	}
	values, err := containedValues(d)
	if err != nil {
		return err
	}
	if values < 0 {
		return d.Skip()
	}
	for range values {
		if err := checkLengths(d, nesting-1); err != nil {
			return err
		}
	}
	return nil
}

// containedValues reads the header of an array or a map and returns the number
// of values in it; the keys of a map count as values. For values of other types
// it returns -1 and reads nothing.
func containedValues(d *msgpack.Decoder) (int, error) {
	code, err := d.PeekCode()
	switch {
	case err != nil:
		return 0, err
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		return d.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		pairs, err := d.DecodeMapLen()
		return 2 * pairs, err
	}
	return -1, nil
}
