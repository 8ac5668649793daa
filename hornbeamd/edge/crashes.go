package edge

import (
	"strings"
	"time"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/routing/quarantine"
)

// crashRecords converts crash entries to the records that heartbeats carry to the other routers. A
// record identifies each crash by the server's ID and its boot identifier, separated by a slash.
func crashRecords(now time.Time, entries []quarantine.Entry) []presence.Crash {
	var out []presence.Crash
	for _, e := range entries {
		c := presence.Crash{Fingerprint: e.Fingerprint, Age: max(0, now.Sub(e.At).Milliseconds())}
		for _, crash := range e.Crashes {
			c.Servers = append(c.Servers, crash.Engine+"/"+crash.Boot)
		}
		out = append(out, c)
	}
	return out
}

// partRecords converts reports on prompt parts to the records that heartbeats carry.
func partRecords(reports []quarantine.PartReport) []presence.PromptPart {
	var out []presence.PromptPart
	for _, r := range reports {
		p := presence.PromptPart{Key: uint64(r.Part), Confirmed: r.Confirmed}
		for _, c := range r.Crashes {
			p.Crashes = append(p.Crashes, presence.PartCrash{Key: uint32(c.Crash), Age: max(0, c.Age.Milliseconds()), Cleared: c.Cleared})
		}
		out = append(out, p)
	}
	return out
}

// partReports converts the records of another router to reports on prompt parts.
func partReports(parts []presence.PromptPart) []quarantine.PartReport {
	var out []quarantine.PartReport
	for _, p := range parts {
		r := quarantine.PartReport{Part: quarantine.PartKey(p.Key), Confirmed: p.Confirmed}
		for _, c := range p.Crashes {
			r.Crashes = append(r.Crashes, quarantine.CrashReport{
				Crash: quarantine.CrashKey(c.Key), Age: time.Duration(c.Age) * time.Millisecond, Cleared: c.Cleared,
			})
		}
		out = append(out, r)
	}
	return out
}

// crashEntries converts the crash records of another router to entries.
func crashEntries(now time.Time, crashes []presence.Crash) []quarantine.Entry {
	var out []quarantine.Entry
	for _, c := range crashes {
		e := quarantine.Entry{Fingerprint: c.Fingerprint, At: now.Add(-time.Duration(c.Age) * time.Millisecond)}
		for _, server := range c.Servers {
			id, boot, _ := strings.Cut(server, "/")
			e.Crashes = append(e.Crashes, quarantine.Crash{Engine: id, Boot: boot})
		}
		out = append(out, e)
	}
	return out
}
