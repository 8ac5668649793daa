package timeline

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

const stampLayout = "2006-01-02 15:04:05.000000"

//go:embed page.html.tmpl
var pageSource string

var page = template.Must(template.New("page").Parse(pageSource))

// String returns the stamp in UTC, with the counter after a plus sign if it is not 0.
func (s Stamp) String() string {
	text := s.Wall.UTC().Format(stampLayout)
	if s.Logical == 0 {
		return text
	}
	return fmt.Sprintf("%s+%d", text, s.Logical)
}

// WriteText writes events as a table. The daemons in missing did not answer the query; they are
// listed first, because the timeline may lack their events.
func WriteText(w io.Writer, events []Event, missing []string) error {
	if len(missing) > 0 {
		if _, err := fmt.Fprintf(w, "no answer from: %s\n", strings.Join(missing, ", ")); err != nil {
			return err
		}
	}
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, e := range events {
		if _, err := fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", e.Stamp, e.Daemon, e.Kind, details(e)); err != nil {
			return err
		}
	}
	return table.Flush()
}

func details(e Event) string {
	var parts []string
	for _, field := range []struct{ name, value string }{{"request", e.Request}, {"chat", e.Chat}, {"backend", e.Backend}} {
		if field.value != "" {
			parts = append(parts, field.name+"="+field.value)
		}
	}
	if e.Text != "" {
		parts = append(parts, e.Text)
	}
	return strings.Join(parts, " ")
}

type pageView struct {
	Title   string
	Daemons []string
	Missing []string
	Rows    []rowView
}

type rowView struct {
	Stamp, Class, Kind, Details string
	// Cells has one element for each daemon; true marks the one that recorded the event.
	Cells []bool
}

// WriteHTML writes events as a self-contained page with a column for each daemon. The daemons in
// missing did not answer the query.
func WriteHTML(w io.Writer, title string, events []Event, missing []string) error {
	daemons := daemonsOf(events)
	view := pageView{Title: title, Daemons: daemons, Missing: missing}
	for _, e := range events {
		row := rowView{
			Stamp:   e.Stamp.String(),
			Class:   strings.ReplaceAll(string(e.Kind), " ", "-"),
			Kind:    string(e.Kind),
			Details: details(e),
			Cells:   make([]bool, len(daemons)),
		}
		column, _ := slices.BinarySearch(daemons, e.Daemon)
		row.Cells[column] = true
		view.Rows = append(view.Rows, row)
	}
	return page.Execute(w, view)
}

// daemonsOf returns the sorted names of the daemons that recorded events.
func daemonsOf(events []Event) []string {
	names := make([]string, 0, len(events))
	for _, e := range events {
		names = append(names, e.Daemon)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
