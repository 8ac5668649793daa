package origin

import (
	"time"

	"hornbeamstep.example/routing/roster"
)

// Question asks other routers for the origin of a stream.
type Question struct {
	Number  uint32
	Stream  Stream
	Service Service
	// Within is how long a stream of the route may last.
	Within time.Duration
}

// Answer is the answer of a router. At most one of its builds is set.
type Answer struct {
	// Recorded is the build that began the stream.
	Recorded Build
	// Sole is the only build that the service had while the stream may have begun, as far as the router
	// has heard. It is set by routers without a record, for routers of earlier releases.
	Sole Build
	// Several is true if streams may be in progress at several builds of the service.
	Several bool
}

// Answer answers the question of another router.
func (l *Ledger) Answer(now time.Time, q Question) Answer {
	if build := l.Get(q.Stream); build != 0 {
		return Answer{Recorded: build}
	}
	return Answer{Sole: l.Sole(now, q.Service, q.Within), Several: l.HasSeveral(now, q.Service, q.Within)}
}

// Source says how the origin of a stream is known.
type Source string

// The sources of origins.
const (
	// Recorded origins were told by the router that began the stream.
	Recorded Source = "recorded"
	// Archived origins were found in the store.
	Archived Source = "archived"
	// Single origins are those of services that had a single build while the stream may have begun,
	// by the history in the registry.
	Single Source = "single"
	// Unknown means that the origin is not known, so that the stream must not go on.
	Unknown Source = "unknown"
)

// Inquiry collects what is known of the origin of a stream.
type Inquiry struct {
	Question
	own Answer
	// confirmed is the only build of the service in the history that the registry holds, if no stream can
	// have begun at a build that this history lacks.
	confirmed Build
	// answers is the number of answers of other routers.
	answers int
	// several is true if any router knows several builds.
	several bool
	// archived is the build that the store has for the stream.
	archived Build
}

// Inquire begins an inquiry with what this ledger knows.
func (l *Ledger) Inquire(now time.Time, q Question) Inquiry {
	own := l.Answer(now, q)
	return Inquiry{Question: q, own: own, several: own.Several}
}

// WithHistory returns the inquiry with the history of versions that the registry holds. It must have
// been read after the client's request arrived: the registry records a version before a stream begins
// at it, so that this history cannot lack the build of the stream. What this router and others have
// heard may lack it, so that it does not complete a history that is not settled.
func (i Inquiry) WithHistory(h roster.History) Inquiry {
	i.confirmed = 0
	if builds := buildsIn(h, i.Service); len(builds) == 1 && h.Settled && i.Within <= roster.HistoryRetention {
		i.confirmed = builds[0]
	}
	return i
}

// WithArchived returns the inquiry with the build that the store has for the stream; 0 if it has
// none.
func (i Inquiry) WithArchived(build Build) Inquiry {
	i.archived = build
	return i
}

// WithAnswer returns the inquiry with the answer of another router.
func (i Inquiry) WithAnswer(a Answer) Inquiry {
	i.answers++
	i.several = i.several || a.Several
	if a.Recorded != 0 && i.own.Recorded == 0 {
		i.own = a
	}
	return i
}

// Answers returns the number of answers of other routers.
func (i Inquiry) Answers() int { return i.answers }

// HasRecord reports whether the build that began the stream is known. What a router knows of the
// builds of a service is less certain, because it may learn of a new one later than others do.
func (i Inquiry) HasRecord() bool { return i.own.Recorded != 0 }

// HasResult reports whether the stream may go on with what is known.
func (i Inquiry) HasResult() bool {
	build, _ := i.Result()
	return build != 0
}

// Result returns the build at which the stream may go on, or 0 if the source is Unknown.
func (i Inquiry) Result() (Build, Source) {
	switch {
	case i.own.Recorded != 0:
		return i.own.Recorded, Recorded
	case i.archived != 0:
		return i.archived, Archived
	case i.several || i.confirmed == 0:
		return 0, Unknown
	}
	return i.confirmed, Single
}
