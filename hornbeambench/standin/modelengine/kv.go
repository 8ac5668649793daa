package modelengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// kvCache is the exported KV cache of a chat. It is also the body of an export request, which
// contains only Chat.
type kvCache struct {
	Chat     string       `json:"chat"`
	Prefixes []chatPrefix `json:"prefix"`
	// Data stands in for the attention keys and values. It consists of zero bytes,
	// Config.KVBytesPerToken per token.
	Data []byte `json:"data,omitempty"`
}

// maxKVBytes is the maximum size of an imported KV cache.
const maxKVBytes = 64 << 20

// serveExport handles POST /v1/kv/export.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var request kvCache
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, "the request is malformed", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	prefixes, ok := e.cache.byChat[request.Chat]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "nothing is cached for the chat", http.StatusNotFound)
		return
	}
	out := kvCache{Chat: request.Chat, Prefixes: prefixes}
	if n := len(prefixes); n > 0 {
		out.Data = make([]byte, e.config.KVBytesPerToken*prefixes[n-1].Tokens)
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.writeKV(w, data)
}

// writeKV writes an exported KV cache. It injects ExportCut and ExportSlow faults after the first
// half.
func (e *Engine) writeKV(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	half := len(data) / 2
	_, _ = w.Write(data[:half])
	switch f := e.nextKVFault(); f.Kind {
	case ExportCut:
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case ExportSlow:
		_ = http.NewResponseController(w).Flush()
		time.Sleep(f.Delay)
	}
	_, _ = w.Write(data[half:])
}

// serveImport handles POST /v1/kv/import.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var imported kvCache
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxKVBytes)).Decode(&imported); err != nil {
		http.Error(w, "the KV cache is malformed", http.StatusBadRequest)
		return
	}
	switch f := e.nextKVFault(); f.Kind {
	case ImportRefuse:
		http.Error(w, "no room for the KV cache", valueOrDefault(f.StatusCode, http.StatusInsufficientStorage))
		return
	case ImportSlow:
		time.Sleep(f.Delay)
	}
	e.mu.Lock()
	e.cache.store(imported.Chat, imported.Prefixes, time.Now())
	e.importCounts[imported.Chat]++
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// ImportCount returns the number of imports of a chat's KV cache, including those before restarts.
func (e *Engine) ImportCount(chat string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.importCounts[chat]
}
