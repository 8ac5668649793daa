package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
)

//go:embed page.html.tmpl
var pageTemplateText string

var pageTemplate = template.Must(template.New("page").Parse(pageTemplateText))

// document is the content of a page, independent of the output format.
type document struct {
	Title    string
	Sections []section
}

type section struct {
	Title string
	Text  []string
	Table *table
	// Images are the plots. Their files are in the same folder as the page.
	Images []image
}

type table struct {
	Head []string
	Rows [][]string
}

type image struct{ File, Alt string }

func (t *table) addRow(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		switch value := c.(type) {
		case float64:
			texts[i] = formatValue(value)
		default:
			texts[i] = fmt.Sprint(value)
		}
	}
	t.Rows = append(t.Rows, texts)
}

func (d document) writeHTML(w io.Writer) error { return pageTemplate.Execute(w, d) }

func (d document) writeMarkdown(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "# %s\n", d.Title)
	for _, s := range d.Sections {
		fmt.Fprintf(&text, "\n## %s\n", s.Title)
		for _, paragraph := range s.Text {
			fmt.Fprintf(&text, "\n%s\n", paragraph)
		}
		s.Table.writeMarkdown(&text)
		for _, i := range s.Images {
			fmt.Fprintf(&text, "\n![%s](%s)\n", i.Alt, i.File)
		}
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func (t *table) writeMarkdown(text *strings.Builder) {
	if t == nil {
		return
	}
	writeRow := func(cells []string) {
		text.WriteString("| " + strings.ReplaceAll(strings.Join(cells, " | "), "\n", " ") + " |\n")
	}
	text.WriteString("\n")
	writeRow(t.Head)
	text.WriteString(strings.Repeat("|---", len(t.Head)) + "|\n")
	for _, cells := range t.Rows {
		writeRow(cells)
	}
}
