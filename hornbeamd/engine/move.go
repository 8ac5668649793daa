package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/hornbeamd/exchange"
)

// errTooLarge means that a KV cache exceeds Options.KV.
var errTooLarge = eris.New("the KV cache is larger than the limit")

// MoveError is a KV cache that was not moved. The engine that should take it has taken nothing, or the whole.
type MoveError struct {
	// Side is "export" if the source failed, and "import" if the target did.
	Side string
	// Missing is true if the source answered that it holds nothing for the chat.
	Missing bool
	Cause   error
}

func (e *MoveError) Error() string {
	return "KV cache not moved, " + e.Side + " failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MoveError) Unwrap() error { return e.Cause }

// Fetch copies the KV cache of a chat from another engine to this one and returns the number of bytes. The cache is passed on as it
// arrives and not held in memory. Only ctx bounds the time. Errors are *MoveError.
func (h *HTTP) Fetch(ctx context.Context, source *HTTP, chat string) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, length, err := source.export(ctx, chat)
	if err != nil {
		return 0, err
	}
	defer body.Close()
	counted := &exported{r: body, limit: h.options.KV}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.control.URL("/v1/kv/import"), counted)
	if err != nil {
		return 0, &MoveError{Side: "import", Cause: err}
	}
	r.ContentLength = length
	r.Header.Set("Content-Type", "application/octet-stream")
	resp, failure := h.control.Do(r, "", true)
	if broken := counted.failure(); broken != nil {
		if failure == nil {
			resp.Body.Close()
		}
		return counted.count(), &MoveError{Side: "export", Cause: exchange.Failure(ctx, broken, true)}
	}
	if failure != nil {
		return counted.count(), &MoveError{Side: "import", Cause: failure}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return counted.count(), &MoveError{Side: "import", Cause: exchange.Reject(resp)}
	}
	resp.Body.Close()
	return counted.count(), nil
}

// export begins the export of a chat's KV cache. The length is -1 if the engine does not state it.
func (h *HTTP) export(ctx context.Context, chat string) (io.ReadCloser, int64, error) {
	body := marshal(exportOrder{Chat: chat})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.control.URL("/v1/kv/export"), bytes.NewReader(body))
	if err != nil {
		return nil, 0, &MoveError{Side: "export", Cause: err}
	}
	r.Header.Set("Content-Type", "application/json")
	resp, failure := h.control.Do(r, "", false)
	if failure != nil {
		return nil, 0, &MoveError{Side: "export", Cause: failure}
	}
	if resp.StatusCode != http.StatusOK {
		missing := resp.StatusCode == http.StatusNotFound
		return nil, 0, &MoveError{Side: "export", Missing: missing, Cause: exchange.Reject(resp)}
	}
	if resp.ContentLength > h.options.KV {
		resp.Body.Close()
		return nil, 0, &MoveError{Side: "export", Cause: errTooLarge}
	}
	return resp.Body, resp.ContentLength, nil
}
