package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/ports/transport"
	"hornbeamstep.example/timeline"
)

// maxResponseBytes limits the size of a response. The timeline of 340 daemons with 4,096 events
// each stays below it.
const maxResponseBytes = 512 << 20

// Client calls the operator API of one daemon. It implements Fleet.
type Client struct {
	baseURL string
	service httpc.Service
}

// NewClient returns a client of the daemon at address (ip:port). With empty files it uses HTTP
// without TLS. A returned error is an *Error.
func NewClient(address string, files settings.TLS, timeout time.Duration) (*Client, error) {
	httpTransport := http.DefaultTransport.(*http.Transport).Clone()
	httpTransport.Proxy = nil
	httpTransport.DialContext = transport.Dial(&net.Dialer{})
	scheme := "http"
	if files != (settings.TLS{}) {
		config, err := readTLS(files)
		if err != nil {
			return nil, err
		}
		httpTransport.TLSClientConfig = config
		scheme = "https"
	}
	return &Client{
		baseURL: scheme + "://" + address,
		service: transport.New("operator", &http.Client{Transport: httpTransport, Timeout: timeout}),
	}, nil
}

// Status implements Fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/v1/status", nil)
}

// Backends implements Fleet.
func (c *Client) Backends(ctx context.Context) ([]Backend, error) {
	return get[[]Backend](ctx, c, "/v1/backends", nil)
}

// Drain implements Fleet.
func (c *Client) Drain(ctx context.Context, target Target) (Drained, error) {
	return post[Drained](ctx, c, "/v1/drain", target)
}

// Undrain implements Fleet.
func (c *Client) Undrain(ctx context.Context, target Target) (Drained, error) {
	return post[Drained](ctx, c, "/v1/undrain", target)
}

// Where implements Fleet.
func (c *Client) Where(ctx context.Context, query Query) (Where, error) {
	values := url.Values{"chat": {query.Chat}, "model": {query.Model}, "adapter": {query.Adapter}, "account": {query.Account}}
	return get[Where](ctx, c, "/v1/where", values)
}

// Top implements Fleet.
func (c *Client) Top(ctx context.Context, limit int) (Top, error) {
	return get[Top](ctx, c, "/v1/top", url.Values{"limit": {strconv.Itoa(limit)}})
}

// Orders implements Fleet.
func (c *Client) Orders(ctx context.Context) ([]Order, error) {
	return get[[]Order](ctx, c, "/v1/orders", nil)
}

// Quarantine implements Fleet.
func (c *Client) Quarantine(ctx context.Context) ([]Quarantined, error) {
	return get[[]Quarantined](ctx, c, "/v1/quarantine", nil)
}

// Release implements Fleet.
func (c *Client) Release(ctx context.Context, fingerprint string) error {
	_, err := post[wireRelease](ctx, c, "/v1/quarantine/release", wireRelease{Fingerprint: fingerprint})
	return err
}

// Timeline implements Fleet.
func (c *Client) Timeline(ctx context.Context, filter timeline.Filter) (Timeline, error) {
	values := url.Values{"request": {filter.Request}, "chat": {filter.Chat}, "limit": {strconv.Itoa(filter.Limit)}}
	if !filter.Since.IsZero() {
		values.Set("since", filter.Since.Format(time.RFC3339Nano))
	}
	return get[Timeline](ctx, c, "/v1/timeline", values)
}

// InForce implements Fleet.
func (c *Client) InForce(ctx context.Context, revision int64) (InForce, error) {
	return get[InForce](ctx, c, "/v1/inforce", url.Values{"revision": {strconv.FormatInt(revision, 10)}})
}

// Doctor implements Fleet.
func (c *Client) Doctor(ctx context.Context) ([]Check, error) {
	return get[[]Check](ctx, c, "/v1/doctor", nil)
}

func get[A any](ctx context.Context, c *Client, path string, values url.Values) (A, error) {
	var result A
	err := c.call(ctx, http.MethodGet, path+"?"+values.Encode(), nil, &result)
	return result, err
}

func post[A any](ctx context.Context, c *Client, path string, payload any) (A, error) {
	var result A
	body, err := json.Marshal(payload)
	if err != nil {
		return result, err
	}
	err = c.call(ctx, http.MethodPost, path, body, &result)
	return result, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.service.DoRequest(request)
	if err != nil {
		return c.unreachable(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return c.unreachable(err)
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, content)
	}
	if err := json.Unmarshal(content, result); err != nil {
		return &Error{Code: Internal, Message: "cannot decode the response: " + err.Error(), Remedy: "use the same version of hornbeamctl and hornbeamd", Cause: err}
	}
	return nil
}

func (c *Client) unreachable(err error) error {
	return &Error{
		Code:    Unavailable,
		Message: fmt.Sprintf("router at %s does not answer: %v", c.baseURL, err),
		Remedy:  "check the address, the TLS files and that the router runs, or use the address of another router",
		Cause:   err,
	}
}

// responseError returns the error that a response body describes. Responses that the server's HTTP
// library generates, such as on a timeout, contain no error object; the error is then derived from
// the status.
func responseError(status int, content []byte) error {
	var failed wireFailure
	if json.Unmarshal(content, &failed) == nil && failed.Error.Code != "" {
		return &Error{Code: failed.Error.Code, Message: failed.Error.Message, Remedy: failed.Error.Remedy}
	}
	// The server's net/http responds with this text to a plain HTTP request on a TLS port.
	if status == http.StatusBadRequest && bytes.Contains(content, []byte("HTTP request to an HTTPS server")) {
		return &Error{
			Code: Unauthenticated, Message: "the router requires a client certificate from operators",
			Remedy: "set --tls-cert, --tls-key and --tls-ca to your certificate, its key and the CA certificate of the routers",
		}
	}
	code := Internal
	if status == http.StatusServiceUnavailable {
		code = Unavailable
	}
	return &Error{Code: code, Message: fmt.Sprintf("router answered with status %d", status), Remedy: "repeat the call, or check the log of the daemon"}
}
