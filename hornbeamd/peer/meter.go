package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessage bounds a message: a chunk of files of 256 KiB, or one file of 1 MB, in base64, with room to spare.
const maxMessage = 4 << 20

// writeLimit is how long one write may take before the connection counts as silent.
const writeLimit = 2 * time.Second

// Traffic counts the encoded bytes and messages of one kind.
type Traffic struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	Messages int64 `json:"messages"`
}

// Bytes is a snapshot of the control traffic of a router.
type Bytes struct {
	// Kinds holds the encoded messages by method.
	Kinds map[string]Traffic `json:"kinds"`
	// Wire counts everything on the connections, with TLS handshakes and records.
	Wire Traffic `json:"wire"`
}

// meter counts bytes by kind.
type meter struct {
	mu    sync.Mutex
	kinds map[string]Traffic

	sent, received, opened atomic.Int64

	bytes    *prometheus.CounterVec
	messages *prometheus.CounterVec
}

func newMeter(r prometheus.Registerer) *meter {
	m := &meter{
		kinds: map[string]Traffic{},
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_peer_bytes_total", Help: "Encoded bytes of messages between routers, by method and direction.",
		}, []string{"method", "direction"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hornbeam_peer_messages_total", Help: "Messages between routers, by method and direction.",
		}, []string{"method", "direction"}),
	}
	if r != nil {
		r.MustRegister(m.bytes, m.messages)
	}
	return m
}

func (m *meter) count(kind, direction string, n int) {
	m.bytes.WithLabelValues(kind, direction).Add(float64(n))
	m.messages.WithLabelValues(kind, direction).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.kinds[kind]
	t.Messages++
	if direction == "sent" {
		t.Sent += int64(n)
	} else {
		t.Received += int64(n)
	}
	m.kinds[kind] = t
}

func (m *meter) snapshot() Bytes {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := Bytes{Kinds: make(map[string]Traffic, len(m.kinds))}
	for kind, t := range m.kinds {
		out.Kinds[kind] = t
	}
	out.Wire = Traffic{Sent: m.sent.Load(), Received: m.received.Load(), Messages: m.opened.Load()}
	return out
}

// counted is a connection whose bytes are counted and whose writes have a deadline.
type counted struct {
	net.Conn
	meter *meter
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))
	return n, err
}

// codec frames messages by a varint length, bounds them and counts them by method. The library calls it and the hooks of
// one connection in sequence for each direction, so that its fields need a lock only for what both directions use.
type codec struct {
	meter *meter
	link  *link

	// kind is the method of the message to be written, size the length of the one read last.
	kind string
	size int

	mu sync.Mutex
	// asked holds the method of each request that is being answered.
	asked map[jsonrpc2.ID]string
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxMessage {
		return eris.Errorf("message of %d bytes exceeds the limit of %d", len(data), maxMessage)
	}
	frame := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(data)), uint64(len(data)))
	frame = append(frame, data...)
	c.meter.count(c.kind, "sent", len(frame))
	_, err = w.Write(frame)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c *codec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > maxMessage {
		return eris.Errorf("message of %d bytes exceeds the limit of %d", size, maxMessage)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	c.size = len(binary.AppendUvarint(nil, size)) + len(data)
	c.link.touch()
	return json.Unmarshal(data, v)
}

// sending notes the method of the message that is written next.
func (c *codec) sending(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if resp == nil {
		c.kind = method(req.Method)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kind = c.asked[resp.ID]
	delete(c.asked, resp.ID)
}

// received counts the message that was read last.
func (c *codec) received(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	kind := "unknown"
	if req != nil {
		kind = method(req.Method)
	}
	c.meter.count(kind, "received", c.size)
	if resp != nil || req.Notif {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked[req.ID] = kind
}
