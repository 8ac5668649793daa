package configfile

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// valueType is the type of a YAML value.
type valueType int

const (
	typeOther valueType = iota
	typeString
	typeInt
	typeFloat
	typeBool
	typeList
)

// value is a YAML value detached from its syntax tree, which takes many times the memory of the
// file.
type value struct {
	valueType valueType
	// text is the value as written in the file, without quotes.
	text  string
	items []value
}

func valueOf(n ast.Node) value {
	v := value{text: strings.Clone(scalar(n))}
	switch n.Type() {
	case ast.StringType, ast.LiteralType:
		v.valueType = typeString
	case ast.IntegerType:
		v.valueType = typeInt
	case ast.FloatType:
		v.valueType = typeFloat
	case ast.BoolType:
		v.valueType = typeBool
	case ast.SequenceType:
		v.valueType, v.text = typeList, ""
		for _, item := range n.(*ast.SequenceNode).Values {
			v.items = append(v.items, valueOf(item))
		}
	}
	return v
}

// String formats the value on one line.
func (v value) String() string {
	if v.valueType != typeList {
		return v.text
	}
	parts := make([]string, 0, len(v.items))
	for _, i := range v.items {
		parts = append(parts, i.text)
	}
	return "[" + strings.Join(parts, ", ") + "]"
}
