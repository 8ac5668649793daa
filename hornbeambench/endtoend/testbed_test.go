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
	model        = "letters"
	apiKey       = "a-key"
	answerTokens = 8
	// testTimeout ends a test that hangs. No other test result depends on it.
	testTimeout = 60 * time.Second
)

// testbed is a simulated platform, simulated engines, one simulated service and routers.
type testbed struct {
	t              testing.TB
	ctx            context.Context
	platform       *platformapi.Server
	platformURL    string
	engines        []*modelengine.Engine
	service        *plainservice.Service
	routers        []*daemon.Daemon
	routerFleet    *routers.Fleet
	routerByDaemon map[*daemon.Daemon]*routers.Router
}

// newTestbed starts a testbed and waits until all routers are ready.
func newTestbed(t testing.TB, engines, routers int, config modelengine.Config) *testbed {
	return newTestbedWithSettings(t, engines, routers, config, func(*settings.Settings) {})
}

// newTestbedWithSettings is newTestbed with a function that adjusts the settings of each router.
func newTestbedWithSettings(t testing.TB, engines, routerCount int, baseConfig modelengine.Config, adjust func(*settings.Settings)) *testbed {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	tb := &testbed{t: t, ctx: ctx, platform: platformapi.New(), routerByDaemon: map[*daemon.Daemon]*routers.Router{}}
	t.Cleanup(cancel)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	tb.platformURL = "http://" + listener.Addr().String()
	tb.routerFleet = &routers.Fleet{Platform: tb.platform, PlatformURL: tb.platformURL, ModifySettings: func(s *settings.Settings) {
		s.Caller.Lifetime = 100 * time.Millisecond
		adjust(s)
	}}
	server := &http.Server{Handler: tb.platform.Handler()}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	for i := range engines {
		engineConfig := baseConfig
		engineConfig.Name = fmt.Sprintf("e%d", i+1)
		engine, err := modelengine.Start(engineConfig)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(engine.Close)
		tb.engines = append(tb.engines, engine)
	}
	tb.service, err = plainservice.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(tb.service.Close)
	tb.pushConfig("")
	for i := range routerCount {
		tb.startRouter(fmt.Sprintf("r%d", i+1))
	}
	for _, d := range tb.routers {
		tb.waitReady(d)
	}
	return tb
}

// pushConfig pushes the configuration of the testbed with an extra file; the new revision becomes
// the head.
func (tb *testbed) pushConfig(extra string) {
	var config strings.Builder
	fmt.Fprintf(&config, "pools:\n  p: {wait: 20s}\nmodels:\n  %s: {pool: p}\nservices:\n  intake: {repeat: false, timeout: 10s}\n", model)
	fmt.Fprintf(&config, "accounts:\n  gate: {keys: [%s], models: [\"*\"], services: [\"*\"]}\nbackends:\n", policy.Digest(apiKey))
	for i, e := range tb.engines {
		fmt.Fprintf(&config, "  e%d: {pool: p, address: %q, zone: z, fence: true}\n", i+1, e.Address())
	}
	fmt.Fprintf(&config, "  s1: {service: intake, address: %q, zone: z}\n", tb.service.Address())
	files := []configfile.File{{Name: "10.yaml", Data: []byte(config.String())}}
	if extra != "" {
		files = append(files, configfile.File{Name: "20.yaml", Data: []byte(extra)})
	}
	configHistory := &history.History{Store: tb.platform.Store}
	_, err := configHistory.Push(tb.ctx, history.Change{Base: history.AnyBase, Author: "test", Files: files, Push: extra + "push"})
	qt.Assert(tb.t, err, qt.IsNil)
}

func (tb *testbed) startRouter(id string) *daemon.Daemon {
	router, err := tb.routerFleet.Start(id, "z")
	qt.Assert(tb.t, err, qt.IsNil)
	tb.routerByDaemon[router.Daemon] = router
	tb.t.Cleanup(func() { router.Stop() })
	tb.routers = append(tb.routers, router.Daemon)
	return router.Daemon
}

func (tb *testbed) callerURL(d *daemon.Daemon) string {
	callers, _, _ := d.Addresses()
	return "http://" + callers
}

// waitFor polls until the condition is met. The test fails after testTimeout.
func (tb *testbed) waitFor(description string, condition func() bool) {
	tb.t.Helper()
	for !condition() {
		if tb.ctx.Err() != nil {
			tb.t.Fatalf("timed out waiting for: %s", description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (tb *testbed) waitReady(d *daemon.Daemon) {
	tb.waitFor("router ready", func() bool {
		response, err := http.Get(tb.callerURL(d) + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// reply is the response that a caller receives. Status and Text are the HTTP status and the body;
// the other fields are decoded from the body.
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

func (tb *testbed) post(d *daemon.Daemon, path, body string, header ...string) reply {
	request, err := http.NewRequestWithContext(tb.ctx, http.MethodPost, tb.callerURL(d)+path, bytes.NewReader([]byte(body)))
	qt.Assert(tb.t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{Text: err.Error()}
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	result := reply{Status: response.StatusCode, Text: string(data)}
	_ = json.Unmarshal(data, &result)
	return result
}

func (tb *testbed) sendChat(d *daemon.Daemon, prompt string, header ...string) reply {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, model, prompt, answerTokens)
	return tb.post(d, "/v1/chat/completions", body, header...)
}

// isCompleteAnswer reports whether the reply contains the complete answer to the prompt.
func isCompleteAnswer(r reply, prompt string) bool {
	return len(r.Choices) == 1 && r.Choices[0].Message.Content == modelengine.CompletionText("user:"+prompt+"\n", answerTokens)
}
