package modelengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// kv is an exported KV cache: the prefixes of a chat.
type kv struct {
	Chat   string  `json:"chat"`
	Prefix []block `json:"prefix"`
	// Data stands for the keys and values, with Config.KV bytes for each token.
	Data []byte `json:"data,omitempty"`
}

// maxKV is the largest KV cache that is taken, in bytes.
const maxKV = 64 << 20

// serveExport is POST /v1/kv/export.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var asked kv
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&asked); err != nil {
		http.Error(w, "the request is malformed", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	prefix, ok := e.cache.byChat[asked.Chat]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "nothing is cached for the chat", http.StatusNotFound)
		return
	}
	out := kv{Chat: asked.Chat, Prefix: prefix}
	if n := len(prefix); n > 0 {
		out.Data = make([]byte, e.config.KV*prefix[n-1].Tokens)
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.sendKV(w, data)
}

// sendKV writes an exported KV cache, with the faults of exports.
func (e *Engine) sendKV(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	half := len(data) / 2
	_, _ = w.Write(data[:half])
	switch f := e.takeKVFault(); f.Kind {
	case ExportCut:
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case ExportSlow:
		_ = http.NewResponseController(w).Flush()
		time.Sleep(f.Delay)
	}
	_, _ = w.Write(data[half:])
}

// serveImport is POST /v1/kv/import.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var given kv
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxKV)).Decode(&given); err != nil {
		http.Error(w, "the KV cache is malformed", http.StatusBadRequest)
		return
	}
	switch f := e.takeKVFault(); f.Kind {
	case ImportRefuse:
		http.Error(w, "no room for the KV cache", or(f.Code, http.StatusInsufficientStorage))
		return
	case ImportSlow:
		time.Sleep(f.Delay)
	}
	e.mu.Lock()
	e.cache.store(given.Chat, given.Prefix, time.Now())
	e.imports[given.Chat]++
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Imports returns how often the KV cache of a chat was taken, over all lives.
func (e *Engine) Imports(chat string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.imports[chat]
}
