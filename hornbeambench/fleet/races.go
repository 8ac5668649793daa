package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// InForce is the revision in force on a router at a time, 0 for none yet.
type InForce struct {
	At       time.Time `json:"at"`
	Router   string    `json:"router"`
	Revision int64     `json:"revision"`
	// Members is the number of live members that the router sees, itself included.
	Members int `json:"members"`
}

// Push is the result of one operator that pushed from the same revision as the others of its race.
type Push struct {
	Race, Operator string
	// Code is the exit code of hornbeamctl.
	Code int
	Text string
}

// The exit codes of hornbeamctl config push.
const (
	codeWon      = 0
	codeConflict = 4
)

// reverted requires that no router has a lower revision in force than it had before. A router without one has just started.
func (e Evidence) reverted() Verdict {
	highest := map[string]int64{}
	count, first := 0, ""
	for _, r := range e.Revisions {
		if r.Revision == 0 {
			continue
		}
		if r.Revision < highest[r.Router] {
			count++
			if first == "" {
				first = fmt.Sprintf("; first: router %s went from %d to %d", r.Router, highest[r.Router], r.Revision)
			}
		}
		highest[r.Router] = max(highest[r.Router], r.Revision)
	}
	return Verdict{
		Outcome: "no revision in force goes back", Held: count == 0 && len(e.Revisions) > 0,
		Seen: fmt.Sprintf("%d of %d readings%s", count, len(e.Revisions), first),
	}
}

// finalTime is how long before the last reading a router's reading counts as one in the end. A router that was stopped has none.
const finalTime = 2 * time.Second

func (e Evidence) final(r InForce) bool {
	return e.Revisions[len(e.Revisions)-1].At.Sub(r.At) < finalTime
}

// agreed requires that all routers have the highest revision in force in the end.
func (e Evidence) agreed() Verdict {
	last := map[string]int64{}
	for _, r := range e.Revisions {
		if e.final(r) {
			last[r.Router] = r.Revision
		}
	}
	values := slices.Sorted(maps.Values(last))
	held := len(values) > 0 && values[0] > 0 && values[0] == values[len(values)-1]
	return Verdict{Outcome: "all routers have one revision in force in the end", Held: held, Seen: fmt.Sprint(values)}
}

// parted requires that each of two sides took the other for lost for a while, and that all routers agree in the end. Without it a
// partition that did not take place would pass.
func (e Evidence) parted(apart []string) Verdict {
	least, last, routers := map[string]int{}, map[string]int{}, map[string]bool{}
	for _, r := range e.Revisions {
		routers[r.Router] = true
	}
	for _, r := range e.Revisions {
		// A router that has just started knows few others, so only what follows a complete view counts.
		if n, ok := least[r.Router]; r.Members == len(routers) && !ok || ok && r.Members > 0 && r.Members < n {
			least[r.Router] = r.Members
		}
		if e.final(r) {
			last[r.Router] = r.Members
		}
	}
	held := len(least) == len(routers) && len(least) > len(apart)
	for router, n := range least {
		side := len(least) - len(apart)
		if slices.Contains(apart, router) {
			side = len(apart)
		}
		held = held && n > 0 && n <= side
	}
	values := slices.Sorted(maps.Values(last))
	held = held && len(values) > 0 && values[0] == values[len(values)-1] && values[0] >= len(values)
	return Verdict{
		Outcome: "the sides took each other for lost, and all agree in the end", Held: held,
		Seen: fmt.Sprintf("least members %v, in the end %v", slices.Sorted(maps.Values(least)), values),
	}
}

// races judges the operators that pushed at the same moment.
func (e Evidence) races() []Verdict {
	won, pushes := map[string]int{}, 0
	var untyped []string
	for _, p := range e.Pushes {
		pushes++
		won[p.Race] += 0
		switch {
		case p.Code == codeWon:
			won[p.Race]++
		case p.Code != codeConflict || !strings.Contains(p.Text, "push with base"):
			untyped = append(untyped, fmt.Sprintf("race %s, operator %s: code %d: %s", p.Race, p.Operator, p.Code, strings.TrimSpace(p.Text)))
		}
	}
	var other []string
	for _, race := range slices.Sorted(maps.Keys(won)) {
		if won[race] != 1 {
			other = append(other, fmt.Sprintf("race %s has %d", race, won[race]))
		}
	}
	return []Verdict{
		{
			Outcome: "each race of operators has exactly one winner", Held: len(other) == 0 && pushes > 0,
			Seen: fmt.Sprintf("%d of %d races otherwise %s", len(other), len(won), strings.Join(other, ", ")),
		},
		{
			Outcome: "every other operator gets a conflict that names the remedy", Held: len(untyped) == 0 && pushes > 0,
			Seen: fmt.Sprintf("%d of %d pushes otherwise %s", len(untyped), pushes, strings.Join(untyped, "; ")),
		},
	}
}

// readPushes reads the files of a folder.
func readPushes(dir string) ([]Push, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.code"))
	if err != nil {
		return nil, err
	}
	var all []Push
	for _, name := range names {
		base := strings.TrimSuffix(name, ".code")
		code, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		text, err := os.ReadFile(base + ".text")
		if err != nil {
			return nil, err
		}
		p := Push{Text: string(text)}
		p.Race, p.Operator, _ = strings.Cut(filepath.Base(base), "-")
		if p.Code, err = strconv.Atoi(strings.TrimSpace(string(code))); err != nil {
			return nil, fmt.Errorf("%s holds no exit code: %w", name, err)
		}
		all = append(all, p)
	}
	return all, nil
}

// RevisionsCommand samples the revisions in force.
type RevisionsCommand struct {
	Routers  []string      `help:"Routers, as name=ip:port of their callers' address." required:"" placeholder:"NAME=IP:PORT"`
	Out      string        `help:"File for one JSON line for each reading." required:"" type:"path" placeholder:"FILE"`
	Interval time.Duration `help:"Time between readings." default:"200ms"`
}

var (
	revisionMetric = regexp.MustCompile(`(?m)^hornbeam_peer_revision (\S+)$`)
	membersMetric  = regexp.MustCompile(`(?m)^hornbeam_peer_members\{status="alive"\} (\d+)$`)
)

// Run runs the command until ctx ends. Routers that do not answer are left out.
func (c *RevisionsCommand) Run(ctx context.Context) error {
	return record(ctx, c.Out, c.Interval, func(lines *json.Encoder) error {
		for _, router := range c.Routers {
			r, ok := reading(ctx, router, c.Interval)
			if !ok {
				continue
			}
			if err := lines.Encode(r); err != nil {
				return err
			}
		}
		return nil
	})
}

func reading(ctx context.Context, router string, limit time.Duration) (InForce, bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	name, address, _ := strings.Cut(router, "=")
	content, err := fetch(ctx, "http://"+address+"/metrics")
	if err != nil {
		return InForce{}, false
	}
	found := revisionMetric.FindSubmatch(content)
	if found == nil {
		return InForce{}, false
	}
	value, err := strconv.ParseFloat(string(found[1]), 64)
	r := InForce{At: time.Now(), Router: name, Revision: int64(value)}
	if alive := membersMetric.FindSubmatch(content); alive != nil {
		r.Members, _ = strconv.Atoi(string(alive[1]))
	}
	return r, err == nil
}
