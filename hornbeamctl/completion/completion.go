// Package completion implements the command that prints shell completion scripts for commands and
// flags.
package completion

import (
	_ "embed"
	"sort"
	"strings"
	"text/template"

	"github.com/alecthomas/kong"

	"hornbeamstep.example/hornbeamctl/output"
)

var (
	//go:embed bash.tmpl
	bashSource string
	//go:embed fish.tmpl
	fishSource string

	scripts = template.Must(template.Must(template.New("bash").Parse(bashSource)).New("fish").Parse(fishSource))
)

// Command prints the completion script of a shell.
type Command struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"Shell: bash, zsh or fish."`
}

// level lists the subcommands and flags that can follow one command.
type level struct {
	// Path is the command with its parent commands, such as "quarantine release". It is empty for
	// the program itself.
	Path string
	// Last is the last word of Path.
	Last     string
	Commands []string
	Flags    []string
}

// scriptData is the input of the script templates.
type scriptData struct {
	Name   string
	Zsh    bool
	Levels []level
}

// Run prints the script. The bash template also serves zsh, for which it adds a header.
func (c *Command) Run(app *kong.Kong, out *output.Printer) error {
	data := scriptData{Name: app.Model.Name, Zsh: c.Shell == "zsh"}
	data.add("", app.Model.Node)
	name := "bash"
	if c.Shell == "fish" {
		name = "fish"
	}
	return scripts.ExecuteTemplate(out.Out, name, data)
}

// add appends the level of node, which is reached by path, and those of its subcommands.
func (d *scriptData) add(path string, node *kong.Node) {
	l := level{Path: path, Last: path[strings.LastIndexByte(path, ' ')+1:]}
	for _, group := range node.AllFlags(true) {
		for _, flag := range group {
			l.Flags = append(l.Flags, flag.Name)
		}
	}
	var children []*kong.Node
	for _, child := range node.Children {
		if child.Type == kong.CommandNode && !child.Hidden {
			children = append(children, child)
			l.Commands = append(l.Commands, child.Name)
		}
	}
	sort.Strings(l.Flags)
	d.Levels = append(d.Levels, l)
	for _, child := range children {
		d.add(strings.TrimSpace(path+" "+child.Name), child)
	}
}
