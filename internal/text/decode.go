package text

import (
	"fmt"
	"math"
	"regexp"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// decoder reads the syntax tree of a configuration text and collects the
// faults it finds.
type decoder struct {
	faults []Fault
	nodes  nodeIndex
}

// fields maps the name of a field to the function that reads its value.
type fields map[string]func(ast.Node)

func (d *decoder) fault(n ast.Node, kind, format string, args ...any) {
	d.faults = append(d.faults, *faultAt(n, kind, format, args...))
}

func faultAt(n ast.Node, kind, format string, args ...any) *Fault {
	line, column := 1, 1
	if tk := firstToken(n); tk != nil && tk.Position != nil {
		line, column = tk.Position.Line, tk.Position.Column
	}
	return &Fault{Line: line, Column: column, Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// firstToken returns the token at which a node begins. The token of a mapping
// in block style is the colon of its first entry, so the first key is used.
func firstToken(n ast.Node) *token.Token {
	switch v := n.(type) {
	case nil:
		return nil
	case *ast.MappingNode:
		if !v.IsFlowStyle && len(v.Values) > 0 {
			return v.Values[0].Key.GetToken()
		}
	case *ast.MappingValueNode:
		return v.Key.GetToken()
	}
	return n.GetToken()
}

// entries returns the entries of a mapping; ok is false for other nodes.
func entries(n ast.Node) (values []*ast.MappingValueNode, ok bool) {
	switch v := n.(type) {
	case *ast.MappingNode:
		return v.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{v}, true
	}
	return nil, false
}

// mapping reads the fields of a mapping and reports unknown, duplicate and
// missing ones. A field with a null value counts as absent.
func (d *decoder) mapping(n ast.Node, what string, required []string, f fields) {
	values, ok := entries(n)
	if !ok {
		d.fault(n, WrongType, "%s must be a mapping", what)
		return
	}
	seen := map[string]bool{}
	for _, entry := range values {
		name, ok := d.fieldName(entry, what)
		if !ok {
			continue
		}
		read, known := f[name]
		if !known {
			d.fault(entry, UnknownField, "%s has no field %q", what, name)
			continue
		}
		if seen[name] {
			d.fault(entry, DuplicateField, "%s has the field %q twice", what, name)
			continue
		}
		if isNull(entry.Value) {
			continue
		}
		seen[name] = true
		read(entry.Value)
	}
	for _, name := range required {
		if !seen[name] {
			d.fault(n, MissingField, "%s needs the field %q", what, name)
		}
	}
}

func (d *decoder) fieldName(entry *ast.MappingValueNode, what string) (string, bool) {
	key, ok := entry.Key.(*ast.StringNode)
	if !ok {
		d.fault(entry, UnknownField, "%s has a field whose name is not plain text", what)
		return "", false
	}
	return key.Value, true
}

func isNull(n ast.Node) bool {
	return n == nil || n.Type() == ast.NullType
}

// list reads each item of a sequence.
func (d *decoder) list(n ast.Node, what string, read func(ast.Node)) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.fault(n, WrongType, "%s must be a list", what)
		return
	}
	for _, item := range seq.Values {
		if isNull(item) {
			d.fault(n, WrongType, "%s has an empty item", what)
			continue
		}
		read(item)
	}
}

// nonEmptyList reads each item of a sequence that must not be empty.
func (d *decoder) nonEmptyList(n ast.Node, what string, read func(ast.Node)) {
	if seq, ok := n.(*ast.SequenceNode); ok && len(seq.Values) == 0 {
		d.fault(n, MissingField, "%s is empty", what)
	}
	d.list(n, what, read)
}

func (d *decoder) str(n ast.Node, what string) string {
	switch v := n.(type) {
	case *ast.StringNode:
		return v.Value
	case *ast.LiteralNode:
		return v.Value.Value
	}
	d.fault(n, WrongType, "%s must be plain text", what)
	return ""
}

// Patterns of names. Names are sent in headers and used as labels, and "+"
// joins region names.
var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)
	tenantPattern = regexp.MustCompile(`^(\*|[A-Za-z0-9][A-Za-z0-9._-]{0,127})$`)
)

func (d *decoder) name(n ast.Node, what string, pattern *regexp.Regexp) string {
	before := len(d.faults)
	s := d.str(n, what)
	switch {
	case len(d.faults) > before:
	case s == "":
		d.fault(n, MissingField, "%s is empty", what)
	case !pattern.MatchString(s):
		d.fault(n, InvalidName, "%s %q does not match %s", what, s, pattern)
	}
	return s
}

// longIntegerPattern matches integers that may exceed 64 bits.
var longIntegerPattern = regexp.MustCompile(`^[+-]?[0-9]{19,}$`)

func (d *decoder) boolean(n ast.Node, what string) bool {
	v, ok := n.(*ast.BoolNode)
	if !ok {
		d.fault(n, WrongType, "%s must be true or false", what)
		return false
	}
	return v.Value
}

// integer reads an integer from lo to hi.
func (d *decoder) integer(n ast.Node, what string, lo, hi int) int {
	v, ok := n.(*ast.IntegerNode)
	if !ok && longIntegerPattern.MatchString(n.GetToken().Value) {
		// The YAML library parses integers of more than 64 bits as strings.
		d.fault(n, OutOfRange, "%s must be from %d to %d", what, lo, hi)
		return 0
	}
	if !ok {
		d.fault(n, WrongType, "%s must be a whole number", what)
		return 0
	}
	number := int64(math.MaxInt64)
	switch x := v.Value.(type) {
	case int64:
		number = x
	case uint64:
		if x < math.MaxInt64 {
			number = int64(x)
		}
	}
	if number < int64(lo) || number > int64(hi) {
		d.fault(n, OutOfRange, "%s must be from %d to %d", what, lo, hi)
		return 0
	}
	return int(number)
}

// number reads a number from lo to hi.
func (d *decoder) number(n ast.Node, what string, lo, hi float64) float64 {
	value := math.NaN()
	switch v := n.(type) {
	case *ast.FloatNode:
		value = v.Value
	case *ast.IntegerNode:
		value = integerAsFloat(v)
	case *ast.InfinityNode, *ast.NanNode:
	default:
		d.fault(n, WrongType, "%s must be a number", what)
		return 0
	}
	if !(value >= lo && value <= hi) {
		d.fault(n, OutOfRange, "%s must be from %g to %g", what, lo, hi)
		return 0
	}
	return value
}

func integerAsFloat(n *ast.IntegerNode) float64 {
	switch x := n.Value.(type) {
	case int64:
		return float64(x)
	case uint64:
		return float64(x)
	}
	return math.NaN()
}

// duration reads a duration such as "1h" from lo to hi.
func (d *decoder) duration(n ast.Node, what string, lo, hi time.Duration) time.Duration {
	s, ok := n.(*ast.StringNode)
	if !ok {
		d.fault(n, WrongType, "%s must be a duration such as 1h", what)
		return 0
	}
	value, err := time.ParseDuration(s.Value)
	if err != nil {
		d.fault(n, WrongType, "%s must be a duration such as 1h", what)
		return 0
	}
	if value < lo || value > hi {
		d.fault(n, OutOfRange, "%s must be from %s to %s", what, lo, hi)
		return 0
	}
	return value
}
