package configfile

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// namePattern matches the names of items. It excludes the colon, which separates model and adapter
// in requests.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,99}$`)

// parsedFile is the parsed content of one file. It is immutable because Loader reuses it in the
// next load.
type parsedFile struct {
	items  []itemOrigin
	values []parsedValue
	errors Errors
}

// itemOrigin is the place where a file declares an item.
type itemOrigin struct {
	section, name string
	origin        Origin
}

type parsedValue struct {
	key    key
	value  value
	origin Origin
}

func (p *parsedFile) addError(o Origin, kind Kind, name, message, remedy string) {
	p.errors = append(p.errors, &Error{File: o.File, Line: o.Line, Kind: kind, Key: name, Message: message, Remedy: remedy})
}

// parseFile parses one file. Its errors are collected in the result.
func parseFile(f File) *parsedFile {
	p := &parsedFile{}
	tree, err := parse(f.Data)
	if err != nil {
		p.addError(Origin{File: f.Name, Line: lineOf(err)}, Syntax, "", "file is not valid YAML: "+messageOf(err), "correct the syntax at this line")
		return p
	}
	docs := 0
	for _, doc := range tree.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType || doc.Body.Type() == ast.CommentType {
			continue
		}
		docs++
		if docs > 1 {
			p.addError(originOf(f.Name, doc.Body), Syntax, "", "file contains several YAML documents", "put each document in its own file")
			return p
		}
		p.readSections(f.Name, doc.Body)
	}
	return p
}

func (p *parsedFile) readSections(file string, body ast.Node) {
	for _, entry := range p.entries(file, "", body) {
		section := entry.name
		if _, ok := fields[section]; !ok {
			p.addError(entry.at, UnknownKey, section, "section is unknown", "use one of "+strings.Join(sections, ", "))
			continue
		}
		for _, item := range p.entries(file, section, entry.node) {
			p.readItem(file, section, item)
		}
	}
}

func (p *parsedFile) readItem(file, section string, item entry) {
	name := section + "." + item.name
	if !namePattern.MatchString(item.name) {
		p.addError(item.at, BadRange, name, "name is not allowed", "use up to 100 letters, digits and the characters . _ - /, beginning with a letter or digit")
		return
	}
	p.items = append(p.items, itemOrigin{section, item.name, item.at})
	for _, field := range p.entries(file, name, item.node) {
		if _, ok := fields[section][field.name]; !ok {
			p.addError(field.at, UnknownKey, name+"."+field.name, "key is unknown", "use one of "+strings.Join(fieldNames(section), ", "))
			continue
		}
		v := valueOf(field.node)
		field.at.Value = v.String()
		p.values = append(p.values, parsedValue{key{section, item.name, field.name}, v, field.at})
	}
}

// indirectionMessage rejects aliases and the like: with them, Explain could not give the line of a
// value, and nested aliases expand without bound.
const indirectionMessage = "anchors, aliases, merge keys and tags are not allowed"

type entry struct {
	name string
	node ast.Node
	at   Origin
}

// entries returns the key-value pairs of a mapping, none for a null node.
func (p *parsedFile) entries(file, name string, n ast.Node) []entry {
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
			p.addError(originOf(file, n), BadType, name, indirectionMessage, "write out the values")
			return nil
		}
		p.addError(originOf(file, n), BadType, name, "value is not a mapping", "write names and values, each as \"name: value\"")
		return nil
	}
	out := make([]entry, 0, len(pairs))
	for _, pair := range pairs {
		keyNode, ok := pair.Key.(ast.Node)
		if !ok || pair.Key.IsMergeKey() || isIndirect(keyNode) || pair.Value == nil {
			p.addError(originOf(file, pair), BadType, name, indirectionMessage, "write out the values")
			continue
		}
		out = append(out, entry{name: scalar(keyNode), node: pair.Value, at: originOf(file, keyNode)})
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

// scalar returns the unquoted text of a scalar node.
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

func originOf(file string, n ast.Node) Origin {
	o := Origin{File: file}
	if t := n.GetToken(); t != nil && t.Position != nil {
		o.Line = t.Position.Line
	}
	return o
}

// parse parses YAML and turns a panic of the library into an error, so that an invalid file cannot
// crash the process.
func parse(data []byte) (tree *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			tree, err = nil, fmt.Errorf("YAML parser panicked: %v", r)
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
