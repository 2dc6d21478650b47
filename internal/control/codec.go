package control

import (
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/text"
	"github.com/flamingoreel/flamingoreel/internal/wire"
)

// MaxCommandBytes is the size limit of an encoded command: a configuration text
// of maximum size and 4096 bytes for its envelope.
const MaxCommandBytes = text.MaxBytes + 4096

// Encode encodes a command as a log entry.
func Encode(c Command) ([]byte, error) {
	data, err := wire.Marshal(&c)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode command")
	}
	return data, nil
}

// Decode decodes a log entry. It fails if the entry does not hold exactly one
// command.
func Decode(data []byte) (Command, error) {
	var c Command
	if len(data) > MaxCommandBytes {
		return c, errkind.New(errkind.BadRequest, "command of %d bytes is too large", len(data))
	}
	if err := wire.Unmarshal(data, &c); err != nil {
		return Command{}, errkind.Wrap(errkind.BadRequest, err, "decode command")
	}
	if n := c.countFields(); n != 1 {
		return Command{}, errkind.New(errkind.BadRequest, "command has %d fields, want 1", n)
	}
	return c, nil
}

// countFields returns the number of fields that are set.
func (c Command) countFields() int {
	set := [...]bool{
		c.ChangeConfig != nil, c.RegisterVM != nil, c.RemoveVM != nil,
		c.RegisterTarget != nil, c.MarkTarget != nil, c.RemoveTarget != nil,
		c.SetDispatch != nil, c.Assign != nil, c.Drain != nil,
		c.Unassign != nil, c.Hold != nil, c.Split != nil, c.Merge != nil,
		c.DropHolderSets != nil, c.SetHolders != nil, c.AddResidency != nil,
	}
	n := 0
	for _, isSet := range set {
		if isSet {
			n++
		}
	}
	return n
}
