package configfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind classifies a configuration error.
type Kind string

// The kinds of errors.
const (
	Empty         Kind = "empty"
	Syntax        Kind = "syntax"
	UnknownKey    Kind = "unknown key"
	BadType       Kind = "type"
	BadRange      Kind = "range"
	BadReference  Kind = "reference"
	Contradiction Kind = "contradiction"
	BadDigest     Kind = "digest"
	DuplicateKey  Kind = "duplicate key"
	BadAddress    Kind = "address"
	Missing       Kind = "missing"
)

// Error is one configuration error.
type Error struct {
	File string `json:"file"`
	// Line starts at 1; 0 if the error concerns the whole file or folder.
	Line int  `json:"line,omitempty"`
	Kind Kind `json:"kind"`
	// Key is the key of the invalid value, empty if the error concerns none.
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
	// Remedy tells the operator what to write instead.
	Remedy string `json:"remedy"`
}

func (e *Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key != "" {
		where += ": " + e.Key
	}
	return fmt.Sprintf("%s: %s; %s", where, e.Message, e.Remedy)
}

// Errors lists all errors of a configuration, sorted by file and line.
type Errors []*Error

func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, one := range e {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual errors.
func (e Errors) Unwrap() []error {
	out := make([]error, 0, len(e))
	for _, one := range e {
		out = append(out, one)
	}
	return out
}

func (e Errors) sorted() Errors {
	slices.SortStableFunc(e, func(a, b *Error) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return e
}
