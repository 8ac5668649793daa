package report

import (
	"os"
	"path/filepath"
)

// Command is the report command of hornbeambench.
type Command struct {
	Files  []string `arg:"" help:"JSON files of replay, load and control." type:"existingfile"`
	Before []string `help:"JSON files from before a change; they are compared with files of the same scenario and seed." type:"existingfile" placeholder:"FILE"`
	Out    string   `help:"Folder for the page and its plots." required:"" type:"path" placeholder:"DIR"`
	Format string   `help:"Format of the page: markdown or html." enum:"markdown,html" default:"markdown"`
	Title  string   `help:"Title of the page." default:"Measurements"`
}

// Run runs the command.
func (c *Command) Run() error {
	var in input
	for _, file := range c.Before {
		if err := in.read(Before, file); err != nil {
			return err
		}
	}
	for _, file := range c.Files {
		if err := in.read(After, file); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	b := builder{folder: c.Out, document: document{Title: c.Title}}
	if err := b.build(in); err != nil {
		return err
	}
	return c.write(b.document)
}

func (c *Command) write(d document) error {
	name, form := "report.md", d.markdown
	if c.Format == "html" {
		name, form = "report.html", d.html
	}
	file, err := os.Create(filepath.Join(c.Out, name))
	if err != nil {
		return err
	}
	if err := form(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
