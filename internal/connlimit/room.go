package connlimit

import (
	"net/http"
)

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
