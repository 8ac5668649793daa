package mesh

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/coord/presence"
	"hornbeamstep.example/routing/routes"
)

var whole = presence.Message{
	Kind: presence.Digest, From: "a",
	Records: []presence.Aged{{Age: 5, Record: presence.Record{
		ID: "a", Zone: "z", Region: "r", Boot: 1, Sequence: 2, Peer: "p", Control: "c", Front: "f", Ready: true, Capacity: 0.192,
		Config: 3, Servers: 4, Contact: -1, Lost: true, Loads: map[presence.ServerKey]int{7: 1}, Down: []string{"d"},
		Crashes: []presence.Crash{{Fingerprint: "f", Servers: []string{"s/1"}}},
	}}, {Age: 6, Brief: true, Record: presence.Record{
		ID: "b", Boot: 1, Sequence: 2, Ready: true, Config: 3, Servers: 4, Contact: 90, Loads: map[presence.ServerKey]int{1 << 31: 300},
	}}},
	Zones: []presence.ZoneLoad{{Zone: "z", Loads: map[presence.ServerKey]int{7: 2}, Down: map[string]int{"d": 1}, Age: 7}},
}

// Guards against a router that others see with other values than it has itself: routers then disagree on which of them is the hub
// of an availability zone, and no one is.
func TestMessage(t *testing.T) {
	c := qt.New(t)
	text, err := encode(whole)
	c.Assert(err, qt.IsNil)
	got, err := decode(text)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, whole)
}

// Guards against datagrams that are cut into packets.
func TestSplit(t *testing.T) {
	const packet = 1400
	c := qt.New(t)
	m := presence.Message{Kind: presence.Digest, From: "edge-greytown-hall-11"}
	for i := range 100 {
		r := presence.Record{
			ID: "edge-greytown-hall-11", Zone: "greytown-hall", Region: "kzn-midlands", Boot: 1 << 40, Sequence: 1 << 20,
			Peer: "10.111.111.111:11111", Control: "10.111.111.111:11112", Front: "10.111.111.111:11113", Capacity: 0.8,
			Config: 1 << 20, Servers: 1 << 20, Contact: 1 << 10,
		}
		m.Records = append(m.Records, presence.Aged{Record: r, Age: 500, Brief: i%5 != 0})
	}
	records := 0
	for _, part := range split(m) {
		text, err := encode(part)
		c.Assert(err, qt.IsNil)
		c.Assert(len(text) <= packet, qt.IsTrue, qt.Commentf("%d bytes", len(text)))
		records += len(part.Records)
	}
	c.Assert(records, qt.Equals, 100)
}

func TestPack(t *testing.T) {
	c := qt.New(t)
	p, err := pack(routes.Config{Version: 7})
	c.Assert(err, qt.IsNil)
	var config routes.Config
	c.Assert(p.unpack(&config), qt.IsNil)
	c.Assert(config.Version, qt.Equals, int64(7))
	c.Assert(packed{Gzip: []byte("no")}.unpack(&config), qt.IsNotNil)
}

// Guards against a datagram of another program that ends the process.
func FuzzDecode(f *testing.F) {
	text, err := encode(whole)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte{0x94})
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = decode(text)
	})
}
