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
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/netx"
)

const (
	// progressBytes is how much has to arrive to count as progress: less than a packet, and more than a caller
	// sends that only keeps its connection alive.
	progressBytes = 1 << 10
	// headerSlack is the factor by which a head may take longer than the configured timeout: what the caller
	// sent in time may have been held up on its way.
	headerSlack = 1.25
)

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

// head is the head of a request that has not been parsed yet.
type head struct {
	size      headSize
	held      int64     // bytes of the budget
	begunAt   time.Time // zero: nothing of it is known to have arrived
	deadlines int       // read deadlines that the server has set since it awaits the head
	recheckAt time.Time // when the read deadline that limitHead has set passes
}

// startHead awaits a head. c.mu is held, or c is not shared yet.
func (c *Conn) startHead() {
	c.phase, c.progressAt, c.arrived, c.head = eviction.Idle, c.limiter.options.Now(), 0, &head{}
}

// beginHead notes that a part of the awaited head has arrived. c.mu is held.
func (c *Conn) beginHead() {
	c.head.begunAt, c.phase = c.limiter.options.Now(), eviction.Receiving
}

// endHead notes that the server has parsed the head. It has to be called before the server reads on: net/http reads
// behind a head to notice the caller's end, in a goroutine of its own that may come before the handler.
func (c *Conn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head != nil {
		c.phase, c.parsedHeld, c.head = eviction.Receiving, c.head.held, nil
	}
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

// idleDeadlines is how many read deadlines the server sets on an idle connection before it reads: that of the idle
// timeout. It reads then only if it holds nothing of the next head, and sets another one once it holds some of it.
const idleDeadlines = 1

// beforeRead releases what was reserved for bytes that the server might have held of the next head, and bounds the time
// for the rest of a head.
func (c *Conn) beforeRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.head
	switch {
	case h == nil:
	case !h.begunAt.IsZero():
		c.limitHead()
	case h.held > 0 && h.deadlines <= idleDeadlines:
		c.releaseHead()
	}
}

// headRecheckInterval is how often the time of a head under way is compared with the configuration, which may change.
const headRecheckInterval = 500 * time.Millisecond

// limitHead sets the read deadline to the end of the head's time, or to the next look at it. c.mu is held.
func (c *Conn) limitHead() {
	if c.limiter.options.HeaderTimeout == nil {
		return
	}
	c.head.recheckAt = c.limiter.options.Now().Add(headRecheckInterval)
	if until := c.headUntil(); !until.IsZero() && until.Before(c.head.recheckAt) {
		c.head.recheckAt = until
	}
	_ = c.Conn.SetReadDeadline(c.head.recheckAt) // fails only if the connection is closed
}

// hasTimeLeft reports whether a head may go on to arrive whose read deadline has passed: it was that of limitHead, and the
// head's time has not ended.
func (c *Conn) hasTimeLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, until := c.limiter.options.Now(), c.headUntil()
	if c.head.recheckAt.IsZero() || now.Before(c.head.recheckAt) {
		return false // the deadline is another one, as that of a server which stops
	}
	return until.IsZero() || now.Before(until)
}

// headUntil returns when the time of the head under way ends: that of the configuration, or the server's deadline if that
// is earlier; zero: never. c.mu is held.
func (c *Conn) headUntil() time.Time {
	timeout := c.limiter.headerTimeout()
	if timeout <= 0 {
		return c.readDeadline
	}
	until := c.head.begunAt.Add(time.Duration(headerSlack * float64(timeout)))
	if !c.readDeadline.IsZero() && c.readDeadline.Before(until) {
		return c.readDeadline
	}
	return until
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

// headHasBegun reports whether a part of a head has arrived on a connection that is not evicted, and the rest is awaited.
func (c *Conn) headHasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head != nil && !c.head.begunAt.IsZero() && !c.evicted
}

// noteProgress counts bytes that arrived. c.mu is held.
func (c *Conn) noteProgress(n int64) {
	if c.arrived += n; c.arrived >= progressBytes {
		c.arrived, c.progressAt = 0, c.limiter.options.Now()
	}
}

// Responses to heads that are not read to their end. Nothing of such a request has run.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headTooSlow  = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noRoom       = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// Bounds of the time and the bytes in which a caller may notice that its head was refused, before the connection is
// closed: a connection that is closed with unread bytes is reset, and the caller may lose the response.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
)

// refuseHead answers a head that is not read to its end. The server closes the connection then, without a response of its
// own: what it might write fails.
func (c *Conn) refuseHead(response, reason string) error {
	metric.HeadsRefused(reason).Inc()
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
	if _, err := io.WriteString(c.Conn, response); err == nil && c.closeWrite() == nil && response != noRoom {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // ends as the caller does, or at the deadline
	}
	return &RefusedHeadError{Reason: reason}
}

// RefusedHeadError reports that the rest of a head is not read. It is a net.Error that net/http takes for a timeout: it
// closes the connection without a response.
type RefusedHeadError struct{ Reason string }

// Error implements error.
func (e *RefusedHeadError) Error() string { return "head of a request refused: " + e.Reason }

// Timeout implements net.Error.
func (*RefusedHeadError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*RefusedHeadError) Temporary() bool { return false }

// releaseHead ends the holding of what was reserved for a head. c.mu is held.
func (c *Conn) releaseHead() {
	c.releaseBytes(c.head.held)
	c.head.held = 0
}

// Reserve counts n more bytes that the request holds until it ends, or Release is called, and returns true. It closes
// other connections if there is no room, and returns false if that is not enough.
func (c *Conn) Reserve(n int64) bool {
	if c == nil {
		return true
	}
	if !c.tryReserve(n) && !c.awaitRoom(n) {
		return false
	}
	c.requestHeld.Add(n)
	return true
}

// awaitRoom reserves n bytes once others have made room for them, and returns false if they don't.
func (c *Conn) awaitRoom(n int64) bool {
	if !c.holder.Possible(n) {
		return false
	}
	deadline := c.limiter.options.Now().Add(roomTimeout)
	for c.limiter.makeRoom(c, n, deadline) {
		c.noteHeldUp()
		if c.tryReserve(n) {
			return true
		}
	}
	return false
}

// noteHeldUp notes that the connection makes no progress since the process lets it wait, not its caller.
func (c *Conn) noteHeldUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progressAt = c.limiter.options.Now()
}

func (c *Conn) tryReserve(n int64) bool {
	if c.limiter.options.Essential {
		c.holder.Add(n)
		return true
	}
	return c.holder.Reserve(n)
}

// Add counts n more bytes that the request holds already.
func (c *Conn) Add(n int64) {
	if c != nil {
		c.holder.Add(n)
		c.requestHeld.Add(n)
	}
}

// Release ends the holding of n bytes of the request.
func (c *Conn) Release(n int64) {
	if c == nil || n == 0 {
		return
	}
	c.releaseBytes(n)
	c.limiter.bytesReleased()
}

func (c *Conn) releaseBytes(n int64) {
	c.requestHeld.Add(-n)
	c.holder.Release(n)
}

// Evicted reports whether the connection was closed to make room for others.
func (c *Conn) Evicted() bool { return c != nil && c.isEvicted() }

func (c *Conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// beginRequest replaces what was reserved for the head by what the request costs. It returns false if there is no room.
func (c *Conn) beginRequest(r *http.Request) bool {
	c.mu.Lock()
	held := c.parsedHeld
	c.mu.Unlock()
	costs, size := c.limiter.options.Costs, parsedSize(r)
	parsed, cost := costs.ofHead(size)+costs.Unread, costs.ofRequest(size)+costs.Unread
	c.setParsedHeld(min(held, parsed))
	if cost <= held {
		c.Release(held - cost)
	} else if !c.Reserve(cost - held) {
		return false
	}
	c.setParsedHeld(parsed)
	return r.ContentLength != 0 || c.RequestWhole()
}

func (c *Conn) setParsedHeld(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parsedHeld = n
}

// RequestWhole notes that the request on the connection has been received whole: the connection is not evicted from now
// on, until the response has been written. It returns false if the request can't be run: the connection has been evicted
// before, or requests under work use up the descriptors.
func (c *Conn) RequestWhole() bool {
	if c == nil {
		return true
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == eviction.Running:
		return true
	case c.evicted:
		return false
	case !c.limiter.mayRun():
		c.noDescriptor = true
		metric.RequestsRefused(c.limiter.options.Name, "descriptors").Inc()
		return false
	}
	c.phase = eviction.Running
	c.limiter.running++
	unread := c.limiter.options.Costs.Unread // CountUnread counts what there is from now on
	c.parsedHeld -= unread
	c.releaseBytes(unread)
	return true
}

// DescriptorsError reports that requests under work use up the descriptors.
type DescriptorsError struct{}

// Error implements error.
func (*DescriptorsError) Error() string {
	return "the requests in hand use up this instance's descriptors"
}

// LacksDescriptors reports whether the request on the connection can't be run since others use up the descriptors.
func (c *Conn) LacksDescriptors() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.noDescriptor
}

// endRequest releases all that the request holds, but its head: the server refers to that until it awaits the next one or
// has closed the connection, which takes half a second if the caller was to notice a refusal.
//
// The last of the response may not be written yet, so that a whole request remains safe from eviction.
func (c *Conn) endRequest() {
	c.mu.Lock()
	wasRunning, parsed := c.phase == eviction.Running, c.parsedHeld
	c.mu.Unlock()
	c.releaseBytes(c.requestHeld.Load() - parsed)
	c.limiter.requestEnded(wasRunning)
}

// countUnread counts what the kernel holds unread.
func (c *Conn) countUnread() {
	n, err := netx.UnreadBytes(c.Conn)
	if err != nil {
		return // it is closed, or not of the kernel
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.holder.Add(int64(n) - c.unread)
		c.unread = int64(n)
	}
}

// mayHoldUnread reports whether the kernel may hold unread bytes of the connection for long, or some are counted.
func (c *Conn) mayHoldUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == eviction.Running || c.unread > 0
}

// AddHeader counts the header of a response that the request holds.
func (c *Conn) AddHeader(h http.Header) {
	if c != nil {
		c.Add(c.limiter.options.Costs.ofHead(sizeOfHeader(h)))
	}
}

// AddUnread counts what the kernel may hold of the connection to the request's target, since the caller is slow.
func (c *Conn) AddUnread() {
	if c != nil {
		c.Add(c.limiter.options.Costs.Unread)
	}
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
