package document

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// decoder fills the types of this package from a parsed document. It notes
// every fault, not only the first, and where each field stands.
type decoder struct {
	faults *Error
	// lines holds the line of each field, by place.
	lines map[string]int
}

var durationType = reflect.TypeFor[Duration]()

// node decodes n into v.
func (d *decoder) node(n ast.Node, v reflect.Value, place string) {
	line := n.GetToken().Position.Line
	d.lines[place] = line
	if why := set(n, v); why != "" {
		d.faults.add("%s: %s (line %d)", orDocument(place), why, line)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.mapping(n.(ast.MapNode), v, place)
	case reflect.Slice:
		for i, item := range n.(*ast.SequenceNode).Values {
			d.node(item, v.Index(i), place+"["+strconv.Itoa(i)+"]")
		}
	}
}

func (d *decoder) mapping(m ast.MapNode, v reflect.Value, place string) {
	seen := make(map[string]bool)
	for it := m.MapRange(); it.Next(); {
		key := it.Key().GetToken()
		name := key.Value
		at := strings.TrimPrefix(place+"."+name, ".")
		field, ok := fieldOf(v, name)
		switch {
		case !ok:
			d.faults.add("%s: unknown field; known are %s (line %d, column %d)", at, known(v.Type()), key.Position.Line, key.Position.Column)
		case seen[name]:
			d.faults.add("%s: stands twice (line %d, column %d)", at, key.Position.Line, key.Position.Column)
		default:
			d.node(it.Value(), field, at)
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

func known(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("yaml"))
	}
	return strings.Join(names, ", ")
}

// set puts a scalar into v, and makes room for the items of a list. It returns
// why n does not fit, or "".
func set(n ast.Node, v reflect.Value) string {
	if n.Type() == ast.NullType {
		return "has no value"
	}
	if v.Type() == durationType {
		return setDuration(n, v)
	}
	switch v.Kind() {
	case reflect.Struct:
		_, ok := n.(ast.MapNode)
		return unless(ok, "not a list of fields")
	case reflect.Slice:
		list, ok := n.(*ast.SequenceNode)
		if ok {
			v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
		}
		return unless(ok, "not a list")
	case reflect.String:
		text, ok := n.(*ast.StringNode)
		if ok {
			v.SetString(text.Value)
		}
		return unless(ok, "not text; write it in quotes")
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if ok {
			v.SetBool(b.Value)
		}
		return unless(ok, "neither true nor false")
	default:
		return setNumber(n, v)
	}
}

func setDuration(n ast.Node, v reflect.Value) string {
	text, ok := n.(*ast.StringNode)
	if !ok {
		return fmt.Sprintf("%.32q is no time span such as 250ms or 2s", n.GetToken().Value)
	}
	span, err := time.ParseDuration(text.Value)
	switch {
	case err != nil:
		return fmt.Sprintf("%.32q is no time span such as 250ms or 2s", text.Value)
	case span < 0:
		return fmt.Sprintf("%v is below 0", span)
	}
	v.SetInt(int64(span))
	return ""
}

func setNumber(n ast.Node, v reflect.Value) string {
	text := n.GetToken().Value
	whole := n.Type() == ast.IntegerType
	switch v.Kind() {
	case reflect.Int:
		i, err := strconv.ParseInt(text, 10, 32)
		v.SetInt(i)
		return unless(whole && err == nil, "not a whole number of up to 31 bits")
	case reflect.Uint64:
		u, err := strconv.ParseUint(text, 10, 64)
		v.SetUint(u)
		return unless(whole && err == nil, "not a whole number from 0")
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		v.SetFloat(f)
		return unless((whole || n.Type() == ast.FloatType) && err == nil, "not a number")
	}
	return "cannot be read"
}

func unless(ok bool, why string) string {
	if ok {
		return ""
	}
	return why
}

func orDocument(place string) string {
	if place == "" {
		return "document"
	}
	return place
}
