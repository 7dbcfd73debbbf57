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

// Holder identifies a process that holds the lease.
type Holder struct {
	Name    string `json:"holder"`            // of the instance; "": the lease has never been held
	Machine string `json:"machine,omitempty"` // address of its machine
	Process uint64 `json:"process,omitempty"` // chosen at random by each process
}

// sharesMachine reports whether both are processes of one machine.
func (h Holder) sharesMachine(other Holder) bool {
	return h.Name == other.Name && h.Machine == other.Machine
}

// LeaseValue is the value of the lease's object. Each write has another value, also across restarts of
// a process: platforms take a write of an equal value for no change, and contenders would take its
// holder for dead.
type LeaseValue struct {
	Holder
	Writes uint64 `json:"renewals"` // of the lease, by this process
	// Notices counts what the process had told the other instances for a next holder when it began the write.
	// A next holder that has not received as much does not know of all its orders.
	Notices uint64 `json:"notices,omitempty"`
}

// Acquisition describes how the lease was acquired.
type Acquisition struct {
	Token    uint64    // fencing token
	Previous Holder    // the holder before, which may be an earlier process of this instance or this process itself
	LastAct  time.Time // the previous holder sent its last order no later
	Notices  uint64    // of the previous holder, before its last order
}

// Lease is one instance's view of one lease. It is not safe for concurrent use.
type Lease struct {
	params       LeaseParams
	self         LeaseValue   // as written last
	observed     bool         // false until the object is read, at first and after a failed write
	last         LeaseValue   // as last seen
	version      uint64       // of the object as last seen
	versionSince time.Time    // when that version was first seen here
	writeStart   time.Time    // start of the last own write whose outcome is not known; zero: there is none
	lastWrite    time.Time    // start of the last own write that took effect; zero: not held
	acquisition  *Acquisition // the last one
	taken        bool         // TakeAcquired has returned it
}

// NewLease returns a lease that self does not hold.
func NewLease(p LeaseParams, self Holder) *Lease {
	return &Lease{params: p, self: LeaseValue{Holder: self}}
}

// NextStep returns the operation that is due now. For StepWrite, version is the condition.
func (l *Lease) NextStep(now time.Time) (step Step, version uint64) {
	switch {
	case !l.observed:
		return StepRead, 0
	case l.last.Holder == l.self.Holder && !l.lastWrite.IsZero():
		if now.Sub(l.lastWrite) >= l.params.RenewInterval {
			return StepWrite, l.version
		}
		return StepNone, 0
	case l.last.Name == "" || now.Sub(l.versionSince) >= l.params.Term+l.params.Margin:
		return StepWrite, l.version
	}
	return StepRead, 0
}

// Observe records the object as read, or as reported by a watch, at now; an object that does not exist
// has the zero value and version 0. A version older than one seen before is ignored. The own write may
// be observed before its response arrives, or when that is lost: it counts as a success then.
func (l *Lease) Observe(value LeaseValue, version uint64, now time.Time) {
	if version != 0 && version < l.version {
		return
	}
	if version != l.version && value == l.self && !l.writeStart.IsZero() {
		l.writeTookEffect(version)
		return
	}
	if !l.observed || version != l.version {
		l.versionSince = now
	}
	if version != l.version || value.Holder != l.self.Holder {
		l.lastWrite = time.Time{} // written by another process
	}
	l.observed, l.last, l.version = true, value, version
}

// BeginWrite returns the value to write, in a write that begins at start, when the process has given so many
// notices. WriteSucceeded or WriteFailed has to follow before the next one.
func (l *Lease) BeginWrite(start time.Time, notices uint64) LeaseValue {
	l.self.Writes++
	l.self.Notices = notices
	l.writeStart = start
	return l.self
}

// WriteSucceeded records that the write that was begun last took effect.
func (l *Lease) WriteSucceeded(version uint64) {
	if version < l.version || l.writeStart.IsZero() {
		return // observed before, and another process may have written since
	}
	l.writeTookEffect(version)
}

func (l *Lease) writeTookEffect(version uint64) {
	if l.lastWrite.IsZero() {
		l.acquisition = &Acquisition{Token: version, Previous: l.last.Holder, LastAct: l.versionSince.Add(l.params.Term - l.params.Margin), Notices: l.last.Notices}
		l.taken = false
	}
	l.observed, l.last, l.version, l.versionSince, l.lastWrite = true, l.self, version, l.writeStart, l.writeStart
	l.writeStart = time.Time{}
}

// WriteFailed records that the write that was begun last did not take effect, or that its outcome is
// unknown. The term of an earlier write continues to its end.
func (l *Lease) WriteFailed() { l.observed = false }

// Held returns the fencing token, and whether orders may be sent now. Call it right before each
// send. The token is the version at which the lease was acquired: renewals keep it, and any later
// holder's token is higher.
func (l *Lease) Held(now time.Time) (token uint64, ok bool) {
	if l.lastWrite.IsZero() || now.Sub(l.lastWrite) >= l.params.Term-l.params.Margin {
		return 0, false
	}
	return l.acquisition.Token, true
}

// Covers reports whether the lease, as this process has written it, names so many of its notices.
func (l *Lease) Covers(notices uint64) bool {
	return l.last.Holder == l.self.Holder && l.last.Notices >= notices
}

// TakeAcquired returns the last acquisition, once: an earlier holder's orders may still run.
func (l *Lease) TakeAcquired() (a Acquisition, acquired bool) {
	if l.acquisition == nil || l.taken {
		return Acquisition{}, false
	}
	l.taken = true
	return *l.acquisition, true
}
