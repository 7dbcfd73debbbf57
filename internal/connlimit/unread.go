package connlimit

import (
	"time"

	"github.com/shedhoist/shedhoist/internal/core/eviction"
	"github.com/shedhoist/shedhoist/internal/netx"
)

// ReceiveBuffer is the size of the receive buffer of one connection, in bytes; the kernel uses up to twice as many. A
// caller some milliseconds away can send megabytes a second with it.
const ReceiveBuffer = 16 << 10

// UnreadInterval is how often CountUnread is to be called.
const UnreadInterval = 100 * time.Millisecond

// CountUnread counts what the kernel holds unread of the connections on which requests are under work, if it may be much,
// and evicts connections if there is no room for it. Costs has what it may hold of requests that arrive.
func (l *Limiter) CountUnread() {
	conns := l.mayHoldUnread()
	for _, c := range conns {
		c.countUnread()
	}
	if len(conns) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictExcess()
}

// unreadAllowance is the share of the budget that unread bytes may exceed it by before they are counted.
const unreadAllowance = 1.0 / 16

// mayHoldUnread returns the connections to look at, if requests under work may hold more than unreadAllowance.
func (l *Limiter) mayHoldUnread() (out []*Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.options.Budget.Limit()
	if limit <= 0 || float64(int64(l.running)*l.options.Costs.Unread) <= unreadAllowance*float64(limit) {
		return nil
	}
	for c := range l.conns {
		if c.mayHoldUnread() {
			out = append(out, c)
		}
	}
	return out
}

// evictExcess evicts connections while callers hold more than the budget's limit. l.mu is held.
func (l *Limiter) evictExcess() {
	excess := l.options.Budget.Held() - l.options.Budget.Limit() - l.evictingBytes()
	if excess <= 0 {
		return
	}
	conns, candidates := l.candidates(nil)
	for _, i := range eviction.ForMemory(candidates, excess, 0) {
		l.evict(conns[i])
	}
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
