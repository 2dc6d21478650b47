package watch

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// Forms of an encoded answer, its first byte.
const (
	formPlain      = 0
	formCompressed = 1
)

const (
	// compressFrom is the size in bytes from which an answer is compressed. The
	// routes of a large change differ in a few bytes each, and an entry with a
	// 2 Mbit/s link needs a third of a second for 90 KB.
	compressFrom = 2 << 10
	// maxAnswer bounds a decompressed answer in bytes.
	maxAnswer = 32 << 20
)

var (
	errForm      = errors.New("watch: unknown form of an answer")
	errTooLarge  = errors.New("watch: answer is too large")
	errNoContent = errors.New("watch: answer is empty")
)

// Encode encodes an answer, compressed if it is large.
func Encode(a *Answer) ([]byte, error) {
	data, err := wire.Marshal(a)
	if err != nil {
		return nil, err
	}
	if len(data) < compressFrom {
		return append([]byte{formPlain}, data...), nil
	}
	out := bytes.NewBuffer([]byte{formCompressed})
	w, err := flate.NewWriter(out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decode decodes an answer that Encode made.
func Decode(data []byte, a *Answer) error {
	if len(data) == 0 {
		return errNoContent
	}
	switch data[0] {
	case formPlain:
		return wire.Unmarshal(data[1:], a)
	case formCompressed:
		plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxAnswer+1))
		if err != nil {
			return err
		}
		if len(plain) > maxAnswer {
			return errTooLarge
		}
		return wire.Unmarshal(plain, a)
	}
	return errForm
}
