package origin

import (
	"slices"
	"time"

	"hornbeamstep.example/routing/roster"
)

const (
	// recordTTL is the minimum time for which the origin of a stream is remembered. Streams are
	// resumed until their deadline, which is much sooner.
	recordTTL = time.Minute
	// maxRecords limits the memory for records. If more streams begin within recordTTL, the oldest
	// ones are forgotten sooner.
	maxRecords = 1 << 17
)

// Ledger holds what one router knows of the origins of streams. It is not safe for concurrent use.
type Ledger struct {
	// current and previous hold the builds of streams. Once current is full or old, it replaces
	// previous.
	current, previous map[Stream]Build
	rotatedAt         time.Time
	// knownSince is when the first list of servers arrived.
	knownSince time.Time
	builds     map[Build]*buildState
	// history is nil if it is not known.
	history *roster.History
}

// buildState is a build that has servers, or had some at lastSeen.
type buildState struct {
	service, version string
	lastSeen         time.Time
	listed           bool
}

// NewLedger returns a ledger that knows no streams and no servers.
func NewLedger() *Ledger {
	return &Ledger{current: map[Stream]Build{}, previous: map[Stream]Build{}, builds: map[Build]*buildState{}}
}

// Record remembers the build that began a stream.
func (l *Ledger) Record(now time.Time, stream Stream, build Build) {
	if len(l.current) >= maxRecords/2 || now.Sub(l.rotatedAt) >= recordTTL {
		l.previous, l.current, l.rotatedAt = l.current, map[Stream]Build{}, now
	}
	l.current[stream] = build
}

// Get returns the build that began a stream; 0 if the ledger has no record of it.
func (l *Ledger) Get(stream Stream) Build {
	if build, found := l.current[stream]; found {
		return build
	}
	return l.previous[stream]
}

// SetServers replaces the list of servers and the history of versions, which is nil if it is not
// known.
func (l *Ledger) SetServers(now time.Time, servers []roster.Server, history *roster.History) {
	if l.knownSince.IsZero() && len(servers) > 0 {
		l.knownSince = now
	}
	l.history = history
	for build, b := range l.builds {
		if b.listed {
			b.lastSeen = now
		}
		if now.Sub(b.lastSeen) > recordTTL {
			delete(l.builds, build)
		}
		b.listed = false
	}
	for _, s := range servers {
		key := BuildOf(s.Service, s.Version)
		b := l.builds[key]
		if b == nil {
			b = &buildState{service: s.Service, version: s.Version}
			l.builds[key] = b
		}
		b.listed, b.lastSeen = true, now
	}
}

// Version returns the service and the version of a build. found is false if no listed server has
// it.
func (l *Ledger) Version(build Build) (service, version string, found bool) {
	b := l.builds[build]
	if b == nil || !b.listed {
		return "", "", false
	}
	return b.service, b.version, true
}

// Sole returns the build of a service if streams that last up to the given time can have begun at
// no other one, and 0 otherwise or if that is not known. The history tells it also to a router that
// has just started.
func (l *Ledger) Sole(now time.Time, service Service, within time.Duration) Build {
	observed := l.sole(now, service, within)
	switch recorded := l.recorded(service); {
	case l.history != nil && l.history.Settled && within <= roster.HistoryRetention:
		if len(recorded) == 1 && observed == recorded[0] {
			return observed
		}
		return 0
	case l.knownSince.IsZero() || now.Sub(l.knownSince) < within:
		return 0
	}
	return observed
}

// HasSeveral reports whether streams may be in progress at several builds of a service.
func (l *Ledger) HasSeveral(now time.Time, service Service, within time.Duration) bool {
	builds := l.recorded(service)
	for key, b := range l.builds {
		if ServiceOf(b.service) == service && (b.listed || now.Sub(b.lastSeen) <= within) && !slices.Contains(builds, key) {
			builds = append(builds, key)
		}
	}
	return len(builds) > 1
}

// IsArchived reports whether the origins of the streams that begin at a build are kept in the store:
// unless all streams of its service have the same origin, which the history tells.
func (l *Ledger) IsArchived(now time.Time, build Build) bool {
	b := l.builds[build]
	return b == nil || l.Sole(now, ServiceOf(b.service), recordTTL) == 0
}

// recorded returns the builds of a service in the history.
func (l *Ledger) recorded(service Service) []Build {
	if l.history == nil {
		return nil
	}
	return buildsIn(*l.history, service)
}

func buildsIn(h roster.History, service Service) []Build {
	var builds []Build
	for _, v := range h.Versions {
		if ServiceOf(v.Service) == service {
			builds = append(builds, BuildOf(v.Service, v.Version))
		}
	}
	return builds
}

// sole returns the only build of a service that is listed, or was within the given time; 0 if there
// are several or none.
func (l *Ledger) sole(now time.Time, service Service, within time.Duration) Build {
	only := Build(0)
	for key, b := range l.builds {
		if ServiceOf(b.service) != service || !b.listed && now.Sub(b.lastSeen) > within {
			continue
		}
		if only != 0 {
			return 0
		}
		only = key
	}
	return only
}
