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

// maxMessageBytes limits the size of a message. The largest expected message carries a 256 KiB
// chunk of files, or one file of 1 MB, in base64. The limit is well above that.
const maxMessageBytes = 4 << 20

// writeTimeout is the deadline of one write. A peer that reads nothing for this long is considered
// unresponsive.
const writeTimeout = 2 * time.Second

// Traffic counts the bytes of each direction and the messages of both directions together.
type Traffic struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	Messages int64 `json:"messages"`
}

// TrafficStats is a snapshot of the traffic between this router and its peers.
type TrafficStats struct {
	// ByMethod counts the encoded messages by method.
	ByMethod map[string]Traffic `json:"kinds"`
	// Wire counts all bytes on the connections, including TLS handshakes and record overhead. In
	// Wire, the Messages field counts the TCP connections that this router opened.
	Wire Traffic `json:"wire"`
}

// meter counts the bytes and messages of the connections.
type meter struct {
	mu       sync.Mutex
	byMethod map[string]Traffic

	// sentBytes and receivedBytes count all bytes on the connections. dialedConns counts the TCP
	// connections that this router opened.
	sentBytes, receivedBytes, dialedConns atomic.Int64

	bytes    *prometheus.CounterVec
	messages *prometheus.CounterVec
}

func newMeter(r prometheus.Registerer) *meter {
	m := &meter{
		byMethod: map[string]Traffic{},
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

func (m *meter) record(method, direction string, size int) {
	m.bytes.WithLabelValues(method, direction).Add(float64(size))
	m.messages.WithLabelValues(method, direction).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.byMethod[method]
	t.Messages++
	if direction == "sent" {
		t.Sent += int64(size)
	} else {
		t.Received += int64(size)
	}
	m.byMethod[method] = t
}

func (m *meter) snapshot() TrafficStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := TrafficStats{ByMethod: make(map[string]Traffic, len(m.byMethod))}
	for method, t := range m.byMethod {
		out.ByMethod[method] = t
	}
	out.Wire = Traffic{Sent: m.sentBytes.Load(), Received: m.receivedBytes.Load(), Messages: m.dialedConns.Load()}
	return out
}

// meteredConn is a connection that counts its bytes and sets a deadline for each write.
type meteredConn struct {
	net.Conn
	meter *meter
}

func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.receivedBytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.meter.sentBytes.Add(int64(n))
	return n, err
}

// codec frames messages with a varint length prefix, limits their size and counts them by method.
// For one connection and direction, the jsonrpc2 library calls the codec and its hooks, onSend and
// onReceive, in sequence. Only pendingMethods needs a lock, because both directions use it.
type codec struct {
	meter *meter
	conn  *peerConn

	// sendMethod is the method of the next message to write. receivedSize is the size of the last
	// frame read, including its length prefix.
	sendMethod   string
	receivedSize int

	mu sync.Mutex
	// pendingMethods holds the method of each received request that is not answered yet.
	pendingMethods map[jsonrpc2.ID]string
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxMessageBytes {
		return eris.Errorf("message of %d bytes exceeds the limit of %d", len(data), maxMessageBytes)
	}
	frame := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(data)), uint64(len(data)))
	frame = append(frame, data...)
	c.meter.record(c.sendMethod, "sent", len(frame))
	_, err = w.Write(frame)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c *codec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return eris.Errorf("message of %d bytes exceeds the limit of %d", size, maxMessageBytes)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	c.receivedSize = len(binary.AppendUvarint(nil, size)) + len(data)
	c.conn.recordRead()
	return json.Unmarshal(data, v)
}

// onSend records the method of the next message to write. resp is nil if the message is a request.
func (c *codec) onSend(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if resp == nil {
		c.sendMethod = knownMethod(req.Method)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendMethod = c.pendingMethods[resp.ID]
	delete(c.pendingMethods, resp.ID)
}

// onReceive counts the last message read. For a response, req is the matching pending request, nil
// if there is none.
func (c *codec) onReceive(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	method := "unknown"
	if req != nil {
		method = knownMethod(req.Method)
	}
	c.meter.record(method, "received", c.receivedSize)
	if resp != nil || req.Notif {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingMethods[req.ID] = method
}
