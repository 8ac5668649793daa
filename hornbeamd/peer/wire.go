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

// methods lists the JSON-RPC methods between routers. All others are counted as "unknown", so that
// a peer cannot create metric series without limit.
var methods = map[string]bool{
	"hello": true, "echo": true, "ping": true, "probe": true, "sync": true, "announce": true, "fetch": true,
	"slot": true, "free": true, "renew": true, "load": true, "suspect": true, "events": true, "status": true,
	"claim": true, "finish": true, "usage": true, "held": true, "note": true, "crash": true, "agreed": true, "inventory": true,
	"abandon": true, "parts": true,
}

func knownMethod(name string) string {
	if methods[name] {
		return name
	}
	return "unknown"
}

type wireHello struct {
	ID string `json:"id"`
}

// digest64 is a digest that is encoded as base64, in 11 characters instead of up to 20 decimal
// digits.
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
		return eris.Errorf("digest %q is not 8 bytes of URL-safe base64 without padding", text)
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

// maxMembersPerMessage limits the members that are accepted in one message. It is several times the
// design size of the fleet.
const maxMembersPerMessage = 4096

func toMembers(in []wireMember) []member.Member {
	in = in[:min(len(in), maxMembersPerMessage)]
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

type wireProbeReply struct {
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

type wireFetchReply struct {
	Busy     bool       `json:"busy,omitempty"`
	Revision int64      `json:"rev"`
	Base     int64      `json:"base,omitempty"`
	Files    []wireFile `json:"files,omitempty"`
	Gone     []string   `json:"gone,omitempty"`
	// Contents is the gzip-compressed sequence of file contents, each prefixed by its length as a
	// varint.
	Contents []byte `json:"contents,omitempty"`
}

func fromReply(r revision.Reply) (wireFetchReply, error) {
	w := wireFetchReply{Busy: r.Busy, Revision: r.Revision, Base: r.Base, Gone: r.Removed}
	for _, f := range r.Files {
		w.Files = append(w.Files, wireFile{f.Name, f.Digest, f.Size})
	}
	var err error
	w.Contents, err = packContents(r.Contents)
	return w, err
}

func (w wireFetchReply) reply() (revision.Reply, error) {
	r := revision.Reply{Busy: w.Busy, Revision: w.Revision, Base: w.Base, Removed: w.Gone}
	for _, f := range w.Files {
		r.Files = append(r.Files, revision.File{Name: f.Name, Digest: f.Digest, Size: f.Size})
	}
	var err error
	r.Contents, err = unpackContents(w.Contents)
	return r, err
}

func packContents(contents [][]byte) ([]byte, error) {
	if len(contents) == 0 {
		return nil, nil
	}
	var compressed bytes.Buffer
	zw := gzip.NewWriter(&compressed)
	for _, c := range contents {
		if _, err := zw.Write(binary.AppendUvarint(nil, uint64(len(c)))); err != nil {
			return nil, err
		}
		if _, err := zw.Write(c); err != nil {
			return nil, err
		}
	}
	err := zw.Close()
	return compressed.Bytes(), err
}

// maxUnpackedBytes limits the decompressed size of file contents.
const maxUnpackedBytes = 16 << 20

func unpackContents(compressed []byte) ([][]byte, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	zr, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrap(err, "file contents are not gzip-compressed")
	}
	data, err := io.ReadAll(io.LimitReader(zr, maxUnpackedBytes))
	if err != nil {
		return nil, eris.Wrap(err, "cannot decompress file contents")
	}
	var out [][]byte
	for len(data) > 0 {
		size, n := binary.Uvarint(data)
		if n <= 0 || size > uint64(len(data)-n) {
			return nil, eris.New("file contents are truncated")
		}
		out = append(out, data[n:n+int(size)])
		data = data[n+int(size):]
	}
	return out, nil
}

type wireLoadItem struct {
	Pool  string  `json:"pool"`
	Load  float64 `json:"load"`
	Count int     `json:"n"`
	// Age is in milliseconds.
	Age int64 `json:"age,omitempty"`
}

type wireLoad struct {
	From  string         `json:"from,omitempty"`
	Zone  string         `json:"zone,omitempty"`
	Items []wireLoadItem `json:"items,omitempty"`
}

func fromItems(in []loadsum.PoolSum) []wireLoadItem {
	var out []wireLoadItem
	for _, i := range in {
		out = append(out, wireLoadItem{i.Pool, i.Load, i.Count, i.Age.Milliseconds()})
	}
	return out
}

func toItems(in []wireLoadItem) []loadsum.PoolSum {
	var out []loadsum.PoolSum
	for _, i := range in {
		age := time.Duration(i.Age) * time.Millisecond
		out = append(out, loadsum.PoolSum{Pool: i.Pool, Sum: loadsum.Sum{Load: i.Load, Count: i.Count}, Age: age})
	}
	return out
}

// JSON-RPC error codes between routers. Negative codes are those of the JSON-RPC standard.
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

// encodeError converts a handler's error to a JSON-RPC error. An *outcome.Error keeps its fields
// and is restored by decodeError.
func encodeError(err error) *jsonrpc2.Error {
	if err == nil {
		return nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr
	}
	var refusal *outcome.Error
	if !errors.As(err, &refusal) {
		return &jsonrpc2.Error{Code: codeFailed, Message: err.Error()}
	}
	out := &jsonrpc2.Error{Code: codeRefused, Message: refusal.Message}
	out.SetError(wireRefusal{
		refusal.Code, refusal.Outcome, refusal.Status, refusal.Remedy, refusal.RetryAfter.Milliseconds(), refusal.Addresses,
	})
	return out
}

func decodeError(err error) error {
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) || rpcErr.Code != codeRefused || rpcErr.Data == nil {
		return err
	}
	var refusal wireRefusal
	if json.Unmarshal(*rpcErr.Data, &refusal) != nil {
		return err
	}
	return &outcome.Error{
		Code: refusal.Code, Outcome: refusal.Outcome, Status: refusal.Status, Message: rpcErr.Message, Remedy: refusal.Remedy,
		RetryAfter: time.Duration(refusal.Retry) * time.Millisecond, Addresses: refusal.Addresses,
	}
}
