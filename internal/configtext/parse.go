package configtext

import (
	"bytes"
	"errors"
	"fmt"
	"sort"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// maxFaults is the largest number of faults that Parse returns.
const maxFaults = 200

// Parse parses a configuration text and fills in defaults. It returns either a
// valid text and no faults, or nil and the faults sorted by position, at most
// maxFaults. It does not panic for any input.
func Parse(data []byte) (*Text, []Fault) {
	if len(data) > MaxBytes {
		return nil, []Fault{{Kind: TooLarge, Message: fmt.Sprintf("the text has %d bytes, more than %d", len(data), MaxBytes)}}
	}
	root, fault := readTree(data)
	if fault != nil {
		return nil, []Fault{*fault}
	}
	if root == nil {
		return nil, []Fault{{Line: 1, Column: 1, Kind: EmptyText, Message: "the text is empty"}}
	}
	d := &decoder{nodes: newNodeIndex()}
	t := d.text(root)
	d.checkReferences(t)
	if len(d.faults) > 0 {
		return nil, sortedFaults(d.faults)
	}
	return t, nil
}

// readTree returns the root node of the only document, or nil if there is none.
func readTree(data []byte) (root ast.Node, fault *Fault) {
	// The YAML library may panic: it indexes slices by positions that it read
	// from the text.
	defer func() {
		if r := recover(); r != nil {
			root, fault = nil, &Fault{Line: 1, Column: 1, Kind: Syntax, Message: "the text is not valid YAML"}
		}
	}()
	if bytes.IndexByte(data, 0) >= 0 {
		return nil, &Fault{Line: 1, Column: 1, Kind: Syntax, Message: "the text contains a NUL byte"}
	}
	tokens := lexer.Tokenize(string(data))
	if fault := checkTokens(tokens); fault != nil {
		return nil, fault
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxFault(err)
	}
	return onlyDocument(file)
}

// onlyDocument returns the body of the only document that has one, or nil if
// there is none or if it is null. More than one is a fault.
func onlyDocument(file *ast.File) (ast.Node, *Fault) {
	var root ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if doc.Body.Type() == ast.CommentType {
			continue
		}
		if root != nil {
			return nil, faultAt(doc.Body, Syntax, "the text has more than one document")
		}
		root = doc.Body
	}
	if root != nil && root.Type() == ast.NullType {
		return nil, nil
	}
	return root, nil
}

func syntaxFault(err error) *Fault {
	var se *yaml.SyntaxError
	if errors.As(err, &se) && se.Token != nil && se.Token.Position != nil {
		return &Fault{Line: se.Token.Position.Line, Column: se.Token.Position.Column, Kind: Syntax, Message: se.Message}
	}
	return &Fault{Line: 1, Column: 1, Kind: Syntax, Message: "the text is not valid YAML"}
}

// sortedFaults returns at most maxFaults faults, sorted by position.
func sortedFaults(faults []Fault) []Fault {
	sort.SliceStable(faults, func(i, j int) bool {
		if faults[i].Line != faults[j].Line {
			return faults[i].Line < faults[j].Line
		}
		return faults[i].Column < faults[j].Column
	})
	if len(faults) > maxFaults {
		faults = faults[:maxFaults]
	}
	return faults
}
