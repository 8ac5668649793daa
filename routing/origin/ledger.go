package origin

import (
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
	// clockTolerance is how far the clocks of routers and servers may differ.
	clockTolerance = 5 * time.Second
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
}

// buildState is a build that has servers, or had some at lastSeen.
type buildState struct {
	service, version string
	lastSeen         time.Time
	listed           bool
	// oldest is the earliest start of its listed servers. Servers that don't state their start count
	// as old.
	oldest time.Time
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

// SetServers replaces the list of servers.
func (l *Ledger) SetServers(now time.Time, servers []roster.Server) {
	if l.knownSince.IsZero() && len(servers) > 0 {
		l.knownSince = now
	}
	for build, b := range l.builds {
		if b.listed {
			b.lastSeen = now
		}
		if now.Sub(b.lastSeen) > recordTTL {
			delete(l.builds, build)
		}
		b.listed, b.oldest = false, now
	}
	for _, s := range servers {
		key := BuildOf(s.Service, s.Version)
		b := l.builds[key]
		if b == nil {
			b = &buildState{service: s.Service, version: s.Version, oldest: now}
			l.builds[key] = b
		}
		b.listed, b.lastSeen = true, now
		if born := time.UnixMilli(s.Born); born.Before(b.oldest) {
			b.oldest = born
		}
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

// Sole returns the build of a service if it is the only one that had servers within the given time,
// and 0 otherwise, or if the ledger doesn't go back that far.
func (l *Ledger) Sole(now time.Time, service Service, within time.Duration) Build {
	if l.knownSince.IsZero() || now.Sub(l.knownSince) < within {
		return 0
	}
	return l.sole(now, service, within)
}

// SoleListed returns the build of a service if it is the only one that has servers, and 0
// otherwise.
func (l *Ledger) SoleListed(service Service) Build { return l.sole(time.Time{}, service, 0) }

// SoleSettled returns the same as Sole for a ledger that doesn't go back that far, if a server of the
// build started before that time. If all servers started since, they may have replaced those of
// another build.
func (l *Ledger) SoleSettled(now time.Time, service Service, within time.Duration) Build {
	build := l.sole(now, service, within)
	if build == 0 || !l.builds[build].listed {
		return 0
	}
	if now.Sub(l.builds[build].oldest) < within+clockTolerance {
		return 0
	}
	return build
}

// sole returns the only build of a service that is listed, or was within the given time; 0 if there
// are several or none.
func (l *Ledger) sole(now time.Time, service Service, within time.Duration) Build {
	only := Build(0)
	for key, b := range l.builds {
		if ServiceOf(b.service) != service || !b.listed && (within == 0 || now.Sub(b.lastSeen) > within) {
			continue
		}
		if only != 0 {
			return 0
		}
		only = key
	}
	return only
}
