package configfile_test

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/configfile"
)

var digest = policy.Digest("one")

// load loads the parts as files a.yaml, b.yaml and so on.
func load(parts ...string) (*configfile.Config, configfile.Errors) {
	files := make([]configfile.File, 0, len(parts))
	for i, p := range parts {
		files = append(files, configfile.File{Name: string(rune('a'+i)) + ".yaml", Data: []byte(p)})
	}
	f, err := configfile.Load(files)
	var errs configfile.Errors
	errors.As(err, &errs)
	return f, errs
}

// Operators copy the sample configuration. Guards against a sample that fails validation, and
// against Explain reporting a wrong value, origin or default.
func TestSample(t *testing.T) {
	c := qt.New(t)
	f, err := configfile.LoadDir("testdata/sample")
	c.Assert(err, qt.IsNil)
	p := f.Policy()
	c.Assert([]int{len(p.Pools), len(p.Backends), len(p.Services), len(p.Accounts)}, qt.DeepEquals, []int{1, 12, 1, 10})
	c.Assert(p.Backends["worker-9"].State, qt.Equals, policy.Leaving)
	c.Assert(p.Backends["worker-9"].Pool, qt.Equals, "letters")
	account, ok := p.AccountByKey("sample-key-trainees")
	c.Assert(ok, qt.IsTrue)
	c.Assert(account.Rate, qt.Equals, 80.0)

	e, err := f.Explain("accounts.trainees.rate")
	c.Assert(err, qt.IsNil)
	c.Assert(e, qt.DeepEquals, configfile.Explanation{
		Key: "accounts.trainees.rate", Value: "80", File: "90-overrides.yaml", Line: 4,
		Overrides: []configfile.Origin{{File: "30-accounts.yaml", Line: 15, Value: "40"}},
	})
	e, err = f.Explain("backends.worker-1.weight")
	c.Assert(err, qt.IsNil)
	c.Assert(e, qt.DeepEquals, configfile.Explanation{Key: "backends.worker-1.weight", Value: "1"})
	_, err = f.Explain("accounts.trainees.speed")
	var unknown *configfile.UnknownKeyError
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
	c.Assert(unknown.Suggestions, qt.HasLen, 3)
}

// Guards against invalid configurations that are accepted, or reported with a wrong location or
// without a remedy.
func TestErrors(t *testing.T) {
	const pool = "pools: {p: {}}\n"
	// account returns the section of an account x with a valid key. The rest continues the section:
	// further fields of x, or another account.
	account := func(rest string) string { return "accounts:\n  x:\n    keys: [" + digest + "]\n" + rest }
	tests := map[string]struct {
		text string
		kind configfile.Kind
		line int
	}{
		"syntax":               {"pools:\n  a: [", configfile.Syntax, 2},
		"duplicate entry":      {"pools:\n  a: {}\n  a: {}", configfile.Syntax, 3},
		"two documents":        {"pools: {}\n---\npools: {}", configfile.Syntax, 3},
		"section":              {"pool: {}", configfile.UnknownKey, 1},
		"field":                {"pools:\n  a:\n    bond: 2", configfile.UnknownKey, 3},
		"name":                 {"models:\n  a:b: {pool: p}", configfile.BadRange, 2},
		"item not a mapping":   {"pools:\n  a: 3", configfile.BadType, 2},
		"alias":                {"pools:\n  a: &x {}", configfile.BadType, 2},
		"bound text":           {"pools: {a: {bound: high}}", configfile.BadType, 1},
		"bound below one":      {"pools: {a: {bound: 0.5}}", configfile.BadRange, 1},
		"bound not a number":   {"pools: {a: {bound: .nan}}", configfile.BadType, 1},
		"queue fraction":       {"pools: {a: {queue: 1.5}}", configfile.BadType, 1},
		"wait without unit":    {"pools: {a: {wait: 10}}", configfile.BadType, 1},
		"wait above maximum":   {"pools: {a: {wait: 48h}}", configfile.BadRange, 1},
		"null":                 {"pools: {a: {bound: }}", configfile.BadType, 1},
		"model without pool":   {"models: {a: {}}", configfile.Missing, 1},
		"pool does not exist":  {"models:\n  a:\n    pool: b", configfile.BadReference, 3},
		"address":              {pool + "backends: {b: {pool: p, address: host:80}}", configfile.BadAddress, 2},
		"no address":           {pool + "backends: {b: {pool: p}}", configfile.Missing, 2},
		"same address":         {pool + "backends:\n  b: {pool: p, address: 10.0.0.1:1}\n  c: {pool: p, address: 10.0.0.1:1}", configfile.Contradiction, 4},
		"pool and service":     {pool + "services: {s: {}}\nbackends: {b: {pool: p, service: s, address: 10.0.0.1:1}}", configfile.Contradiction, 3},
		"fence of a service":   {"services: {s: {}}\nbackends: {b: {service: s, fence: true, address: 10.0.0.1:1}}", configfile.Contradiction, 2},
		"weight zero":          {pool + "backends: {b: {pool: p, weight: 0, address: 10.0.0.1:1}}", configfile.BadRange, 2},
		"state":                {pool + "backends: {b: {pool: p, state: gone, address: 10.0.0.1:1}}", configfile.BadRange, 2},
		"repeat text":          {"services: {s: {repeat: 'yes'}}", configfile.BadType, 1},
		"plaintext key":        {"accounts: {a: {keys: [secret]}}", configfile.BadDigest, 1},
		"account without keys": {"accounts:\n  a: {rate: 1}", configfile.Missing, 2},
		"key of two accounts":  {account("  y:\n    keys: [" + digest + "]"), configfile.DuplicateKey, 5},
		"key twice":            {"accounts: {a: {keys: [" + digest + ", " + digest + "]}}", configfile.Contradiction, 1},
		"model does not exist": {account("    models: [m]"), configfile.BadReference, 4},
		"star and name":        {account("    models: ['*', m]"), configfile.Contradiction, 4},
		"class":                {account("    class: first"), configfile.BadRange, 4},
		"negative rate":        {account("    rate: -1"), configfile.BadRange, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, errs := load(test.text)
			qt.Assert(t, errs, qt.HasLen, 1, qt.Commentf("%v", errs))
			qt.Assert(t, errs[0].Kind, qt.Equals, test.kind, qt.Commentf("%v", errs))
			qt.Assert(t, errs[0].Line, qt.Equals, test.line, qt.Commentf("%v", errs))
			qt.Assert(t, errs[0].File, qt.Equals, "a.yaml")
			qt.Assert(t, errs[0].Remedy, qt.Not(qt.Equals), "")
		})
	}
}

// Guards against an error that prints a part of a plaintext key that is listed twice.
func TestErrorWithoutKey(t *testing.T) {
	c := qt.New(t)
	_, errs := load("accounts: {a: {keys: [topsecret, topsecret]}}")
	c.Assert(errs, qt.HasLen, 1)
	c.Assert(strings.Contains(errs[0].Error(), "top"), qt.IsFalse, qt.Commentf("%v", errs))
}

// Guards against validation that stops at the first error, and against errors that print a
// plaintext key.
func TestAllErrorsCollected(t *testing.T) {
	_, errs := load("pools: {a: {bound: 0}}\nmodels: {m: {pool: z}}", "accounts: {x: {keys: [my-secret], rate: -1}}", "{")
	qt.Assert(t, errs, qt.HasLen, 5)
	qt.Assert(t, strings.Contains(errs.Error(), "my-secret"), qt.IsFalse)
}

// Guards against panics in parsing or validation, and against two loads of one file that give
// different results.
func FuzzLoad(f *testing.F) {
	f.Add("pools: {a: {bound: 2, wait: 10s}}\nmodels: {m: {pool: a}}")
	f.Add("accounts:\n  x:\n    keys: [" + digest + "]\n    class: batch\n")
	f.Add("backends: {b: {pool: p, address: 10.0.0.1:1}}\n---\n")
	f.Fuzz(func(t *testing.T, text string) {
		firstConfig, firstErrs := load(text)
		secondConfig, secondErrs := load(text)
		qt.Assert(t, secondErrs.Error(), qt.Equals, firstErrs.Error())
		if firstConfig == nil {
			return
		}
		qt.Assert(t, secondConfig.Policy().Backends, qt.DeepEquals, firstConfig.Policy().Backends)
		for _, key := range firstConfig.Keys() {
			_, err := firstConfig.Explain(key)
			qt.Assert(t, err, qt.IsNil)
		}
	})
}
