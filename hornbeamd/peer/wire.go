package peer

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/coord/member"
	"hornbeamstep.example/coord/revision"
	"hornbeamstep.example/routing/outcome"
)

// methods are the methods between routers. Others are counted as "unknown", so that a peer cannot grow the metrics.
var methods = map[string]bool{
	"hello": true, "echo": true, "ping": true, "probe": true, "sync": true, "announce": true, "fetch": true,
	"slot": true, "free": true, "renew": true, "load": true, "suspect": true, "events": true, "status": true,
	"claim": true, "finish": true, "usage": true, "held": true, "note": true, "crash": true, "agreed": true, "inventory": true,
	"abandon": true,
}

func method(name string) string {
	if methods[name] {
		return name
	}
	return "unknown"
}

type wireHello struct {
	ID string `json:"id"`
}

// digest64 is a digest in 11 characters instead of up to 20.
type digest64 uint64

// MarshalText implements encoding.TextMarshaler.
func (d digest64) MarshalText() ([]byte, error) {
	raw := binary.BigEndian.AppendUint64(nil, uint64(d))
	return base64.RawURLEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *digest64) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(raw) != 8 {
		return eris.Errorf("digest %q must be 8 bytes in base64", text)
	}
	*d = digest64(binary.BigEndian.Uint64(raw))
	return nil
}

type wireMember struct {
	ID          string `json:"id"`
	Boot        uint64 `json:"boot"`
	Address     string `json:"at,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Region      string `json:"region,omitempty"`
	Caller      string `json:"caller,omitempty"`
	Incarnation uint32 `json:"inc,omitempty"`
	Status      uint8  `json:"state,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
}

func fromMember(m member.Member) wireMember {
	return wireMember{m.ID, m.Boot, m.Address, m.Zone, m.Region, m.Caller, m.Incarnation, uint8(m.Status), m.Leaving}
}

func (w wireMember) member() member.Member {
	return member.Member{
		ID: w.ID, Boot: w.Boot, Address: w.Address, Zone: w.Zone, Region: w.Region, Caller: w.Caller, Incarnation: w.Incarnation,
		Status: member.Status(w.Status), Leaving: w.Leaving,
	}
}

func fromMembers(in []member.Member) []wireMember {
	out := make([]wireMember, 0, len(in))
	for _, m := range in {
		out = append(out, fromMember(m))
	}
	return out
}

// updatesLimit bounds the members in one message of a peer: several times the size to design for.
const updatesLimit = 4096

func toMembers(in []wireMember) []member.Member {
	in = in[:min(len(in), updatesLimit)]
	out := make([]member.Member, 0, len(in))
	for _, w := range in {
		out = append(out, w.member())
	}
	return out
}

type wirePing struct {
	From     wireMember   `json:"from"`
	To       string       `json:"to,omitempty"`
	Boot     uint64       `json:"boot,omitempty"`
	Revision int64        `json:"rev,omitempty"`
	Digest   digest64     `json:"digest"`
	Agreed   digest64     `json:"agreed,omitempty"`
	News     []wireMember `json:"news,omitempty"`
}

func fromPing(p member.Ping, revision int64, agreed digest64) wirePing {
	return wirePing{fromMember(p.From), p.To, p.Boot, revision, digest64(p.Digest), agreed, fromMembers(p.Updates)}
}

func (w wirePing) ping() member.Ping {
	return member.Ping{
		From: w.From.member(), To: w.To, Boot: w.Boot, Digest: uint64(w.Digest),
		Updates: toMembers(w.News[:min(len(w.News), member.MaxUpdates)]),
	}
}

type wireAck struct {
	From     wireMember   `json:"from"`
	Revision int64        `json:"rev,omitempty"`
	Digest   digest64     `json:"digest"`
	Agreed   digest64     `json:"agreed,omitempty"`
	News     []wireMember `json:"news,omitempty"`
	Unknown  bool         `json:"unknown,omitempty"`
}

func fromAck(a member.Ack, revision int64, agreed digest64) wireAck {
	return wireAck{fromMember(a.From), revision, digest64(a.Digest), agreed, fromMembers(a.Updates), a.SenderUnknown}
}

func (w wireAck) ack() member.Ack {
	return member.Ack{
		From: w.From.member(), Digest: uint64(w.Digest), SenderUnknown: w.Unknown,
		Updates: toMembers(w.News[:min(len(w.News), member.MaxUpdates)]),
	}
}

type wireProbe struct {
	Target wireMember `json:"target"`
}

type wireProbed struct {
	Reached bool `json:"reached"`
}

type wireSync struct {
	From wireMember `json:"from"`
	// Digests holds four bytes per bucket.
	Digests []byte       `json:"digests,omitempty"`
	News    []wireMember `json:"news,omitempty"`
}

func fromSync(s member.Sync) wireSync {
	w := wireSync{From: fromMember(s.From), News: fromMembers(s.Updates)}
	for _, d := range s.Digests {
		w.Digests = binary.BigEndian.AppendUint32(w.Digests, d)
	}
	return w
}

func (w wireSync) sync() member.Sync {
	s := member.Sync{From: w.From.member(), Updates: toMembers(w.News)}
	for i := 0; i+4 <= len(w.Digests); i += 4 {
		s.Digests = append(s.Digests, binary.BigEndian.Uint32(w.Digests[i:]))
	}
	return s
}

type wireSyncReply struct {
	Busy bool         `json:"busy,omitempty"`
	News []wireMember `json:"news,omitempty"`
	Want []int        `json:"want,omitempty"`
}

type wireAnnounce struct {
	From     string `json:"from"`
	Revision int64  `json:"rev"`
	Digest   string `json:"digest"`
}

type wireFile struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
	Size   int64  `json:"size"`
}

type wireFetch struct {
	Revision int64    `json:"rev"`
	Base     int64    `json:"base,omitempty"`
	Known    string   `json:"known,omitempty"`
	Digests  []string `json:"digests,omitempty"`
}

type wireReply struct {
	Busy     bool       `json:"busy,omitempty"`
	Revision int64      `json:"rev"`
	Base     int64      `json:"base,omitempty"`
	Files    []wireFile `json:"files,omitempty"`
	Gone     []string   `json:"gone,omitempty"`
	// Contents is the gzip form of the contents, each after its length as varint.
	Contents []byte `json:"contents,omitempty"`
}

func fromReply(r revision.Reply) (wireReply, error) {
	w := wireReply{Busy: r.Busy, Revision: r.Revision, Base: r.Base, Gone: r.Removed}
	for _, f := range r.Files {
		w.Files = append(w.Files, wireFile{f.Name, f.Digest, f.Size})
	}
	var err error
	w.Contents, err = pack(r.Contents)
	return w, err
}

func (w wireReply) reply() (revision.Reply, error) {
	r := revision.Reply{Busy: w.Busy, Revision: w.Revision, Base: w.Base, Removed: w.Gone}
	for _, f := range w.Files {
		r.Files = append(r.Files, revision.File{Name: f.Name, Digest: f.Digest, Size: f.Size})
	}
	var err error
	r.Contents, err = unpack(w.Contents)
	return r, err
}

func pack(contents [][]byte) ([]byte, error) {
	if len(contents) == 0 {
		return nil, nil
	}
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	for _, c := range contents {
		if _, err := z.Write(binary.AppendUvarint(nil, uint64(len(c)))); err != nil {
			return nil, err
		}
		if _, err := z.Write(c); err != nil {
			return nil, err
		}
	}
	err := z.Close()
	return out.Bytes(), err
}

// unpackLimit bounds what a compressed message may grow to.
const unpackLimit = 16 << 20

func unpack(packed []byte) ([][]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "contents are not gzip")
	}
	plain, err := io.ReadAll(io.LimitReader(z, unpackLimit))
	if err != nil {
		return nil, eris.Wrap(err, "contents are truncated")
	}
	var out [][]byte
	for len(plain) > 0 {
		size, n := binary.Uvarint(plain)
		if n <= 0 || size > uint64(len(plain)-n) {
			return nil, eris.New("contents are truncated")
		}
		out = append(out, plain[n:n+int(size)])
		plain = plain[n+int(size):]
	}
	return out, nil
}

type wireItem struct {
	Pool  string  `json:"pool"`
	Load  float64 `json:"load"`
	Count int     `json:"n"`
	// Age is in milliseconds.
	Age int64 `json:"age,omitempty"`
}

type wireLoad struct {
	From  string     `json:"from,omitempty"`
	Zone  string     `json:"zone,omitempty"`
	Items []wireItem `json:"items,omitempty"`
}

func fromItems(in []loadsum.PoolSum) []wireItem {
	var out []wireItem
	for _, i := range in {
		out = append(out, wireItem{i.Pool, i.Load, i.Count, i.Age.Milliseconds()})
	}
	return out
}

func toItems(in []wireItem) []loadsum.PoolSum {
	var out []loadsum.PoolSum
	for _, i := range in {
		age := time.Duration(i.Age) * time.Millisecond
		out = append(out, loadsum.PoolSum{Pool: i.Pool, Sum: loadsum.Sum{Load: i.Load, Count: i.Count}, Age: age})
	}
	return out
}

// Codes of errors between routers, in the range that JSON-RPC leaves to applications.
const (
	codeRefused = 1
	codeFailed  = 2
	codeMethod  = -32601
	codeParams  = -32602
)

type wireRefusal struct {
	Code    outcome.Code    `json:"code"`
	Outcome outcome.Outcome `json:"outcome"`
	Status  int             `json:"status"`
	Remedy  string          `json:"remedy"`
	// Retry is in milliseconds.
	Retry     int64    `json:"retry,omitempty"`
	Addresses []string `json:"addresses,omitempty"`
}

// encodeError turns an error of a handler into one on the wire. An *outcome.Error arrives as such.
func encodeError(err error) *jsonrpc2.Error {
	if err == nil {
		return nil
	}
	var known *jsonrpc2.Error
	if errors.As(err, &known) {
		return known
	}
	var refused *outcome.Error
	if !errors.As(err, &refused) {
		return &jsonrpc2.Error{Code: codeFailed, Message: err.Error()}
	}
	e := &jsonrpc2.Error{Code: codeRefused, Message: refused.Message}
	e.SetError(wireRefusal{
		refused.Code, refused.Outcome, refused.Status, refused.Remedy, refused.RetryAfter.Milliseconds(), refused.Addresses,
	})
	return e
}

func decodeError(err error) error {
	var known *jsonrpc2.Error
	if !errors.As(err, &known) || known.Code != codeRefused || known.Data == nil {
		return err
	}
	var w wireRefusal
	if json.Unmarshal(*known.Data, &w) != nil {
		return err
	}
	return &outcome.Error{
		Code: w.Code, Outcome: w.Outcome, Status: w.Status, Message: known.Message, Remedy: w.Remedy,
		RetryAfter: time.Duration(w.Retry) * time.Millisecond, Addresses: w.Addresses,
	}
}
