package drain

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/shedhoist/shedhoist/internal/netx"
)

// trackedConn is a connection that counts the bytes read from it, and the read deadlines set on it.
type trackedConn struct {
	net.Conn

	mu         sync.Mutex
	bytesRead  int64
	deadlines  int64 // calls of SetReadDeadline
	readsEnded bool  // by endReads, and no bytes have arrived since

	unackedTimeout time.Duration // 0: netx.UnackedTimeout
}

// lateHeaderTime is how long the rest of a header may take whose first part crossed endReads.
const lateHeaderTime = time.Second

// count returns the number of bytes read.
func (c *trackedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesRead
}

// deadlineCount returns how often a read deadline was set.
func (c *trackedConn) deadlineCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadlines
}

// SetReadDeadline implements net.Conn.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadlines++
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// UnackedBytes returns how many written bytes the caller of a request has not acknowledged, or false if the
// connection is not of the kernel, or closed.
func UnackedBytes(r *http.Request) (int, bool) {
	conn, _ := r.Context().Value(connContextKey{}).(net.Conn)
	tracked := trackedConnOf(conn)
	if tracked == nil {
		return 0, false
	}
	raw, ok := tracked.Conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	n, err := netx.UnackedBytes(raw)
	return n, err == nil
}

// SetUnackedTimeout sets for how long the caller of a request may read nothing until the kernel closes the
// connection. It has no effect on a connection that is not of the kernel.
func SetUnackedTimeout(r *http.Request, d time.Duration) error {
	conn, _ := r.Context().Value(connContextKey{}).(net.Conn)
	if tracked := trackedConnOf(conn); tracked != nil {
		return tracked.setUnackedTimeout(d)
	}
	return nil
}

// ResetOnClose makes the close of a request's connection reset it, see netx.ResetOnClose.
func ResetOnClose(r *http.Request) {
	if conn, ok := r.Context().Value(connContextKey{}).(net.Conn); ok {
		netx.ResetOnClose(conn)
	}
}

func (c *trackedConn) setUnackedTimeout(d time.Duration) error {
	raw, ok := c.Conn.(syscall.Conn)
	c.mu.Lock()
	changed := d != cmp.Or(c.unackedTimeout, netx.UnackedTimeout)
	c.unackedTimeout = d
	c.mu.Unlock()
	if !ok || !changed {
		return nil
	}
	return netx.SetUnackedTimeout(raw, d)
}

// endReads makes reads fail. Bytes that a Read has already received from the kernel are a part of
// a request, which shall be refused with a response: they lift the end again.
func (c *trackedConn) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsEnded = true
	interruptRead(c.Conn)
}

// keepReadsEnded repeats the effect of endReads, unless it was lifted.
func (c *trackedConn) keepReadsEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readsEnded {
		interruptRead(c.Conn)
	}
}

// interruptRead makes the current and later reads fail. An error means that the connection is closed.
func interruptRead(conn net.Conn) { _ = conn.SetReadDeadline(time.Unix(1, 0)) }

// trackedConnOf returns the trackedConn that conn is, or that it wraps, as a tls.Conn does; nil: none.
func trackedConnOf(conn net.Conn) *trackedConn {
	for {
		if tracked, ok := conn.(*trackedConn); ok {
			return tracked
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
}

// NetConn returns the connection of the kernel.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytesRead += int64(n)
	if n > 0 && c.readsEnded {
		c.readsEnded = false
		_ = c.Conn.SetReadDeadline(time.Now().Add(lateHeaderTime)) // an error means that it is closed
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, which net/http uses to send without a copy.
func (c *trackedConn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(c.Conn, r) }

// CloseWrite closes the sending direction, where the connection can. net/http does so before it
// closes a connection whose caller is still sending.
func (c *trackedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// receiveBuffer is what the kernel holds of a connection.
type receiveBuffer interface {
	// hasUnread reports whether there are bytes that were not read yet.
	hasUnread() (bool, error)
}

// tcpReceiveBuffer implements receiveBuffer.
type tcpReceiveBuffer struct{ syscall.Conn }

func (b tcpReceiveBuffer) hasUnread() (bool, error) { return netx.Readable(b.Conn) }

// receiveBufferOf returns the receive buffer of a connection; nil: the kernel holds nothing for it.
func receiveBufferOf(conn net.Conn) receiveBuffer {
	switch conn := conn.(type) {
	case receiveBuffer:
		return conn
	case syscall.Conn:
		return tcpReceiveBuffer{conn}
	}
	return nil
}

// hasUnread reports whether the caller has sent bytes that were not read yet.
func (c *trackedConn) hasUnread() bool {
	buffer := receiveBufferOf(c.Conn)
	if buffer == nil {
		return false
	}
	unread, err := buffer.hasUnread()
	return err == nil && unread // an error means that the connection is closed
}
