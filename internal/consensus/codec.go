package consensus

import (
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// EncodeMessage returns the encoding of a message for the network.
func EncodeMessage(m Message) ([]byte, error) {
	data, err := wire.Marshal(&m)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode message")
	}
	return data, nil
}

// DecodeMessage returns the message that EncodeMessage encoded. It fails on
// any other data; the memory it uses is bounded by the length of the data.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := wire.Unmarshal(data, &m); err != nil {
		return Message{}, errkind.Wrap(errkind.BadRequest, err, "decode message")
	}
	return m, nil
}
