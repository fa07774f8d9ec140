package document

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// Limits on the nesting of a document and on the keys of a mapping. The YAML library
// takes quadratic time for some inputs and recurses once per level. No valid
// document exceeds the limits.
const (
	maxDepth       = 8
	maxMappingKeys = 64
)

// forbidden holds the YAML tokens that documents must not contain, with the reason
// to report.
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

// checkTokens rejects input that must not reach the YAML parser.
func checkTokens(tokens token.Tokens, f *Error) {
	var c tokenChecker
	for _, t := range tokens {
		if reason := c.check(t); reason != "" {
			f.add("%s (line %d, column %d)", reason, t.Position.Line, t.Position.Column)
			return
		}
	}
}

// tokenChecker tracks the nesting of a document.
type tokenChecker struct {
	headers int
	// flow holds the open flow collections.
	flow []flowLevel
	// blocks holds the open block mappings, by ascending column.
	blocks []blockLevel
	// last is the type of the last token that is not a comment.
	last token.Type
}

type flowLevel struct {
	mapping bool
	keys    int
}

type blockLevel struct {
	column, keys int
}

// check returns why the token is rejected, or "" if it is accepted.
func (c *tokenChecker) check(t *token.Token) string {
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

func (c *tokenChecker) flowEntry() string {
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

// sequenceEntry rejects an item without a value and a list directly in a list.
func (c *tokenChecker) sequenceEntry(at *token.Position) string {
	if c.last == token.SequenceEntryType {
		return "a list item has no value"
	}
	c.closeBlocks(at.Column)
	return ""
}

// closeBlocks removes the blocks that start to the right of the column.
func (c *tokenChecker) closeBlocks(column int) {
	for len(c.blocks) > 0 && c.blocks[len(c.blocks)-1].column > column {
		c.blocks = c.blocks[:len(c.blocks)-1]
	}
}

func (c *tokenChecker) blockKey(t *token.Token) string {
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
