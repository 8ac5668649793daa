// Package completion is the command that writes scripts for the completion of commands and flags in shells.
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

// Command writes a script.
type Command struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"Shell: bash, zsh or fish."`
}

// level is one place on a command line.
type level struct {
	// Path holds the commands so far, separated by spaces; empty at the start.
	Path string
	// Last is the last command of Path.
	Last     string
	Commands []string
	Flags    []string
}

type view struct {
	Name   string
	Zsh    bool
	Levels []level
}

// Run runs the command.
func (c *Command) Run(app *kong.Kong, out *output.Printer) error {
	v := view{Name: app.Model.Name, Zsh: c.Shell == "zsh"}
	v.add("", app.Model.Node)
	name := "bash"
	if c.Shell == "fish" {
		name = "fish"
	}
	return scripts.ExecuteTemplate(out.Out, name, v)
}

func (v *view) add(path string, node *kong.Node) {
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
