package configfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind classifies a configuration error.
type Kind string

// Kinds of configuration errors.
const (
	// Empty: the folder contains no YAML file.
	Empty Kind = "empty"
	// Syntax: the file is not a single valid YAML document.
	Syntax Kind = "syntax"
	// UnknownKey: the section or key does not exist.
	UnknownKey Kind = "unknown key"
	// BadType: the value has the wrong type, such as text where a number is required.
	BadType Kind = "type"
	// BadRange: the value is out of range or not one of the allowed values, or the name of an item
	// does not match namePattern.
	BadRange Kind = "range"
	// BadReference: the value names an item that does not exist.
	BadReference Kind = "reference"
	// Contradiction: the value conflicts with another one, or a list contains a value twice.
	Contradiction Kind = "contradiction"
	// BadDigest: a client key is not given as a SHA-256 digest.
	BadDigest Kind = "digest"
	// DuplicateKey: two client accounts have the same key.
	DuplicateKey Kind = "duplicate key"
	// BadAddress: the value is not an ip:port address.
	BadAddress Kind = "address"
	// Missing: a required value is not set.
	Missing Kind = "missing"
)

// Error is one configuration error.
type Error struct {
	File string `json:"file"`
	// Line starts at 1. It is 0 if the error concerns the whole file or folder.
	Line int  `json:"line,omitempty"`
	Kind Kind `json:"kind"`
	// Key is the key of the invalid value, or the section or item that the error concerns. It is
	// empty if the error concerns the whole file.
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
	// Remedy tells the operator how to fix the error.
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
