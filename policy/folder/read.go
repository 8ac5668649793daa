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

// setting is a merged value.
type setting struct {
	origin Origin
	node   ast.Node
	// overridden are the origins that lost, the earliest first.
	overridden []Origin
}

// builder collects the values and the faults of a configuration.
type builder struct {
	settings map[key]setting
	// items are the origins of the items by section and name; the latest file that mentions an item counts.
	items map[string]map[string]Origin
	// order lists the names of each section's items in the order of their first mention.
	order  map[string][]string
	errors Errors
}

func newBuilder() *builder {
	return &builder{settings: map[key]setting{}, items: map[string]map[string]Origin{}, order: map[string][]string{}}
}

func (b *builder) fail(o Origin, kind Kind, name, message, remedy string) {
	b.errors = append(b.errors, &Error{File: o.File, Line: o.Line, Kind: kind, Key: name, Message: message, Remedy: remedy})
}

// read adds the values of one file.
func (b *builder) read(f File) {
	tree, err := parse(f.Data)
	if err != nil {
		b.fail(Origin{File: f.Name, Line: lineOf(err)}, Syntax, "", "file is no valid YAML: "+messageOf(err), "correct the syntax at this line")
		return
	}
	docs := 0
	for _, doc := range tree.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType || doc.Body.Type() == ast.CommentType {
			continue
		}
		docs++
		if docs > 1 {
			b.fail(at(f.Name, doc.Body), Syntax, "", "file holds several documents", "put each document into a file of its own")
			return
		}
		b.readSections(f.Name, doc.Body)
	}
}

func (b *builder) readSections(file string, body ast.Node) {
	for _, entry := range b.entries(file, "", body) {
		section := entry.name
		if _, ok := fields[section]; !ok {
			b.fail(entry.at, UnknownKey, section, "section is unknown", "use one of "+strings.Join(sections, ", "))
			continue
		}
		for _, item := range b.entries(file, section, entry.node) {
			b.readItem(file, section, item)
		}
	}
}

func (b *builder) readItem(file, section string, item entry) {
	name := section + "." + item.name
	if !nameForm.MatchString(item.name) {
		b.fail(item.at, BadRange, name, "name is not allowed", "use up to 100 letters, digits and the characters . _ - /, beginning with a letter or digit")
		return
	}
	if b.items[section] == nil {
		b.items[section] = map[string]Origin{}
	}
	if _, ok := b.items[section][item.name]; !ok {
		b.order[section] = append(b.order[section], item.name)
	}
	b.items[section][item.name] = item.at
	for _, field := range b.entries(file, name, item.node) {
		if _, ok := fields[section][field.name]; !ok {
			b.fail(field.at, UnknownKey, name+"."+field.name, "key is unknown", "use one of "+strings.Join(fieldNames(section), ", "))
			continue
		}
		b.set(key{section, item.name, field.name}, field)
	}
}

// set stores a value over the one of an earlier file.
func (b *builder) set(k key, e entry) {
	e.at.Value = text(e.node)
	s := setting{origin: e.at, node: e.node}
	if old, ok := b.settings[k]; ok {
		s.overridden = append(old.overridden, old.origin)
	}
	b.settings[k] = s
}

// indirect says why aliases are refused: an explanation could not name the line of a value, and nested ones expand without bound.
const indirect = "anchors, aliases, merge keys and tags are not allowed"

type entry struct {
	name string
	node ast.Node
	at   Origin
}

// entries returns the pairs of a mapping. An empty node has none.
func (b *builder) entries(file, name string, n ast.Node) []entry {
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
			b.fail(at(file, n), BadType, name, indirect, "write the values out")
			return nil
		}
		b.fail(at(file, n), BadType, name, "value is no mapping", "write names and values, each as \"name: value\"")
		return nil
	}
	out := make([]entry, 0, len(pairs))
	for _, p := range pairs {
		keyNode, ok := p.Key.(ast.Node)
		if !ok || p.Key.IsMergeKey() || isIndirect(keyNode) || p.Value == nil {
			b.fail(at(file, p), BadType, name, indirect, "write the values out")
			continue
		}
		out = append(out, entry{name: scalar(keyNode), node: p.Value, at: at(file, keyNode)})
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

// text returns a value on one line.
func text(n ast.Node) string {
	if list, ok := n.(*ast.SequenceNode); ok {
		parts := make([]string, 0, len(list.Values))
		for _, v := range list.Values {
			parts = append(parts, scalar(v))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return scalar(n)
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
