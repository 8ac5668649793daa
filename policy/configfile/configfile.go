// Package configfile merges YAML files into a configuration, validates it, and reports the origin
// of each value.
package configfile

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"hornbeamstep.example/policy"
)

// File is one file of a configuration.
type File struct {
	// Name has no directory and ends in ".yaml" or ".yml".
	Name string
	Data []byte
}

// Config is a validated configuration with the origin of each value.
type Config struct {
	policy policy.Policy
	// settings holds the values that files set, merged, by key.
	settings map[key]setting
}

// key identifies a value by section, item and field.
type key struct{ section, item, field string }

func (k key) String() string {
	return k.section + "." + k.item + "." + k.field
}

// Origin is a place in a file that sets a value.
type Origin struct {
	File  string `json:"file"`
	Line  int    `json:"line"`
	Value string `json:"value"`
}

// Explanation describes a value and its origin.
type Explanation struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// File is empty and Line is 0 for a default.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Overrides are the origins in earlier files, the last of these files first.
	Overrides []Origin `json:"overrides,omitempty"`
}

// UnknownKeyError reports a key without a value: no file sets it, and it is not a field with a
// default in an item that a file sets.
type UnknownKeyError struct {
	Key string
	// Suggestions lists up to three keys that files set: first those of the same item, then of the
	// same section, then others.
	Suggestions []string
}

func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("no value found for key %q; use section.name.field, such as %s", e.Key, strings.Join(e.Suggestions, ", "))
}

// Read returns the YAML files of a folder in the order of their names. Other files, and files whose
// names begin with a dot, are skipped.
func Read(dir string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var files []File
	for _, e := range entries {
		if e.IsDir() || !isYAML(e.Name()) {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, err
		}
		files = append(files, File{Name: e.Name(), Data: data})
	}
	if len(files) == 0 {
		return nil, Errors{{File: dir, Kind: Empty, Message: "folder contains no YAML file", Remedy: "pass the folder that contains the .yaml files"}}
	}
	return files, nil
}

func isYAML(name string) bool {
	return !strings.HasPrefix(name, ".") && (strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml"))
}

// Load merges files in the order of their names, so that later files override earlier ones value by
// value, and validates the result. The error is of type Errors and lists every problem.
func Load(files []File) (*Config, error) { return (&Loader{}).Load(files) }

// Loader caches the parsed files of the last load. The next load then parses only changed files.
// The zero value is ready for use. A Loader is not safe for concurrent use.
type Loader struct{ cache map[fileID]*parsedFile }

// fileID identifies a file by name and content.
type fileID struct {
	name   string
	digest [sha256.Size]byte
}

// Load is like the package function Load, but parses only files that changed since the last call.
func (l *Loader) Load(files []File) (*Config, error) {
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	next := make(map[fileID]*parsedFile, len(files))
	b := newBuilder()
	for _, f := range files {
		id := fileID{f.Name, sha256.Sum256(f.Data)}
		p, ok := l.cache[id]
		if !ok {
			p = parseFile(f)
		}
		next[id] = p
		b.merge(p)
	}
	l.cache = next
	p := b.build()
	if len(b.errors) > 0 {
		return nil, b.errors.sorted()
	}
	return &Config{policy: p, settings: b.settings}, nil
}

// LoadDir reads the YAML files of a folder and loads them.
func LoadDir(dir string) (*Config, error) {
	files, err := Read(dir)
	if err != nil {
		return nil, err
	}
	return Load(files)
}

// Policy returns the configuration, without a revision number.
func (c *Config) Policy() policy.Policy { return c.policy }

// Explain returns the value of a key such as "accounts.north.rate" and its origins, or
// *UnknownKeyError.
func (c *Config) Explain(name string) (Explanation, error) {
	k, ok := parseKey(name)
	if ok {
		if s, ok := c.settings[k]; ok {
			return s.explain(k), nil
		}
		if value, ok := c.defaultOf(k); ok {
			return Explanation{Key: name, Value: value}, nil
		}
	}
	return Explanation{}, &UnknownKeyError{Key: name, Suggestions: c.similarKeys(k)}
}

// Keys returns every key that a file sets, in order.
func (c *Config) Keys() []string {
	out := make([]string, 0, len(c.settings))
	for k := range c.settings {
		out = append(out, k.String())
	}
	slices.Sort(out)
	return out
}

// defaultOf returns the default of a field, if it has one and a file sets another field of its
// item. The caller has checked that no file sets the field itself.
func (c *Config) defaultOf(k key) (string, bool) {
	value, ok := defaults[k.section][k.field]
	if !ok {
		return "", false
	}
	for other := range c.settings {
		if other.section == k.section && other.item == k.item {
			return value, true
		}
	}
	return "", false
}

// similarKeys returns up to three keys that files set: first those of the same item as k, then of
// the same section, then others.
func (c *Config) similarKeys(k key) []string {
	var sameItem, sameSection, others []string
	for _, name := range c.Keys() {
		known, _ := parseKey(name)
		switch {
		case known.section == k.section && known.item == k.item:
			sameItem = append(sameItem, name)
		case known.section == k.section:
			sameSection = append(sameSection, name)
		default:
			others = append(others, name)
		}
	}
	out := slices.Concat(sameItem, sameSection, others)
	return out[:min(3, len(out))]
}

// parseKey splits a key at its first and last dot, because item names may contain dots. It returns
// false if a part is missing; the other parts then serve to find similar keys.
func parseKey(name string) (key, bool) {
	section, rest, ok := strings.Cut(name, ".")
	dot := strings.LastIndex(rest, ".")
	if !ok || dot < 1 {
		return key{section: section, item: rest}, false
	}
	return key{section, rest[:dot], rest[dot+1:]}, true
}

func (s setting) explain(k key) Explanation {
	e := Explanation{Key: k.String(), Value: s.origin.Value, File: s.origin.File, Line: s.origin.Line}
	for _, o := range slices.Backward(s.overridden) {
		e.Overrides = append(e.Overrides, o)
	}
	return e
}
