package folder

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// form is the type of a YAML value.
type form int

const (
	other form = iota
	text
	whole
	decimalForm
	truth
	list
)

// value is a YAML value without its syntax tree, which takes many times the memory of the file.
type value struct {
	form form
	// text is the value as it is written, without quotes.
	text  string
	items []value
}

func valueOf(n ast.Node) value {
	v := value{text: strings.Clone(scalar(n))}
	switch n.Type() {
	case ast.StringType, ast.LiteralType:
		v.form = text
	case ast.IntegerType:
		v.form = whole
	case ast.FloatType:
		v.form = decimalForm
	case ast.BoolType:
		v.form = truth
	case ast.SequenceType:
		v.form, v.text = list, ""
		for _, item := range n.(*ast.SequenceNode).Values {
			v.items = append(v.items, valueOf(item))
		}
	}
	return v
}

// String returns the value on one line.
func (v value) String() string {
	if v.form != list {
		return v.text
	}
	parts := make([]string, 0, len(v.items))
	for _, i := range v.items {
		parts = append(parts, i.text)
	}
	return "[" + strings.Join(parts, ", ") + "]"
}
