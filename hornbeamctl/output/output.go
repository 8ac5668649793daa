// Package output writes the results of commands as tables or JSON.
package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Format is the form of results.
type Format string

// The formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Printer writes results.
type Printer struct {
	Format Format
	Out    io.Writer
	// Progress gets lines that are no result, so that results can be piped.
	Progress io.Writer
}

// Print writes value as JSON, or what table writes to an aligned writer.
func (p *Printer) Print(value any, table func(Rows)) error {
	if p.Format == JSON {
		encoder := json.NewEncoder(p.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writer := tabwriter.NewWriter(p.Out, 0, 8, 2, ' ', 0)
	table(Rows{writer})
	return writer.Flush()
}

// Progressf writes one line of progress.
func (p *Printer) Progressf(format string, values ...any) {
	_, _ = fmt.Fprintf(p.Progress, format+"\n", values...)
}

// Rows takes the rows of a table.
type Rows struct{ writer io.Writer }

// Row adds a row. Empty cells are shown as a dash, so that columns can be split at spaces; errors surface when the table ends.
func (r Rows) Row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = text(cell)
	}
	_, _ = fmt.Fprintln(r.writer, strings.Join(texts, "\t"))
}

// Gap separates two tables.
func (r Rows) Gap() { _, _ = fmt.Fprintln(r.writer) }

func text(cell any) string {
	switch value := cell.(type) {
	case string:
		if value == "" {
			return "-"
		}
		return value
	case float64:
		return fmt.Sprintf("%.2f", value)
	case time.Time:
		if value.IsZero() {
			return "-"
		}
		return value.UTC().Format(time.RFC3339)
	case bool:
		if value {
			return "yes"
		}
		return "no"
	default:
		return fmt.Sprint(value)
	}
}
