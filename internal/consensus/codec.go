package consensus

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

// maxNesting bounds the nesting of encoded values. A message nests five deep.
const maxNesting = 16

var (
	errNesting  = errors.New("the encoded value is nested too deep")
	errTrailing = errors.New("bytes follow the encoded value")
)

// EncodeMessage returns the encoding of a message for the network.
func EncodeMessage(m Message) ([]byte, error) {
	data, err := msgpack.Marshal(&m)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode message")
	}
	return data, nil
}

// DecodeMessage returns the message that EncodeMessage encoded. It fails on
// any other data; the memory it uses is bounded by the length of the data.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := Unmarshal(data, &m); err != nil {
		return Message{}, errkind.Wrap(errkind.BadRequest, err, "decode message")
	}
	return m, nil
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
