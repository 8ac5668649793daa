// Package revision distributes configuration revisions to all routers. A router that activates a
// revision announces it, and the others fetch the files that changed. A router never replaces its
// active revision by a lower one.
//
// State is a state machine without network access or a clock of its own: the caller passes in
// events with the time and performs the actions that the methods return.
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

// File describes a configuration file. Digest is the SHA-256 hash of its content in lower-case hex.
type File struct {
	Name, Digest string
	// Size is in bytes.
	Size int64
}

// Manifest lists the files of a revision, sorted by name. It must not be modified.
type Manifest struct {
	Revision int64
	Files    []File
}

// Digest returns a hash of the revision number and of the names and digests of the files.
func (m Manifest) Digest() string {
	h := sha256.New()
	writeField(h, strconv.FormatInt(m.Revision, 10))
	for _, f := range m.Files {
		writeField(h, f.Name)
		writeField(h, f.Digest)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func writeField(h hash.Hash, text string) {
	_, _ = h.Write([]byte(text))
	_, _ = h.Write([]byte{0})
}

// Digest returns the SHA-256 hash of content in lower-case hex, as in File.Digest.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Config holds the settings of a State. New replaces zero values by the defaults.
type Config struct {
	// ChunkBytes is the maximum size of the file contents in one reply. A larger file is sent in a
	// reply of its own.
	ChunkBytes int64
	// BytesPerSecond is the number of bytes of file contents per second after which the router
	// answers that it is busy. It limits the load when many routers start at the same time.
	BytesPerSecond int64
	// SettleTimeout is how long a starting router collects the revision numbers of its peers before
	// it chooses the highest.
	SettleTimeout time.Duration
	// Quorum is the number of peers whose revision numbers a starting router needs to stop
	// collecting before SettleTimeout has passed.
	Quorum int
	// FetchTimeout is how long the router waits for the reply to a fetch before it fetches from
	// another source.
	FetchTimeout time.Duration
}

// New sets fields of Config that are zero to the value of the same name.
const (
	DefaultChunkBytes     = 256 << 10
	DefaultBytesPerSecond = 4 << 20
	DefaultSettleTimeout  = 3 * time.Second
	DefaultQuorum         = 3
	DefaultFetchTimeout   = 2 * time.Second
)

const (
	// maxSources is the maximum number of sources that are recorded for the wanted revision.
	maxSources = 16
	// maxManifests is the number of recent manifests that are retained, so that the reply to a
	// fetch can be limited to the changed files.
	maxManifests = 16
	// busyDelay is the range of the random delay before the next fetch when a source is busy. The
	// delay is between a third and four thirds of it.
	busyDelay = 300 * time.Millisecond
)

// Topology lists the routers to which a router announces revisions.
type Topology struct {
	// Relay is true if the router announces revisions. Zone lists the other routers of its
	// availability zone, Relays the relays of the other availability zones. Both are used only if
	// Relay is true.
	Relay  bool
	Zone   []string
	Relays []string
}

// Kind says which message an Action sends or which event it reports.
type Kind uint8

// The caller sends the messages SendAnnouncement and SendFetch, and handles the events Activated
// and Conflict.
const (
	// SendAnnouncement: send Announcement to each router in To.
	SendAnnouncement Kind = iota
	// SendFetch: send Fetch to To[0]. Pass the result to HandleReply or HandleFetchFailure.
	SendFetch
	// Activated reports that Manifest has become the active manifest. State.Content returns the
	// contents of its files.
	Activated
	// Conflict reports that Manifest has the number of the active revision but different content.
	// It was not activated.
	Conflict
)

// Action is a message that the caller of State must send, or an event that it must handle.
type Action struct {
	Kind         Kind
	To           []string
	Announcement Announcement
	Fetch        Fetch
	Manifest     Manifest
}

// Announcement states that a revision is active on the sender. Digest is the digest of its
// manifest.
type Announcement struct {
	Revision int64
	Digest   string
}

// Fetch requests a revision or, if Digests is set, file contents. A requested revision is sent as
// the difference from Base if Base is not 0 and the receiver still has its manifest.
type Fetch struct {
	Revision int64
	Base     int64
	// BaseDigest is the digest of the manifest of Base.
	BaseDigest string
	// Digests are the digests of the files whose contents are requested.
	Digests []string
}

// Reply is the response to a Fetch.
type Reply struct {
	// Busy means that the sender does not have the revision or has reached its rate limit. The
	// receiver retries after a delay, possibly with another source.
	Busy bool
	// Revision is the active revision of the sender.
	Revision int64
	// Base is 0 if Files is the whole manifest. Otherwise Files are the files added or changed
	// since Base, and Removed the names of the removed ones.
	Base    int64
	Files   []File
	Removed []string
	// Contents are contents of files, up to Config.ChunkBytes. The receiver fetches the others
	// separately.
	Contents [][]byte
}

// State holds the revisions that a router has activated, loaded or learned of from peers. It is not
// safe for concurrent use.
type State struct {
	cfg      Config
	rng      *rand.Rand
	start    time.Time
	topology Topology

	// active is the manifest in use; its Revision never decreases. activeDigest is its digest.
	active       Manifest
	activeDigest string
	// contents holds file contents by digest, and manifests the manifests activated most recently,
	// oldest first.
	contents  map[string][]byte
	manifests []Manifest

	// loaded is the manifest with the highest revision read from the object API. All its contents
	// are present.
	loaded Manifest
	// wanted is the highest revision that a peer has reported, and sources the routers that have
	// it.
	wanted  int64
	sources []string
	// reportedPeers holds the peers that reported a revision before settled became true. settled is
	// true once Quorum peers have reported or SettleTimeout has passed; before that, the router
	// neither activates nor fetches a revision.
	reportedPeers map[string]bool
	settled       bool

	// target is the manifest being fetched. fetchSource is the router to which a fetch is pending;
	// empty if there is none.
	target      Manifest
	fetchSource string
	// fetchDeadline is the end of the wait for the reply. While no fetch is pending, no new one
	// starts before it.
	fetchDeadline time.Time

	// sentBytes is the size of the file contents sent in the current second, which began at
	// sentSince.
	sentBytes int64
	sentSince time.Time
}

// New returns the state of a router that starts at time now without a configuration.
func New(cfg Config, now time.Time, rng *rand.Rand) *State {
	if cfg.ChunkBytes == 0 {
		cfg.ChunkBytes = DefaultChunkBytes
	}
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	if cfg.SettleTimeout == 0 {
		cfg.SettleTimeout = DefaultSettleTimeout
	}
	if cfg.Quorum == 0 {
		cfg.Quorum = DefaultQuorum
	}
	if cfg.FetchTimeout == 0 {
		cfg.FetchTimeout = DefaultFetchTimeout
	}
	return &State{cfg: cfg, rng: rng, start: now, contents: map[string][]byte{}, reportedPeers: map[string]bool{}}
}

// Revision returns the number of the active revision, 0 if there is none.
func (s *State) Revision() int64 { return s.active.Revision }

// Manifest returns the active manifest.
func (s *State) Manifest() Manifest { return s.active }

// Content returns the content with a digest, and false if the state does not hold it. The state
// holds the contents of the active manifest and of those that are being loaded or fetched.
func (s *State) Content(digest string) ([]byte, bool) {
	content, ok := s.contents[digest]
	return content, ok
}

// SetTopology sets the routers to announce revisions to. A router that becomes a relay announces
// its active revision.
func (s *State) SetTopology(p Topology) []Action {
	becameRelay := p.Relay && !s.topology.Relay
	s.topology = p
	if !becameRelay {
		return nil
	}
	return s.announce()
}

// MissingFiles returns the files of a manifest whose content the state does not hold, at most one
// per digest.
func (s *State) MissingFiles(m Manifest) []File {
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

// Load processes a revision that the router read from the object API, with the contents of the
// files that MissingFiles returned. It is ignored unless it is higher than the active revision and
// all its contents are present. A starting router does not activate it before it has settled (see
// Config.SettleTimeout and Config.Quorum): the object API may return a revision that is older than
// the one that was active before the restart.
func (s *State) Load(now time.Time, m Manifest, contents [][]byte) []Action {
	if m.Revision <= s.active.Revision {
		return s.checkConflict(m)
	}
	s.addContents(contents)
	if len(s.MissingFiles(m)) > 0 || m.Revision <= s.loaded.Revision {
		return nil
	}
	s.loaded = m
	return s.next(now)
}

func (s *State) checkConflict(m Manifest) []Action {
	if m.Revision == s.active.Revision && m.Digest() != s.activeDigest {
		return []Action{{Kind: Conflict, Manifest: m}}
	}
	return nil
}

func (s *State) addContents(contents [][]byte) {
	for _, c := range contents {
		s.contents[Digest(c)] = c
	}
}

// activate makes a manifest active. All its contents must be present.
func (s *State) activate(now time.Time, m Manifest) []Action {
	m.Files = slices.Clone(m.Files)
	slices.SortFunc(m.Files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	s.active = m
	s.activeDigest = m.Digest()
	s.manifests = append(s.manifests, m)
	if len(s.manifests) > maxManifests {
		s.manifests = slices.Delete(s.manifests, 0, 1)
	}
	s.deleteUnused()
	s.target, s.fetchSource = Manifest{}, ""
	if s.wanted <= m.Revision {
		s.wanted, s.sources = m.Revision, nil
	}
	out := append([]Action{{Kind: Activated, Manifest: m}}, s.announce()...)
	return append(out, s.next(now)...)
}

// deleteUnused deletes the contents that neither the active manifest nor a higher loaded one uses.
func (s *State) deleteUnused() {
	used := make(map[string][]byte, len(s.active.Files))
	files := s.active.Files
	if s.loaded.Revision > s.active.Revision {
		files = slices.Concat(files, s.loaded.Files)
	}
	for _, f := range files {
		used[f.Digest] = s.contents[f.Digest]
	}
	s.contents = used
}

func (s *State) announce() []Action {
	to := slices.Concat(s.topology.Zone, s.topology.Relays)
	if !s.topology.Relay || s.active.Revision == 0 || len(to) == 0 {
		return nil
	}
	return []Action{{Kind: SendAnnouncement, To: to, Announcement: Announcement{s.active.Revision, s.activeDigest}}}
}

// HandlePeerRevision processes the active revision of a peer, which may come from an announcement,
// a ping or the reply to a ping.
func (s *State) HandlePeerRevision(now time.Time, peer string, revision int64) []Action {
	if !s.settled {
		s.reportedPeers[peer] = true
		s.settled = len(s.reportedPeers) >= s.cfg.Quorum
	}
	switch {
	case revision <= s.active.Revision || revision < s.wanted:
		return nil
	case revision > s.wanted:
		s.wanted, s.sources = revision, nil
	}
	if len(s.sources) < maxSources && !slices.Contains(s.sources, peer) {
		s.sources = append(s.sources, peer)
	}
	return s.next(now)
}

// Tick processes the waits and timeouts that have ended. The caller calls it periodically.
func (s *State) Tick(now time.Time) []Action {
	s.settled = s.settled || now.Sub(s.start) >= s.cfg.SettleTimeout
	if s.fetchSource != "" && !now.Before(s.fetchDeadline) {
		return s.HandleFetchFailure(now, s.fetchSource)
	}
	return s.next(now)
}

// next activates the revision loaded from the object API unless a peer has a higher one. Otherwise
// it fetches the wanted revision, or the contents that are missing for it, from a random source.
func (s *State) next(now time.Time) []Action {
	if s.settled && s.loaded.Revision > s.active.Revision && s.loaded.Revision >= s.wanted {
		return s.activate(now, s.loaded)
	}
	if !s.settled || s.fetchSource != "" || s.wanted <= s.active.Revision || len(s.sources) == 0 || now.Before(s.fetchDeadline) {
		return nil
	}
	s.fetchSource = s.sources[s.rng.IntN(len(s.sources))]
	s.fetchDeadline = now.Add(s.cfg.FetchTimeout)
	f := Fetch{Revision: s.wanted, Base: s.active.Revision, BaseDigest: s.activeDigest}
	if s.target.Revision == s.wanted {
		f = Fetch{Revision: s.wanted}
		for _, file := range s.MissingFiles(s.target) {
			f.Digests = append(f.Digests, file.Digest)
		}
	}
	return []Action{{Kind: SendFetch, To: []string{s.fetchSource}, Fetch: f}}
}

// HandleFetchFailure processes the failure of a source to reply to a fetch.
func (s *State) HandleFetchFailure(now time.Time, from string) []Action {
	if from != s.fetchSource {
		return nil
	}
	s.fetchSource, s.fetchDeadline = "", time.Time{}
	s.sources = slices.DeleteFunc(s.sources, func(id string) bool { return id == from })
	return s.next(now)
}

// HandleFetch returns the reply to a fetch from another router.
func (s *State) HandleFetch(now time.Time, f Fetch) Reply {
	if s.active.Revision < f.Revision || s.rateLimited(now) {
		return Reply{Busy: true, Revision: s.active.Revision}
	}
	if len(f.Digests) > 0 {
		return Reply{Revision: s.active.Revision, Contents: s.chunk(now, f.Digests)}
	}
	r := Reply{Revision: s.active.Revision, Files: s.active.Files}
	for _, m := range s.manifests {
		if m.Revision == f.Base && m.Digest() == f.BaseDigest {
			r.Base = f.Base
			r.Files, r.Removed = difference(m, s.active)
		}
	}
	var digests []string
	for _, file := range r.Files {
		digests = append(digests, file.Digest)
	}
	r.Contents = s.chunk(now, digests)
	return r
}

// rateLimited reports whether the contents sent in the current second have reached
// Config.BytesPerSecond.
func (s *State) rateLimited(now time.Time) bool {
	if now.Sub(s.sentSince) >= time.Second {
		s.sentSince, s.sentBytes = now, 0
	}
	return s.sentBytes >= s.cfg.BytesPerSecond
}

// chunk returns the contents with the given digests, up to Config.ChunkBytes. The receiver requests
// the remaining ones again.
func (s *State) chunk(_ time.Time, digests []string) [][]byte {
	var out [][]byte
	var size int64
	seen := map[string]bool{}
	for _, d := range digests {
		content, ok := s.contents[d]
		if !ok || seen[d] {
			continue
		}
		if size > 0 && size+int64(len(content)) > s.cfg.ChunkBytes {
			break
		}
		seen[d] = true
		size += int64(len(content))
		out = append(out, content)
	}
	s.sentBytes += size
	return out
}

// difference returns the files that were added or changed from before to after, and the names of
// the removed ones, both sorted by name.
func difference(before, after Manifest) (changed []File, removed []string) {
	old := make(map[string]File, len(before.Files))
	for _, f := range before.Files {
		old[f.Name] = f
	}
	for _, f := range after.Files {
		if old[f.Name] != f {
			changed = append(changed, f)
		}
		delete(old, f.Name)
	}
	for _, f := range before.Files {
		if _, ok := old[f.Name]; ok {
			removed = append(removed, f.Name)
		}
	}
	return changed, removed
}

// HandleReply processes the reply of a source to a fetch.
func (s *State) HandleReply(now time.Time, from string, r Reply) []Action {
	if from != s.fetchSource {
		return nil
	}
	s.fetchSource, s.fetchDeadline = "", time.Time{}
	if r.Busy {
		s.fetchDeadline = now.Add(busyDelay/3 + time.Duration(s.rng.Int64N(int64(busyDelay))))
		return nil
	}
	contentsBefore := len(s.contents)
	s.addContents(r.Contents)
	if r.Base != 0 || len(r.Files) > 0 {
		s.setTarget(r)
	}
	switch {
	case s.target.Revision <= s.active.Revision, len(s.contents) == contentsBefore && len(s.MissingFiles(s.target)) > 0:
		// The reply contained neither a newer manifest nor missing content, so the source is
		// dropped.
		s.sources = slices.DeleteFunc(s.sources, func(id string) bool { return id == from })
		return s.next(now)
	case len(s.MissingFiles(s.target)) == 0:
		return s.activate(now, s.target)
	default:
		return s.next(now)
	}
}

// setTarget makes the manifest that a reply describes the target. It ignores a reply that is not
// newer than the active revision or is based on another one.
func (s *State) setTarget(r Reply) {
	if r.Revision <= s.active.Revision || (r.Base != 0 && r.Base != s.active.Revision) {
		return
	}
	m := Manifest{Revision: r.Revision}
	replaced := map[string]bool{}
	for _, f := range r.Files {
		replaced[f.Name] = true
	}
	for _, name := range r.Removed {
		replaced[name] = true
	}
	if r.Base != 0 {
		for _, f := range s.active.Files {
			if !replaced[f.Name] {
				m.Files = append(m.Files, f)
			}
		}
	}
	m.Files = append(m.Files, r.Files...)
	s.target = m
	s.wanted = max(s.wanted, m.Revision)
}
