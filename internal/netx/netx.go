// Package netx holds connection code that network clients and servers share:
// dialers and listeners that detect unresponsive peers, HTTP transports, and request
// bodies that net/http can't replay.
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

// Limits that detect an unresponsive peer. A machine that lost power sends nothing, and
// without these limits a write to it blocks for minutes.
const (
	// keepAliveIdle, keepAliveInterval (whole seconds on Linux) and keepAliveCount detect an
	// unresponsive peer on an idle connection within 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// UnackedTimeout closes a connection whose sent bytes stay unacknowledged. On Linux it also
	// ends the keep-alive probes, whatever their count, and there it counts from the last byte
	// received, so that it has to exceed keepAliveIdle by the silence that a sound peer may keep.
	// Linux also closes a connection on which the peer leaves no room for bytes for that long,
	// although it acknowledges each probe: see SetUnackedTimeout.
	UnackedTimeout = 2500 * time.Millisecond
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// setUserTimeout limits how long sent bytes may stay unacknowledged. It ignores that the
// kernel rejects the option: the keep-alive probes still work without it.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout.Milliseconds()))
	})
}

// UnackedBytes returns how many written bytes the peer has not acknowledged.
func UnackedBytes(c syscall.Conn) (n int, err error) {
	err = control(c, func(fd int) error {
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return n, err
}

// UnreadBytes returns how many bytes the kernel holds of a connection that have not been read.
func UnreadBytes(conn net.Conn) (n int, err error) {
	raw, ok := unwrap(conn).(syscall.Conn)
	if !ok {
		return 0, syscall.ENOTSUP
	}
	err = control(raw, func(fd int) error {
		n, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err
	})
	return n, err
}

// unwrap returns the connection that others wrap, as those of crypto/tls do.
func unwrap(conn net.Conn) net.Conn {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = wrapper.NetConn()
	}
}

// SetReceiveBuffer limits how many bytes the kernel holds of a connection that have not been read, or of each connection
// that a listener accepts.
func SetReceiveBuffer(c syscall.Conn, bytes int) error {
	return control(c, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
}

// LimitReceiveBuffer limits how many bytes the kernel holds unread of each connection that a listener accepts. It has no
// effect on a listener that is not of the kernel.
func LimitReceiveBuffer(ln net.Listener, bytes int) {
	if c, ok := ln.(syscall.Conn); ok {
		_ = SetReceiveBuffer(c, bytes) // without it the kernel chooses a size
	}
}

// ResetOnClose makes the close of a connection reset it, so that its peer can't take the end of its bytes for that of a
// whole message. What was written and is not received yet may be lost. It has no effect on a connection that is not TCP.
func ResetOnClose(conn net.Conn) {
	if tcp, ok := unwrap(conn).(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
}

// SetUnackedTimeout replaces UnackedTimeout on one connection, for a peer that may read nothing for
// longer.
func SetUnackedTimeout(c syscall.Conn, d time.Duration) error {
	return control(c, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// Dialer returns a dialer that limits connection setup to timeout and detects
// unresponsive peers.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// LimitedDialer is Dialer with a limit on how many bytes the kernel holds of each connection that have not been read.
func LimitedDialer(timeout time.Duration, receiveBuffer int) *net.Dialer {
	d := Dialer(timeout)
	d.Control = func(network, address string, c syscall.RawConn) error {
		if err := setUserTimeout(network, address, c); err != nil {
			return err
		}
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) // without it the kernel chooses a size
		})
	}
	return d
}

// Listen opens a TCP listener whose connections detect unresponsive peers.
func Listen(address string) (net.Listener, error) {
	return listenTCP(net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}, address)
}

// ListenDefault opens a TCP listener with the system's defaults.
func ListenDefault(address string) (net.Listener, error) {
	return listenTCP(net.ListenConfig{}, address)
}

// listenTCP opens a listener without Multipath TCP, for which StopHandshakes fails.
func listenTCP(lc net.ListenConfig, address string) (net.Listener, error) {
	lc.SetMultipathTCP(false)
	return lc.Listen(context.Background(), "tcp", address)
}

// singleUseReader hides the concrete type of a reader, so that net/http can't rewind it
// and replay the request.
type singleUseReader struct{ r io.Reader }

// Read implements io.Reader.
func (s singleUseReader) Read(p []byte) (int, error) { return s.r.Read(p) }

// SingleUseBody returns a request body that can be sent only once.
func SingleUseBody(r io.Reader) io.ReadCloser { return io.NopCloser(singleUseReader{r}) }

// SendInfo says how a request was sent.
type SendInfo struct {
	MaybeSent bool // a connection was obtained, so bytes may have been written to it
	Reused    bool // the connection had carried earlier requests
}

// Send sends a request. The transport reports the connection before it writes to it, so
// SendInfo.MaybeSent is false only if no byte of the request was written.
func Send(hc *http.Client, req *http.Request) (resp *http.Response, info SendInfo, err error) {
	var gotConn, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(connInfo httptrace.GotConnInfo) {
		reused.Store(connInfo.Reused)
		gotConn.Store(true)
	}}
	resp, err = hc.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	return resp, SendInfo{MaybeSent: gotConn.Load(), Reused: reused.Load()}, err
}

// NoRedirect is a CheckRedirect function that returns redirects to the caller: following
// one would send the request a second time.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
