package peer

import (
	"encoding/binary"
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/coord/member"
)

// sampleDigest is a placeholder for the digest of the agreed decisions. Any value other than 0 has
// the same encoded length.
const sampleDigest digest64 = 1

// EncodedSize returns the method of a message of package member or loadsum and its size as a frame
// between routers, without TLS overhead. Simulations use it to count control traffic without
// connections.
func EncodedSize(message any) (method string, size int, err error) {
	// Request IDs reach about four digits on a connection that is open for an hour.
	id := jsonrpc2.ID{Num: 1000}
	requestSize, responseSize := func(m string, v any) (string, int, error) {
		r := &jsonrpc2.Request{Method: m, ID: id}
		if err := r.SetParams(v); err != nil {
			return m, 0, err
		}
		return frameSize(m, r)
	}, func(m string, v any) (string, int, error) {
		r := &jsonrpc2.Response{ID: id}
		if err := r.SetResult(v); err != nil {
			return m, 0, err
		}
		return frameSize(m, r)
	}
	switch m := message.(type) {
	case member.Ping:
		return requestSize("ping", fromPing(m, 1, sampleDigest))
	case member.Ack:
		return responseSize("ping", fromAck(m, 1, sampleDigest))
	case member.Sync:
		return requestSize("sync", fromSync(m))
	case member.SyncReply:
		return responseSize("sync", wireSyncReply{m.Busy, fromMembers(m.Updates), m.WantBuckets})
	case loadsum.Report:
		return requestSize("load", wireLoad{From: m.From, Zone: m.Zone, Items: fromItems(m.Items)})
	case loadsum.Reply:
		return responseSize("load", wireLoad{Items: fromItems(m.Items)})
	default:
		return "", 0, eris.Errorf("%T is not a message between routers", message)
	}
}

func frameSize(method string, v any) (string, int, error) {
	data, err := json.Marshal(v)
	return method, len(binary.AppendUvarint(nil, uint64(len(data)))) + len(data), err
}
