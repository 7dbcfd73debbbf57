package netx

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// AbruptEndError reports a connection that ended after it had failed: what was read before the end may be a part.
type AbruptEndError struct {
	Cause error // what failed; nil: the kernel says that the connection was reset
}

// Error implements error.
func (e *AbruptEndError) Error() string {
	if e.Cause == nil {
		return "connection was reset"
	}
	return "connection ended after a failure: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AbruptEndError) Unwrap() error { return e.Cause }

// VerifyEnd returns a connection whose Read returns io.EOF only if the peer has ended its bytes, and an *AbruptEndError in
// its place if the connection has failed. A response without a length is whole if its connection ends (RFC 9112, section
// 6.3), but Linux reports a reset only once: if Write takes the error, Read sees an ordinary end.
func VerifyEnd(conn net.Conn) net.Conn { return &verifiedConn{Conn: conn} }

// verifyingDial returns a function that dials a connection and verifies its end.
func verifyingDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return VerifyEnd(conn), nil
	}
}

type verifiedConn struct {
	net.Conn
	writeErr atomic.Pointer[error] // the first; nil: none
}

// NetConn returns the wrapped connection.
func (c *verifiedConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *verifiedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Read implements net.Conn.
func (c *verifiedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.verifyEnd()
	}
	return n, err
}

// verifyEnd returns io.EOF, or the error that takes its place. A Write that has taken the kernel's error may not have
// returned yet, so that the state of the connection is looked at too.
func (c *verifiedConn) verifyEnd() error {
	if failed := c.writeErr.Load(); failed != nil {
		return &AbruptEndError{Cause: *failed}
	}
	if tcp, ok := unwrap(c.Conn).(*net.TCPConn); ok && isReset(tcp) {
		return &AbruptEndError{}
	}
	return io.EOF
}

// tcpClose is the state of a connection that was reset or timed out, TCP_CLOSE in include/net/tcp_states.h of Linux. One
// whose peer has ended its bytes, and that is not closed here, is in TCP_CLOSE_WAIT.
const tcpClose = 7

// isReset reports whether a connection that is at its end was reset, has timed out, or is closed here.
func isReset(conn *net.TCPConn) bool {
	var info *unix.TCPInfo
	err := control(conn, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return err != nil || info.State == tcpClose
}
