// Package revision spreads configuration revisions over the routers: announce, fetch of changed files, never a lower revision.
package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// File names content by its SHA-256 digest in lower-case hex.
type File struct {
	Name, Digest string
	// Size is in bytes.
	Size int64
}

// Manifest lists the files of a revision, sorted by name. It is never modified.
type Manifest struct {
	Revision int64
	Files    []File
}

// Digest identifies the content of a manifest.
func (m Manifest) Digest() string {
	h := sha256.New()
	write(h, strconv.FormatInt(m.Revision, 10))
	for _, f := range m.Files {
		write(h, f.Name)
		write(h, f.Digest)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func write(h hash.Hash, text string) {
	_, _ = h.Write([]byte(text))
	_, _ = h.Write([]byte{0})
}

// Digest returns the name of content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Config holds the settings. New fills zero values with the defaults.
type Config struct {
	// Chunk bounds the content in one reply, in bytes; a single larger file is sent alone.
	Chunk int64
	// Rate bounds the content that the router sends in a second, in bytes, against a herd of starting routers.
	Rate int64
	// Settle is how long a starting router collects revision numbers before it takes the highest.
	Settle time.Duration
	// Quorum is the number of peers after which a starting router stops collecting.
	Quorum int
	// Timeout is how long a fetch may take before another source is asked.
	Timeout time.Duration
}

// Defaults of Config.
const (
	DefaultChunk   = 256 << 10
	DefaultRate    = 4 << 20
	DefaultSettle  = 3 * time.Second
	DefaultQuorum  = 3
	DefaultTimeout = 2 * time.Second
)

const (
	// sourcesLimit bounds the sources that are remembered for the wanted revision.
	sourcesLimit = 16
	// manifestsLimit is the number of old manifests kept to answer with differences.
	manifestsLimit = 16
	// busyWait is the longest wait before asking again when a source is busy.
	busyWait = 300 * time.Millisecond
)

// Place says where the router stands in the spread of revisions.
type Place struct {
	// Relay is true if the router tells others. Zone lists the members of its availability zone, Relays those of the others.
	Relay  bool
	Zone   []string
	Relays []string
}

// Kind is the type of an action.
type Kind uint8

// The actions.
const (
	// SendAnnounce asks to send Announce to each of To.
	SendAnnounce Kind = iota
	// SendFetch asks to call To[0] with Fetch and to report the result by Fetched or Failed.
	SendFetch
	// Apply reports that Manifest is in force; State.Content returns its files.
	Apply
	// Conflict reports a second content for a revision that is in force. It is refused.
	Conflict
)

// Action is what the caller of State has to do.
type Action struct {
	Kind     Kind
	To       []string
	Announce Announce
	Fetch    Fetch
	Manifest Manifest
}

// Announce tells that a revision is in force at the sender.
type Announce struct {
	Revision int64
	Digest   string
}

// Fetch asks for a revision, as difference to Base if that is not 0, or for content by digest.
type Fetch struct {
	Revision int64
	Base     int64
	// Known is the digest of the manifest of Base.
	Known   string
	Digests []string
}

// Reply answers a Fetch.
type Reply struct {
	// Busy asks to try another source or later.
	Busy     bool
	Revision int64
	// Base is 0 for a whole manifest; otherwise Files are added to it and the files named by Gone are removed.
	Base     int64
	Files    []File
	Gone     []string
	Contents [][]byte
}

// State is what a router knows about revisions. It is not safe for concurrent use.
type State struct {
	cfg   Config
	rnd   *rand.Rand
	start time.Time
	place Place

	// force is the manifest in force; its Revision only grows.
	force     Manifest
	digest    string
	contents  map[string][]byte
	manifests []Manifest

	// loaded is the highest manifest from the object API, complete.
	loaded Manifest
	// wanted is the highest revision heard of, and sources the routers that have it.
	wanted  int64
	sources []string
	heard   map[string]bool
	settled bool

	// target is the manifest being fetched, asked the source and deadline the end of the wait for its reply.
	target   Manifest
	asked    string
	deadline time.Time

	sent      int64
	sentStart time.Time
}

// New returns the state of a router that starts at now without a configuration.
func New(cfg Config, now time.Time, rnd *rand.Rand) *State {
	if cfg.Chunk == 0 {
		cfg.Chunk = DefaultChunk
	}
	if cfg.Rate == 0 {
		cfg.Rate = DefaultRate
	}
	if cfg.Settle == 0 {
		cfg.Settle = DefaultSettle
	}
	if cfg.Quorum == 0 {
		cfg.Quorum = DefaultQuorum
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &State{cfg: cfg, rnd: rnd, start: now, contents: map[string][]byte{}, heard: map[string]bool{}}
}

// Revision returns the revision in force, 0 for none.
func (s *State) Revision() int64 { return s.force.Revision }

// Manifest returns the manifest in force.
func (s *State) Manifest() Manifest { return s.force }

// Content returns the content of a file in force or being fetched.
func (s *State) Content(digest string) ([]byte, bool) {
	content, ok := s.contents[digest]
	return content, ok
}

// Place sets where the router stands. A router that becomes a relay announces what it has.
func (s *State) Place(p Place) []Action {
	became := p.Relay && !s.place.Relay
	s.place = p
	if !became {
		return nil
	}
	return s.announce()
}

// Missing returns the files of a manifest whose content is not here.
func (s *State) Missing(m Manifest) []File {
	var out []File
	seen := map[string]bool{}
	for _, f := range m.Files {
		if _, ok := s.contents[f.Digest]; !ok && !seen[f.Digest] {
			seen[f.Digest] = true
			out = append(out, f)
		}
	}
	return out
}

// Load takes a revision that the router read from the object API, with the content that Missing named. It is ignored unless
// it is higher than the one in force and complete. A starting router holds it back until it heard from peers: the read may
// lag behind what the router had in force before it was restarted.
func (s *State) Load(now time.Time, m Manifest, contents [][]byte) []Action {
	if m.Revision <= s.force.Revision {
		return s.conflict(m)
	}
	s.store(contents)
	if len(s.Missing(m)) > 0 || m.Revision <= s.loaded.Revision {
		return nil
	}
	s.loaded = m
	return s.next(now)
}

func (s *State) conflict(m Manifest) []Action {
	if m.Revision == s.force.Revision && m.Digest() != s.digest {
		return []Action{{Kind: Conflict, Manifest: m}}
	}
	return nil
}

func (s *State) store(contents [][]byte) {
	for _, c := range contents {
		s.contents[Digest(c)] = c
	}
}

// apply puts a complete manifest in force.
func (s *State) apply(now time.Time, m Manifest) []Action {
	m.Files = slices.Clone(m.Files)
	slices.SortFunc(m.Files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	s.force = m
	s.digest = m.Digest()
	s.manifests = append(s.manifests, m)
	if len(s.manifests) > manifestsLimit {
		s.manifests = slices.Delete(s.manifests, 0, 1)
	}
	s.discard()
	s.target, s.asked = Manifest{}, ""
	if s.wanted <= m.Revision {
		s.wanted, s.sources = m.Revision, nil
	}
	out := append([]Action{{Kind: Apply, Manifest: m}}, s.announce()...)
	return append(out, s.next(now)...)
}

// discard drops content that is neither in force nor waits to be.
func (s *State) discard() {
	kept := make(map[string][]byte, len(s.force.Files))
	files := s.force.Files
	if s.loaded.Revision > s.force.Revision {
		files = slices.Concat(files, s.loaded.Files)
	}
	for _, f := range files {
		kept[f.Digest] = s.contents[f.Digest]
	}
	s.contents = kept
}

func (s *State) announce() []Action {
	to := slices.Concat(s.place.Zone, s.place.Relays)
	if !s.place.Relay || s.force.Revision == 0 || len(to) == 0 {
		return nil
	}
	return []Action{{Kind: SendAnnounce, To: to, Announce: Announce{s.force.Revision, s.digest}}}
}

// Heard takes the revision that a peer has in force, from an announcement, a ping or its answer.
func (s *State) Heard(now time.Time, peer string, revision int64) []Action {
	if !s.settled {
		s.heard[peer] = true
		s.settled = len(s.heard) >= s.cfg.Quorum
	}
	switch {
	case revision <= s.force.Revision || revision < s.wanted:
		return nil
	case revision > s.wanted:
		s.wanted, s.sources = revision, nil
	}
	if len(s.sources) < sourcesLimit && !slices.Contains(s.sources, peer) {
		s.sources = append(s.sources, peer)
	}
	return s.next(now)
}

// Tick advances the state to now.
func (s *State) Tick(now time.Time) []Action {
	s.settled = s.settled || now.Sub(s.start) >= s.cfg.Settle
	if s.asked != "" && !now.Before(s.deadline) {
		return s.Failed(now, s.asked)
	}
	return s.next(now)
}

// next puts what the object API delivered in force unless peers have more, and asks a source for what is missing.
func (s *State) next(now time.Time) []Action {
	if s.settled && s.loaded.Revision > s.force.Revision && s.loaded.Revision >= s.wanted {
		return s.apply(now, s.loaded)
	}
	if !s.settled || s.asked != "" || s.wanted <= s.force.Revision || len(s.sources) == 0 || now.Before(s.deadline) {
		return nil
	}
	s.asked = s.sources[s.rnd.IntN(len(s.sources))]
	s.deadline = now.Add(s.cfg.Timeout)
	f := Fetch{Revision: s.wanted, Base: s.force.Revision, Known: s.digest}
	if s.target.Revision == s.wanted {
		f = Fetch{Revision: s.wanted}
		for _, file := range s.Missing(s.target) {
			f.Digests = append(f.Digests, file.Digest)
		}
	}
	return []Action{{Kind: SendFetch, To: []string{s.asked}, Fetch: f}}
}

// Failed reports that a fetch from a source got no reply.
func (s *State) Failed(now time.Time, from string) []Action {
	if from != s.asked {
		return nil
	}
	s.asked, s.deadline = "", time.Time{}
	s.sources = slices.DeleteFunc(s.sources, func(id string) bool { return id == from })
	return s.next(now)
}

// Handle answers a fetch.
func (s *State) Handle(now time.Time, f Fetch) Reply {
	if s.force.Revision < f.Revision || s.spent(now) {
		return Reply{Busy: true, Revision: s.force.Revision}
	}
	if len(f.Digests) > 0 {
		return Reply{Revision: s.force.Revision, Contents: s.pack(now, f.Digests)}
	}
	r := Reply{Revision: s.force.Revision, Files: s.force.Files}
	for _, m := range s.manifests {
		if m.Revision == f.Base && m.Digest() == f.Known {
			r.Base = f.Base
			r.Files, r.Gone = difference(m, s.force)
		}
	}
	var digests []string
	for _, file := range r.Files {
		digests = append(digests, file.Digest)
	}
	r.Contents = s.pack(now, digests)
	return r
}

// spent says whether the content sent in the current second reached the limit.
func (s *State) spent(now time.Time) bool {
	if now.Sub(s.sentStart) >= time.Second {
		s.sentStart, s.sent = now, 0
	}
	return s.sent >= s.cfg.Rate
}

// pack returns content up to the size of a chunk. What is left out is asked for again.
func (s *State) pack(_ time.Time, digests []string) [][]byte {
	var out [][]byte
	var size int64
	seen := map[string]bool{}
	for _, d := range digests {
		content, ok := s.contents[d]
		if !ok || seen[d] {
			continue
		}
		if size > 0 && size+int64(len(content)) > s.cfg.Chunk {
			break
		}
		seen[d] = true
		size += int64(len(content))
		out = append(out, content)
	}
	s.sent += size
	return out
}

// difference returns the files of b that a lacks and the names of those that b lacks. Both are sorted by name.
func difference(a, b Manifest) (added []File, gone []string) {
	old := make(map[string]File, len(a.Files))
	for _, f := range a.Files {
		old[f.Name] = f
	}
	for _, f := range b.Files {
		if old[f.Name] != f {
			added = append(added, f)
		}
		delete(old, f.Name)
	}
	for _, f := range a.Files {
		if _, ok := old[f.Name]; ok {
			gone = append(gone, f.Name)
		}
	}
	return added, gone
}

// Fetched takes the reply of a source.
func (s *State) Fetched(now time.Time, from string, r Reply) []Action {
	if from != s.asked {
		return nil
	}
	s.asked, s.deadline = "", time.Time{}
	if r.Busy {
		s.deadline = now.Add(busyWait/3 + time.Duration(s.rnd.Int64N(int64(busyWait))))
		return nil
	}
	before := len(s.contents)
	s.store(r.Contents)
	if r.Base != 0 || len(r.Files) > 0 {
		s.retarget(r)
	}
	switch {
	case s.target.Revision <= s.force.Revision, len(s.contents) == before && len(s.Missing(s.target)) > 0:
		// The source has nothing of use.
		s.sources = slices.DeleteFunc(s.sources, func(id string) bool { return id == from })
		return s.next(now)
	case len(s.Missing(s.target)) == 0:
		return s.apply(now, s.target)
	default:
		return s.next(now)
	}
}

// retarget rebuilds the manifest that a reply describes.
func (s *State) retarget(r Reply) {
	if r.Revision <= s.force.Revision || (r.Base != 0 && r.Base != s.force.Revision) {
		return
	}
	m := Manifest{Revision: r.Revision}
	replaced := map[string]bool{}
	for _, f := range r.Files {
		replaced[f.Name] = true
	}
	for _, name := range r.Gone {
		replaced[name] = true
	}
	if r.Base != 0 {
		for _, f := range s.force.Files {
			if !replaced[f.Name] {
				m.Files = append(m.Files, f)
			}
		}
	}
	m.Files = append(m.Files, r.Files...)
	s.target = m
	s.wanted = max(s.wanted, m.Revision)
}
