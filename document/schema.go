package document

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// schemaCheck compares a parsed document with the types of this package, and
// notes each fault and where each field stands.
type schemaCheck struct {
	faults *Error
	// lines holds the line of each field, by place.
	lines map[string]int
}

var durationType = reflect.TypeFor[Duration]()

// node checks that n can be decoded into a value of type t.
func (c *schemaCheck) node(n ast.Node, t reflect.Type, place string) {
	line := n.GetToken().Position.Line
	c.lines[place] = line
	if why := mismatch(n, t); why != "" {
		c.faults.add("%s: %s (line %d)", orDocument(place), why, line)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.mapping(n.(ast.MapNode), t, place)
	case reflect.Slice:
		for i, item := range n.(*ast.SequenceNode).Values {
			c.node(item, t.Elem(), place+"["+strconv.Itoa(i)+"]")
		}
	}
}

func (c *schemaCheck) mapping(m ast.MapNode, t reflect.Type, place string) {
	seen := make(map[string]bool)
	for it := m.MapRange(); it.Next(); {
		key := it.Key().GetToken()
		name := key.Value
		at := strings.TrimPrefix(place+"."+name, ".")
		field, ok := fieldOf(t, name)
		switch {
		case !ok:
			c.faults.add("%s: unknown field; known are %s (line %d, column %d)", at, known(t), key.Position.Line, key.Position.Column)
		case seen[name]:
			c.faults.add("%s: stands twice (line %d, column %d)", at, key.Position.Line, key.Position.Column)
		default:
			c.node(it.Value(), field, at)
		}
		seen[name] = true
	}
}

func fieldOf(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("yaml") == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func known(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("yaml"))
	}
	return strings.Join(names, ", ")
}

// mismatch returns why n is no t, or "".
func mismatch(n ast.Node, t reflect.Type) string {
	if n.Type() == ast.NullType {
		return "has no value"
	}
	value := n.GetToken().Value
	if t == durationType {
		if d, err := time.ParseDuration(value); !isText(n) || err != nil {
			return fmt.Sprintf("%.32q is no time span such as 250ms or 2s", value)
		} else if d < 0 {
			return fmt.Sprintf("%v is below 0", d)
		}
		return ""
	}
	switch t.Kind() {
	case reflect.Struct:
		_, ok := n.(ast.MapNode)
		return unless(ok, "not a list of fields")
	case reflect.Slice:
		_, ok := n.(*ast.SequenceNode)
		return unless(ok, "not a list")
	case reflect.String:
		return unless(isText(n), "not text; write it in quotes")
	case reflect.Bool:
		return unless(n.Type() == ast.BoolType, "neither true nor false")
	case reflect.Int:
		_, err := strconv.ParseInt(value, 10, 32)
		return unless(n.Type() == ast.IntegerType && err == nil, "not a whole number of up to 31 bits")
	case reflect.Uint64:
		_, err := strconv.ParseUint(value, 10, 64)
		return unless(n.Type() == ast.IntegerType && err == nil, "not a whole number from 0")
	case reflect.Float64:
		_, err := strconv.ParseFloat(value, 64)
		return unless((n.Type() == ast.IntegerType || n.Type() == ast.FloatType) && err == nil, "not a number")
	}
	return "cannot be read"
}

func unless(ok bool, why string) string {
	if ok {
		return ""
	}
	return why
}

func isText(n ast.Node) bool {
	return n.Type() == ast.StringType
}

func orDocument(place string) string {
	if place == "" {
		return "document"
	}
	return place
}
