package platformapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"hornbeamstep.example/ports/objectapi"
)

type wireObject struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

type watchResponse struct {
	Objects []wireObject `json:"objects"`
	// Next is the value of the parameter after for the next watch request.
	Next int64 `json:"next"`
}

func (s *Server) registerObjectRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.getObject)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.putObject)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.deleteObject)
	mux.HandleFunc("GET /v1/objects/{kind}", s.listObjects)
	mux.HandleFunc("GET /v1/watch/{kind}", s.watchObjects)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	o, err := s.Store.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	setETag(w, o.Version)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(o.Value)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	version, ok := parseIfMatch(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, objectapi.MaxValue+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o := objectapi.Object{Kind: r.PathValue("kind"), Name: r.PathValue("name"), Version: version, Value: value}
	version, err = s.Store.Put(r.Context(), o)
	if err != nil {
		writeError(w, err)
		return
	}
	setETag(w, version)
	w.WriteHeader(http.StatusOK)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	version, ok := parseIfMatch(w, r)
	if !ok {
		return
	}
	if err := s.Store.Delete(r.Context(), r.PathValue("kind"), r.PathValue("name"), version); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	list, err := s.Store.List(r.Context(), r.PathValue("kind"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, toWire(list))
}

func (s *Server) watchObjects(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is no version; pass the number of the last answer or 0", http.StatusBadRequest)
		return
	}
	list, next, err := s.Store.Watch(r.Context(), r.PathValue("kind"), after)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, watchResponse{Objects: toWire(list), Next: next})
}

func toWire(list []objectapi.Object) []wireObject {
	out := make([]wireObject, 0, len(list))
	for _, o := range list {
		out = append(out, wireObject{Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return out
}

// parseIfMatch returns the version in the header If-Match. If the header is missing or malformed,
// it writes an error response and returns false.
func parseIfMatch(w http.ResponseWriter, r *http.Request) (int64, bool) {
	version, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		http.Error(w, "If-Match holds no version; send 0 to create", http.StatusPreconditionRequired)
		return 0, false
	}
	return version, true
}

func setETag(w http.ResponseWriter, version int64) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(version, 10)))
}

// writeError responds with the status code for the type of err; the default is 503. An
// AmbiguousError means that the write may or may not have taken effect. For it, writeError closes
// the connection without a response.
func writeError(w http.ResponseWriter, err error) {
	var (
		conflict  *objectapi.ConflictError
		notFound  *objectapi.NotFoundError
		tooLarge  *objectapi.TooLargeError
		ambiguous *objectapi.AmbiguousError
	)
	switch {
	case errors.As(err, &ambiguous):
		panic(http.ErrAbortHandler)
	case errors.As(err, &conflict):
		setETag(w, conflict.Have)
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.As(err, &notFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.As(err, &tooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		rejectWithRetryAfter(w, http.StatusServiceUnavailable)
	}
}

func writeJSON[T any](w http.ResponseWriter, v T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
