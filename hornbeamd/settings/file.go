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

// InvalidError reports an invalid setting and how to correct it. Value is the invalid value or a
// word for what is wrong with it, such as "incomplete".
type InvalidError struct{ Key, Value, Remedy string }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid setting %s=%q: %s", e.Key, e.Value, e.Remedy)
}

// yamlResolver implements kong.Resolver with the values of a YAML file, keyed by flag name, such as
// caller-listen.
type yamlResolver struct {
	values map[string]flagValue
}

// flagValue is a value of the file in the form that kong parses.
type flagValue any

// newYAMLResolver decodes a YAML file. It implements kong.ConfigurationLoader.
func newYAMLResolver(r io.Reader) (kong.Resolver, error) {
	var root yaml.MapSlice
	if err := yaml.NewDecoder(r, yaml.UseOrderedMap()).Decode(&root); err != nil && !errors.Is(err, io.EOF) {
		return nil, &InvalidError{Key: "config", Value: "file", Remedy: "correct the YAML syntax: " + err.Error()}
	}
	f := &yamlResolver{values: map[string]flagValue{}}
	f.flatten("", root)
	return f, nil
}

// flatten converts nested keys to flag names: listen nested in caller becomes caller-listen.
func (f *yamlResolver) flatten(prefix string, items yaml.MapSlice) {
	for _, item := range items {
		key := prefix + fmt.Sprint(item.Key)
		switch v := item.Value.(type) {
		case yaml.MapSlice:
			f.flatten(key+"-", v)
		case []any:
			f.values[key] = joinList(v)
		default:
			f.values[key] = flagValue(fmt.Sprint(v))
		}
	}
}

// joinList converts a YAML list to the comma-separated form that kong parses.
func joinList(items []any) flagValue {
	parts := make([]string, len(items))
	for i, item := range items {
		parts[i] = fmt.Sprint(item)
	}
	return strings.Join(parts, ",")
}

// Validate rejects unknown keys; otherwise a misspelled key would silently leave the default in
// effect.
func (f *yamlResolver) Validate(app *kong.Application) error {
	var knownFlags []string
	for _, group := range app.AllFlags(false) {
		for _, flag := range group {
			knownFlags = append(knownFlags, flag.Name)
		}
	}
	for key := range f.values {
		if !slices.Contains(knownFlags, key) {
			return &InvalidError{Key: strings.ReplaceAll(key, "-", "."), Value: fmt.Sprint(f.values[key]), Remedy: "unknown key; remove it or correct its name (see hornbeamd --help)"}
		}
	}
	return nil
}

// Resolve returns the value of a flag in the file, or nil if the file does not set it.
func (f *yamlResolver) Resolve(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
	v, ok := f.values[flag.Name]
	if !ok {
		return nil, nil
	}
	return v, nil
}

// Exit prints an error in the command line or the settings to standard error, and exits with
// status 2.
func Exit(err error) {
	fmt.Fprintln(os.Stderr, "hornbeamd:", err)
	os.Exit(2)
}
