// Package rollout decides which instance may order targets to load weights, and which loads it
// orders. It does no I/O and reads no clock.
//
// The right to give orders is a lease: one object in the platform, written conditionally. Its
// version at the time the lease was acquired is the fencing token. Times of different machines
// are never compared: the holder measures from before its own write, the other instances from
// when they first saw the current version, each on its own monotonic clock.
package rollout

import "time"

// LeaseParams are the lease's times. A contender waits for Term + Margin; a holder gives orders
// for Term - Margin after a write. So no two instances give orders at once as long as their
// clocks drift apart by less than the two margins within that time.
type LeaseParams struct {
	Term          time.Duration // of the lease, from a write on
	Margin        time.Duration // for clock drift, taken off by the holder and added by a contender
	RenewInterval time.Duration // between renewals
}

// DefaultLeaseParams suit a platform that answers in milliseconds.
var DefaultLeaseParams = LeaseParams{Term: 10 * time.Second, Margin: 2 * time.Second, RenewInterval: 3 * time.Second}

// Step is the operation on the platform's object that the lease needs next.
type Step uint8

// The operations; StepNone means that nothing is due.
const (
	StepNone  Step = iota
	StepRead       // read the object, then call Observe
	StepWrite      // write it on condition of its version, then call WriteSucceeded or WriteFailed
)

// Lease is one instance's view of one lease. It is not safe for concurrent use.
type Lease struct {
	params       LeaseParams
	self         string
	observed     bool // false until the object is read, at first and after a failed write
	holder       string
	version      uint64    // of the object as last seen
	versionSince time.Time // when that version was first seen here
	lastWrite    time.Time // start of the last own write that took effect; zero: not held
	token        uint64
	acquired     bool // set by an acquisition, not by a renewal; reset by TakeAcquired
}

// NewLease returns a lease that self does not hold.
func NewLease(p LeaseParams, self string) *Lease { return &Lease{params: p, self: self} }

// NextStep returns the operation that is due now. For StepWrite, version is the condition.
func (l *Lease) NextStep(now time.Time) (step Step, version uint64) {
	switch {
	case !l.observed:
		return StepRead, 0
	case l.holder == l.self && !l.lastWrite.IsZero():
		if now.Sub(l.lastWrite) >= l.params.RenewInterval {
			return StepWrite, l.version
		}
		return StepNone, 0
	case l.holder == "" || now.Sub(l.versionSince) >= l.params.Term+l.params.Margin:
		return StepWrite, l.version
	}
	return StepRead, 0
}

// Observe records the object as read at now; holder is "" if there is none. A version older than
// one seen before is ignored.
func (l *Lease) Observe(holder string, version uint64, now time.Time) {
	if version != 0 && version < l.version {
		return
	}
	if !l.observed || version != l.version {
		l.versionSince = now
	}
	if version != l.version || holder != l.self {
		l.lastWrite = time.Time{} // written by another instance or an earlier process of this one
	}
	l.observed, l.holder, l.version = true, holder, version
}

// WriteSucceeded records that a write by this instance, begun at start, took effect.
func (l *Lease) WriteSucceeded(version uint64, start time.Time) {
	if l.lastWrite.IsZero() {
		l.acquired, l.token = true, version
	}
	l.observed, l.holder, l.version, l.versionSince, l.lastWrite = true, l.self, version, start, start
}

// WriteFailed records that a write did not take effect, or that its outcome is unknown. The term
// of an earlier write continues to its end.
func (l *Lease) WriteFailed() { l.observed = false }

// Held returns the fencing token, and whether orders may be sent now. Call it right before each
// send. The token is the version at which the lease was acquired: renewals keep it, and any later
// holder's token is higher.
func (l *Lease) Held(now time.Time) (token uint64, ok bool) {
	if l.lastWrite.IsZero() || now.Sub(l.lastWrite) >= l.params.Term-l.params.Margin {
		return 0, false
	}
	return l.token, true
}

// TakeAcquired reports, once per acquisition, that the lease was acquired: an earlier holder's
// orders may still run.
func (l *Lease) TakeAcquired() bool {
	acquired := l.acquired
	l.acquired = false
	return acquired
}

// Holder returns the last known holder, "" if there is none, and when the current version of the
// object was first seen here: its last order came no later than Term - Margin after that.
func (l *Lease) Holder() (name string, since time.Time) { return l.holder, l.versionSince }
