// Package netx holds what all edges share of connections: dialers and listeners
// that notice a peer which went silent, transports, and bodies that net/http
// can't send a second time by itself.
package netx

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds on a connection whose other end went silent. A machine that lost power
// answers nothing, and without them a write to it hangs for minutes.
const (
	// unackedTimeout ends a connection whose sent bytes stay unacknowledged: well
	// above a round trip (milliseconds) and one retransmission.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a dead end that nothing
	// is being sent to, within 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 4
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// setUserTimeout sets the bound on unacknowledged bytes. It is best effort: a
// kernel without the option still has the keep-alive probes.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// Dialer returns a dialer whose connects are bounded by timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen opens a TCP listener whose connections are watched for silence.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return lc.Listen(context.Background(), "tcp", address)
}

// TransportOptions are the dials of a transport.
type TransportOptions struct {
	ConnectTimeout time.Duration // bound on a connect
	MaxIdlePerHost int           // connections kept for each host; 0: none, each request gets its own
	IdleTimeout    time.Duration // how long a connection is kept unused; 0: until the other end closes it
}

// maxResponseHeaderBytes bounds the header of an answer, in bytes.
const maxResponseHeaderBytes = 64 << 10

// Transport returns a transport that neither compresses, nor follows proxies of
// the environment.
func Transport(o TransportOptions) *http.Transport {
	return &http.Transport{DialContext: Dialer(o.ConnectTimeout).DialContext, DisableCompression: true, DisableKeepAlives: o.MaxIdlePerHost == 0,
		MaxIdleConnsPerHost: o.MaxIdlePerHost, IdleConnTimeout: o.IdleTimeout, MaxResponseHeaderBytes: maxResponseHeaderBytes}
}

// singleUseReader hides the type of a reader, so that net/http finds no way to rewind it
// and can't replay the request by itself.
type singleUseReader struct{ r io.Reader }

// Read implements io.Reader.
func (b singleUseReader) Read(p []byte) (int, error) { return b.r.Read(p) }

// SingleUseBody returns a body that can be sent once only.
func SingleUseBody(r io.Reader) io.ReadCloser { return io.NopCloser(singleUseReader{r}) }

// SendInfo is how a request went out.
type SendInfo struct {
	MaybeSent bool // any byte of it may have reached a connection
	Reused    bool // that had served others before
}

// Send issues a request. The transport reports a connection as got before it writes to it.
func Send(hc *http.Client, req *http.Request) (resp *http.Response, info SendInfo, err error) {
	var gotConn, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(connInfo httptrace.GotConnInfo) {
		reused.Store(connInfo.Reused)
		gotConn.Store(true)
	}}
	resp, err = hc.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	return resp, SendInfo{MaybeSent: gotConn.Load(), Reused: reused.Load()}, err
}

// NoRedirect hands a redirect to the caller of a client: to follow it would send
// the request a second time.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
