package edge

import (
	"strings"
	"time"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/routing/quarantine"
)

// crashRecords converts crash entries to the records that heartbeats carry to the other routers. A
// record identifies each crash by the server's ID and its boot identifier, separated by a slash.
func crashRecords(entries []quarantine.Entry) []presence.Crash {
	var out []presence.Crash
	for _, e := range entries {
		c := presence.Crash{Fingerprint: e.Fingerprint}
		for _, crash := range e.Crashes {
			c.Servers = append(c.Servers, crash.Engine+"/"+crash.Boot)
		}
		out = append(out, c)
	}
	return out
}

// crashEntries converts the crash records of another router to entries. The records carry no time,
// so now is taken as the time of the latest crash.
func crashEntries(now time.Time, crashes []presence.Crash) []quarantine.Entry {
	var out []quarantine.Entry
	for _, c := range crashes {
		e := quarantine.Entry{Fingerprint: c.Fingerprint, At: now}
		for _, server := range c.Servers {
			id, boot, _ := strings.Cut(server, "/")
			e.Crashes = append(e.Crashes, quarantine.Crash{Engine: id, Boot: boot})
		}
		out = append(out, e)
	}
	return out
}
