// Package timeline implements the command that shows the events of all routers, merged into one
// timeline.
package timeline

import (
	"context"
	"os"
	"strings"
	"time"

	"hornbeamstep.example/hornbeamctl/exit"
	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/timeline"
)

// Command shows the events of the timeline.
type Command struct {
	Request string        `help:"Only events of this request." placeholder:"ID" xor:"subject"`
	Chat    string        `help:"Only events of this chat." placeholder:"ID" xor:"subject"`
	Since   time.Duration `help:"Only events of the last DURATION; 0 shows all events that the routers still hold." placeholder:"DURATION"`
	Limit   int           `help:"Maximum number of events; the latest are shown, 0 shows all." default:"1000"`
	HTML    string        `help:"Write an HTML page to this file instead of printing the events." placeholder:"FILE" name:"html" type:"path"`
}

// Run prints the events, or writes them to an HTML page. If some routers did not answer, it still
// does so and returns *exit.Error with code exit.Incomplete.
func (c *Command) Run(ctx context.Context, fleet operator.Fleet, out *output.Printer) error {
	filter := timeline.Filter{Request: c.Request, Chat: c.Chat, Limit: c.Limit}
	if c.Since > 0 {
		filter.Since = time.Now().Add(-c.Since)
	}
	merged, err := fleet.Timeline(ctx, filter)
	if err != nil {
		return err
	}
	if err := c.write(merged, out); err != nil {
		return err
	}
	if len(merged.Missing) > 0 {
		return &exit.Error{Code: exit.Incomplete, Text: "timeline is incomplete; routers that did not answer: " + strings.Join(merged.Missing, ", ")}
	}
	return nil
}

func (c *Command) write(merged operator.Timeline, out *output.Printer) error {
	if c.HTML != "" {
		return c.writePage(merged)
	}
	if out.Format == output.JSON {
		return out.Print(merged, nil)
	}
	return timeline.WriteText(out.Out, merged.Events, merged.Missing)
}

func (c *Command) writePage(merged operator.Timeline) error {
	file, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	if err := timeline.WriteHTML(file, c.title(), merged.Events, merged.Missing); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func (c *Command) title() string {
	switch {
	case c.Request != "":
		return "Time line of request " + c.Request
	case c.Chat != "":
		return "Time line of chat " + c.Chat
	default:
		return "Time line"
	}
}
