package folder

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// nameForm leaves out the colon, which separates model and adapter in requests.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,99}$`)

// parsed is what one file says. It is never modified, so that it can be kept for the next load.
type parsed struct {
	items  []mention
	values []parsedValue
	errors Errors
}

// mention is an item that a file names.
type mention struct {
	section, name string
	at            Origin
}

type parsedValue struct {
	key    key
	value  value
	origin Origin
}

func (p *parsed) fail(o Origin, kind Kind, name, message, remedy string) {
	p.errors = append(p.errors, &Error{File: o.File, Line: o.Line, Kind: kind, Key: name, Message: message, Remedy: remedy})
}

// parseFile reads one file.
func parseFile(f File) *parsed {
	p := &parsed{}
	tree, err := parse(f.Data)
	if err != nil {
		p.fail(Origin{File: f.Name, Line: lineOf(err)}, Syntax, "", "file is no valid YAML: "+messageOf(err), "correct the syntax at this line")
		return p
	}
	docs := 0
	for _, doc := range tree.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType || doc.Body.Type() == ast.CommentType {
			continue
		}
		docs++
		if docs > 1 {
			p.fail(at(f.Name, doc.Body), Syntax, "", "file holds several documents", "put each document into a file of its own")
			return p
		}
		p.readSections(f.Name, doc.Body)
	}
	return p
}

func (p *parsed) readSections(file string, body ast.Node) {
	for _, entry := range p.entries(file, "", body) {
		section := entry.name
		if _, ok := fields[section]; !ok {
			p.fail(entry.at, UnknownKey, section, "section is unknown", "use one of "+strings.Join(sections, ", "))
			continue
		}
		for _, item := range p.entries(file, section, entry.node) {
			p.readItem(file, section, item)
		}
	}
}

func (p *parsed) readItem(file, section string, item entry) {
	name := section + "." + item.name
	if !nameForm.MatchString(item.name) {
		p.fail(item.at, BadRange, name, "name is not allowed", "use up to 100 letters, digits and the characters . _ - /, beginning with a letter or digit")
		return
	}
	p.items = append(p.items, mention{section, item.name, item.at})
	for _, field := range p.entries(file, name, item.node) {
		if _, ok := fields[section][field.name]; !ok {
			p.fail(field.at, UnknownKey, name+"."+field.name, "key is unknown", "use one of "+strings.Join(fieldNames(section), ", "))
			continue
		}
		v := valueOf(field.node)
		field.at.Value = v.String()
		p.values = append(p.values, parsedValue{key{section, item.name, field.name}, v, field.at})
	}
}

// indirect says why aliases are refused: an explanation could not name the line of a value, and nested ones expand without bound.
const indirect = "anchors, aliases, merge keys and tags are not allowed"

type entry struct {
	name string
	node ast.Node
	at   Origin
}

// entries returns the pairs of a mapping. An empty node has none.
func (p *parsed) entries(file, name string, n ast.Node) []entry {
	var pairs []*ast.MappingValueNode
	switch n := n.(type) {
	case *ast.MappingNode:
		pairs = n.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{n}
	case *ast.NullNode:
		return nil
	default:
		if isIndirect(n) {
			p.fail(at(file, n), BadType, name, indirect, "write the values out")
			return nil
		}
		p.fail(at(file, n), BadType, name, "value is no mapping", "write names and values, each as \"name: value\"")
		return nil
	}
	out := make([]entry, 0, len(pairs))
	for _, pair := range pairs {
		keyNode, ok := pair.Key.(ast.Node)
		if !ok || pair.Key.IsMergeKey() || isIndirect(keyNode) || pair.Value == nil {
			p.fail(at(file, pair), BadType, name, indirect, "write the values out")
			continue
		}
		out = append(out, entry{name: scalar(keyNode), node: pair.Value, at: at(file, keyNode)})
	}
	return out
}

func isIndirect(n ast.Node) bool {
	switch n.Type() {
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType, ast.DirectiveType:
		return true
	}
	return false
}

// scalar returns the text of a scalar without quotes.
func scalar(n ast.Node) string {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value
	case *ast.LiteralNode:
		return n.Value.Value
	case *ast.MappingKeyNode:
		return n.String()
	}
	if t := n.GetToken(); t != nil {
		return t.Value
	}
	return ""
}

func at(file string, n ast.Node) Origin {
	o := Origin{File: file}
	if t := n.GetToken(); t != nil && t.Position != nil {
		o.Line = t.Position.Line
	}
	return o
}

// parse returns an error where the YAML library panics, because a file of an operator must not end the process.
func parse(data []byte) (tree *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			tree, err = nil, fmt.Errorf("the parser failed: %v", r)
		}
	}()
	return parser.ParseBytes(data, 0)
}

func lineOf(err error) int {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil && syntax.Token.Position != nil {
		return syntax.Token.Position.Line
	}
	return 0
}

func messageOf(err error) string {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Message
	}
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}
