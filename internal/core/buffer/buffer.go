// Package buffer counts the bytes that callers make an instance hold in memory, and limits them. It
// does no I/O, starts no goroutines and reads no clock. All methods may be called by several
// goroutines at a time, and none of them allocates.
//
// A Holder counts what one connection costs, with the request on it. What is read ahead for slow
// callers may use only streamsShare of the limit, so that slow callers alone never cause a body to
// be refused.
package buffer

import "sync/atomic"

// streamsShare is the share of the limit that all streams together may use: the other half
// remains for the bodies of new requests, however many callers are slow.
const streamsShare = 0.5

// Budget is the number of bytes that all callers of an instance may make it hold together.
type Budget struct {
	all, streams counter
}

// New returns a budget of limit bytes; 0 is no limit.
func New(limit int64) *Budget {
	return &Budget{all: counter{limit: limit}, streams: counter{limit: int64(streamsShare * float64(limit))}}
}

// Limit returns the limit in bytes; 0 is none.
func (b *Budget) Limit() int64 { return b.all.limit }

// Held returns the bytes that are held now.
func (b *Budget) Held() int64 { return b.all.held.Load() }

// HeldByStreams returns the bytes of these that streams hold.
func (b *Budget) HeldByStreams() int64 { return b.streams.held.Load() }

// Reserve counts n bytes as held and returns true, or returns false if that would exceed the
// limit.
func (b *Budget) Reserve(n int64) bool { return b.all.reserve(n) }

// Release ends the holding of n reserved bytes.
func (b *Budget) Release(n int64) { b.all.release(n) }

// Stream is the part of a budget that one stream holds. Only NewStream returns valid ones.
type Stream struct {
	budget *Budget
	own    counter
	most   atomic.Int64
}

// NewStream returns the part of a stream that may hold up to bound bytes; 0 is no bound.
func NewStream(b *Budget, bound int64) *Stream {
	return &Stream{budget: b, own: counter{limit: bound}}
}

// Reserve counts n bytes as held and returns true, or returns false if that would exceed the
// stream's bound, the share of all streams, or the budget's limit.
func (s *Stream) Reserve(n int64) bool {
	if !s.own.reserve(n) {
		return false
	}
	if !s.budget.streams.reserve(n) {
		s.own.release(n)
		return false
	}
	if !s.budget.all.reserve(n) {
		s.budget.streams.release(n)
		s.own.release(n)
		return false
	}
	for held := s.Held(); ; {
		most := s.most.Load()
		if held <= most || s.most.CompareAndSwap(most, held) {
			return true
		}
	}
}

// Release ends the holding of n reserved bytes.
func (s *Stream) Release(n int64) {
	s.budget.all.release(n)
	s.budget.streams.release(n)
	s.own.release(n)
}

// Fits reports whether n more bytes would stay within the stream's bound. If they do, and
// Reserve returns false, the budget is used up by others.
func (s *Stream) Fits(n int64) bool { return s.own.fits(n) }

// Held returns the bytes that the stream holds now.
func (s *Stream) Held() int64 { return s.own.held.Load() }

// MostHeld returns the most bytes that the stream has held at a time.
func (s *Stream) MostHeld() int64 { return s.most.Load() }

// counter is a number of bytes with a limit.
type counter struct {
	limit int64 // 0: none
	held  atomic.Int64
}

func (c *counter) fits(n int64) bool { return c.limit <= 0 || n <= c.limit-c.held.Load() }

// reserve adds n unless the limit would be exceeded. The sum is compared before it is changed,
// so that a large request that is refused never makes a small one fail.
func (c *counter) reserve(n int64) bool { return c.reserveWithin(n, c.limit) }

// reserveWithin is reserve with another limit; 0 is none.
func (c *counter) reserveWithin(n, limit int64) bool {
	for {
		held := c.held.Load()
		if limit > 0 && n > limit-held {
			return false
		}
		if c.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

func (c *counter) release(n int64) { c.held.Add(-n) }
