package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/mesh"
	"hornbeamstep.example/platform/standin"
)

// streamPath is a route whose streams may be resumed.
const streamPath = "/resume/stream/x"

// addPoolServers adds two servers of each version to the service "pool", in place of the others.
func (p *testPlatform) addPoolServers(versions ...string) {
	for id, s := range p.servers {
		if s.Service == "pool" {
			p.store.Delete("servers", id)
			delete(p.servers, id)
		}
	}
	p.joinPoolServers(versions...)
}

// joinPoolServers adds two servers of each version to the service "pool".
func (p *testPlatform) joinPoolServers(versions ...string) {
	for _, version := range versions {
		for i := range 2 {
			s := standin.NewServer(fmt.Sprintf("pool-%s-%d", version, i), "pool")
			s.Version, s.Events, s.Pause = version, 40, 20*time.Millisecond
			p.c.Cleanup(s.CloseClientConnections)
			p.servers[s.ID] = s
			p.store.Put("servers", s.ID, s.Entry("ready"))
		}
	}
	time.Sleep(time.Second)
}

// begin starts a stream at router i and returns once its first event has reached the caller. cancel
// ends the stream, and version is that of the server that began it.
func (p *testPlatform) begin(i int) (attempt, version string, cancel context.CancelFunc) {
	p.c.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.frontAddr(i)+streamPath, nil)
	p.c.Assert(err, qt.IsNil)
	r.Host, attempt = standin.Host, p.nextAttempt()
	r.Header.Set("Attempt-Id", attempt)
	r.Header.Set("Api-Key", "key")
	response, err := http.DefaultClient.Do(r)
	p.c.Assert(err, qt.IsNil)
	p.c.Cleanup(func() { response.Body.Close() })
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	p.c.Assert(err, qt.IsNil)
	return attempt, p.versionOf(attempt), cancel
}

// versionOf returns the version of the server that ran an attempt last; empty if none did.
func (p *testPlatform) versionOf(attempt string) (version string) {
	var at time.Time
	for _, s := range p.servers {
		for _, run := range s.Runs() {
			if run.Attempt == attempt && run.At.After(at) {
				version, at = s.Version, run.At
			}
		}
	}
	return version
}

// resume resumes a stream at router i after its first event, and returns the response with the
// version of the server that ran it; empty if none did. If the router is too busy to hear of the
// version in time, it tells the caller to come back.
func (p *testPlatform) resume(i int, stream string) (response standin.Response, version string) {
	p.waitFor(func() bool {
		response, version = p.resumeOnce(i, stream)
		return response.Status != http.StatusServiceUnavailable
	})
	return response, version
}

// resumeOnce is like resume for a router that must answer at the first attempt.
func (p *testPlatform) resumeOnce(i int, stream string) (response standin.Response, version string) {
	attempt := p.nextAttempt()
	response, err := standin.Do(context.Background(), standin.Request{
		Address: p.frontAddr(i), Path: streamPath, Key: "key", Attempt: attempt, Resumes: stream, LastEventID: "1",
	})
	p.c.Assert(err, qt.IsNil)
	return response, p.versionOf(attempt)
}

// Guards against a stream that changes its version when resumed after its router was killed.
func TestResumedStreamKeepsVersion(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 4)
	p.addPoolServers("v1", "v2", "v1.1")
	streams := map[string]string{}
	for range 12 {
		attempt, version, cancel := p.begin(0)
		defer cancel()
		streams[attempt] = version
	}
	p.c.Assert(p.routers[0].process.Process.Kill(), qt.IsNil)
	resumed := 0
	for stream, began := range streams {
		response, version := p.resume(1+resumed%3, stream)
		c.Assert(response.Status, qt.Equals, 200)
		c.Assert(strings.HasPrefix(response.Body, "id: 2\n"), qt.IsTrue)
		c.Assert(version, qt.Equals, began)
		resumed++
	}
}

// Guards against routers of one release that keep to an earlier message format after a restart, and so lose
// what it lacks.
func TestFormatAfterRestart(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 3)
	for range 3 {
		p.restart(0)
		time.Sleep(time.Second)
		for i := range 3 {
			for _, r := range p.inspect(i).Routers {
				c.Assert(r.Format, qt.Equals, mesh.Format, qt.Commentf("%s at router %d", r.ID, i))
			}
		}
	}
}
