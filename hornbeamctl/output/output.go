// Package output prints the results of commands as tables or JSON.
package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Format is an output format.
type Format string

// Supported output formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Printer prints results in the selected format.
type Printer struct {
	Format Format
	Out    io.Writer
	// Progress receives progress messages. It differs from Out so that results can be piped.
	Progress io.Writer
}

// Print prints value as JSON, or calls table and prints the added rows as an aligned table.
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

// Progressf prints one progress message.
func (p *Printer) Progressf(format string, values ...any) {
	_, _ = fmt.Fprintf(p.Progress, format+"\n", values...)
}

// Rows adds the rows of a table.
type Rows struct{ writer io.Writer }

// Row adds a row. Empty strings and zero times are printed as a dash, so that a script that splits
// rows at spaces finds every column. Print returns write errors.
func (r Rows) Row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = formatCell(cell)
	}
	_, _ = fmt.Fprintln(r.writer, strings.Join(texts, "\t"))
}

// BlankLine adds a blank line between two tables.
func (r Rows) BlankLine() { _, _ = fmt.Fprintln(r.writer) }

func formatCell(cell any) string {
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
