package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/flamingoreel/flamingoreel/internal/consensus"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// A frame consists of a magic number, the payload length and a CRC, each 4 bytes
// in little endian, and the payload. The CRC covers the location of the frame, the
// length and the payload, so that it detects data that looks like a frame, and a
// frame at the wrong location.
const (
	frameMagic       = 0x464c5231
	frameHeaderBytes = 12
	// maxFrameBytes limits the payload of a frame, so that a damaged length is not
	// taken for a long record that is incomplete.
	maxFrameBytes = 256 << 20
	// recordSplitBytes is the size of the entry data in a record beyond which Save
	// begins another record.
	recordSplitBytes = 4 << 20
)

var (
	errShortFrame   = errors.New("the record is incomplete")
	errDamagedFrame = errors.New("the record does not match its checksum")
	castagnoli      = crc32.MakeTable(crc32.Castagnoli)
)

// location identifies where a frame is stored: the number of its file and its
// offset in bytes. The number of a snapshot file is the snapshot's index.
type location struct {
	file   uint64
	offset int
}

// position is the index and term of the last log entry that a snapshot covers.
type position struct {
	Index uint64 `msgpack:"i"`
	Term  uint64 `msgpack:"t"`
}

// record is the unit of writing to the log: recovery finds it complete or not at
// all.
type record struct {
	HardState *consensus.HardState `msgpack:"h,omitempty"`
	Entries   []consensus.Entry    `msgpack:"e,omitempty"`
	// Snapshot marks that a snapshot was saved: replay drops the entries that it
	// covers, and the later ones too unless the log contains the snapshot's last
	// entry.
	Snapshot *position `msgpack:"s,omitempty"`
}

// checksum returns the CRC of a frame with the encoded length and the payload.
func checksum(at location, length, payload []byte) uint32 {
	var encoded [16]byte
	binary.LittleEndian.PutUint64(encoded[0:], at.file)
	binary.LittleEndian.PutUint64(encoded[8:], uint64(at.offset))
	crc := crc32.Checksum(encoded[:], castagnoli)
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

// readFrame returns the payload of the frame at the start of b and the length of
// the frame; at is the location of b. It fails with errShortFrame or
// errDamagedFrame.
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

// containsRecord reports whether b contains a complete record at any offset;
// start is the location of b.
func containsRecord(b []byte, start location) bool {
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

// splitRecords divides the content of a Save into records. The hard state is in
// the first one, so that no entry is recovered without its term.
func splitRecords(hs *consensus.HardState, entries []consensus.Entry) []record {
	records := []record{{HardState: hs}}
	size := 0
	for _, e := range entries {
		if size > recordSplitBytes {
			records = append(records, record{})
			size = 0
		}
		current := &records[len(records)-1]
		current.Entries = append(current.Entries, e)
		size += len(e.Data)
	}
	return records
}
