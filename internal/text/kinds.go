package text

import "fmt"

// The kinds of faults.
const (
	// Syntax: the text is not one YAML document of plain mappings and lists.
	Syntax = "syntax"
	// EmptyText: the text has no content.
	EmptyText = "empty_text"
	// TooLarge: the text exceeds MaxBytes.
	TooLarge = "too_large"
	// UnknownField: a mapping has a field that the format does not define.
	UnknownField = "unknown_field"
	// DuplicateField: a mapping has the same field twice.
	DuplicateField = "duplicate_field"
	// MissingField: a required field is absent or empty.
	MissingField = "missing_field"
	// WrongType: a value does not have the type that the field requires.
	WrongType = "wrong_type"
	// InvalidName: a name is too long, or has characters that cannot be sent in
	// headers and labels.
	InvalidName = "bad_name"
	// DuplicateName: two items of a kind have the same name.
	DuplicateName = "duplicate_name"
	// OutOfRange: a number or duration is outside its range.
	OutOfRange = "number_out_of_range"
	// UnknownDependency: depends_on names no service of the text.
	UnknownDependency = "unknown_dependency"
	// DependencyCycle: a service depends on itself through others.
	DependencyCycle = "dependency_cycle"
	// UnknownRegion: home_regions names no region of the text.
	UnknownRegion = "unknown_region"
	// AllDataCentresOut: no data centre of the text may receive work.
	AllDataCentresOut = "all_data_centres_out"
)

// String returns the fault as "line:column: kind: message", or as "kind:
// message" if the fault has no position.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Kind, f.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Kind, f.Message)
}
