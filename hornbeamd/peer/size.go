package peer

import (
	"encoding/binary"
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"hornbeamstep.example/coord/loadsum"
	"hornbeamstep.example/coord/member"
)

// typicalDigest stands for the digest of decisions that outlive routers; its encoding has a fixed length.
const typicalDigest digest64 = 1

// EncodedSize returns the method of a message of package member or loadsum and its length as a frame between routers, without
// TLS. It serves models that count control traffic without connections.
func EncodedSize(message any) (name string, size int, err error) {
	// The numbers of requests on a connection that lives for an hour have about four digits.
	id := jsonrpc2.ID{Num: 1000}
	req, resp := func(m string, v any) (string, int, error) {
		r := &jsonrpc2.Request{Method: m, ID: id}
		if err := r.SetParams(v); err != nil {
			return m, 0, err
		}
		return frame(m, r)
	}, func(m string, v any) (string, int, error) {
		r := &jsonrpc2.Response{ID: id}
		if err := r.SetResult(v); err != nil {
			return m, 0, err
		}
		return frame(m, r)
	}
	switch m := message.(type) {
	case member.Ping:
		return req("ping", fromPing(m, 1, typicalDigest))
	case member.Ack:
		return resp("ping", fromAck(m, 1, typicalDigest))
	case member.Sync:
		return req("sync", fromSync(m))
	case member.SyncReply:
		return resp("sync", wireSyncReply{m.Busy, fromMembers(m.Updates), m.WantBuckets})
	case loadsum.Report:
		return req("load", wireLoad{From: m.From, Zone: m.Zone, Items: fromItems(m.Items)})
	case loadsum.Reply:
		return resp("load", wireLoad{Items: fromItems(m.Items)})
	default:
		return "", 0, eris.Errorf("%T is not a message between routers", message)
	}
}

func frame(name string, v any) (string, int, error) {
	data, err := json.Marshal(v)
	return name, len(binary.AppendUvarint(nil, uint64(len(data)))) + len(data), err
}
