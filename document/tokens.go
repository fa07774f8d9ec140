package document

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// Bounds on the shape of a document. The YAML library works on some shapes in
// quadratic time, or recurses once a level; no document needs them.
const (
	maxDepth       = 8
	maxMappingKeys = 64
)

// forbidden are the parts of YAML that documents do without.
var forbidden = map[token.Type]string{
	token.AnchorType:        "anchors are not allowed",
	token.AliasType:         "aliases are not allowed",
	token.MergeKeyType:      "merge keys are not allowed",
	token.TagType:           "tags are not allowed",
	token.DirectiveType:     "directives are not allowed",
	token.MappingKeyType:    "complex keys are not allowed",
	token.DocumentEndType:   "more than one document",
	token.InvalidType:       "not YAML",
	token.UnknownType:       "not YAML",
	token.NanType:           "not a number",
	token.InfinityType:      "not a finite number",
	token.OctetIntegerType:  "octal numbers are not allowed; quote text",
	token.HexIntegerType:    "hexadecimal numbers are not allowed; quote text",
	token.BinaryIntegerType: "binary numbers are not allowed; quote text",
}

// checkTokens refuses what must not reach the YAML parser.
func checkTokens(tokens token.Tokens, f *Error) {
	var c tokenCheck
	for _, t := range tokens {
		if reason := c.next(t); reason != "" {
			f.add("%s (line %d, column %d)", reason, t.Position.Line, t.Position.Column)
			return
		}
	}
}

// tokenCheck follows the nesting of a document.
type tokenCheck struct {
	headers int
	// flow is the open brackets with the entries of each.
	flow []flowLevel
	// blocks are the open block mappings and sequences by column.
	blocks []blockLevel
	// last is the type of the last token that is no comment.
	last token.Type
}

type flowLevel struct {
	mapping bool
	keys    int
}

type blockLevel struct {
	column, keys int
}

// next returns why the token is refused, or "".
func (c *tokenCheck) next(t *token.Token) string {
	if t.Type == token.CommentType {
		return ""
	}
	defer func() { c.last = t.Type }()
	if reason := forbidden[t.Type]; reason != "" {
		return reason
	}
	switch t.Type {
	case token.DocumentHeaderType:
		c.headers++
		if c.headers > 1 || c.last != token.UnknownType {
			return "more than one document"
		}
	case token.MappingStartType, token.SequenceStartType:
		c.flow = append(c.flow, flowLevel{mapping: t.Type == token.MappingStartType})
	case token.MappingEndType, token.SequenceEndType:
		c.flow = c.flow[:max(len(c.flow)-1, 0)]
	case token.CollectEntryType:
		return c.flowEntry()
	case token.SequenceEntryType:
		return c.sequenceEntry(t.Position)
	case token.MappingValueType:
		return c.blockKey(t)
	}
	if len(c.flow)+len(c.blocks) > maxDepth {
		return fmt.Sprintf("nested deeper than %d levels", maxDepth)
	}
	return ""
}

func (c *tokenCheck) flowEntry() string {
	if len(c.flow) == 0 {
		return ""
	}
	top := &c.flow[len(c.flow)-1]
	top.keys++
	if top.mapping && top.keys > maxMappingKeys {
		return fmt.Sprintf("more than %d fields", maxMappingKeys)
	}
	return ""
}

// sequenceEntry refuses an item without a value, and a list in a list.
func (c *tokenCheck) sequenceEntry(at *token.Position) string {
	if c.last == token.SequenceEntryType {
		return "a list item has no value"
	}
	c.closeBlocks(at.Column)
	return ""
}

// closeBlocks forgets the blocks right of a column.
func (c *tokenCheck) closeBlocks(column int) {
	for len(c.blocks) > 0 && c.blocks[len(c.blocks)-1].column > column {
		c.blocks = c.blocks[:len(c.blocks)-1]
	}
}

func (c *tokenCheck) blockKey(t *token.Token) string {
	if len(c.flow) > 0 || t.Prev == nil {
		return ""
	}
	column := t.Prev.Position.Column
	c.closeBlocks(column)
	if n := len(c.blocks); n == 0 || c.blocks[n-1].column < column {
		c.blocks = append(c.blocks, blockLevel{column: column})
	}
	top := &c.blocks[len(c.blocks)-1]
	top.keys++
	if top.keys > maxMappingKeys {
		return fmt.Sprintf("more than %d fields", maxMappingKeys)
	}
	if len(c.blocks) > maxDepth {
		return fmt.Sprintf("nested deeper than %d levels", maxDepth)
	}
	return ""
}
