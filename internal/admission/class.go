package admission

import "fmt"

// Class is the priority class of a request. A lower value is served first and
// shed last.
type Class uint8

// The request classes, highest priority first.
const (
	Interactive Class = iota
	Write
	Batch
	classCount
)

var classNames = [classCount]string{"interactive", "write", "batch"}

// String returns the name of the class in headers and metrics.
func (c Class) String() string {
	if c < classCount {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, error) {
	for c, known := range classNames {
		if name == known {
			return Class(c), nil
		}
	}
	return 0, fmt.Errorf("unknown class %q", name)
}
