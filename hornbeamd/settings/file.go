package settings

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/goccy/go-yaml"
)

// InvalidError says that a setting can't be used.
type InvalidError struct{ Key, Value, Remedy string }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("setting %s is %q: %s", e.Key, e.Value, e.Remedy)
}

// file resolves flags from a YAML file. Its keys are the names of flags, such as caller-listen.
type file struct {
	values map[string]scalar
}

// scalar is one value of the file, as kong parses it.
type scalar any

// load reads a YAML file for kong.
func load(r io.Reader) (kong.Resolver, error) {
	var root yaml.MapSlice
	if err := yaml.NewDecoder(r, yaml.UseOrderedMap()).Decode(&root); err != nil && !errors.Is(err, io.EOF) {
		return nil, &InvalidError{Key: "config", Value: "file", Remedy: "correct the YAML: " + err.Error()}
	}
	f := &file{values: map[string]scalar{}}
	f.flatten("", root)
	return f, nil
}

// flatten gives nested keys the name of their flag: listen below caller is caller-listen.
func (f *file) flatten(prefix string, items yaml.MapSlice) {
	for _, item := range items {
		key := prefix + fmt.Sprint(item.Key)
		switch v := item.Value.(type) {
		case yaml.MapSlice:
			f.flatten(key+"-", v)
		case []any:
			f.values[key] = joinList(v)
		default:
			f.values[key] = scalar(fmt.Sprint(v))
		}
	}
}

// joinList writes a YAML list in kong's form, separated by commas.
func joinList(items []any) scalar {
	parts := make([]string, len(items))
	for i, item := range items {
		parts[i] = fmt.Sprint(item)
	}
	return strings.Join(parts, ",")
}

// Validate refuses keys that name no setting, since a misspelt key would otherwise leave a default in force.
func (f *file) Validate(app *kong.Application) error {
	var known []string
	for _, group := range app.AllFlags(false) {
		for _, flag := range group {
			known = append(known, flag.Name)
		}
	}
	for key := range f.values {
		if !slices.Contains(known, key) {
			return &InvalidError{Key: strings.ReplaceAll(key, "-", "."), Value: fmt.Sprint(f.values[key]), Remedy: "remove it or correct its name; see hornbeamd --help"}
		}
	}
	return nil
}

// Resolve returns the file's value for a flag, or nil.
func (f *file) Resolve(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
	v, ok := f.values[flag.Name]
	if !ok {
		return nil, nil
	}
	return v, nil
}

// Exit ends the process over settings that can't be used.
func Exit(err error) {
	fmt.Fprintln(os.Stderr, "hornbeamd:", err)
	os.Exit(2)
}
