package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/shedhoist/shedhoist/internal/netx"
)

// Client is a client of the platform's object API over HTTP (docs/STANDINS.md, "platform").
type Client struct {
	base        string
	token       string
	http        *http.Client
	callTimeout time.Duration // timeout of one request, excluding the wait of a watch
}

// DefaultCallTimeout is the timeout of one request to the platform.
const DefaultCallTimeout = 3 * time.Second

// maxListingBytes is the maximum size of the response to a list or a watch.
const maxListingBytes = 8 << 20

// NewClient returns a client of the API at base, such as "http://10.0.0.1:80". A nil httpClient selects a default.
func NewClient(base, token string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{Transport: netx.NewTransport(netx.TransportOptions{Dial: new(net.Dialer).DialContext, MaxIdlePerHost: 16, IdleTimeout: time.Minute})}
	}
	return &Client{base: strings.TrimRight(base, "/"), token: token, http: httpClient, callTimeout: DefaultCallTimeout}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	resp, body, err := c.do(ctx, request{op: "get", method: http.MethodGet, path: objectPath(key), key: key, maxBytes: MaxValue})
	if err != nil {
		return Object{}, err
	}
	if resp.StatusCode == http.StatusNotFound {
		return Object{}, &NotFoundError{Key: key}
	}
	return Object{Key: key, Version: etag(resp), Value: body}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, want Version) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	return c.write(ctx, request{op: "put", method: http.MethodPut, path: objectPath(key), key: key, body: value, wantVersion: &want})
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, want Version) error {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	_, err := c.write(ctx, request{op: "delete", method: http.MethodDelete, path: objectPath(key), key: key, wantVersion: &want})
	return err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	q := url.Values{"prefix": {prefix}}
	var out Listing
	err := c.getJSON(ctx, "list", "/v1/objects?"+q.Encode(), prefix, &out)
	return out, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.callTimeout)
	defer cancel()
	q := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(uint64(after), 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var out Listing
	err := c.getJSON(ctx, "watch", "/v1/watch?"+q.Encode(), prefix, &out)
	return out, err
}

// Machines implements Store.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	var out []Machine
	err := c.getJSON(ctx, "machines", "/v1/machines", "", &out)
	return out, err
}

// request is one request to the API.
type request struct {
	op, method, path, key string
	body                  []byte
	wantVersion           *Version
	maxBytes              int64
}

// write sends a conditional write. The outcome of any failure after the request may
// have left this machine is unknown: only a 412 or another 4xx confirms that the
// write did not happen.
func (c *Client) write(ctx context.Context, r request) (Version, error) {
	r.maxBytes = MaxValue
	resp, _, err := c.do(ctx, r)
	if err != nil {
		return 0, err
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return etag(resp), nil
	case http.StatusPreconditionFailed, http.StatusNotFound:
		return 0, &ConflictError{Key: r.key, Want: *r.wantVersion, Have: etag(resp)}
	}
	return 0, &UnavailableError{Op: r.op, Key: r.key, Status: resp.StatusCode}
}

// getJSON sends a read request and decodes the response into out. key is for errors only.
func (c *Client) getJSON(ctx context.Context, op, path, key string, out any) error {
	_, body, err := c.do(ctx, request{op: op, method: http.MethodGet, path: path, key: key, maxBytes: maxListingBytes})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &UnavailableError{Op: op, Key: key, Cause: err}
	}
	return nil
}

// do sends a request and returns the response with its body, which is closed. A status of
// 500 or above or 429 is an error; the caller checks the others.
func (c *Client) do(ctx context.Context, r request) (*http.Response, []byte, error) {
	isWrite := r.wantVersion != nil
	fail := func(status int, err error) error {
		unknown := isWrite && (status == 0 || status >= 500)
		return &UnavailableError{Op: r.op, Key: r.key, Status: status, OutcomeUnknown: unknown, Cause: err}
	}
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, nil, fail(0, err)
	}
	if isWrite {
		req.GetBody = nil // the transport must not replay a write by itself
		setCondition(req.Header, *r.wantVersion)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, fail(0, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.maxBytes+1))
	if err != nil {
		return nil, nil, fail(0, err)
	}
	if int64(len(body)) > r.maxBytes {
		return nil, nil, fail(resp.StatusCode, &TooLargeError{Key: r.key, Limit: r.maxBytes})
	}
	if resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests {
		return nil, nil, fail(resp.StatusCode, nil)
	}
	return resp, body, nil
}

// TooLargeError reports a response that exceeds its size limit, in bytes.
type TooLargeError struct {
	Key   string
	Limit int64
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return "platform: response for " + e.Key + " exceeds " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

func objectPath(key string) string {
	return "/v1/objects/" + (&url.URL{Path: key}).EscapedPath()
}

// setCondition makes a write conditional on the object's version; 0: it does not exist.
func setCondition(h http.Header, want Version) {
	if want == 0 {
		h.Set("If-None-Match", "*")
		return
	}
	h.Set("If-Match", `"`+strconv.FormatUint(uint64(want), 10)+`"`)
}

// etag returns the version in the ETag header, or 0 if it has none.
func etag(resp *http.Response) Version {
	n, err := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return 0
	}
	return Version(n)
}
