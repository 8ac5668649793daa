package mesh

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/routing/permit"
	"hornbeamstep.example/routing/roster"
)

// Limits of the values in a datagram. A message with a value beyond them is rejected.
const (
	maxTextBytes = 256
	// maxAgeMillis is the longest age, one hour. Records and loads are relayed for seconds.
	maxAgeMillis = 3_600_000
	// maxStreamMillis is the longest time that a stream may last, one day.
	maxStreamMillis = 86_400_000
	// maxLoad is the highest number of requests in progress at one backend server. The sum over
	// all servers and routers fits an int.
	maxLoad = 1 << 20
	// maxRateLimit is the highest rate limit of a backend server, in thousandths of a request per
	// second.
	maxRateLimit = 1_000_000_000
	// maxRejections is the highest number of rejections per second that a backend server withstands.
	maxRejections = 1 << 20
	// maxPriority is the least urgent priority of a request.
	maxPriority = 1 << 20
	// maxCapacity is the highest capacity of a machine, in cores.
	maxCapacity = 4096
)

var (
	errUnknownFormat = eris.New("heartbeat message has a format that this release does not read; see docs/operators/upgrades.md")
	errNotInFormat   = eris.New("the format that the receiver reads has no such message")
	errInvalidField  = eris.New("heartbeat message has an invalid field")
)

// decode parses the wire format of a message. The data is untrusted, because any program can send
// datagrams to the router. A message is [format, kind, from, records, zone loads, liveness or nil,
// wanted keys, permit or nil, origin or nil].
func decode(data []byte) (presence.Message, error) {
	remaining := bytes.NewReader(data)
	r := datagramReader{data: remaining, decoder: msgpack.NewDecoder(remaining)}
	var m presence.Message
	r.fields(messageFields)
	r.format = int(r.integer(0, math.MaxInt32))
	if r.err == nil && (r.format < oldestFormat || r.format > newestFormat) {
		return presence.Message{}, errUnknownFormat
	}
	m.Format = r.format
	m.Kind = presence.Kind(r.integer(0, int64(presence.LastKind)))
	m.From = r.text()
	for range r.list(recordFields) {
		record := r.record()
		if record.ID == m.From {
			record.Format = r.format
		}
		m.Records = append(m.Records, record)
	}
	for range r.list(zoneLoadFields) {
		m.ZoneLoads = append(m.ZoneLoads, r.zoneLoad())
	}
	if !r.isNil() {
		m.Liveness = r.liveness()
	}
	for range r.list(1) {
		m.Wanted = append(m.Wanted, presence.MemberKey(r.integer(0, math.MaxUint32)))
	}
	if !r.isNil() {
		m.Permit = r.permit()
	}
	if !r.isNil() {
		m.Origin = r.origin()
	}
	if remaining.Len() > 0 {
		r.fail(errInvalidField)
	}
	if r.err != nil {
		return presence.Message{}, eris.Wrap(r.err, "decode heartbeat message")
	}
	return m, nil
}

// datagramReader decodes the fields of a datagram. err is the first error. After an error, all
// methods return zero values. Lengths are checked against the bytes that are left before anything
// is allocated for them, because the library allocates memory for any length that a message states.
type datagramReader struct {
	data    *bytes.Reader
	decoder *msgpack.Decoder
	format  int
	err     error
}

func (r *datagramReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// list returns the length of a list whose elements have at least minSize bytes each.
func (r *datagramReader) list(minSize int) int {
	if r.err != nil {
		return 0
	}
	n, err := r.decoder.DecodeArrayLen()
	if err != nil {
		r.fail(err)
		return 0
	}
	if n < 0 || n > r.data.Len()/minSize {
		r.fail(errInvalidField)
		return 0
	}
	return n
}

// fields checks that a list has n elements.
func (r *datagramReader) fields(n int) {
	if r.list(1) != n {
		r.fail(errInvalidField)
	}
}

// isNil reads a nil and returns true, or returns false without reading anything.
func (r *datagramReader) isNil() bool {
	if r.err != nil {
		return true
	}
	// The code of nil in MessagePack.
	const nilCode = 0xc0
	code, err := r.decoder.PeekCode()
	if err != nil {
		r.fail(err)
		return true
	}
	if code != nilCode {
		return false
	}
	if err := r.decoder.DecodeNil(); err != nil {
		r.fail(err)
	}
	return true
}

func (r *datagramReader) text() string { return string(r.bytes(maxTextBytes)) }

// bytes reads a text or binary value of at most limit bytes.
func (r *datagramReader) bytes(limit int) []byte {
	if r.err != nil {
		return nil
	}
	n, err := r.decoder.DecodeBytesLen()
	if err != nil || n < 0 || n > min(limit, r.data.Len()) {
		r.fail(errInvalidField)
		return nil
	}
	value := make([]byte, n)
	if _, err := io.ReadFull(r.data, value); err != nil {
		r.fail(err)
	}
	return value
}

func (r *datagramReader) unsigned() uint64 {
	if r.err != nil {
		return 0
	}
	n, err := r.decoder.DecodeUint64()
	if err != nil {
		r.fail(err)
	}
	return n
}

func (r *datagramReader) integer(least, most int64) int64 {
	if r.err != nil {
		return 0
	}
	n, err := r.decoder.DecodeInt64()
	if err != nil {
		r.fail(err)
		return 0
	}
	if n < least || n > most {
		r.fail(errInvalidField)
		return 0
	}
	return n
}

func (r *datagramReader) number() int64 { return r.integer(0, math.MaxInt64) }

func (r *datagramReader) flag() bool {
	if r.err != nil {
		return false
	}
	b, err := r.decoder.DecodeBool()
	if err != nil {
		r.fail(err)
	}
	return b
}

func (r *datagramReader) texts() []string {
	var list []string
	for range r.list(1) {
		list = append(list, r.text())
	}
	return list
}

func (r *datagramReader) loads() map[presence.ServerKey]int {
	loads := map[presence.ServerKey]int{}
	for range r.list(1) / 2 {
		key := presence.ServerKey(r.integer(0, math.MaxUint32))
		loads[key] = int(r.integer(0, maxLoad))
	}
	return loads
}

// revision reads an era and a number, which are elements of the surrounding list.
func (r *datagramReader) revision() roster.Revision {
	return roster.Revision{Era: r.number(), Number: r.number()}
}

// record reads [age, ID, boot, sequence, ready, config, era, revision, evacuated, overloads, brittle
// services, store contact age, store lost, loads or nil, down, unreached, leaving, crashes, prompt parts, limits, identity or nil].
func (r *datagramReader) record() presence.AgedRecord {
	var a presence.AgedRecord
	r.fields(fieldsIn(r.format, recordFields, demandsRecordFields, slotsRecordFields))
	a.Age = r.integer(0, maxAgeMillis)
	a.ID = r.text()
	a.Boot = r.number()
	a.Sequence = uint64(r.number())
	a.Ready = r.flag()
	a.Config = r.number()
	a.Servers = r.revision()
	r.conditions(&a)
	a.StoreContactAge = r.integer(-1, math.MaxInt64/int64(1e6))
	a.StoreLost = r.flag()
	if !r.isNil() {
		a.Loads = r.loads()
	}
	a.Down = r.texts()
	for range r.list(1) {
		a.Unreached = append(a.Unreached, presence.ServiceKey(r.integer(0, math.MaxUint32)))
	}
	a.Leaving = r.texts()
	for range r.list(crashFields) {
		r.fields(crashFields)
		a.Crashes = append(a.Crashes, presence.Crash{Fingerprint: r.text(), Servers: r.texts(), Age: r.integer(0, maxAgeMillis)})
	}
	for range r.list(partFields) {
		a.Parts = append(a.Parts, r.part())
	}
	for range r.list(1) / serverLimitFields {
		a.Limits = append(a.Limits, r.serverLimit())
	}
	if a.WithoutIdentity = r.isNil(); !a.WithoutIdentity {
		r.identity(&a.Record)
	}
	return a
}

// conditions reads the evacuated zones, and the overloaded and brittle services.
func (r *datagramReader) conditions(into *presence.AgedRecord) {
	if r.format < demandsFormat {
		return
	}
	into.Evacuated = r.evacuated()
	for range r.list(1) / overloadFields {
		into.Overloads = append(into.Overloads, presence.Overload{Service: presence.ServiceKey(r.integer(0, math.MaxUint32)), Age: r.integer(0, maxAgeMillis)})
	}
	if r.format < slotsFormat {
		return
	}
	for range r.list(1) / brittleFields {
		into.Brittle = append(into.Brittle, presence.BrittleService{
			Service: presence.ServiceKey(r.integer(0, math.MaxUint32)), MaxRejections: int(r.integer(0, maxRejections)), Age: r.integer(0, maxAgeMillis),
		})
	}
}

// evacuated reads nil or [era, revision, zones].
func (r *datagramReader) evacuated() presence.Evacuated {
	if r.isNil() {
		return presence.Evacuated{}
	}
	r.fields(evacuatedFields)
	return presence.Evacuated{Revision: r.revision(), Zones: r.texts()}
}

// serverLimit reads three elements of the surrounding list: the server, the rate in thousandths of
// a request per second, and the age.
func (r *datagramReader) serverLimit() presence.ServerLimit {
	l := presence.ServerLimit{Server: presence.ServerKey(r.integer(0, math.MaxUint32))}
	if rate := r.integer(endedLimit, maxRateLimit); rate == endedLimit {
		l.Ended = true
	} else {
		l.PerSecond = float64(rate) / 1000
	}
	l.Age = r.integer(0, maxAgeMillis)
	return l
}

// permit reads [number, priority, maximum delay, server, rate, age, granted, wait, cold, rate in
// thousandths, needs slot, maximum hold, released question, ending].
func (r *datagramReader) permit() *presence.Permit {
	r.fields(fieldsIn(r.format, permitFields, demandsPermitFields, slotsPermitFields))
	p := &presence.Permit{
		Number: uint32(r.integer(0, math.MaxUint32)), Priority: int(r.integer(0, maxPriority)), MaxDelay: r.integer(0, maxAgeMillis),
		Limit: r.serverLimit(), Granted: r.flag(), Wait: r.integer(0, maxAgeMillis),
	}
	if r.format >= demandsFormat {
		p.Cold, p.PerSecond = r.flag(), float64(r.integer(0, maxRateLimit))/1000
	}
	if r.format >= slotsFormat {
		p.NeedsSlot, p.MaxHold = r.flag(), r.integer(0, maxStreamMillis)
		p.Releases, p.Ending = uint32(r.integer(0, math.MaxUint32)), uint8(r.integer(0, int64(permit.LastEnding)))
	}
	return p
}

// origin reads [number, stream, recorded build, sole build, service, duration, several builds].
func (r *datagramReader) origin() *presence.StreamOrigin {
	r.fields(fieldsIn(r.format, originFields, demandsOriginFields, 0))
	o := &presence.StreamOrigin{
		Number: uint32(r.integer(0, math.MaxUint32)), Stream: r.unsigned(), Recorded: r.unsigned(), Sole: r.unsigned(),
		Service: uint32(r.integer(0, math.MaxUint32)), Within: r.integer(0, maxStreamMillis),
	}
	if r.format >= demandsFormat {
		o.Several = r.flag()
	}
	return o
}

// part reads [key, confirmed, crashes]. Each crash consists of three elements of a list: its key,
// age and whether it is cleared.
func (r *datagramReader) part() presence.PromptPart {
	r.fields(partFields)
	p := presence.PromptPart{Key: r.unsigned(), Confirmed: r.flag()}
	for range r.list(1) / partCrashFields {
		p.Crashes = append(p.Crashes, presence.PartCrash{Key: uint32(r.integer(0, math.MaxUint32)), Age: r.integer(0, maxAgeMillis), Cleared: r.flag()})
	}
	return p
}

// identity reads [zone, region, peer, control, front, capacity].
func (r *datagramReader) identity(into *presence.Record) {
	r.fields(fieldsIn(r.format, identityFields, 0, slotsIdentityFields))
	for _, s := range []*string{&into.Zone, &into.Region, &into.Peer, &into.Control, &into.Front} {
		*s = r.text()
	}
	if r.err != nil {
		return
	}
	capacity, err := r.decoder.DecodeFloat64()
	if err != nil {
		r.fail(err)
		return
	}
	// The comparison is false for NaN.
	if !(capacity >= 0 && capacity <= maxCapacity) {
		r.fail(errInvalidField)
		return
	}
	into.Capacity = capacity
	if r.format >= slotsFormat {
		into.Format = int(r.integer(0, math.MaxInt32))
	}
}

// zoneLoad reads [zone, loads, down, leaving, age].
func (r *datagramReader) zoneLoad() presence.ZoneLoad {
	r.fields(zoneLoadFields)
	z := presence.ZoneLoad{Zone: r.text(), Loads: r.loads(), Down: map[string]int{}}
	for range r.list(1) / 2 {
		id := r.text()
		z.Down[id] = int(r.integer(0, maxLoad))
	}
	z.Leaving = r.texts()
	z.Age = r.integer(0, maxAgeMillis)
	return z
}

// liveness reads [zone, config, era, revision, store contact age, checksum, age, complete,
// routers].
func (r *datagramReader) liveness() *presence.Liveness {
	r.fields(livenessFields)
	l := &presence.Liveness{Zone: r.text(), Config: r.number(), Servers: r.revision()}
	l.StoreContactAge = r.integer(-1, math.MaxInt64/int64(1e6))
	l.Checksum = r.unsigned()
	l.Age = r.integer(0, maxAgeMillis)
	l.Complete = r.flag()
	routers := r.bytes(r.data.Len())
	if len(routers)%liveRouterBytes != 0 {
		r.fail(errInvalidField)
		return nil
	}
	for entry := range slices.Chunk(routers, liveRouterBytes) {
		flags := entry[6]
		l.Routers = append(l.Routers, presence.LiveRouter{
			Key: presence.MemberKey(binary.LittleEndian.Uint32(entry)), Age: ageUnitMillis * int64(binary.LittleEndian.Uint16(entry[4:])),
			Ready: flags&readyFlag != 0, StoreLost: flags&storeLostFlag != 0,
			NewestConfig: flags&newestConfigFlag != 0, NewestServers: flags&newestServersFlag != 0,
		})
	}
	return l
}
