package storage

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"strings"

	"github.com/flamingoreel/flamingoreel/internal/errkind"
)

const (
	// identityName is the name of the file that holds the replica ID.
	identityName = "replica"
	// identityBytes is the number of random bytes in a generated identity.
	identityBytes = 8
	// BootstrapIdentity is the identity of the initial voters of a cluster.
	BootstrapIdentity = "0"
)

// NewReplicaID returns the replica ID "vm/identity" with a random identity, for
// an empty data directory. So a replica that lost its disk never votes under an
// ID whose votes and entries it has lost.
func NewReplicaID(vm string) (string, error) {
	identity := make([]byte, identityBytes)
	if _, err := rand.Read(identity); err != nil {
		return "", errkind.Wrap(errkind.Internal, err, "generate a replica identity")
	}
	return vm + "/" + hex.EncodeToString(identity), nil
}

// SetReplicaID stores the replica ID in an empty data directory. It fails if the
// directory has a different ID.
func (s *Store) SetReplicaID(id string) error {
	if s.failed != nil {
		return s.writable()
	}
	if s.replicaID == id && id != "" {
		return nil
	}
	if s.replicaID != "" {
		return errkind.New(errkind.BadRequest, "data directory %s belongs to replica %q, not %q", s.dir, s.replicaID, id)
	}
	if id == "" || strings.ContainsAny(id, " \n") {
		return errkind.New(errkind.BadRequest, "replica identity %q is empty or contains a space", id)
	}
	file, err := s.writeFile(identityName, encodeIdentity(id))
	if err != nil {
		return s.recordFailure(err)
	}
	_ = file.Close()
	s.replicaID = id
	return nil
}

// encodeIdentity returns a line with the replica ID and its checksum.
func encodeIdentity(id string) []byte {
	return fmt.Appendf(nil, "%s %08x\n", id, crc32.Checksum([]byte(id), castagnoli))
}

func decodeIdentity(path string, data []byte) (string, error) {
	id, _, _ := strings.Cut(string(data), " ")
	if id == "" || string(encodeIdentity(id)) != string(data) {
		return "", &DamageError{File: path, Reason: "the replica identity does not match its checksum"}
	}
	return id, nil
}
