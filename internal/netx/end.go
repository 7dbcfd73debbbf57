package netx

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

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
func VerifyEnd(conn net.Conn) net.Conn { return newVerifiedConn(conn) }

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
	failOnce sync.Once
	failure  error           // of a write, or net.ErrClosed; valid once failed is closed
	failed   chan struct{}   // closed once a write has failed or the connection is closed
	sent     <-chan struct{} // see awaitSent; nil: not awaited
}

func newVerifiedConn(conn net.Conn) *verifiedConn {
	return &verifiedConn{Conn: conn, failed: make(chan struct{})}
}

// awaitSent makes Read return io.EOF only once sent is closed, the peer has acknowledged all that was written, and the
// connection has not failed until then. A peer that ends its bytes and resets the connection later, while it is still being
// written to, may have ended them midway. It must not be called while Read may reach the end.
func (c *verifiedConn) awaitSent(sent <-chan struct{}) { c.sent = sent }

// fail records the first failure.
func (c *verifiedConn) fail(err error) {
	c.failOnce.Do(func() {
		c.failure = err
		close(c.failed)
	})
}

// NetConn returns the wrapped connection.
func (c *verifiedConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *verifiedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.fail(err)
	}
	return n, err
}

// Close implements net.Conn.
func (c *verifiedConn) Close() error {
	c.fail(net.ErrClosed)
	return c.Conn.Close()
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
	tcp, _ := unwrap(c.Conn).(*net.TCPConn)
	if c.sent != nil {
		c.awaitDelivery(tcp)
	}
	select {
	case <-c.failed:
		return &AbruptEndError{Cause: c.failure}
	default:
	}
	if tcp != nil && isReset(tcp) {
		return &AbruptEndError{}
	}
	return io.EOF
}

// ackPollInterval is the time between two looks at what the peer has acknowledged, of which the kernel sends no notice.
const ackPollInterval = time.Millisecond

// awaitDelivery waits until all is sent and acknowledged, or the connection has failed. If tcp is nil, it does not wait for
// acknowledgements.
func (c *verifiedConn) awaitDelivery(tcp *net.TCPConn) {
	select {
	case <-c.sent:
	case <-c.failed:
		return
	}
	for tcp != nil && !isReset(tcp) {
		if n, err := UnackedBytes(tcp); err != nil || n == 0 {
			return // an error: the connection is closed
		}
		select {
		case <-time.After(ackPollInterval):
		case <-c.failed:
			return
		}
	}
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
