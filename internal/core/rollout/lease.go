// Package order decides who may give orders to targets, and which. It is pure.
//
// The right to give orders is a lease: one object in the platform, written
// conditionally. Its version when it was taken is the fencing token. Time is never compared
// between machines: a holder counts from before its own write, another instance
// from when it first saw the present version, each on its own monotonic clock.
package rollout

import "time"

// LeaseParams are the lease's times. A contender waits Term + Margin; a holder acts
// for Term - Margin: however their clocks' rates differ by less than the
// margins, no two act at once.
type LeaseParams struct {
	Term          time.Duration
	Margin        time.Duration
	RenewInterval time.Duration // between renewals
}

// DefaultLeaseParams suit a platform that answers in milliseconds.
var DefaultLeaseParams = LeaseParams{Term: 10 * time.Second, Margin: 2 * time.Second, RenewInterval: 3 * time.Second}

// Step is what the lease wants done in the platform.
type Step uint8

// Steps.
const (
	StepNone  Step = iota
	StepRead       // read the object, then call Saw
	StepWrite      // write it on condition of Version, then call Wrote or Failed
)

// Lease is one instance's view of one lease. It belongs to one goroutine.
type Lease struct {
	p       LeaseParams
	self    string
	known   bool
	holder  string
	version uint64    // of the object as last seen
	since   time.Time // when that version was first seen here
	acted   time.Time // start of the last own write that took effect; zero: not held
	token   uint64
	fresh   bool // the next hold is a new one, not a renewal
}

// NewLease returns a lease that self does not hold.
func NewLease(p LeaseParams, self string) *Lease { return &Lease{p: p, self: self} }

// NextStep says what to do now. For Write, Version is the condition.
func (l *Lease) NextStep(now time.Time) (step Step, version uint64) {
	switch {
	case !l.known:
		return StepRead, 0
	case l.holder == l.self && !l.acted.IsZero():
		if now.Sub(l.acted) >= l.p.RenewInterval {
			return StepWrite, l.version
		}
		return StepNone, 0
	case l.holder == "" || now.Sub(l.since) >= l.p.Term+l.p.Margin:
		return StepWrite, l.version
	}
	return StepRead, 0
}

// Observe takes the object as read at now; holder is "" if there is none.
// A version older than one seen before is old news, and changes nothing.
func (l *Lease) Observe(holder string, version uint64, now time.Time) {
	if version != 0 && version < l.version {
		return
	}
	if !l.known || version != l.version {
		l.since = now
	}
	if version != l.version || holder != l.self {
		l.acted = time.Time{} // another's write, or a former life's
	}
	l.known, l.holder, l.version = true, holder, version
}

// WriteSucceeded says that an own write, begun at start, took effect.
func (l *Lease) WriteSucceeded(version uint64, start time.Time) {
	if l.acted.IsZero() {
		l.fresh, l.token = true, version
	}
	l.known, l.holder, l.version, l.since, l.acted = true, l.self, version, start, start
}

// WriteFailed says that a write did not take effect, or that this is not known. The
// term of an earlier write goes on to its own end.
func (l *Lease) WriteFailed() { l.known = false }

// Held returns the fencing token if orders may be sent now. Ask right before
// each send. The token is the version at which the lease was taken: it stays the
// same over renewals, and any later holder's is higher.
func (l *Lease) Held(now time.Time) (token uint64, ok bool) {
	if l.acted.IsZero() || now.Sub(l.acted) >= l.p.Term-l.p.Margin {
		return 0, false
	}
	return l.token, true
}

// TakeAcquired says, once, that the lease was newly taken: another's orders may be
// under way.
func (l *Lease) TakeAcquired() bool {
	f := l.fresh
	l.fresh = false
	return f
}

// Holder returns the holder as last seen, "" if none is known, and when that word
// of it was first seen here: its last act came no later than Term - Margin after.
func (l *Lease) Holder() (name string, since time.Time) { return l.holder, l.since }
