package connlimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/buffer"
	"github.com/shedhoist/shedhoist/internal/core/eviction"
)

// progressBytes is how much has to arrive to count as progress: less than a packet, and more than a caller sends that only
// keeps its connection alive.
const progressBytes = 1 << 10

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	limiter *Limiter
	holder  *buffer.Holder

	requestHeld   atomic.Int64  // bytes that the request holds, its head included
	evictedSignal chan struct{} // closed when the connection is evicted

	mu           sync.Mutex
	phase        eviction.Phase
	progressAt   time.Time
	arrived      int64 // bytes since progressAt
	head         *head // the head that arrives, or is awaited; nil: it has been parsed
	recent       headSize
	parsedHeld   int64     // bytes of the budget for the parsed head; from beginRequest on also for what the kernel may hold of the body
	readDeadline time.Time // set by the server
	unread       int64     // bytes counted that the kernel holds
	closed       bool
	evicted      bool
	noDescriptor bool // the request was refused since others use up the descriptors
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. While a head arrives it reserves what that will cost, and fails if there is no room or the
// head is too large or too slow.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		c.beforeRead()
		n, err := c.Conn.Read(p)
		if n > 0 {
			if failure := c.received(p[:n]); failure != nil {
				return 0, failure
			}
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.headHasBegun() {
			return 0, err
		}
		if !c.hasTimeLeft() {
			return 0, c.refuseHead(headTooSlow, "too slow")
		}
	}
}

// received counts bytes that were read.
func (c *Conn) received(p []byte) error {
	size := sizeOf(p)
	c.mu.Lock()
	c.noteProgress(size.bytes)
	c.recent = c.recent.followedBy(size)
	h := c.head
	if h == nil {
		c.mu.Unlock()
		return nil
	}
	if h.begunAt.IsZero() {
		c.beginHead()
	}
	h.size = h.size.plus(size)
	tooLarge := h.size.bytes > c.limiter.headerBytes()+serverReadAhead
	missing := c.limiter.options.Costs.ofHead(h.size) + c.limiter.options.Costs.Unread - h.held
	c.mu.Unlock()
	if tooLarge {
		return c.refuseHead(headTooLarge, "too large")
	}
	if missing <= 0 {
		return nil
	}
	if !c.Reserve(missing) {
		return c.refuseHead(noRoom, "no room")
	}
	c.mu.Lock()
	h.held += missing
	c.mu.Unlock()
	return nil
}

// noteProgress counts bytes that arrived. c.mu is held.
func (c *Conn) noteProgress(n int64) {
	if c.arrived += n; c.arrived >= progressBytes {
		c.arrived, c.progressAt = 0, c.limiter.options.Now()
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *Conn) noteDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.head == nil {
		return
	}
	c.head.deadlines++
	if c.head.deadlines > idleDeadlines && c.head.begunAt.IsZero() {
		c.beginHead() // its bytes came together with the request before
	}
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// setState follows the server's use of the connection.
func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive: // the head has been parsed, or can't be
		c.endHead()
	case http.StateIdle:
		c.awaitNext()
	case http.StateClosed, http.StateHijacked:
		c.release()
	}
}

// awaitNext notes that the response has been written. The server may hold bytes of the next head, and parses them as it
// goes on.
func (c *Conn) awaitNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startHead()
	c.noDescriptor = false
	c.releaseBytes(c.parsedHeld)
	c.parsedHeld = 0
	c.head.held = c.limiter.options.Costs.ofHead(c.recent)
	c.Add(c.head.held)
	c.recent = headSize{}
}

// release ends the holding of everything.
func (c *Conn) release() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	c.holder.Release(c.holder.Held())
	c.limiter.remove(c)
}

// CloseWrite closes the sending direction, where the connection can. The server does so when it has written its last
// response, and waits then for the caller to notice. For an evicted connection, which is closed already, it panics with
// http.ErrAbortHandler: the server's goroutine ends without the wait, and releases its memory.
func (c *Conn) CloseWrite() error {
	if c.startClosing() {
		panic(http.ErrAbortHandler)
	}
	return c.closeWrite()
}

func (c *Conn) closeWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// startClosing notes that the last response has been written, and reports whether the connection is evicted.
func (c *Conn) startClosing() (evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.progressAt = eviction.Closing, c.limiter.options.Now()
	return c.evicted
}

// ReadFrom implements io.ReaderFrom, which net/http uses to send without a copy.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(c.Conn, r) }

// Evicted reports whether the connection was closed to make room for others.
func (c *Conn) Evicted() bool { return c != nil && c.isEvicted() }

func (c *Conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// candidate returns what is known of the connection for the choice of victims.
func (c *Conn) candidate(now time.Time) eviction.Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return eviction.Candidate{Phase: c.phase, Held: c.holder.Held(), Stalled: now.Sub(c.progressAt)}
}

// markEvicted notes that the connection is evicted, and returns its phase. ok is false if its request has become whole
// since it was chosen.
func (c *Conn) markEvicted() (phase eviction.Phase, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == eviction.Running {
		return c.phase, false
	}
	c.evicted = true
	close(c.evictedSignal)
	return c.phase, true
}
