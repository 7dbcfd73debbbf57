package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/shedhoist/shedhoist/internal/netx"
)

// Call is one request to a plain service.
type Call struct {
	Target           string
	Address          string
	Method           string
	Path             string // with query
	Header           http.Header
	Body             []byte
	ID               string
	EchoesID         bool
	Idempotent       bool
	MaxResponseBytes int64 // bytes
}

// Response is a service's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// emptyBody is a body without bytes that is not http.NoBody. With it net/http
// takes a request without a body as one it can't replay, whatever its method
// and headers.
func emptyBody() io.ReadCloser { return netx.SingleUseBody(bytes.NewReader(nil)) }

// Do sends a call once and returns its whole answer, or an error that says
// what is known. It never sends twice: the body can't be rewound, and a call
// that is not idempotent, or goes to a service that does not echo ids, gets a
// connection of its own, which no earlier or later answer can reach.
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
		return nil, &IncompleteError{Target: call.Target, Reason: "no answer", Cause: err}
	}
	defer resp.Body.Close()
	return readResponse(call, resp)
}

// readResponse reads a whole answer and checks that it is the call's own.
func readResponse(call Call, resp *http.Response) (*Response, error) {
	got := resp.Header.Get(HeaderRequestID)
	if got != call.ID && (got != "" || call.EchoesID) {
		return nil, &MismatchError{Target: call.Target, WantID: call.ID, GotID: got}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		// The end of the connection would be the end of the body: nothing
		// tells a whole answer from a cut one (RFC 9112, section 6.3).
		return nil, &IncompleteError{Target: call.Target, ResponseStarted: true, Reason: "answer states no length"}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, call.MaxResponseBytes+1))
	if err != nil {
		return nil, &IncompleteError{Target: call.Target, ResponseStarted: true, Reason: "answer is not whole", Cause: err}
	}
	if int64(len(body)) > call.MaxResponseBytes {
		return nil, &IncompleteError{Target: call.Target, ResponseStarted: true, Reason: "answer is over " + strconv.FormatInt(call.MaxResponseBytes, 10) + " bytes"}
	}
	if resp.Header.Get(HeaderExecution) == ExecutionNotRun && resp.StatusCode >= 400 {
		return nil, &RefusedError{Target: call.Target, Status: resp.StatusCode, Reason: "documented refusal", RetryAfter: retryAfter(resp)}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
