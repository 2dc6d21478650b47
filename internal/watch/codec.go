package watch

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/flamingoreel/flamingoreel/internal/fleet"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Formats of an encoded delta. The first byte of the encoding is its format.
const (
	formatPlain      = 0
	formatCompressed = 1
)

const (
	// minCompressedBytes is the encoded size from which a delta is compressed. The
	// routes of a large change differ only by a few bytes each, and an entry VM with a
	// 2 Mbit/s link needs a third of a second to receive 90 KB.
	minCompressedBytes = 2 << 10
	// maxDeltaBytes bounds the size of a decompressed delta.
	maxDeltaBytes = 32 << 20
)

var (
	errFormat   = errors.New("watch: unknown format of an encoded delta")
	errTooLarge = errors.New("watch: decompressed delta is too large")
	errEmpty    = errors.New("watch: encoded delta is empty")
)

// EncodeDelta encodes a delta and compresses it if it is large.
func EncodeDelta(d *fleet.Delta) ([]byte, error) {
	data, err := wire.Marshal(d)
	if err != nil {
		return nil, err
	}
	if len(data) < minCompressedBytes {
		return append([]byte{formatPlain}, data...), nil
	}
	compressed := bytes.NewBuffer([]byte{formatCompressed})
	w, err := flate.NewWriter(compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

func decodeDelta(data []byte, d *fleet.Delta) error {
	if len(data) == 0 {
		return errEmpty
	}
	switch data[0] {
	case formatPlain:
		return wire.Unmarshal(data[1:], d)
	case formatCompressed:
		plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxDeltaBytes+1))
		if err != nil {
			return err
		}
		if len(plain) > maxDeltaBytes {
			return errTooLarge
		}
		return wire.Unmarshal(plain, d)
	}
	return errFormat
}

// Encode encodes an answer. If EncodedDelta is empty, it first encodes Delta into EncodedDelta.
func Encode(a *Answer) ([]byte, error) {
	if len(a.EncodedDelta) == 0 {
		encoded, err := EncodeDelta(&a.Delta)
		if err != nil {
			return nil, err
		}
		a.EncodedDelta = encoded
	}
	return wire.Marshal(a)
}

// Decode decodes an answer that was encoded by Encode, including its Delta.
func Decode(data []byte, a *Answer) error {
	if err := wire.Unmarshal(data, a); err != nil {
		return err
	}
	return decodeDelta(a.EncodedDelta, &a.Delta)
}
