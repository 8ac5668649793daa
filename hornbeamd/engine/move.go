package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"hornbeamstep.example/hornbeamd/exchange"
)

// errKVTooLarge means that a KV cache exceeds Options.MaxKVBytes.
var errKVTooLarge = eris.New("KV cache exceeds the size limit")

// errKVUnframed means that a KV cache has neither a length nor chunks, so that a part of it would
// look complete.
var errKVUnframed = eris.New("KV cache has neither a length nor chunks")

// MoveError reports that a KV cache was not copied. The target engine has imported either nothing
// or the complete cache.
type MoveError struct {
	// Side is "export" if the source failed, and "import" if the target did.
	Side string
	// Missing is true if the source engine responded that it has no KV cache for the chat.
	Missing bool
	Cause   error
}

func (e *MoveError) Error() string {
	return "KV cache not moved, " + e.Side + " failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MoveError) Unwrap() error { return e.Cause }

// Fetch copies the KV cache of a chat from another engine to this one and returns the number of
// bytes. The cache is streamed and not held in memory. Only ctx limits the duration. Errors are
// *MoveError.
func (h *HTTPClient) Fetch(ctx context.Context, source *HTTPClient, chat string) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, length, err := source.export(ctx, chat)
	if err != nil {
		return 0, err
	}
	defer body.Close()
	reader := &exportReader{source: body, limit: h.options.MaxKVBytes}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.control.URL("/v1/kv/import"), reader)
	if err != nil {
		return 0, &MoveError{Side: "import", Cause: err}
	}
	r.ContentLength = length
	r.Header.Set("Content-Type", "application/octet-stream")
	resp, failure := h.control.Do(r, "", true)
	if exportErr := reader.exportErr(); exportErr != nil {
		if failure == nil {
			resp.Body.Close()
		}
		return reader.bytesRead(), &MoveError{Side: "export", Cause: exchange.NewError(ctx, exportErr, true)}
	}
	if failure != nil {
		return reader.bytesRead(), &MoveError{Side: "import", Cause: failure}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return reader.bytesRead(), &MoveError{Side: "import", Cause: exchange.NewStatusError(resp)}
	}
	resp.Body.Close()
	return reader.bytesRead(), nil
}

// export starts to export the KV cache of a chat. The length is -1 if the engine sends chunks.
func (h *HTTPClient) export(ctx context.Context, chat string) (io.ReadCloser, int64, error) {
	body := marshal(exportRequest{Chat: chat})
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
		return nil, 0, &MoveError{Side: "export", Missing: missing, Cause: exchange.NewStatusError(resp)}
	}
	if exchange.EndsWithConnection(resp) {
		resp.Body.Close()
		return nil, 0, &MoveError{Side: "export", Cause: errKVUnframed}
	}
	if resp.ContentLength > h.options.MaxKVBytes {
		resp.Body.Close()
		return nil, 0, &MoveError{Side: "export", Cause: errKVTooLarge}
	}
	return resp.Body, resp.ContentLength, nil
}
