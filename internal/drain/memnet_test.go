package drain

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// memListener and memConn are a network in memory for tests under testing/synctest. They behave as
// TCP on Linux does where a stop can tell: the kernel completes handshakes before Accept, Close of
// a listener resets the connections in its queue, and Close of a connection with unread bytes
// resets it.

// stream is one direction of a connection with the receive buffer at its end.
type stream struct {
	mu       sync.Mutex
	changed  *sync.Cond
	buf      []byte
	end      error // what a read returns after the buffer; nil: the writer may go on
	closed   bool  // by the reader
	stalled  bool  // the reader's goroutine gets no processor
	deadline time.Time
}

func newStream() *stream {
	s := &stream{}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// update changes a stream and wakes its reader.
func (s *stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.changed.Broadcast()
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.closed:
			return 0, net.ErrClosed
		case s.stalled:
		case !s.deadline.IsZero() && !time.Now().Before(s.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(s.buf) > 0:
			n := copy(p, s.buf)
			s.buf = s.buf[n:]
			return n, nil
		case s.end != nil:
			return 0, s.end
		}
		s.changed.Wait()
	}
}

// memConn is one end of a connection.
type memConn struct{ in, out *stream }

func newMemConn() (client, server *memConn) {
	a, b := newStream(), newStream()
	return &memConn{in: a, out: b}, &memConn{in: b, out: a}
}

// stall makes reads wait, or lets them go on.
func (c *memConn) stall(stalled bool) { c.in.update(func() { c.in.stalled = stalled }) }

// hasUnread implements receiveBuffer.
func (c *memConn) hasUnread() (bool, error) {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return len(c.in.buf) > 0, nil
}

// Read implements net.Conn.
func (c *memConn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *memConn) Write(p []byte) (n int, err error) {
	c.out.update(func() {
		if c.out.closed || c.out.end != nil {
			err = syscall.EPIPE
			return
		}
		c.out.buf, n = append(c.out.buf, p...), len(p)
	})
	return n, err
}

// Close implements net.Conn.
func (c *memConn) Close() error {
	reset := false
	c.in.update(func() { c.in.closed, reset = true, len(c.in.buf) > 0 })
	c.out.update(func() {
		switch {
		case reset:
			c.out.buf, c.out.end = nil, syscall.ECONNRESET
		case c.out.end == nil:
			c.out.end = io.EOF
		}
	})
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *memConn) SetReadDeadline(at time.Time) error {
	c.in.update(func() { c.in.deadline = at })
	if wait := time.Until(at); wait > 0 {
		time.AfterFunc(wait, func() { c.in.update(func() {}) })
	}
	return nil
}

// SetWriteDeadline implements net.Conn; writes never wait.
func (c *memConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn.
func (c *memConn) SetDeadline(at time.Time) error { return c.SetReadDeadline(at) }

// LocalAddr implements net.Conn.
func (c *memConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *memConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// memListener is a listener whose queue is in memory.
type memListener struct {
	mu       sync.Mutex
	changed  *sync.Cond
	queue    []*memConn
	closed   bool
	silent   bool   // ignores attempts to connect
	holdAt   string // where Accept waits: inKernel, inAccept or nowhere
	deadline time.Time
}

// Points at which Accept can be held.
const (
	inKernel = "connection in the kernel's queue"
	inAccept = "connection taken from the queue, not returned by Accept"
)

func newMemListener() *memListener {
	l := &memListener{}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// update changes a listener and wakes Accept.
func (l *memListener) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.changed.Broadcast()
}

func (l *memListener) hold(at string) { l.update(func() { l.holdAt = at }) }

// dial returns both ends of a connection whose handshake is complete, or nil if it was refused.
func (l *memListener) dial() (client, server *memConn) {
	client, server = newMemConn()
	l.update(func() {
		if l.closed || l.silent {
			client, server = nil, nil
			return
		}
		l.queue = append(l.queue, server)
	})
	return client, server
}

// Accept implements net.Listener. Like net's it returns a connection that it took from the queue
// even if the listener is closed meanwhile, and none if the deadline has passed when it begins.
func (l *memListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		switch {
		case l.holdAt == inKernel: // this goroutine gets no processor
		case l.closed:
			return nil, net.ErrClosed
		case !l.deadline.IsZero() && !time.Now().Before(l.deadline):
			return nil, os.ErrDeadlineExceeded
		case len(l.queue) > 0:
			conn := l.queue[0]
			l.queue = l.queue[1:]
			for l.holdAt == inAccept {
				l.changed.Wait()
			}
			return conn, nil
		}
		l.changed.Wait()
	}
}

// SetDeadline is that of net.TCPListener.
func (l *memListener) SetDeadline(at time.Time) error {
	l.update(func() { l.deadline = at })
	if wait := time.Until(at); wait > 0 {
		time.AfterFunc(wait, func() { l.update(func() {}) })
	}
	return nil
}

// stopHandshakes implements queue.
func (l *memListener) stopHandshakes() error {
	l.update(func() { l.silent = true })
	return nil
}

// hasQueued implements queue.
func (l *memListener) hasQueued() (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) > 0, nil
}

// Close implements net.Listener.
func (l *memListener) Close() error {
	l.update(func() {
		l.closed = true
		for _, conn := range l.queue {
			conn.out.update(func() { conn.out.buf, conn.out.end = nil, syscall.ECONNRESET })
			conn.in.update(func() { conn.in.closed = true })
		}
		l.queue = nil
	})
	return nil
}

// Addr implements net.Listener.
func (l *memListener) Addr() net.Addr { return &net.TCPAddr{} }
