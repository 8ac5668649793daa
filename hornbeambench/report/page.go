package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
)

//go:embed page.html.tmpl
var pageSource string

var page = template.Must(template.New("page").Parse(pageSource))

// document is the content of a page, whatever its format.
type document struct {
	Title    string
	Sections []section
}

type section struct {
	Title string
	Text  []string
	Table *table
	// Images are file names beside the page.
	Images []image
}

type table struct {
	Head []string
	Rows [][]string
}

type image struct{ File, Alt string }

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		switch value := c.(type) {
		case float64:
			texts[i] = short(value)
		default:
			texts[i] = fmt.Sprint(value)
		}
	}
	t.Rows = append(t.Rows, texts)
}

func (d document) html(w io.Writer) error { return page.Execute(w, d) }

func (d document) markdown(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "# %s\n", d.Title)
	for _, s := range d.Sections {
		fmt.Fprintf(&text, "\n## %s\n", s.Title)
		for _, paragraph := range s.Text {
			fmt.Fprintf(&text, "\n%s\n", paragraph)
		}
		s.Table.markdown(&text)
		for _, i := range s.Images {
			fmt.Fprintf(&text, "\n![%s](%s)\n", i.Alt, i.File)
		}
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func (t *table) markdown(text *strings.Builder) {
	if t == nil {
		return
	}
	line := func(cells []string) {
		text.WriteString("| " + strings.ReplaceAll(strings.Join(cells, " | "), "\n", " ") + " |\n")
	}
	text.WriteString("\n")
	line(t.Head)
	text.WriteString(strings.Repeat("|---", len(t.Head)) + "|\n")
	for _, row := range t.Rows {
		line(row)
	}
}
