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

// message is the wire format of presence.Message. Messages are encoded as arrays, so the order of
// the fields is part of the format.
type message struct {
	Kind    presence.Kind
	From    string
	Records []record
	Zones   []zone
}

// record is the wire format of presence.AgedRecord; presence.Record describes the fields.
type record struct {
	Age             int64
	ID              string
	Boot            int64
	Sequence        uint64
	Ready           bool
	Config, Servers int64
	StoreContactAge int64
	StoreLost       bool
	Loads           map[presence.ServerKey]int
	Down            []string
	Crashes         []presence.Crash
	// Identity is nil in brief records, which are sent to routers that know the identity from an
	// earlier record.
	Identity *identity
}

// identity holds the fields of a record that rarely change.
type identity struct {
	Zone, Region         string
	Peer, Control, Front string
	Capacity             float64
}

// zone is the wire format of presence.ZoneLoad.
type zone struct {
	Zone  string
	Loads map[presence.ServerKey]int
	Down  map[string]int
	Age   int64
}

// Sizes in bytes: the largest encoded record without and with an identity, not counting its loads,
// and the payload of one packet. A larger datagram would be fragmented, and the loss of one
// fragment loses the whole datagram.
const (
	briefRecordSize   = 60
	fullRecordSize    = 180
	packetPayloadSize = 1300
)

// split divides a message into parts for one datagram each. The records of a part fit into one
// packet unless they hold loads, which split does not count. Each zone gets a part of its own,
// which may exceed one packet.
func split(m presence.Message) []presence.Message {
	var parts []presence.Message
	remaining := 0
	for _, r := range m.Records {
		size := fullRecordSize
		if r.WithoutIdentity {
			size = briefRecordSize
		}
		if remaining < size {
			parts = append(parts, presence.Message{Kind: m.Kind, From: m.From})
			remaining = packetPayloadSize
		}
		remaining -= size
		part := &parts[len(parts)-1]
		part.Records = append(part.Records, r)
	}
	for zones := range slices.Chunk(m.ZoneLoads, 1) {
		parts = append(parts, presence.Message{Kind: m.Kind, From: m.From, ZoneLoads: zones})
	}
	return parts
}

// encode returns the wire format of a message.
func encode(m presence.Message) ([]byte, error) {
	out := message{Kind: m.Kind, From: m.From}
	for _, r := range m.Records {
		o := record{
			Age: r.Age, ID: r.ID, Boot: r.Boot, Sequence: r.Sequence, Ready: r.Ready, Config: r.Config, Servers: r.Servers,
			StoreContactAge: r.StoreContactAge, StoreLost: r.StoreLost, Loads: r.Loads, Down: r.Down, Crashes: r.Crashes,
		}
		if !r.WithoutIdentity {
			o.Identity = &identity{
				Zone: r.Zone, Region: r.Region, Peer: r.Peer, Control: r.Control, Front: r.Front, Capacity: r.Capacity,
			}
		}
		out.Records = append(out.Records, o)
	}
	for _, z := range m.ZoneLoads {
		out.Zones = append(out.Zones, zone{Zone: z.Zone, Loads: z.Loads, Down: z.Down, Age: z.Age})
	}
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	// Encoding the field names would double the size.
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(&out)
	return data.Bytes(), eris.Wrap(err, "encode heartbeat message")
}

// decode parses the wire format of a message. The data is untrusted, because any program can send
// datagrams to the router.
func decode(data []byte) (presence.Message, error) {
	var in message
	if err := msgpack.Unmarshal(data, &in); err != nil {
		return presence.Message{}, eris.Wrap(err, "decode heartbeat message")
	}
	m := presence.Message{Kind: in.Kind, From: in.From}
	for _, r := range in.Records {
		o := presence.AgedRecord{Age: max(0, r.Age), WithoutIdentity: r.Identity == nil, Record: presence.Record{
			ID: r.ID, Boot: r.Boot, Sequence: r.Sequence, Ready: r.Ready, Config: r.Config, Servers: r.Servers, StoreContactAge: r.StoreContactAge,
			StoreLost: r.StoreLost, Loads: r.Loads, Down: r.Down, Crashes: r.Crashes,
		}}
		if i := r.Identity; i != nil {
			o.Zone, o.Region, o.Peer, o.Control, o.Front, o.Capacity = i.Zone, i.Region, i.Peer, i.Control, i.Front, i.Capacity
		}
		m.Records = append(m.Records, o)
	}
	for _, z := range in.Zones {
		m.ZoneLoads = append(m.ZoneLoads, presence.ZoneLoad{Zone: z.Zone, Loads: z.Loads, Down: z.Down, Age: max(0, z.Age)})
	}
	return m, nil
}

// packed is a compressed response. Compression saves time on slow links, because a configuration
// holds thousands of similar routes.
type packed struct {
	Gzip []byte `json:"gzip"`
}

// maxUnpackedBytes limits the size of a response after decompression.
const maxUnpackedBytes = 64 << 20

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

// unpack decodes the response into a value.
func (p packed) unpack(into any) error {
	r, err := gzip.NewReader(bytes.NewReader(p.Gzip))
	if err != nil {
		return eris.Wrap(err, "decompress response")
	}
	return eris.Wrap(json.NewDecoder(io.LimitReader(r, maxUnpackedBytes)).Decode(into), "decode response")
}
