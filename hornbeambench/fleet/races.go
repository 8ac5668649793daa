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

// RevisionSample is a sample of the active configuration revision of a router. The revision is 0 if
// none is active yet.
type RevisionSample struct {
	At       time.Time `json:"at"`
	Router   string    `json:"router"`
	Revision int64     `json:"revision"`
	// Members is the number of cluster members that the router considers alive, including itself.
	Members int `json:"members"`
}

// PushResult is the result of one operator's push in a race. In a race, several operators push
// concurrently with the same base revision.
type PushResult struct {
	Race, Operator string
	// ExitCode is the exit code of hornbeamctl, and Output what it printed.
	ExitCode int
	Output   string
}

// Exit codes of hornbeamctl config push.
const (
	exitSuccess  = 0
	exitConflict = 4
)

// checkNoRollback requires that the active revision of a router never decreases. Samples with
// revision 0 are skipped, because they come from a router that has just started.
func (e Evidence) checkNoRollback() Verdict {
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
		Outcome: "no revision in force goes back", Passed: count == 0 && len(e.Revisions) > 0,
		Observed: fmt.Sprintf("%d of %d readings%s", count, len(e.Revisions), first),
	}
}

// finalStateWindow is the length of the final state, which ends at the last sample of the
// experiment. A router that was stopped earlier has no sample in it.
const finalStateWindow = 2 * time.Second

// isFinal reports whether a sample belongs to the final state.
func (e Evidence) isFinal(r RevisionSample) bool {
	return e.Revisions[len(e.Revisions)-1].At.Sub(r.At) < finalStateWindow
}

// checkConvergence requires that all routers have the same active revision in the final state.
func (e Evidence) checkConvergence() Verdict {
	finalRevisions := map[string]int64{}
	for _, r := range e.Revisions {
		if e.isFinal(r) {
			finalRevisions[r.Router] = r.Revision
		}
	}
	values := slices.Sorted(maps.Values(finalRevisions))
	passed := len(values) > 0 && values[0] > 0 && values[0] == values[len(values)-1]
	return Verdict{Outcome: "all routers have one revision in force in the end", Passed: passed, Observed: fmt.Sprint(values)}
}

// checkPartition requires that the routers on each side of the partition temporarily considered the
// other side dead. In the final state, all routers must know the same number of members, and no
// fewer than there are routers. Without this check, an experiment would pass even if its partition
// had no effect.
func (e Evidence) checkPartition(isolated []string) Verdict {
	minMembers, finalMembers, routers := map[string]int{}, map[string]int{}, map[string]bool{}
	for _, r := range e.Revisions {
		routers[r.Router] = true
	}
	for _, r := range e.Revisions {
		// A router that has just started knows few members. Its minimum is therefore taken from the
		// first sample with all members on.
		if lowest, ok := minMembers[r.Router]; r.Members == len(routers) && !ok || ok && r.Members > 0 && r.Members < lowest {
			minMembers[r.Router] = r.Members
		}
		if e.isFinal(r) {
			finalMembers[r.Router] = r.Members
		}
	}
	passed := len(minMembers) == len(routers) && len(minMembers) > len(isolated)
	for router, members := range minMembers {
		sideSize := len(minMembers) - len(isolated)
		if slices.Contains(isolated, router) {
			sideSize = len(isolated)
		}
		passed = passed && members > 0 && members <= sideSize
	}
	values := slices.Sorted(maps.Values(finalMembers))
	passed = passed && len(values) > 0 && values[0] == values[len(values)-1] && values[0] >= len(values)
	return Verdict{
		Outcome: "the sides took each other for lost, and all agree in the end", Passed: passed,
		Observed: fmt.Sprintf("least members %v, in the end %v", slices.Sorted(maps.Values(minMembers)), values),
	}
}

// checkRaces requires that exactly one operator succeeds in each race, and that hornbeamctl tells
// every other operator to push again with the new base revision.
func (e Evidence) checkRaces() []Verdict {
	winnerCounts, pushCount := map[string]int{}, 0
	var unexpected []string
	for _, p := range e.Pushes {
		pushCount++
		winnerCounts[p.Race] += 0 // Adds an entry also for a race without a winner.
		switch {
		case p.ExitCode == exitSuccess:
			winnerCounts[p.Race]++
		case p.ExitCode != exitConflict || !strings.Contains(p.Output, "push with base"):
			unexpected = append(unexpected, fmt.Sprintf("race %s, operator %s: code %d: %s", p.Race, p.Operator, p.ExitCode, strings.TrimSpace(p.Output)))
		}
	}
	var invalid []string
	for _, race := range slices.Sorted(maps.Keys(winnerCounts)) {
		if winnerCounts[race] != 1 {
			invalid = append(invalid, fmt.Sprintf("race %s has %d", race, winnerCounts[race]))
		}
	}
	return []Verdict{
		{
			Outcome: "each race of operators has exactly one winner", Passed: len(invalid) == 0 && pushCount > 0,
			Observed: fmt.Sprintf("%d of %d races otherwise %s", len(invalid), len(winnerCounts), strings.Join(invalid, ", ")),
		},
		{
			Outcome: "every other operator gets a conflict that names the remedy", Passed: len(unexpected) == 0 && pushCount > 0,
			Observed: fmt.Sprintf("%d of %d pushes otherwise %s", len(unexpected), pushCount, strings.Join(unexpected, "; ")),
		},
	}
}

// readPushes reads the results of all pushes from the files RACE-OPERATOR.code and
// RACE-OPERATOR.text of a directory.
func readPushes(dir string) ([]PushResult, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.code"))
	if err != nil {
		return nil, err
	}
	var pushes []PushResult
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
		p := PushResult{Output: string(text)}
		p.Race, p.Operator, _ = strings.Cut(filepath.Base(base), "-")
		if p.ExitCode, err = strconv.Atoi(strings.TrimSpace(string(code))); err != nil {
			return nil, fmt.Errorf("%s does not contain an exit code: %w", name, err)
		}
		pushes = append(pushes, p)
	}
	return pushes, nil
}

// RevisionsCommand samples the active revisions of routers at a fixed interval.
type RevisionsCommand struct {
	Routers  []string      `help:"Routers, as name=ip:port of the listener that serves callers and /metrics." required:"" placeholder:"NAME=IP:PORT"`
	Out      string        `help:"Output file with one JSON line per sample." required:"" type:"path" placeholder:"FILE"`
	Interval time.Duration `help:"Time between samples." default:"200ms"`
}

var (
	revisionMetric = regexp.MustCompile(`(?m)^hornbeam_peer_revision (\S+)$`)
	membersMetric  = regexp.MustCompile(`(?m)^hornbeam_peer_members\{status="alive"\} (\d+)$`)
)

// Run writes samples until ctx is canceled. It omits routers that do not respond in time.
func (c *RevisionsCommand) Run(ctx context.Context) error {
	return writePeriodically(ctx, c.Out, c.Interval, func(encoder *json.Encoder) error {
		for _, router := range c.Routers {
			r, ok := sampleRevision(ctx, router, c.Interval)
			if !ok {
				continue
			}
			if err := encoder.Encode(r); err != nil {
				return err
			}
		}
		return nil
	})
}

// sampleRevision reads the active revision and the number of alive members from the metrics of a
// router.
func sampleRevision(ctx context.Context, router string, timeout time.Duration) (RevisionSample, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	name, address, _ := strings.Cut(router, "=")
	content, err := fetch(ctx, "http://"+address+"/metrics")
	if err != nil {
		return RevisionSample{}, false
	}
	match := revisionMetric.FindSubmatch(content)
	if match == nil {
		return RevisionSample{}, false
	}
	value, err := strconv.ParseFloat(string(match[1]), 64)
	r := RevisionSample{At: time.Now(), Router: name, Revision: int64(value)}
	if match := membersMetric.FindSubmatch(content); match != nil {
		r.Members, _ = strconv.Atoi(string(match[1]))
	}
	return r, err == nil
}
