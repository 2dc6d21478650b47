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
	identityName = "replica"
	// identityBytes is the length of a drawn identity.
	identityBytes = 8
	// BootstrapIdentity is the identity of the voters that start a cluster.
	BootstrapIdentity = "0"
)

// DrawReplicaID returns "vm/identity" with a random identity, for a data
// directory that is empty. A replica that lost its disk thereby never votes
// under a name whose votes and entries it no longer knows.
func DrawReplicaID(vm string) (string, error) {
	identity := make([]byte, identityBytes)
	if _, err := rand.Read(identity); err != nil {
		return "", errkind.Wrap(errkind.Internal, err, "draw a replica identity")
	}
	return vm + "/" + hex.EncodeToString(identity), nil
}

// SetReplicaID gives an empty data directory its identity. An identity is
// never replaced by another one.
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
		return s.latch(err)
	}
	_ = file.Close()
	s.replicaID = id
	return nil
}

// encodeIdentity returns a line with the identity and its checksum.
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
