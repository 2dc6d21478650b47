// Package wire encodes what the system's own processes send each other and
// keep on disk: msgpack with checked lengths.
package wire

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting bounds the nesting of encoded values. A heartbeat nests six deep.
const maxNesting = 16

var (
	errNesting  = errors.New("the encoded value is nested too deep")
	errTrailing = errors.New("bytes follow the encoded value")
)

// Marshal encodes a value with compact integers, since small messages are most
// of the control traffic.
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
// every announced length is present in the data, because the decoder allocates
// a slice of structs by its announced length alone.
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

// checkLengths reads one value without storing it.
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
// of values in it. It returns -1 and reads nothing for other values.
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
