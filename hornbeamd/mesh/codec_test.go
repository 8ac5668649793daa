package mesh

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// fullMessage sets every field of a message. Its second record has no identity, that is, no zone,
// region, addresses and capacity.
var fullMessage = presence.Message{
	Kind: presence.HubUpdate, From: "a",
	Records: []presence.AgedRecord{{Age: 5, Record: presence.Record{
		ID: "a", Zone: "z", Region: "r", Boot: 1, Sequence: 2, Peer: "p", Control: "c", Front: "f", Ready: true, Capacity: 0.192, Format: newestFormat,
		Config: 3, Servers: roster.Revision{Era: 2, Number: 4}, Evacuated: presence.Evacuated{Revision: roster.Revision{Era: 2, Number: 3}, Zones: []string{"z"}}, Overloads: []presence.Overload{{Service: 1 << 31, Age: 40}, {Service: 2}}, Brittle: []presence.BrittleService{{Service: math.MaxUint32, MaxRejections: 12, Age: 90}}, StoreContactAge: -1, StoreLost: true, Loads: map[presence.ServerKey]int{7: 1}, Down: []string{"d"}, Unreached: []presence.ServiceKey{math.MaxUint32, 5},
		Leaving: []string{"l/9"},
		Crashes: []presence.Crash{{Fingerprint: "f", Servers: []string{"s/1"}, Age: 1500}},
		Limits:  []presence.ServerLimit{{Server: 9, PerSecond: 4.75, Age: 30}, {Server: 1 << 31, Ended: true}},
		Parts:   []presence.PromptPart{{Key: 1 << 63, Confirmed: true, Crashes: []presence.PartCrash{{Key: 1 << 31, Age: 40}, {Key: 2, Age: 70, Cleared: true}}}},
	}}, {Age: 6, WithoutIdentity: true, Record: presence.Record{
		ID: "b", Boot: 1, Sequence: 2, Ready: true, Config: 3, Servers: roster.Revision{Number: 4}, StoreContactAge: 90, Loads: map[presence.ServerKey]int{1 << 31: 300},
	}}},
	ZoneLoads: []presence.ZoneLoad{{Zone: "z", Loads: map[presence.ServerKey]int{7: 2}, Down: map[string]int{"d": 1}, Leaving: []string{"l/9"}, Age: 7}},
	Liveness: &presence.Liveness{
		Zone: "z", Config: 3, Servers: roster.Revision{Era: 2, Number: 4}, StoreContactAge: 70, Checksum: 1 << 63, Age: 30, Complete: true,
		Routers: []presence.LiveRouter{{Key: 1 << 31, Age: 120, Ready: true, NewestServers: true}, {Key: 5, StoreLost: true, NewestConfig: true}},
	},
	Wanted: []presence.MemberKey{1 << 31, 2},
	Permit: &presence.Permit{
		Number: math.MaxUint32, Priority: 9, MaxDelay: 75, Limit: presence.ServerLimit{Server: 3, PerSecond: 0.125, Age: 10}, Granted: true, Wait: 20, Cold: true, PerSecond: 98.5, NeedsSlot: true, MaxHold: 12000, Releases: math.MaxUint32, Ending: 2,
	},
	Origin: &presence.StreamOrigin{Number: math.MaxUint32, Stream: math.MaxUint64, Recorded: 1 << 63, Sole: 7, Service: math.MaxUint32, Within: 15000, Several: true},
}

// Guards against values that change in encoding and decoding. The other routers would then know a
// router by other values than its own. Hubs are chosen by capacity, so routers could choose
// different hubs for an availability zone, and none of them would act as its hub.
func TestMessageRoundTrip(t *testing.T) {
	c := qt.New(t)
	data, err := encode(fullMessage, newestFormat)
	c.Assert(err, qt.IsNil)
	got, err := decode(data)
	c.Assert(err, qt.IsNil)
	want := fullMessage
	want.Format = newestFormat
	c.Assert(got, qt.DeepEquals, want)
}

// Guards against a hub whose message is fragmented because of the prompt parts that it announces.
func TestSplitPromptParts(t *testing.T) {
	c := qt.New(t)
	full := fullMessage.Records[0]
	full.Loads, full.Crashes, full.Parts = nil, nil, nil
	for i := range 6 {
		p := presence.PromptPart{Key: math.MaxUint64, Confirmed: true}
		for range 8 {
			p.Crashes = append(p.Crashes, presence.PartCrash{Key: math.MaxUint32, Age: maxAgeMillis, Cleared: i > 2})
		}
		full.Parts = append(full.Parts, p)
	}
	m := presence.Message{Kind: presence.HubUpdate, From: "a", Records: slices.Repeat([]presence.AgedRecord{full}, 5)}
	for _, part := range split(m) {
		data, err := encode(part, newestFormat)
		c.Assert(err, qt.IsNil)
		c.Assert(len(data) <= packetPayloadSize, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	}
}

// Guards against parts of a message that IP would fragment because they don't fit into one packet,
// and against records that are missing from all parts.
func TestSplit(t *testing.T) {
	const maxPayloadBytes = 1400
	c := qt.New(t)
	m := presence.Message{Kind: presence.HubUpdate, From: "edge-greytown-hall-11"}
	for i := range 100 {
		r := presence.Record{
			ID: "edge-greytown-hall-11", Zone: "greytown-hall", Region: "kzn-midlands", Boot: 1 << 40, Sequence: 1 << 20,
			Peer: "10.111.111.111:11111", Control: "10.111.111.111:11112", Front: "10.111.111.111:11113", Capacity: 0.8,
			Config: 1 << 20, Servers: roster.Revision{Era: 9, Number: 1 << 20}, StoreContactAge: 1 << 10,
		}
		m.Records = append(m.Records, presence.AgedRecord{Record: r, Age: 500, WithoutIdentity: i%5 != 0})
	}
	m.Liveness = &presence.Liveness{Zone: "greytown-hall", StoreContactAge: 1 << 10, Checksum: math.MaxUint64, Complete: true}
	for i := range 500 {
		m.Liveness.Routers = append(m.Liveness.Routers, presence.LiveRouter{Key: presence.MemberKey(i), Age: 500})
	}
	records, routers := 0, 0
	for _, part := range split(m) {
		data, err := encode(part, newestFormat)
		c.Assert(err, qt.IsNil)
		c.Assert(len(data) <= maxPayloadBytes, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
		records += len(part.Records)
		if part.Liveness != nil {
			routers += len(part.Liveness.Routers)
		}
	}
	c.Assert(records, qt.Equals, 100)
	c.Assert(routers, qt.Equals, 500)
}

// Guards against a hub that sends an update in more datagrams than needed: the records and the
// liveness of an update without changes fit into one.
func TestSplitJoinsLiveness(t *testing.T) {
	c := qt.New(t)
	m := presence.Message{Kind: presence.HubUpdate, From: "a", Records: fullMessage.Records[:1], ZoneLoads: fullMessage.ZoneLoads}
	m.Liveness = &presence.Liveness{Checksum: 1, Routers: make([]presence.LiveRouter, 30)}
	parts := split(m)
	c.Assert(parts, qt.HasLen, 2)
	c.Assert(parts[0].Liveness, qt.IsNotNil)
	c.Assert(parts[1].ZoneLoads, qt.HasLen, 1)
}

// Guards against configurations that change when they are sent to another router, and against
// invalid responses that are accepted.
func TestPackRoundTrip(t *testing.T) {
	c := qt.New(t)
	p, err := pack(routes.Config{Version: 7})
	c.Assert(err, qt.IsNil)
	var config routes.Config
	c.Assert(p.unpack(&config), qt.IsNil)
	c.Assert(config.Version, qt.Equals, int64(7))
	c.Assert(packed{Gzip: []byte("no")}.unpack(&config), qt.IsNotNil)
}

// Guards against a router that encodes the same version for each of the routers that fetch it, and
// against one that answers with an earlier version.
func TestResponseCache(t *testing.T) {
	c := qt.New(t)
	var cache responseCache[int64]
	version := func(p packed) int64 {
		var config routes.Config
		c.Assert(p.unpack(&config), qt.IsNil)
		return config.Version
	}
	first, err := cache.get(7, routes.Config{Version: 7})
	c.Assert(err, qt.IsNil)
	again, err := cache.get(7, routes.Config{Version: 7})
	c.Assert(err, qt.IsNil)
	c.Assert(&again.Gzip[0], qt.Equals, &first.Gzip[0], qt.Commentf("the same bytes"))
	c.Assert(version(first), qt.Equals, int64(7))
	next, err := cache.get(8, routes.Config{Version: 8})
	c.Assert(err, qt.IsNil)
	c.Assert(version(next), qt.Equals, int64(8))
}

// Guards against a decoder that allocates memory for a length that a message states although its
// elements are missing. The lists state 100,000 elements each.
func TestStatedLengths(t *testing.T) {
	const maxBytes = 1 << 20
	list := []byte{0xdd, 0x00, 0x01, 0x86, 0xa0}
	text := []byte{0xdb, 0x7f, 0xff, 0xff, 0xff}
	// start is the beginning of a message: version, kind and sender.
	start := []byte{0x90 | messageFields, newestFormat, 0x00, 0xa1, 'a'}
	// record is the beginning of a record, up to its loads.
	record := append([]byte{0x91, 0xdc, 0x00, recordFields, 0x00, 0xa1, 'a'}, 0x01, 0x01, 0xc3, 0x01, 0x01, 0x01, 0xc0, 0x90, 0x00, 0xc2)
	for name, data := range map[string][]byte{
		"records":    slices.Concat(start, list),
		"zone loads": slices.Concat(start, []byte{0x90}, list),
		"wanted":     slices.Concat(start, []byte{0x90, 0x90, 0xc0}, list),
		"loads":      slices.Concat(start, record, list),
		"texts":      slices.Concat(start, record, []byte{0xc0}, list),
		"text":       slices.Concat(start[:3], text),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := decode(data)
			runtime.ReadMemStats(&after)
			c.Assert(err, qt.ErrorIs, errInvalidField)
			c.Assert(after.TotalAlloc-before.TotalAlloc < maxBytes, qt.IsTrue, qt.Commentf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc))
		})
	}
}

// Guards against values of other programs that no router sends and that would distort decisions:
// ages in the future, negative loads, and capacities by which a machine would always be a hub.
func TestInvalidValues(t *testing.T) {
	for name, change := range map[string]func(*presence.Message){
		"negative age":          func(m *presence.Message) { m.Records[0].Age = -1 },
		"huge age":              func(m *presence.Message) { m.Records[0].Age = 1 << 60 },
		"negative load":         func(m *presence.Message) { m.Records[0].Loads = map[presence.ServerKey]int{7: -1} },
		"huge load":             func(m *presence.Message) { m.ZoneLoads[0].Loads = map[presence.ServerKey]int{7: 1 << 40} },
		"negative capacity":     func(m *presence.Message) { m.Records[0].Capacity = -1 },
		"infinite capacity":     func(m *presence.Message) { m.Records[0].Capacity = math.Inf(1) },
		"capacity no number":    func(m *presence.Message) { m.Records[0].Capacity = math.NaN() },
		"negative era":          func(m *presence.Message) { m.Records[0].Servers.Era = -1 },
		"long ID":               func(m *presence.Message) { m.Records[0].ID = strings.Repeat("x", 300) },
		"unknown kind":          func(m *presence.Message) { m.Kind = 200 },
		"huge age of a list":    func(m *presence.Message) { m.Liveness.Age = 1 << 60 },
		"negative rate limit":   func(m *presence.Message) { m.Records[0].Limits = []presence.ServerLimit{{PerSecond: -0.002}} },
		"huge rate limit":       func(m *presence.Message) { m.Records[0].Limits = []presence.ServerLimit{{PerSecond: 1e12}} },
		"negative wait":         func(m *presence.Message) { m.Permit = &presence.Permit{Wait: -1} },
		"negative priority":     func(m *presence.Message) { m.Permit = &presence.Permit{Priority: -1} },
		"negative contact time": func(m *presence.Message) { m.Liveness.StoreContactAge = -2 },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := fullMessage
			m.Records, m.ZoneLoads = slices.Clone(m.Records), slices.Clone(m.ZoneLoads)
			liveness := *m.Liveness
			m.Liveness = &liveness
			change(&m)
			data, err := encode(m, newestFormat)
			c.Assert(err, qt.IsNil)
			_, err = decode(data)
			c.Assert(err, qt.IsNotNil)
		})
	}
}

// Guards against a datagram from another program that crashes the router.
func FuzzDecode(f *testing.F) {
	data, err := encode(fullMessage, newestFormat)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	// A message that states a list of 344 million records.
	f.Add([]byte{0x90 | messageFields, newestFormat, 0x00, 0xa1, 'a', 0xdd, 0x14, 0x8d, 0x30, 0x30})
	// The header of an array of four elements, without the elements.
	f.Add([]byte{0x94})
	for format := oldestFormat; format <= newestFormat; format++ {
		released, err := os.ReadFile(fmt.Sprintf("testdata/formats/%d.datagram", format))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(released)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decode(data)
	})
}

// Guards against large records of origins: each resumable stream costs three of them.
func TestOriginRecordSize(t *testing.T) {
	const maxBytes = 72
	c := qt.New(t)
	data, err := encode(presence.Message{Kind: presence.OriginRecord, From: "edge-greytown-hall-11", Origin: &presence.StreamOrigin{Stream: math.MaxUint64, Recorded: math.MaxUint64}}, newestFormat)
	c.Assert(err, qt.IsNil)
	c.Assert(len(data) <= maxBytes, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	t.Logf("%d bytes", len(data))
}
