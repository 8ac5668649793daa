package report

import (
	"os"
	"path/filepath"
)

// Command is the report command of hornbeambench.
type Command struct {
	Files  []string `arg:"" help:"JSON files written by the replay, load and control commands." type:"existingfile"`
	Before []string `help:"JSON files from before a change, to compare with FILES of the same scenario and seed." type:"existingfile" placeholder:"FILE"`
	Out    string   `help:"Folder for the page and its plots." required:"" type:"path" placeholder:"DIR"`
	Format string   `help:"Format of the page: markdown or html." enum:"markdown,html" default:"markdown"`
	Title  string   `help:"Title of the page." default:"Measurements"`
}

// Run reads the files and writes the page with its plots.
func (c *Command) Run() error {
	var in inputs
	for _, file := range c.Before {
		if err := in.readFile(Before, file); err != nil {
			return err
		}
	}
	for _, file := range c.Files {
		if err := in.readFile(After, file); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	b := pageBuilder{outDir: c.Out, document: document{Title: c.Title}}
	if err := b.addSections(in); err != nil {
		return err
	}
	return c.writePage(b.document)
}

func (c *Command) writePage(doc document) error {
	name, write := "report.md", doc.writeMarkdown
	if c.Format == "html" {
		name, write = "report.html", doc.writeHTML
	}
	file, err := os.Create(filepath.Join(c.Out, name))
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
