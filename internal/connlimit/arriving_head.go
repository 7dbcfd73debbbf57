package connlimit

import (
	"time"

	"github.com/shedhoist/shedhoist/internal/core/eviction"
)

// head is the head of a request that has not been parsed yet.
type head struct {
	size      headSize
	held      int64     // bytes of the budget
	begunAt   time.Time // zero: nothing of it is known to have arrived
	deadlines int       // read deadlines that the server has set since it awaits the head
	recheckAt time.Time // when the read deadline that limitHead has set passes
}

// headerSlack is the factor by which a head may take longer than the configured timeout: what the caller sent in time may
// have been held up on its way.
const headerSlack = 1.25

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

// headHasBegun reports whether a part of a head has arrived on a connection that is not evicted, and the rest is awaited.
func (c *Conn) headHasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head != nil && !c.head.begunAt.IsZero() && !c.evicted
}

// releaseHead ends the holding of what was reserved for a head. c.mu is held.
func (c *Conn) releaseHead() {
	c.releaseBytes(c.head.held)
	c.head.held = 0
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
