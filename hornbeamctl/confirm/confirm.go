// Package confirm asks before a command that disrupts.
package confirm

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"hornbeamstep.example/hornbeamctl/exit"
)

// Flags are embedded in commands that disrupt.
type Flags struct {
	Yes bool `help:"Do not ask for confirmation." short:"y"`
}

// Prompt asks the user.
type Prompt struct {
	In  io.Reader
	Out io.Writer
}

// Ask returns nil if the flags or the user agree, and *exit.Error otherwise. Input that ends counts as a refusal, so that a
// script without --yes changes nothing.
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
	return &exit.Error{Code: exit.Unconfirmed, Text: "not confirmed; nothing was changed, repeat with --yes to skip the question"}
}
