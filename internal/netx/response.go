package netx

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"

	"github.com/shedhoist/shedhoist/internal/metric"
)

// InvalidResponseError reports a response that has no meaning in HTTP, so that nothing of it may be passed on.
type InvalidResponseError struct {
	Status int // as it was sent, or unknownStatus
	Reason string
}

// Error implements error.
func (e *InvalidResponseError) Error() string {
	if e.Status == unknownStatus {
		return "invalid response: " + e.Reason
	}
	return "invalid response with status " + strconv.Itoa(e.Status) + ": " + e.Reason
}

// unknownStatus is the status of a response that could not be read.
const unknownStatus = -1

// Least and largest status code of a final response (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// maxReason is how many bytes a reason may have: it may quote what the server sent.
const maxReason = 200

// invalid returns an *InvalidResponseError and counts it.
func invalid(status int, reason string) error {
	metric.InvalidResponses.Inc()
	return &InvalidResponseError{Status: status, Reason: reason[:min(len(reason), maxReason)]}
}

// IsInvalidResponse reports whether an error is that of a response that has no meaning in HTTP.
func IsInvalidResponse(err error) bool {
	_, ok := errors.AsType[*InvalidResponseError](err)
	return ok
}

// asInvalid returns an *InvalidResponseError for an error of net/http that reports a malformed field in a head or trailer, and
// any other error as it is.
func asInvalid(status int, err error) error {
	if malformed, ok := errors.AsType[textproto.ProtocolError](err); ok {
		return invalid(status, malformed.Error())
	}
	return err
}

// checkResponse returns an *InvalidResponseError for a response that net/http reads and that is none in HTTP/1. A server's
// handler that passes such a status on panics, or tells its client that the connection now has another protocol.
func checkResponse(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return invalid(resp.StatusCode, "no switch of protocols was requested")
	case resp.StatusCode < minFinalStatus || resp.StatusCode > maxFinalStatus:
		return invalid(resp.StatusCode, "HTTP has no such final status")
	case resp.ProtoMajor != 1:
		return invalid(resp.StatusCode, "its version is "+strconv.Quote(resp.Proto))
	}
	return checkNames(resp.StatusCode, resp.Header)
}

// checkNames returns an *InvalidResponseError if a name in a head or trailer is none. net/http refuses names with control bytes
// and takes those with blanks for names of their own, so that it ignores "Content-Length " when it looks for the body's end.
func checkNames(status int, fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return invalid(status, "it has a field "+strconv.Quote(name))
		}
	}
	return nil
}

// trailerCheckedBody is the body of a response in chunks. Its Read returns an *InvalidResponseError in place of io.EOF if the
// trailer is none in HTTP.
type trailerCheckedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *trailerCheckedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, asInvalid(b.resp.StatusCode, err)
	}
	if invalid := checkNames(b.resp.StatusCode, b.resp.Trailer); invalid != nil {
		return n, invalid
	}
	return n, io.EOF
}

// minHeadBytes is the size of the smallest head of a response: "HTTP/1.1 100 \r\n\r\n".
const minHeadBytes = 17

// Transport is an http.Transport that returns an *InvalidResponseError in place of a response that is none in HTTP, or in
// place of the end of its body if its trailer is none, and an *AbruptEndError in place of an end that no one can rely on. Only
// NewTransport returns valid ones.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	rt := &roundTrip{sent: make(chan struct{})}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), rt.trace())))
	if err != nil {
		return nil, asInvalid(unknownStatus, err)
	}
	if err := checkResponse(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	switch {
	case len(resp.TransferEncoding) > 0:
		resp.Body = &trailerCheckedBody{ReadCloser: resp.Body, resp: resp}
	case resp.ContentLength < 0:
		rt.verifyBodyEnd()
	}
	return resp, nil
}

// roundTrip follows a request through net/http.
type roundTrip struct {
	conn          atomic.Pointer[VerifiedConn] // that carries it
	sent          chan struct{}                // closed once it is written
	sentOnce      sync.Once
	informational int // bytes of the heads of informational responses, about
}

// trace returns what net/http reports to.
func (rt *roundTrip) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: rt.gotConn, WroteRequest: rt.wroteRequest, Got1xxResponse: rt.gotInformational}
}

func (rt *roundTrip) gotConn(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*VerifiedConn); ok {
		rt.conn.Store(conn)
	}
}

// wroteRequest notes that the request is written. If that fails, net/http closes the connection. Of a body of unknown length
// net/http still holds the last bytes, which it writes at once.
func (rt *roundTrip) wroteRequest(info httptrace.WroteRequestInfo) {
	if info.Err == nil {
		rt.sentOnce.Do(func() { close(rt.sent) })
	}
}

// gotInformational returns an *InvalidResponseError, which ends the request, for an informational response that is none in
// HTTP. It limits the heads of all of them together: net/http does so only where nobody looks at them.
func (rt *roundTrip) gotInformational(status int, fields textproto.MIMEHeader) error {
	rt.informational += headBytes(fields)
	if rt.informational > maxResponseHeaderBytes {
		return invalid(status, "the informational responses before it are too long")
	}
	return checkNames(status, http.Header(fields))
}

// headBytes returns about how many bytes the head of a response has.
func headBytes(fields textproto.MIMEHeader) int {
	n := minHeadBytes
	for name, values := range fields {
		for _, value := range values {
			n += len(name) + len(": ") + len(value) + len("\r\n")
		}
	}
	return n
}

// verifyBodyEnd makes a body whose end is that of its connection end only once the request was delivered: a server that
// resets the connection instead may have sent a part of the body.
func (rt *roundTrip) verifyBodyEnd() {
	if conn := rt.conn.Load(); conn != nil {
		conn.awaitSent(rt.sent)
	}
}
