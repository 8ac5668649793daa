// Package confirm asks the user to confirm a disruptive command.
package confirm

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"hornbeamstep.example/hornbeamctl/exit"
)

// Flags are embedded in disruptive commands.
type Flags struct {
	Yes bool `help:"Skip the confirmation prompt." short:"y"`
}

// Prompt asks the user for confirmation.
type Prompt struct {
	In  io.Reader
	Out io.Writer
}

// Ask returns nil if --yes is set or the user confirms, and *exit.Error otherwise. End of input
// counts as a refusal, so that a script without --yes changes nothing.
func (p Prompt) Ask(flags Flags, question string) error {
	if flags.Yes {
		return nil
	}
	_, _ = fmt.Fprintf(p.Out, "%s [y/N] ", question)
	answer, _ := bufio.NewReader(p.In).ReadString('\n')
	switch strings.ToLower(strings.TrimSpace(answer)) {
	case "y", "yes":
		return nil
	}
	return &exit.Error{Code: exit.Unconfirmed, Text: "not confirmed, nothing was changed; use --yes to skip the prompt"}
}
