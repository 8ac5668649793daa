package history

import (
	"maps"
	"slices"

	"hornbeamstep.example/policy/configfile"
)

// FileDiff is a file that differs between two revisions. Before or After is empty if that revision
// lacks the file.
type FileDiff struct {
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// ValueDiff is a value that differs between two configurations. Before or After is empty if that
// configuration lacks the value.
type ValueDiff struct {
	Key    string `json:"key"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// DiffFiles returns the files that differ, sorted by name.
func DiffFiles(before, after []FileRef) []FileDiff {
	byName := map[string]FileDiff{}
	for _, ref := range before {
		byName[ref.Name] = FileDiff{Name: ref.Name, Before: ref.Digest}
	}
	for _, ref := range after {
		d := byName[ref.Name]
		d.Name, d.After = ref.Name, ref.Digest
		byName[ref.Name] = d
	}
	var out []FileDiff
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		if d := byName[name]; d.Before != d.After {
			out = append(out, d)
		}
	}
	return out
}

// DiffValues returns the values that differ, sorted by key. A nil configuration is treated as
// empty.
func DiffValues(before, after *configfile.Config) []ValueDiff {
	keys := map[string]bool{}
	for _, f := range []*configfile.Config{before, after} {
		if f == nil {
			continue
		}
		for _, k := range f.Keys() {
			keys[k] = true
		}
	}
	var out []ValueDiff
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		d := ValueDiff{Key: k, Before: valueOf(before, k), After: valueOf(after, k)}
		if d.Before != d.After {
			out = append(out, d)
		}
	}
	return out
}

func valueOf(f *configfile.Config, key string) string {
	if f == nil {
		return ""
	}
	e, err := f.Explain(key)
	if err != nil {
		return ""
	}
	return e.Value
}

// Refs returns the references to files as listed in a revision, sorted by name.
func Refs(files []configfile.File) []FileRef { return refs(files) }
