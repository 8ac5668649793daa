package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpc"
)

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Status int
	// Header is the header of the response.
	Header http.Header
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("answered with status %d; see the log of the platform's service", e.Status)
}

// DoJSON sends a request and decodes the JSON response, of at most limit bytes, into the value that
// into points to. Both body and into may be nil. It returns *StatusError, or an error from building
// the request, sending it or decoding the response.
func DoJSON(ctx context.Context, s httpc.Service, method, url string, body []byte, limit int64, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := s.DoRequest(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Header: resp.Header}
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, limit)).Decode(into)
}
