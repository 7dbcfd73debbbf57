package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/shedhoist/shedhoist/internal/body"
	"github.com/shedhoist/shedhoist/internal/netx"
)

// Call is a request to a plain service.
type Call struct {
	Target           string
	Address          string
	Method           string
	Path             string // including the query
	Header           http.Header
	Body             []byte
	ID               string
	EchoesID         bool
	Idempotent       bool
	MaxResponseBytes int64     // bytes
	Room             body.Room // for the response
}

// Response is the complete response of a service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// emptyBody returns a body without bytes that is not http.NoBody, so that net/http treats
// a request without a body as not replayable, whatever its method and headers.
func emptyBody() io.ReadCloser { return netx.SingleUseBody(bytes.NewReader(nil)) }

// Do sends a call once and returns the complete response, or an error that says how far
// the call got. It never sends twice: the body can't be rewound, and a call that is not
// idempotent, or goes to a service that does not echo ids, uses a connection of its own,
// so that it can't receive the response to an earlier or later call.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, nil)
	if err != nil {
		return nil, &NotSentError{Target: call.Target, Cause: err}
	}
	req.Header = call.Header.Clone()
	req.Header.Set(HeaderRequestID, call.ID)
	req.Body = emptyBody()
	if len(call.Body) > 0 {
		req.Body = netx.SingleUseBody(bytes.NewReader(call.Body))
		req.ContentLength = int64(len(call.Body))
	}
	client := c.singleUseClient
	if call.Idempotent && call.EchoesID {
		client = c.keepAliveClient
	}
	resp, sent, err := netx.Send(client, req)
	if err != nil {
		if !sent.MaybeSent {
			return nil, &NotSentError{Target: call.Target, Cause: err}
		}
		return nil, &IncompleteError{Target: call.Target, Reason: "no response", Cause: err}
	}
	defer resp.Body.Close()
	return readResponse(call, resp)
}

// readResponse reads a complete response and checks that it belongs to the call.
func readResponse(call Call, resp *http.Response) (*Response, error) {
	got := resp.Header.Get(HeaderRequestID)
	if got != call.ID && (got != "" || call.EchoesID) {
		return nil, &MismatchError{Target: call.Target, WantID: call.ID, GotID: got}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		// The body would end where the connection does, so that a complete
		// response and a truncated one look the same (RFC 9112, section 6.3).
		return nil, &IncompleteError{Target: call.Target, ResponseStarted: true, Reason: "response has no length"}
	}
	data, err := readBody(call, resp)
	if err != nil {
		return nil, &IncompleteError{Target: call.Target, ResponseStarted: true, Reason: "response is truncated, or there is no room for it", Cause: err}
	}
	if int64(len(data)) > call.MaxResponseBytes {
		return nil, &IncompleteError{Target: call.Target, ResponseStarted: true, Reason: "response exceeds " + strconv.FormatInt(call.MaxResponseBytes, 10) + " bytes"}
	}
	if resp.Header.Get(HeaderExecution) == ExecutionNotRun && resp.StatusCode >= 400 {
		return nil, &RefusedError{Target: call.Target, Status: resp.StatusCode, Reason: "documented refusal", RetryAfter: retryAfter(resp)}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}

// readBody reads the body of a response, and one byte more than a response may have if it is too large.
func readBody(call Call, resp *http.Response) ([]byte, error) {
	size := resp.ContentLength
	if size > call.MaxResponseBytes {
		size = call.MaxResponseBytes + 1
	}
	read, err := body.Read(io.LimitReader(resp.Body, call.MaxResponseBytes+1), size, call.Room)
	if err != nil {
		return nil, err
	}
	return read.Bytes()
}
