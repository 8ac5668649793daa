// Package timeline is the command that shows the merged time line of all routers.
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

// Command shows events.
type Command struct {
	Request string        `help:"Only events of this request." placeholder:"ID" xor:"subject"`
	Chat    string        `help:"Only events of this chat." placeholder:"ID" xor:"subject"`
	Since   time.Duration `help:"Only events of the last DURATION; 0 shows all that routers still have." placeholder:"DURATION"`
	Limit   int           `help:"Only the latest events; 0 shows all." default:"1000"`
	HTML    string        `help:"Write a page to this file instead." placeholder:"FILE" name:"html" type:"path"`
}

// Run runs the command. It returns *exit.Error if some routers did not answer.
func (c *Command) Run(ctx context.Context, fleet operator.Fleet, out *output.Printer) error {
	filter := timeline.Filter{Request: c.Request, Chat: c.Chat, Limit: c.Limit}
	if c.Since > 0 {
		filter.Since = time.Now().Add(-c.Since)
	}
	line, err := fleet.Timeline(ctx, filter)
	if err != nil {
		return err
	}
	if err := c.write(line, out); err != nil {
		return err
	}
	if len(line.Missing) > 0 {
		return &exit.Error{Code: exit.Incomplete, Text: "no answer from " + strings.Join(line.Missing, ", ")}
	}
	return nil
}

func (c *Command) write(line operator.Timeline, out *output.Printer) error {
	if c.HTML != "" {
		return c.writePage(line)
	}
	if out.Format == output.JSON {
		return out.Print(line, nil)
	}
	return timeline.WriteText(out.Out, line.Events, line.Missing)
}

func (c *Command) writePage(line operator.Timeline) error {
	file, err := os.Create(c.HTML)
	if err != nil {
		return err
	}
	if err := timeline.WriteHTML(file, c.title(), line.Events, line.Missing); err != nil {
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
