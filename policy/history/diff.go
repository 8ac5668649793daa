package history

import (
	"maps"
	"slices"

	"hornbeamstep.example/policy/folder"
)

// FileDiff is a file that differs between two revisions. The digest of a side that lacks the file is empty.
type FileDiff struct {
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// ValueDiff is a value that differs. The side that lacks the value is empty.
type ValueDiff struct {
	Key    string `json:"key"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// DiffFiles compares two lists of files, in the order of their names.
func DiffFiles(before, after []Ref) []FileDiff {
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

// DiffValues compares the values of two configurations, in the order of their keys. Either may be nil for an empty one.
func DiffValues(before, after *folder.Folder) []ValueDiff {
	keys := map[string]bool{}
	for _, f := range []*folder.Folder{before, after} {
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

func valueOf(f *folder.Folder, key string) string {
	if f == nil {
		return ""
	}
	e, err := f.Explain(key)
	if err != nil {
		return ""
	}
	return e.Value
}

// Refs returns the names and digests of files, as a revision lists them.
func Refs(files []folder.File) []Ref { return refs(files) }
