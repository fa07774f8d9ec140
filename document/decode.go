package document

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// decoder decodes a parsed document into the types of this package. It collects
// all faults, not only the first, and the line of each field.
type decoder struct {
	faults *Error
	// lines holds the line of each field, by path.
	lines map[string]int
}

var durationType = reflect.TypeFor[Duration]()

// decodeNode decodes n into v.
func (d *decoder) decodeNode(n ast.Node, v reflect.Value, path string) {
	line := n.GetToken().Position.Line
	d.lines[path] = line
	if reason := setValue(n, v); reason != "" {
		d.faults.add("%s: %s (line %d)", pathOrDocument(path), reason, line)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeMapping(n.(ast.MapNode), v, path)
	case reflect.Slice:
		for i, item := range n.(*ast.SequenceNode).Values {
			d.decodeNode(item, v.Index(i), path+"["+strconv.Itoa(i)+"]")
		}
	}
}

func (d *decoder) decodeMapping(m ast.MapNode, v reflect.Value, path string) {
	seen := make(map[string]bool)
	for it := m.MapRange(); it.Next(); {
		key := it.Key().GetToken()
		name := key.Value
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		field, ok := fieldOf(v, name)
		switch {
		case !ok:
			d.faults.add("%s: unknown field; known fields are %s (line %d, column %d)", fieldPath, knownFields(v.Type()), key.Position.Line, key.Position.Column)
		case seen[name]:
			d.faults.add("%s: duplicate field (line %d, column %d)", fieldPath, key.Position.Line, key.Position.Column)
		default:
			d.decodeNode(it.Value(), field, fieldPath)
		}
		seen[name] = true
	}
}

func fieldOf(v reflect.Value, name string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("yaml") == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func knownFields(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("yaml"))
	}
	return strings.Join(names, ", ")
}

// setValue stores a scalar in v, or allocates the items of a list. It returns the
// reason if n has the wrong type or value, and "" otherwise.
func setValue(n ast.Node, v reflect.Value) string {
	if n.Type() == ast.NullType {
		return "has no value"
	}
	if v.Type() == durationType {
		return setDuration(n, v)
	}
	switch v.Kind() {
	case reflect.Struct:
		_, ok := n.(ast.MapNode)
		return reasonUnless(ok, "not a mapping")
	case reflect.Slice:
		list, ok := n.(*ast.SequenceNode)
		if ok {
			v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
		}
		return reasonUnless(ok, "not a list")
	case reflect.String:
		text, ok := n.(*ast.StringNode)
		if ok {
			v.SetString(text.Value)
		}
		return reasonUnless(ok, "not a string; write it in quotes")
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if ok {
			v.SetBool(b.Value)
		}
		return reasonUnless(ok, "neither true nor false")
	default:
		return setNumber(n, v)
	}
}

func setDuration(n ast.Node, v reflect.Value) string {
	text, ok := n.(*ast.StringNode)
	if !ok {
		return fmt.Sprintf("%.32q is not a duration such as 250ms or 2s", n.GetToken().Value)
	}
	duration, err := time.ParseDuration(text.Value)
	switch {
	case err != nil:
		return fmt.Sprintf("%.32q is not a duration such as 250ms or 2s", text.Value)
	case duration < 0:
		return fmt.Sprintf("%v is negative", duration)
	}
	v.SetInt(int64(duration))
	return ""
}

func setNumber(n ast.Node, v reflect.Value) string {
	text := n.GetToken().Value
	isInteger := n.Type() == ast.IntegerType
	switch v.Kind() {
	case reflect.Int:
		i, err := strconv.ParseInt(text, 10, 32)
		v.SetInt(i)
		return reasonUnless(isInteger && err == nil, "not a 32-bit integer")
	case reflect.Uint64:
		u, err := strconv.ParseUint(text, 10, 64)
		v.SetUint(u)
		return reasonUnless(isInteger && err == nil, "not an unsigned 64-bit integer")
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		v.SetFloat(f)
		return reasonUnless((isInteger || n.Type() == ast.FloatType) && err == nil, "not a number")
	}
	return "unsupported type"
}

func reasonUnless(ok bool, reason string) string {
	if ok {
		return ""
	}
	return reason
}

func pathOrDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
