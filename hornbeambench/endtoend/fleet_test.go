package endtoend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/routers"
	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeambench/standin/plainservice"
	"hornbeamstep.example/hornbeambench/standin/platformapi"
	"hornbeamstep.example/hornbeamd/daemon"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/policy"
	"hornbeamstep.example/policy/configfile"
	"hornbeamstep.example/policy/history"
)

const (
	model  = "letters"
	key    = "a-key"
	answer = 8
	// patience ends a test that hangs; no test passes or fails by it otherwise.
	patience = 60 * time.Second
)

// world is a platform, engines, one service and routers.
type world struct {
	t        testing.TB
	ctx      context.Context
	platform *platformapi.Server
	address  string
	engines  []*modelengine.Engine
	service  *plainservice.Service
	routers  []*daemon.Daemon
	group    *routers.Fleet
	running  map[*daemon.Daemon]*routers.Router
}

func newWorld(t testing.TB, engines, routers int, config modelengine.Config) *world {
	return newAdjusted(t, engines, routers, config, func(*settings.Settings) {})
}

func newAdjusted(t testing.TB, engines, count int, config modelengine.Config, adjust func(*settings.Settings)) *world {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	w := &world{t: t, ctx: ctx, platform: platformapi.New(), running: map[*daemon.Daemon]*routers.Router{}}
	t.Cleanup(cancel)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	w.address = "http://" + listener.Addr().String()
	w.group = &routers.Fleet{Platform: w.platform, Address: w.address, ModifySettings: func(s *settings.Settings) {
		s.Caller.Lifetime = 100 * time.Millisecond
		adjust(s)
	}}
	server := &http.Server{Handler: w.platform.Handler()}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	for i := range engines {
		c := config
		c.Name = fmt.Sprintf("e%d", i+1)
		e, err := modelengine.Start(c)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(e.Close)
		w.engines = append(w.engines, e)
	}
	w.service, err = plainservice.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(w.service.Close)
	w.push("")
	for i := range count {
		w.start(fmt.Sprintf("r%d", i+1))
	}
	for _, d := range w.routers {
		w.ready(d)
	}
	return w
}

// push makes a configuration with an extra file the head.
func (w *world) push(extra string) {
	var b strings.Builder
	fmt.Fprintf(&b, "pools:\n  p: {wait: 20s}\nmodels:\n  %s: {pool: p}\nservices:\n  intake: {repeat: false, timeout: 10s}\n", model)
	fmt.Fprintf(&b, "accounts:\n  gate: {keys: [%s], models: [\"*\"], services: [\"*\"]}\nbackends:\n", policy.Digest(key))
	for i, e := range w.engines {
		fmt.Fprintf(&b, "  e%d: {pool: p, address: %q, zone: z, fence: true}\n", i+1, e.Address())
	}
	fmt.Fprintf(&b, "  s1: {service: intake, address: %q, zone: z}\n", w.service.Address())
	files := []configfile.File{{Name: "10.yaml", Data: []byte(b.String())}}
	if extra != "" {
		files = append(files, configfile.File{Name: "20.yaml", Data: []byte(extra)})
	}
	h := &history.History{Store: w.platform.Store}
	_, err := h.Push(w.ctx, history.Change{Base: history.AnyBase, Author: "test", Files: files, Push: extra + "push"})
	qt.Assert(w.t, err, qt.IsNil)
}

func (w *world) start(id string) *daemon.Daemon {
	r, err := w.group.Start(id, "z")
	qt.Assert(w.t, err, qt.IsNil)
	w.running[r.Daemon] = r
	w.t.Cleanup(func() { r.Stop() })
	w.routers = append(w.routers, r.Daemon)
	return r.Daemon
}

func (w *world) caller(d *daemon.Daemon) string {
	callers, _, _ := d.Addresses()
	return "http://" + callers
}

// until waits for a condition; the test fails if it never comes.
func (w *world) until(what string, done func() bool) {
	w.t.Helper()
	for !done() {
		if w.ctx.Err() != nil {
			w.t.Fatalf("gave up waiting: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *world) ready(d *daemon.Daemon) {
	w.until("router ready", func() bool {
		r, err := http.Get(w.caller(d) + "/readyz")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
}

// reply is what a caller sees.
type reply struct {
	Status int
	Text   string
	Error  struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
	Usage struct {
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

func (w *world) post(d *daemon.Daemon, path, body string, header ...string) reply {
	r, err := http.NewRequestWithContext(w.ctx, http.MethodPost, w.caller(d)+path, bytes.NewReader([]byte(body)))
	qt.Assert(w.t, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{Text: err.Error()}
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	out := reply{Status: resp.StatusCode, Text: string(data)}
	_ = json.Unmarshal(data, &out)
	return out
}

func (w *world) chat(d *daemon.Daemon, prompt string, header ...string) reply {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, model, prompt, answer)
	return w.post(d, "/v1/chat/completions", body, header...)
}

// right is true if the answer is the whole one to the prompt.
func right(r reply, prompt string) bool {
	return len(r.Choices) == 1 && r.Choices[0].Message.Content == modelengine.CompletionText("user:"+prompt+"\n", answer)
}
