package netx

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"

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
