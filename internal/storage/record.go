package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// A frame is magic, payload length and CRC, each 4 bytes little endian, then
// the payload. The CRC covers the place of the frame, the length and the
// payload: data that looks like a frame, or a frame at another place, fails.
const (
	frameMagic       = 0x464c5231
	frameHeaderBytes = 12
	// maxFrameBytes bounds the payload of a frame, so that a damaged length is
	// not mistaken for a long record.
	maxFrameBytes = 256 << 20
	// recordBytes is the size of entry data after which a Save begins another
	// record.
	recordBytes = 4 << 20
)

var (
	errShortFrame   = errors.New("the record is incomplete")
	errDamagedFrame = errors.New("the record does not match its checksum")
	castagnoli      = crc32.MakeTable(crc32.Castagnoli)
)

// location is the place of a frame: the number of its file and its offset.
type location struct {
	file   uint64
	offset int
}

// position is the place of a snapshot in the log.
type position struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
}

// record is the unit of the log: it is recovered as a whole or not at all.
type record struct {
	HardState *consensus.HardState `msgpack:"h,omitempty"`
	Entries   []consensus.Entry    `msgpack:"e,omitempty"`
	// Snapshot says that a snapshot was saved: entries up to it are dropped,
	// and later ones too unless the log holds the snapshot's last entry.
	Snapshot *position `msgpack:"s,omitempty"`
}

func checksum(at location, length, payload []byte) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[0:], at.file)
	binary.LittleEndian.PutUint64(place[8:], uint64(at.offset))
	crc := crc32.Checksum(place[:], castagnoli)
	crc = crc32.Update(crc, castagnoli, length)
	return crc32.Update(crc, castagnoli, payload)
}

// appendFrame appends the frame of a payload to b; start is the location of b.
func appendFrame(b, payload []byte, start location) ([]byte, error) {
	if len(payload) > maxFrameBytes {
		return nil, errkind.New(errkind.BadRequest, "a record of %d bytes exceeds %d bytes", len(payload), maxFrameBytes)
	}
	var header [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[0:], frameMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	start.offset += len(b)
	binary.LittleEndian.PutUint32(header[8:], checksum(start, header[4:8], payload))
	b = append(b, header[:]...)
	return append(b, payload...), nil
}

// readFrame returns the payload of the frame at the start of b and the length
// of the frame; at is the location of b. Errors: errShortFrame, errDamagedFrame.
func readFrame(b []byte, at location) (payload []byte, length int, err error) {
	if len(b) < frameHeaderBytes {
		return nil, 0, errShortFrame
	}
	size := binary.LittleEndian.Uint32(b[4:])
	if binary.LittleEndian.Uint32(b) != frameMagic || size > maxFrameBytes {
		return nil, 0, errDamagedFrame
	}
	length = frameHeaderBytes + int(size)
	if len(b) < length {
		return nil, 0, errShortFrame
	}
	payload = b[frameHeaderBytes:length]
	if checksum(at, b[4:8], payload) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, errDamagedFrame
	}
	return payload, length, nil
}

// appendRecord appends a record to b; start is the location of b.
func appendRecord(b []byte, r record, start location) ([]byte, error) {
	payload, err := wire.Marshal(&r)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode log record")
	}
	return appendFrame(b, payload, start)
}

// readRecord decodes the record at the start of b and returns its length; at
// is the location of b.
func readRecord(b []byte, at location) (record, int, error) {
	payload, length, err := readFrame(b, at)
	if err != nil {
		return record{}, 0, err
	}
	var r record
	if err := wire.Unmarshal(payload, &r); err != nil {
		return record{}, 0, errDamagedFrame
	}
	return r, length, nil
}

// holdsRecord reports whether a whole record begins anywhere in b; start is
// the location of b.
func holdsRecord(b []byte, start location) bool {
	var magic [4]byte
	binary.LittleEndian.PutUint32(magic[:], frameMagic)
	for at := 0; at+frameHeaderBytes <= len(b); at++ {
		if [4]byte(b[at:at+4]) != magic {
			continue
		}
		if _, _, err := readFrame(b[at:], location{start.file, start.offset + at}); err == nil {
			return true
		}
	}
	return false
}

// split divides a Save into records; the hard state is in the first one, so
// that no entry is recovered without its term.
func split(hs *consensus.HardState, entries []consensus.Entry) []record {
	records := []record{{HardState: hs}}
	size := 0
	for _, e := range entries {
		if size > recordBytes {
			records = append(records, record{})
			size = 0
		}
		current := &records[len(records)-1]
		current.Entries = append(current.Entries, e)
		size += len(e.Data)
	}
	return records
}
