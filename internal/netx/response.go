package netx

import (
	"net/http"
	"strconv"

	"github.com/shedhoist/shedhoist/internal/metric"
)

// InvalidResponseError reports a response that has no meaning in HTTP, so that nothing of it may be passed on.
type InvalidResponseError struct {
	Status int // as it was sent
	Reason string
}

// Error implements error.
func (e *InvalidResponseError) Error() string {
	return "invalid response with status " + strconv.Itoa(e.Status) + ": " + e.Reason
}

// Least and largest status code of a final response (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// checkResponse returns an *InvalidResponseError for a response that net/http reads and that is none in HTTP/1. A server's
// handler that passes such a status on panics, or tells its client that the connection now has another protocol.
func checkResponse(resp *http.Response) error {
	reason := ""
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		reason = "no switch of protocols was requested"
	case resp.StatusCode < minFinalStatus || resp.StatusCode > maxFinalStatus:
		reason = "HTTP has no such final status"
	case resp.ProtoMajor != 1:
		reason = "its version is " + strconv.Quote(resp.Proto)
	default:
		return nil
	}
	metric.InvalidResponses.Inc()
	return &InvalidResponseError{Status: resp.StatusCode, Reason: reason}
}

// Transport is an http.Transport that returns an *InvalidResponseError in place of a response that is none in HTTP. Only
// NewTransport returns valid ones.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
