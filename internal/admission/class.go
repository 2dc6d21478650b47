package admission

import "fmt"

// Class orders requests: a lower value is served first and shed last.
type Class uint8

// The classes of requests.
const (
	Interactive Class = iota
	Write
	Batch
	classCount
)

var classNames = [classCount]string{"interactive", "write", "batch"}

// String returns the name that headers and metrics use.
func (c Class) String() string {
	if c < classCount {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass returns the class of a name.
func ParseClass(name string) (Class, error) {
	for c, known := range classNames {
		if name == known {
			return Class(c), nil
		}
	}
	return 0, fmt.Errorf("unknown class %q", name)
}
