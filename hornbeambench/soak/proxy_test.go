package soak

import (
	"bufio"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// echo answers each line with the same line.
func echo(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewReader(conn)
				for {
					line, err := lines.ReadString('\n')
					if err != nil {
						return
					}
					conn.Write([]byte(line))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against faults that do not take effect, so that a soak would test nothing.
func TestProxy(t *testing.T) {
	c := qt.New(t)
	p, err := newProxy("127.0.0.1:0", echo(c))
	c.Assert(err, qt.IsNil)
	defer p.close()
	open := func() net.Conn {
		conn, err := net.Dial("tcp", p.address())
		c.Assert(err, qt.IsNil)
		return conn
	}
	answersWithin := func(conn net.Conn, limit time.Duration) bool {
		conn.Write([]byte("line\n"))
		conn.SetReadDeadline(time.Now().Add(limit))
		text, err := bufio.NewReader(conn).ReadString('\n')
		return err == nil && text == "line\n"
	}
	// An answer that is due may take long on a busy machine.
	answers := func(conn net.Conn) bool { return answersWithin(conn, 10*time.Second) }
	answersSoon := func(conn net.Conn) bool { return answersWithin(conn, 300*time.Millisecond) }
	for name, lost := range map[string]direction{"forth": forth, "back": back, "both": both} {
		c.Run(name, func(c *qt.C) {
			old := open()
			c.Assert(answers(old), qt.IsTrue)
			p.impair(lost, 0)
			c.Assert(answersSoon(old), qt.IsFalse)
			p.impair(none, 0)
			c.Assert(answersSoon(old), qt.IsFalse, qt.Commentf("a connection that lost bytes ends"))
			c.Assert(answers(open()), qt.IsTrue)
		})
	}
	p.impair(none, 50*time.Millisecond)
	slow, began := open(), time.Now()
	c.Assert(answers(slow), qt.IsTrue)
	c.Assert(time.Since(began) >= 100*time.Millisecond, qt.IsTrue)
	p.impair(none, 0)
	p.reset()
	c.Assert(answersSoon(slow), qt.IsFalse)
}
