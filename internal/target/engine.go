package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"iter"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"github.com/shedhoist/shedhoist/internal/netx"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Limits on the size of responses from an engine.
const (
	maxEventBytes           = 1 << 20 // one event of a stream
	maxControlResponseBytes = 4 << 20 // response to a status, event, order or export call
	maxErrorBodyBytes       = 64 << 10
)

// Client sends requests to engines and services.
type Client struct {
	keepAliveClient *http.Client // reuses connections; only for targets that echo request ids
	singleUseClient *http.Client // opens a connection for each request
}

// NewClient returns a client whose connection setup is limited to connectTimeout.
func NewClient(connectTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	keepAlive := netx.NewTransport(netx.TransportOptions{Dial: dialer.DialContext, MaxIdlePerHost: 256, IdleTimeout: 30 * time.Second})
	singleUse := netx.NewTransport(netx.TransportOptions{Dial: dialer.DialContext})
	return &Client{keepAliveClient: &http.Client{Transport: keepAlive, CheckRedirect: netx.NoRedirect},
		singleUseClient: &http.Client{Transport: singleUse, CheckRedirect: netx.NoRedirect}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.keepAliveClient.CloseIdleConnections()
	c.singleUseClient.CloseIdleConnections()
}

// Body is a request body in parts, which saves copying a long prompt to insert it between
// other members.
type Body []string

// size returns the total length in bytes.
func (b Body) size() int64 {
	n := 0
	for _, part := range b {
		n += len(part)
	}
	return int64(n)
}

// reader returns a reader that net/http can't replay.
func (b Body) reader() io.Reader { return netx.SingleUseBody(&partsReader{parts: b}) }

// partsReader reads the parts in order and releases each one once it is read.
type partsReader struct{ parts []string }

// Read implements io.Reader.
func (r *partsReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) && len(r.parts) > 0 {
		copied := copy(p[n:], r.parts[0])
		n += copied
		if r.parts[0] = r.parts[0][copied:]; r.parts[0] == "" {
			r.parts = r.parts[1:]
		}
	}
	if n == 0 && len(r.parts) == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Run is a run request to an engine.
type Run struct {
	Target   string // name, for error messages
	Address  string // host:port
	Path     string // "/v1/completions" or "/v1/chat/completions"
	ID       string
	Body     Body
	Deadline time.Time
	Now      time.Time // current time; the engine is sent the time from Now to Deadline
}

// Chunk is one event of the response stream of a run.
type Chunk struct {
	Data         string // JSON as received
	Text         string // text that this event adds
	FinishReason string // "" until the run ends
	Usage        *Usage // set only on the usage event
}

// Stream is the response stream of a run in progress.
type Stream struct {
	target string
	resp   *http.Response
	next   func() (sse.Event, error, bool)
	stop   func()
	cancel context.CancelFunc
	done   bool
}

// Start sends a run request and waits for the response header.
func (c *Client) Start(ctx context.Context, r Run) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+r.Path, r.Body.reader())
	if err != nil {
		cancel()
		return nil, &NotSentError{Target: r.Target, Cause: err}
	}
	req.ContentLength = r.Body.size()
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(HeaderRequestID, r.ID)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(r.Deadline.Sub(r.Now).Milliseconds(), 10))
	resp, sent, err := netx.Send(c.keepAliveClient, req)
	if err != nil {
		cancel()
		if !sent.MaybeSent {
			return nil, &NotSentError{Target: r.Target, Cause: err}
		}
		return nil, &IncompleteError{Target: r.Target, Reason: "no response", Cause: err}
	}
	if err := checkResponse(r, resp); err != nil {
		cancel()
		resp.Body.Close()
		return nil, err
	}
	next, stop := iter.Pull2(sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return &Stream{target: r.Target, resp: resp, next: next, stop: stop, cancel: cancel}, nil
}

// checkResponse checks that a response belongs to the run and has status 200. The type of
// the error tells what is known of the run, see RefusedError, RejectedError and
// IncompleteError.
func checkResponse(r Run, resp *http.Response) error {
	if got := resp.Header.Get(HeaderRequestID); got != r.ID {
		return &MismatchError{Target: r.Target, WantID: r.ID, GotID: got}
	}
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes+1))
	if resp.Header.Get(HeaderExecution) == ExecutionNotRun {
		return &RefusedError{Target: r.Target, Status: resp.StatusCode, Reason: gjson.GetBytes(body, "error.message").String(),
			RetryAfter: retryAfter(resp)}
	}
	if err == nil && len(body) > maxErrorBodyBytes {
		return &IncompleteError{Target: r.Target, Reason: "response exceeds " + strconv.Itoa(maxErrorBodyBytes) + " bytes"}
	}
	if err == nil && resp.StatusCode >= 400 && resp.StatusCode < 500 {
		return &RejectedError{Target: r.Target, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	}
	return &IncompleteError{Target: r.Target, Reason: "status " + strconv.Itoa(resp.StatusCode), Cause: err}
}

// retryAfter returns the delay of a Retry-After header in seconds (RFC 9110, section
// 10.2.3), or 0 if there is none.
func retryAfter(resp *http.Response) time.Duration {
	n, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return wait.RetryAfter(float64(n))
}

// terminator is the last event of every complete stream (OpenAI API reference, "Streaming").
const terminator = "[DONE]"

// Next returns the next event. It returns io.EOF only after the terminator; if the stream
// ends without it, the error is an *IncompleteError.
func (s *Stream) Next() (Chunk, error) {
	if s.done {
		return Chunk{}, io.EOF
	}
	ev, err, ok := s.next()
	if !ok || err != nil {
		return Chunk{}, &IncompleteError{Target: s.target, ResponseStarted: true, Reason: "stream ended without terminator", Cause: err}
	}
	if ev.Data == terminator {
		s.done = true
		s.drain()
		return Chunk{}, io.EOF
	}
	return parseChunk(s.target, ev.Data)
}

// drain reads to the end of the body, so that the connection can be reused.
func (s *Stream) drain() {
	for {
		if _, err, ok := s.next(); !ok || err != nil {
			return
		}
	}
}

// parseChunk parses an event in one pass over its members.
func parseChunk(target, data string) (Chunk, error) {
	fail := func(reason string) (Chunk, error) {
		return Chunk{}, &IncompleteError{Target: target, ResponseStarted: true, Reason: reason}
	}
	if !gjson.Valid(data) {
		return fail("event is not valid JSON")
	}
	c := Chunk{Data: data}
	var choice, usage, errorMember gjson.Result
	gjson.Parse(data).ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "choices":
			choice = v.Get("0")
		case "usage":
			usage = v
		case "error":
			errorMember = v
		}
		return true
	})
	if errorMember.Exists() {
		return fail("the engine reported an error")
	}
	choice.ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "text":
			c.Text += v.String()
		case "delta":
			c.Text += v.Get("content").String()
		case "finish_reason":
			c.FinishReason = v.String()
		}
		return true
	})
	if usage.IsObject() {
		c.Usage = &Usage{}
		if err := json.Unmarshal([]byte(usage.Raw), c.Usage); err != nil {
			return fail("usage member is malformed")
		}
	}
	return c, nil
}

// Close ends the exchange. If the run is not complete, closing its connection cancels it
// at the engine.
func (s *Stream) Close() {
	s.stop()
	s.cancel()
	s.resp.Body.Close()
}

// Status requests the status report of an engine.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	var out Status
	return out, c.call(ctx, http.MethodGet, address, "/status", nil, &out)
}

// Events requests the cache events of an engine after sequence number after.
func (c *Client) Events(ctx context.Context, address string, after uint64) (Events, error) {
	var out Events
	return out, c.call(ctx, http.MethodGet, address, "/events?after="+strconv.FormatUint(after, 10), nil, &out)
}

// Order sends an order and returns the status after it.
func (c *Client) Order(ctx context.Context, address string, o Order) (Status, error) {
	var out Status
	return out, c.call(ctx, http.MethodPost, address, "/orders", encode(o), &out)
}

// Export asks an engine to save a chain of cache blocks to a store.
func (c *Client) Export(ctx context.Context, address string, e Export) (ExportResult, error) {
	var out ExportResult
	return out, c.call(ctx, http.MethodPost, address, "/kv/export", encode(e), &out)
}

// call sends a control request and decodes the JSON response into out. Status 412 is that
// of an order with an outdated fencing token.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte, out any) error {
	fail := func(status int, err error) error {
		return &CallError{Target: address, Path: path, Status: status, Cause: err}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, netx.SingleUseBody(bytes.NewReader(body)))
	if err != nil {
		return fail(0, err)
	}
	req.ContentLength = int64(len(body))
	if body == nil {
		req.Body = nil
	}
	resp, err := c.keepAliveClient.Do(req)
	if err != nil {
		return fail(0, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlResponseBytes))
	if err != nil {
		return fail(resp.StatusCode, err)
	}
	if resp.StatusCode == http.StatusPreconditionFailed {
		return &StaleOrderError{Target: address, HighestToken: gjson.GetBytes(data, "fence").Uint()}
	}
	if resp.StatusCode != http.StatusOK {
		return fail(resp.StatusCode, nil)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fail(resp.StatusCode, err)
	}
	return nil
}
