package mesh

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"hornbeamstep.example/coord/presence"
)

// message is a presence.Message on the wire.
type message struct {
	Kind    presence.Kind
	From    string
	Records []record
	Zones   []zone
}

type record struct {
	Age             int64
	ID              string
	Boot            int64
	Sequence        uint64
	Ready           bool
	Config, Servers int64
	Contact         int64
	Lost            bool
	Loads           map[presence.ServerKey]int
	Down            []string
	Crashes         []presence.Crash
	// Identity is nil in brief records.
	Identity *identity
}

type identity struct {
	Zone, Region         string
	Peer, Control, Front string
	Capacity             float64
}

type zone struct {
	Zone  string
	Loads map[presence.ServerKey]int
	Down  map[string]int
	Age   int64
}

// The sizes of parts of a message in bytes: the largest records without loads, and what a packet holds beside the headers. Larger
// datagrams are cut into packets whose loss loses all.
const (
	briefSize  = 60
	recordSize = 180
	packetSize = 1300
)

// split returns a message in parts that fit into a packet each.
func split(m presence.Message) []presence.Message {
	var parts []presence.Message
	room := 0
	for _, r := range m.Records {
		size := recordSize
		if r.Brief {
			size = briefSize
		}
		if room < size {
			parts = append(parts, presence.Message{Kind: m.Kind, From: m.From})
			room = packetSize
		}
		room -= size
		last := &parts[len(parts)-1]
		last.Records = append(last.Records, r)
	}
	for zones := range slices.Chunk(m.Zones, 1) {
		parts = append(parts, presence.Message{Kind: m.Kind, From: m.From, Zones: zones})
	}
	return parts
}

func encode(m presence.Message) ([]byte, error) {
	out := message{Kind: m.Kind, From: m.From}
	for _, r := range m.Records {
		o := record{
			Age: r.Age, ID: r.ID, Boot: r.Boot, Sequence: r.Sequence, Ready: r.Ready, Config: r.Config, Servers: r.Servers,
			Contact: r.Contact, Lost: r.Lost, Loads: r.Loads, Down: r.Down, Crashes: r.Crashes,
		}
		if !r.Brief {
			o.Identity = &identity{
				Zone: r.Zone, Region: r.Region, Peer: r.Peer, Control: r.Control, Front: r.Front, Capacity: r.Capacity,
			}
		}
		out.Records = append(out.Records, o)
	}
	for _, z := range m.Zones {
		out.Zones = append(out.Zones, zone{Zone: z.Zone, Loads: z.Loads, Down: z.Down, Age: z.Age})
	}
	var text bytes.Buffer
	encoder := msgpack.NewEncoder(&text)
	// Field names would double the size.
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(&out)
	return text.Bytes(), eris.Wrap(err, "encode a message")
}

func decode(text []byte) (presence.Message, error) {
	var in message
	if err := msgpack.Unmarshal(text, &in); err != nil {
		return presence.Message{}, eris.Wrap(err, "decode a message")
	}
	m := presence.Message{Kind: in.Kind, From: in.From}
	for _, r := range in.Records {
		o := presence.Aged{Age: max(0, r.Age), Brief: r.Identity == nil, Record: presence.Record{
			ID: r.ID, Boot: r.Boot, Sequence: r.Sequence, Ready: r.Ready, Config: r.Config, Servers: r.Servers, Contact: r.Contact,
			Lost: r.Lost, Loads: r.Loads, Down: r.Down, Crashes: r.Crashes,
		}}
		if i := r.Identity; i != nil {
			o.Zone, o.Region, o.Peer, o.Control, o.Front, o.Capacity = i.Zone, i.Region, i.Peer, i.Control, i.Front, i.Capacity
		}
		m.Records = append(m.Records, o)
	}
	for _, z := range in.Zones {
		m.Zones = append(m.Zones, presence.ZoneLoad{Zone: z.Zone, Loads: z.Loads, Down: z.Down, Age: max(0, z.Age)})
	}
	return m, nil
}

// packed is a compressed answer: configurations hold thousands of similar routes, and some links are slow.
type packed struct {
	Gzip []byte `json:"gzip"`
}

// unpackedLimit bounds an answer in bytes after decompression.
const unpackedLimit = 64 << 20

func pack(value any) (packed, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return packed{}, eris.Wrap(err, "encode an answer")
	}
	if err := w.Close(); err != nil {
		return packed{}, eris.Wrap(err, "compress an answer")
	}
	return packed{Gzip: out.Bytes()}, nil
}

func (p packed) unpack(into any) error {
	r, err := gzip.NewReader(bytes.NewReader(p.Gzip))
	if err != nil {
		return eris.Wrap(err, "decompress an answer")
	}
	return eris.Wrap(json.NewDecoder(io.LimitReader(r, unpackedLimit)).Decode(into), "decode an answer")
}
