package configtext

import "github.com/goccy/go-yaml/token"

// Limits on the input of the YAML parser.
const (
	// maxNesting bounds nested flow collections and the indicators of nested
	// block collections on one line. The YAML parser recurses per level, and
	// its time and memory grow with the square of the depth.
	maxNesting = 32
	// maxEmptyValues bounds fields and items without a value. The YAML parser
	// inserts a token for each, in time that grows with the number of tokens:
	// 44,000 of them took 4.5 s.
	maxEmptyValues = 100
)

// Messages of the faults that checkTokens returns.
const (
	tooDeep     = "the text is nested too deeply"
	tooEmpty    = "the text has too many fields and items without a value"
	unsupported = "anchors, aliases, tags and complex keys are not accepted; put names such as \"*\" in quotes"
)

// tokenChecker finds input that is too costly for the YAML parser and YAML
// features that the format does not use. Its run time is linear in the number
// of tokens.
type tokenChecker struct {
	flow  []flowLevel
	block int // indicators of block collections on the current line
	line  int // number of the current line
	empty int // fields and items without a value so far
}

// flowLevel is an open flow collection.
type flowLevel struct {
	mapping bool
	colon   bool // the current entry has a colon
}

// checkTokens returns a fault for the first token because of which the text
// must not be parsed, or nil.
func checkTokens(tokens token.Tokens) *Fault {
	var c tokenChecker
	tokens = withoutComments(tokens)
	for i, tk := range tokens {
		var prev, next *token.Token
		if i > 0 {
			prev = tokens[i-1]
		}
		if i+1 < len(tokens) {
			next = tokens[i+1]
		}
		if message := c.check(prev, tk, next); message != "" {
			return &Fault{Line: tk.Position.Line, Column: tk.Position.Column, Kind: Syntax, Message: message}
		}
	}
	return nil
}

func withoutComments(tokens token.Tokens) token.Tokens {
	out := make(token.Tokens, 0, len(tokens))
	for _, tk := range tokens {
		if tk.Type != token.CommentType {
			out = append(out, tk)
		}
	}
	return out
}

// check processes a token and returns the message of a fault, or "". prev and
// next are the tokens beside it, or nil.
func (c *tokenChecker) check(prev, tk, next *token.Token) string {
	if tk.Position.Line != c.line {
		c.line = tk.Position.Line
		c.block = 0
	}
	switch tk.Type {
	case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType, token.DirectiveType:
		return unsupported
	case token.MappingStartType:
		c.flow = append(c.flow, flowLevel{mapping: true})
	case token.SequenceStartType:
		c.flow = append(c.flow, flowLevel{})
	case token.MappingEndType, token.SequenceEndType:
		c.endEntry()
		c.flow = c.flow[:max(len(c.flow)-1, 0)]
	case token.CollectEntryType:
		c.endEntry()
	case token.SequenceEntryType:
		c.block++
		c.countEmpty(tk, tk.Position.Column, next)
	case token.MappingValueType:
		c.block++
		c.markColon()
		column := tk.Position.Column
		if prev != nil && prev.Position.Line == tk.Position.Line {
			column = prev.Position.Column
		}
		c.countEmpty(tk, column, next)
	}
	switch {
	case len(c.flow) > maxNesting, len(c.flow) == 0 && c.block > maxNesting:
		return tooDeep
	case c.empty > maxEmptyValues:
		return tooEmpty
	}
	return ""
}

// endEntry ends an entry of a flow collection. It counts an entry of a mapping
// that has no colon as empty.
func (c *tokenChecker) endEntry() {
	n := len(c.flow)
	if n == 0 {
		return
	}
	if c.flow[n-1].mapping && !c.flow[n-1].colon {
		c.empty++
	}
	c.flow[n-1].colon = false
}

func (c *tokenChecker) markColon() {
	if n := len(c.flow); n > 0 {
		c.flow[n-1].colon = true
	}
}

// countEmpty counts tk, the indicator of a field or item, if no value follows
// it. In a block collection the value is on the same line or further right
// than column; only the items of a list may begin at the column of their field.
func (c *tokenChecker) countEmpty(tk *token.Token, column int, next *token.Token) {
	switch {
	case next == nil:
		c.empty++
	case next.Type == token.CollectEntryType, next.Type == token.MappingEndType, next.Type == token.SequenceEndType:
		c.empty++
	case next.Position.Line == tk.Position.Line || next.Position.Column > column:
	case next.Position.Column == column && next.Type == token.SequenceEntryType && tk.Type == token.MappingValueType:
	case len(c.flow) == 0:
		c.empty++
	}
}
