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

// VerifiedConn is a connection whose Read returns io.EOF only if the peer has ended its bytes, and an *AbruptEndError in its
// place if the connection has failed. A response without a length is whole if its connection ends (RFC 9112, section 6.3), but
// Linux reports a reset only once: if Write takes the error, Read sees an ordinary end. Use VerifyEnd.
type VerifiedConn struct {
	net.Conn
	failOnce sync.Once
	failure  error           // of a write, or net.ErrClosed; valid once failed is closed
	failed   chan struct{}   // closed once a write has failed or the connection is closed
	sent     <-chan struct{} // see awaitSent; nil: not awaited
}

// VerifyEnd returns a connection whose end is verified.
func VerifyEnd(conn net.Conn) *VerifiedConn {
	return &VerifiedConn{Conn: conn, failed: make(chan struct{})}
}

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

// awaitSent makes Read return io.EOF only once sent is closed, the peer has acknowledged all that was written, and the
// connection has not failed until then. A peer that ends its bytes and resets the connection later, while it is still being
// written to, may have ended them midway. It must not be called while Read may reach the end.
func (c *VerifiedConn) awaitSent(sent <-chan struct{}) {
	c.sent = sent
	if conn, ok := unwrap(c.Conn).(DeliveryVerifier); ok {
		go c.endWrites(conn)
	}
}

// endWrites tells a connection that all is written, once it is.
func (c *VerifiedConn) endWrites(conn DeliveryVerifier) {
	select {
	case <-c.sent:
		if err := conn.EndWrites(); err != nil {
			c.fail(err)
		}
	case <-c.failed:
	}
}

// fail records the first failure.
func (c *VerifiedConn) fail(err error) {
	c.failOnce.Do(func() {
		c.failure = err
		close(c.failed)
	})
}

// NetConn returns the wrapped connection.
func (c *VerifiedConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *VerifiedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.fail(err)
	}
	return n, err
}

// Close implements net.Conn.
func (c *VerifiedConn) Close() error {
	c.fail(net.ErrClosed)
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *VerifiedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.verifyEnd()
	}
	return n, err
}

// verifyEnd returns io.EOF, or the error that takes its place.
func (c *VerifiedConn) verifyEnd() error {
	err := c.verify()
	if err == nil && c.sent != nil {
		err = c.verifySent()
	}
	if err == nil {
		return io.EOF
	}
	return err
}

// verifySent is VerifyDelivery once all is written.
func (c *VerifiedConn) verifySent() error {
	select {
	case <-c.sent:
		return c.VerifyDelivery()
	case <-c.failed:
		return c.verify()
	}
}

// DeliveryVerifier is a connection that is told when all is written, and then knows whether its peer has received it.
type DeliveryVerifier interface {
	// EndWrites says that no Write follows. Others may use the connection meanwhile.
	EndWrites() error
	// VerifyDelivery waits until the peer has received all that was written. It returns an error if it can't receive it. It is
	// called after Read has returned io.EOF.
	VerifyDelivery() error
}

// VerifyDelivery waits until the peer has acknowledged all that was written. It returns an *AbruptEndError if the connection
// fails until then. Connections other than TCP and DeliveryVerifiers have no acknowledgements to wait for.
func (c *VerifiedConn) VerifyDelivery() error {
	switch conn := unwrap(c.Conn).(type) {
	case DeliveryVerifier:
		if err := conn.VerifyDelivery(); err != nil {
			return &AbruptEndError{Cause: err}
		}
	case *net.TCPConn:
		c.awaitAcknowledgements(conn)
	}
	return c.verify()
}

// ackPollInterval is the time between two looks at what the peer has acknowledged, of which the kernel sends no notice.
const ackPollInterval = time.Millisecond

// awaitAcknowledgements waits until the peer has acknowledged all that was written, or the connection has failed.
func (c *VerifiedConn) awaitAcknowledgements(conn *net.TCPConn) {
	for !isReset(conn) {
		if n, err := UnackedBytes(conn); err != nil || n == 0 {
			return // an error: the connection is closed
		}
		select {
		case <-time.After(ackPollInterval):
		case <-c.failed:
			return
		}
	}
}

// verify returns an *AbruptEndError if the connection has failed. A Write that has taken the kernel's error may not have
// returned yet, so that the state of the connection is looked at too.
func (c *VerifiedConn) verify() error {
	select {
	case <-c.failed:
		return &AbruptEndError{Cause: c.failure}
	default:
	}
	if tcp, ok := unwrap(c.Conn).(*net.TCPConn); ok && isReset(tcp) {
		return &AbruptEndError{}
	}
	return nil
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
