package mesh

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"io"
	"math"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"hornbeamstep.example/coord/presence"
)

// maxLiveRouters is the number of live routers that fit into one packet.
const maxLiveRouters = 170

// splitLiveness divides the liveness of a message into parts of one packet each. An incomplete list
// is not divided, because its receiver takes the routers that it leaves out for recent.
func splitLiveness(m presence.Message) []presence.Message {
	if !m.Liveness.Complete {
		return []presence.Message{{Kind: m.Kind, From: m.From, Liveness: m.Liveness}}
	}
	var parts []presence.Message
	for routers := range slices.Chunk(m.Liveness.Routers, maxLiveRouters) {
		part := *m.Liveness
		part.Routers = routers
		parts = append(parts, presence.Message{Kind: m.Kind, From: m.From, Liveness: &part})
	}
	return parts
}

// Formats of datagrams. The format is the first element of each datagram. Fleets run several releases
// while they are upgraded, so that a router reads all of them and writes to each router what it reads.
// The fields of released formats never change.
const (
	// oldestFormat has the fields that are in all formats.
	oldestFormat = 21
	// demandsFormat adds evacuated zones, overloaded services, permits of cold servers and of overloaded
	// services, and whether a service has several builds.
	demandsFormat = 22
	// slotsFormat adds brittle services, slots of their servers, and the format of relayed records.
	slotsFormat  = presence.SlotsFormat
	newestFormat = slotsFormat
)

// Format is the newest format that this release reads and writes.
const Format = newestFormat

// Sizes in bytes: the largest encoded record without and with an identity, not counting its loads
// and crashes, the load of one server, a prompt part and one of its crashes, the rate limit of one
// server, a liveness without its
// routers, and the payload of one packet. A larger datagram would be fragmented, and the loss of
// one fragment loses the whole datagram.
const (
	briefRecordSize    = 60
	fullRecordSize     = 180
	loadSize           = 7
	partSize           = 20
	partCrashSize      = 11
	serverLimitSize    = 17
	overloadSize       = 8
	brittleSize        = 13
	textHeaderSize     = 2
	livenessHeaderSize = 80
	packetPayloadSize  = 1300
)

// split divides a message into parts for one datagram each. Each zone gets a part of its own, which
// may exceed one packet. The liveness is added to the last records if it fits.
func split(m presence.Message) []presence.Message {
	var parts []presence.Message
	remaining := 0
	for _, r := range m.Records {
		size := fullRecordSize
		if r.WithoutIdentity {
			size = briefRecordSize
		}
		size += loadSize * len(r.Loads)
		for _, p := range r.Parts {
			size += partSize + partCrashSize*len(p.Crashes)
		}
		size += serverLimitSize*len(r.Limits) + overloadSize*len(r.Overloads) + brittleSize*len(r.Brittle)
		for _, zone := range r.Evacuated.Zones {
			size += len(zone) + textHeaderSize
		}
		if remaining < size {
			parts = append(parts, presence.Message{Kind: m.Kind, From: m.From})
			remaining = packetPayloadSize
		}
		remaining -= size
		part := &parts[len(parts)-1]
		part.Records = append(part.Records, r)
	}
	switch {
	case m.Liveness == nil:
	case remaining >= livenessHeaderSize+liveRouterBytes*len(m.Liveness.Routers):
		parts[len(parts)-1].Liveness = m.Liveness
	default:
		parts = append(parts, splitLiveness(m)...)
	}
	for zones := range slices.Chunk(m.ZoneLoads, 1) {
		parts = append(parts, presence.Message{Kind: m.Kind, From: m.From, ZoneLoads: zones})
	}
	if len(m.Wanted) > 0 || m.Kind == presence.Request {
		parts = append(parts, presence.Message{Kind: m.Kind, From: m.From, Wanted: m.Wanted})
	}
	if m.Permit != nil {
		parts = append(parts, presence.Message{Kind: m.Kind, From: m.From, Permit: m.Permit})
	}
	if m.Origin != nil {
		parts = append(parts, presence.Message{Kind: m.Kind, From: m.From, Origin: m.Origin})
	}
	return parts
}

// encode returns the wire format of a message: nested arrays without field names, which would
// double the size. decode documents the order of the fields.
//
// The receiver reads the given format. Fields that it lacks are left out.
func encode(m presence.Message, format int) ([]byte, error) {
	if p := m.Permit; p != nil && (p.NeedsSlot || p.Releases > 0) && format < slotsFormat {
		return nil, errNotInFormat
	}
	var data bytes.Buffer
	w := datagramWriter{encoder: msgpack.NewEncoder(&data), format: format}
	w.encoder.UseCompactInts(true)
	w.list(messageFields)
	w.integer(int64(format))
	w.integer(int64(m.Kind))
	w.text(m.From)
	w.list(len(m.Records))
	for _, r := range m.Records {
		w.record(r)
	}
	w.list(len(m.ZoneLoads))
	for _, z := range m.ZoneLoads {
		w.zoneLoad(z)
	}
	w.liveness(m.Liveness)
	w.list(len(m.Wanted))
	for _, key := range m.Wanted {
		w.integer(int64(key))
	}
	w.permit(m.Permit)
	w.origin(m.Origin)
	return data.Bytes(), eris.Wrap(w.err, "encode heartbeat message")
}

// Numbers of fields in the wire format.
const (
	messageFields  = 9
	recordFields   = 18
	identityFields = 6
	crashFields    = 3
	partFields     = 3
	// overloadFields is the number of elements that each overloaded service adds to a list.
	overloadFields = 2
	// brittleFields is the number of elements that each service with brittle servers adds to a list.
	brittleFields = 3
	// evacuatedFields is the number of fields of the evacuated zones.
	evacuatedFields = 3
	// partCrashFields is the number of elements that each crash of a prompt part adds to a list.
	partCrashFields = 3
	zoneLoadFields  = 5
	livenessFields  = 9
	// serverLimitFields is the number of elements that each rate limit adds to a list.
	serverLimitFields = 3
	permitFields      = 8
	originFields      = 6
)

// Numbers of fields that formats add.
const (
	demandsRecordFields = 2
	demandsPermitFields = 2
	demandsOriginFields = 1
	slotsRecordFields   = 1
	slotsIdentityFields = 1
	slotsPermitFields   = 4
)

// fieldsIn returns the number of fields in a format, of which demands and slots are those that these
// formats add.
func fieldsIn(format, fields, demands, slots int) int {
	if format >= demandsFormat {
		fields += demands
	}
	if format >= slotsFormat {
		fields += slots
	}
	return fields
}

// datagramWriter encodes the fields of a datagram. err is the first error.
type datagramWriter struct {
	encoder *msgpack.Encoder
	format  int
	err     error
}

func (w *datagramWriter) keep(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *datagramWriter) list(n int)      { w.keep(w.encoder.EncodeArrayLen(n)) }
func (w *datagramWriter) text(s string)   { w.keep(w.encoder.EncodeString(s)) }
func (w *datagramWriter) integer(n int64) { w.keep(w.encoder.EncodeInt(n)) }
func (w *datagramWriter) flag(b bool)     { w.keep(w.encoder.EncodeBool(b)) }

func (w *datagramWriter) texts(list []string) {
	w.list(len(list))
	for _, s := range list {
		w.text(s)
	}
}

// loads writes a map as a list of keys, each followed by its value.
func (w *datagramWriter) loads(loads map[presence.ServerKey]int) {
	w.list(2 * len(loads))
	for key, n := range loads {
		w.integer(int64(key))
		w.integer(int64(n))
	}
}

func (w *datagramWriter) record(r presence.AgedRecord) {
	w.list(fieldsIn(w.format, recordFields, demandsRecordFields, slotsRecordFields))
	w.integer(r.Age)
	w.text(r.ID)
	w.integer(r.Boot)
	w.keep(w.encoder.EncodeUint(r.Sequence))
	w.flag(r.Ready)
	w.integer(r.Config)
	w.integer(r.Servers.Era)
	w.integer(r.Servers.Number)
	w.conditions(r)
	w.integer(r.StoreContactAge)
	w.flag(r.StoreLost)
	// A relayed record has no loads, which is not the same as a router without load.
	if r.Loads == nil {
		w.keep(w.encoder.EncodeNil())
	} else {
		w.loads(r.Loads)
	}
	w.texts(r.Down)
	w.list(len(r.Unreached))
	for _, key := range r.Unreached {
		w.integer(int64(key))
	}
	w.texts(r.Leaving)
	w.list(len(r.Crashes))
	for _, c := range r.Crashes {
		w.list(crashFields)
		w.text(c.Fingerprint)
		w.texts(c.Servers)
		w.integer(c.Age)
	}
	w.list(len(r.Parts))
	for _, p := range r.Parts {
		w.part(p)
	}
	w.list(serverLimitFields * len(r.Limits))
	for _, l := range r.Limits {
		w.serverLimit(l)
	}
	if r.WithoutIdentity {
		w.keep(w.encoder.EncodeNil())
		return
	}
	w.list(fieldsIn(w.format, identityFields, 0, slotsIdentityFields))
	for _, s := range []string{r.Zone, r.Region, r.Peer, r.Control, r.Front} {
		w.text(s)
	}
	w.keep(w.encoder.EncodeFloat64(r.Capacity))
	if w.format >= slotsFormat {
		w.integer(int64(r.Format))
	}
}

// conditions writes the evacuated zones, and the overloaded and brittle services.
func (w *datagramWriter) conditions(r presence.AgedRecord) {
	if w.format < demandsFormat {
		return
	}
	w.evacuated(r.Evacuated)
	w.list(overloadFields * len(r.Overloads))
	for _, o := range r.Overloads {
		w.integer(int64(o.Service))
		w.integer(o.Age)
	}
	if w.format < slotsFormat {
		return
	}
	w.list(brittleFields * len(r.Brittle))
	for _, b := range r.Brittle {
		w.integer(int64(b.Service))
		w.integer(int64(b.MaxRejections))
		w.integer(b.Age)
	}
}

// evacuated writes nil before the first news, and a list of era, revision and zones after it.
func (w *datagramWriter) evacuated(e presence.Evacuated) {
	if e.Revision.IsZero() {
		w.keep(w.encoder.EncodeNil())
		return
	}
	w.list(evacuatedFields)
	w.integer(e.Revision.Era)
	w.integer(e.Revision.Number)
	w.texts(e.Zones)
}

func (w *datagramWriter) part(p presence.PromptPart) {
	w.list(partFields)
	w.keep(w.encoder.EncodeUint(p.Key))
	w.flag(p.Confirmed)
	w.list(partCrashFields * len(p.Crashes))
	for _, c := range p.Crashes {
		w.integer(int64(c.Key))
		w.integer(c.Age)
		w.flag(c.Cleared)
	}
}

// endedLimit stands for the rate of a limit that has ended.
const endedLimit = -1

// serverLimit writes three elements of the surrounding list: the server, the rate in thousandths of
// a request per second, and the age.
func (w *datagramWriter) serverLimit(l presence.ServerLimit) {
	rate := int64(math.Round(l.PerSecond * 1000))
	if l.Ended {
		rate = endedLimit
	}
	w.integer(int64(l.Server))
	w.integer(rate)
	w.integer(l.Age)
}

func (w *datagramWriter) permit(p *presence.Permit) {
	if p == nil {
		w.keep(w.encoder.EncodeNil())
		return
	}
	w.list(fieldsIn(w.format, permitFields, demandsPermitFields, slotsPermitFields))
	w.integer(int64(p.Number))
	w.integer(int64(p.Priority))
	w.integer(p.MaxDelay)
	w.serverLimit(p.Limit)
	w.flag(p.Granted)
	w.integer(p.Wait)
	if w.format < demandsFormat {
		return
	}
	w.flag(p.Cold)
	w.integer(int64(math.Round(p.PerSecond * 1000)))
	if w.format < slotsFormat {
		return
	}
	w.flag(p.NeedsSlot)
	w.integer(p.MaxHold)
	w.integer(int64(p.Releases))
	w.integer(int64(p.Ending))
}

func (w *datagramWriter) origin(o *presence.StreamOrigin) {
	if o == nil {
		w.keep(w.encoder.EncodeNil())
		return
	}
	w.list(fieldsIn(w.format, originFields, demandsOriginFields, 0))
	w.integer(int64(o.Number))
	w.keep(w.encoder.EncodeUint(o.Stream))
	w.keep(w.encoder.EncodeUint(o.Recorded))
	w.keep(w.encoder.EncodeUint(o.Sole))
	w.integer(int64(o.Service))
	w.integer(o.Within)
	if w.format >= demandsFormat {
		w.flag(o.Several)
	}
}

func (w *datagramWriter) zoneLoad(z presence.ZoneLoad) {
	w.list(zoneLoadFields)
	w.text(z.Zone)
	w.loads(z.Loads)
	w.list(2 * len(z.Down))
	for id, n := range z.Down {
		w.text(id)
		w.integer(int64(n))
	}
	w.texts(z.Leaving)
	w.integer(z.Age)
}

// Flags of a live router.
const (
	readyFlag = 1 << iota
	storeLostFlag
	newestConfigFlag
	newestServersFlag
)

const (
	// liveRouterBytes is the size of a live router: its key, its age in units of ageUnitMillis, and
	// its flags.
	liveRouterBytes = 7
	ageUnitMillis   = 10
)

// liveness writes nil, or the fields of the liveness with its routers as one binary value.
func (w *datagramWriter) liveness(l *presence.Liveness) {
	if l == nil {
		w.keep(w.encoder.EncodeNil())
		return
	}
	w.list(livenessFields)
	w.text(l.Zone)
	w.integer(l.Config)
	w.integer(l.Servers.Era)
	w.integer(l.Servers.Number)
	w.integer(l.StoreContactAge)
	w.keep(w.encoder.EncodeUint(l.Checksum))
	w.integer(l.Age)
	w.flag(l.Complete)
	routers := make([]byte, 0, liveRouterBytes*len(l.Routers))
	for _, r := range l.Routers {
		routers = binary.LittleEndian.AppendUint32(routers, uint32(r.Key))
		// Rounding up keeps a router from appearing fresher at each hub that relays it.
		routers = binary.LittleEndian.AppendUint16(routers, uint16(min((r.Age+ageUnitMillis-1)/ageUnitMillis, math.MaxUint16)))
		routers = append(routers, liveRouterFlags(r))
	}
	w.keep(w.encoder.EncodeBytes(routers))
}

func liveRouterFlags(r presence.LiveRouter) byte {
	flags := byte(0)
	for _, f := range []struct {
		set  bool
		flag byte
	}{{r.Ready, readyFlag}, {r.StoreLost, storeLostFlag}, {r.NewestConfig, newestConfigFlag}, {r.NewestServers, newestServersFlag}} {
		if f.set {
			flags |= f.flag
		}
	}
	return flags
}

// packed is a compressed response. Compression saves time on slow links, because a configuration
// holds thousands of similar routes.
type packed struct {
	Gzip []byte `json:"gzip"`
}

// maxUnpackedBytes limits the size of a response after decompression. The store limits a
// configuration to 1 MB, and its encoding here is at most a few times longer.
const maxUnpackedBytes = 16 << 20

// pack encodes a value as compressed JSON.
func pack(value any) (packed, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return packed{}, eris.Wrap(err, "encode response")
	}
	if err := w.Close(); err != nil {
		return packed{}, eris.Wrap(err, "compress response")
	}
	return packed{Gzip: out.Bytes()}, nil
}

// responseCache holds the latest encoded response of one kind. It is safe for concurrent use.
type responseCache[V comparable] struct {
	mu       sync.Mutex
	version  V
	response packed
}

// get returns the encoded response for a version, and encodes value if the cache holds another one.
func (c *responseCache[V]) get(version V, value any) (packed, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.response.Gzip != nil && c.version == version {
		return c.response, nil
	}
	response, err := pack(value)
	if err != nil {
		return packed{}, err
	}
	c.version, c.response = version, response
	return response, nil
}

// unpack decodes the response into a value.
func (p packed) unpack(into any) error {
	r, err := gzip.NewReader(bytes.NewReader(p.Gzip))
	if err != nil {
		return eris.Wrap(err, "decompress response")
	}
	return eris.Wrap(json.NewDecoder(io.LimitReader(r, maxUnpackedBytes)).Decode(into), "decode response")
}
