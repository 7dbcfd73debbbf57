package netx

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"
)

// TransportOptions configures a transport.
type TransportOptions struct {
	ConnectTimeout time.Duration // limit on connection setup, unless Dial is set
	MaxIdlePerHost int           // idle connections kept per host; 0: none, each request opens its own
	IdleTimeout    time.Duration // how long an idle connection is kept; 0: until the other side closes it

	Dial DialFunc // opens connections; nil: as Dialer's do
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// maxResponseHeaderBytes is the maximum size of a response header.
const maxResponseHeaderBytes = 64 << 10

// NewTransport returns a transport that does not request compression and ignores the proxy settings of the environment. It
// verifies the ends of its connections, see VerifyEnd, and returns an *InvalidResponseError in place of a response that is
// none in HTTP. All clients of other processes use one.
func NewTransport(o TransportOptions) *Transport {
	if o.Dial == nil {
		o.Dial = Dialer(o.ConnectTimeout).DialContext
	}
	return &Transport{&http.Transport{DialContext: verifyingDial(o.Dial), DisableCompression: true, DisableKeepAlives: o.MaxIdlePerHost == 0,
		MaxIdleConnsPerHost: o.MaxIdlePerHost, IdleConnTimeout: o.IdleTimeout, MaxResponseHeaderBytes: maxResponseHeaderBytes}}
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
	case resp.Body == http.NoBody: // net/http may have kept the connection already
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
