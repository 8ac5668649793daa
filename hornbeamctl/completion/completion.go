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

// level describes what can follow one command or subcommand.
type level struct {
	// Path holds the commands entered so far, separated by spaces. It is empty at the top level.
	Path string
	// Last is the last command of Path.
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

// Run prints the script. Zsh uses the bash template, which adds a header for it.
func (c *Command) Run(app *kong.Kong, out *output.Printer) error {
	v := scriptData{Name: app.Model.Name, Zsh: c.Shell == "zsh"}
	v.add("", app.Model.Node)
	name := "bash"
	if c.Shell == "fish" {
		name = "fish"
	}
	return scripts.ExecuteTemplate(out.Out, name, v)
}

// add appends the levels of node and of its subcommands.
func (v *scriptData) add(path string, node *kong.Node) {
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
	v.Levels = append(v.Levels, l)
	for _, child := range children {
		v.add(strings.TrimSpace(path+" "+child.Name), child)
	}
}
