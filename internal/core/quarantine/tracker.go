package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Incarnation identifies one run of a target, from one start to the next: a hash of its id.
type Incarnation uint64

// Time limits of a quarantine.
const (
	// Retention is how long the crashes of a request count after the last of them.
	Retention = 10 * time.Minute
	// answerValidity is how long after a complete response crashes are not counted against
	// the request. A request that crashes every target that runs it never gets one.
	answerValidity = time.Minute
	// objectionWindow is how long a quarantine waits before it takes effect, so that instances
	// that have seen a complete response can object. A report reaches 300 instances, and an
	// objection comes back, in less.
	objectionWindow = 300 * time.Millisecond
	// firstTrialDelay after a quarantine began, and trialInterval after the last trial, one
	// request is let through to test whether the request still crashes targets.
	firstTrialDelay = time.Second
	trialInterval   = 2 * time.Minute
)

// Thresholds and size limits of a Tracker.
const (
	// rejectThreshold is the number of crashes from which a request is rejected. One or two
	// can hit a harmless request that happens to run where another one crashes the target.
	rejectThreshold = 3
	// partRejectThreshold is the same for a part of prompts. Chance hits it more often than a single
	// request: it is in all that run beside the one that crashes the target.
	partRejectThreshold = 4
	// reportThreshold is the number of crashes from which a request is stored for instances
	// that start later.
	reportThreshold    = 2
	maxTrials          = 2
	maxEntries         = 4096
	maxCrashesPerEntry = 8
	maxAnswers         = 16384
)

// Label names what a key stands for: the customer and route of a request, and the part of its prompt if the
// key is that of a part.
type Label struct {
	Customer string `cbor:"1,keyasint,omitempty" json:"customer,omitempty"`
	Route    string `cbor:"2,keyasint,omitempty" json:"route,omitempty"`
	Part     string `cbor:"3,keyasint,omitempty" json:"part,omitempty"`
}

// rejectThreshold returns the number of crashes from which requests with the label's key are rejected.
func (l Label) rejectThreshold() int {
	if l.Part != "" {
		return partRejectThreshold
	}
	return rejectThreshold
}

// entry holds the crashes, the last complete response and the trials of one request.
type entry struct {
	label      Label
	crashes    map[Incarnation]time.Time
	lastAnswer time.Time // last complete response; zero: none
	trials     int
	voidTrials int       // trials that reached no target
	lastTrial  time.Time // start of the last trial; zero: none
}

// Tracker records the requests under which targets crashed and the requests that received a
// complete response. Its size is bounded, old entries expire, and reports of other instances
// can be merged in any order. It is safe for concurrent use. Use NewTracker.
type Tracker struct {
	mu      sync.Mutex
	entries map[Key]*entry
	answers recentAnswers
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{entries: map[Key]*entry{}, answers: newRecentAnswers(maxAnswers)}
}

// RecordCrash records that a target crashed while a request was running there. It returns the
// report for the other instances, and false if there is nothing to report: the crash is already
// recorded, the entry is full, or no crash counts because of a complete response.
func (t *Tracker) RecordCrash(k Key, label Label, incarnation Incarnation, now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryFor(k, now)
	if e.label == (Label{}) {
		e.label = label
	}
	if _, known := e.crashes[incarnation]; known || len(e.crashes) >= maxCrashesPerEntry {
		return Report{}, false
	}
	e.crashes[incarnation] = now
	return e.report(k, now), e.countCrashes(now) > 0
}

// RecordAnswer records a complete response to a request. It returns a report for the other
// instances, and true if they may have counted crashes against the request.
func (t *Tracker) RecordAnswer(k Key, now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers.record(k, now)
	e := t.entries[k]
	if e == nil {
		return Report{}, false
	}
	suspected := e.countCrashes(now) > 0
	e.lastAnswer = now
	return e.report(k, now), suspected
}

// entryFor returns the entry of a request and creates it if there is none. t.mu is held.
func (t *Tracker) entryFor(k Key, now time.Time) *entry {
	if e := t.entries[k]; e != nil {
		return e
	}
	if len(t.entries) >= maxEntries {
		t.evict(now)
	}
	e := &entry{crashes: map[Incarnation]time.Time{}, lastAnswer: t.answers.lastAnswer(k)}
	t.entries[k] = e
	return e
}

// evict removes expired entries. If there are none it removes a quarter of all entries: those
// with the fewest counted crashes, and of these the oldest.
func (t *Tracker) evict(now time.Time) {
	if t.expire(now); len(t.entries) < maxEntries {
		return
	}
	type rank struct {
		key     Key
		crashes int
		last    time.Time
	}
	ranks := make([]rank, 0, len(t.entries))
	for k, e := range t.entries {
		ranks = append(ranks, rank{k, e.countCrashes(now), e.lastCrash()})
	}
	slices.SortFunc(ranks, func(x, y rank) int {
		if n := cmp.Compare(x.crashes, y.crashes); n != 0 {
			return n
		}
		return x.last.Compare(y.last)
	})
	for _, r := range ranks[:maxEntries/4] {
		delete(t.entries, r.key)
	}
}

// Expire removes the entries whose last crash is older than Retention.
func (t *Tracker) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}

func (t *Tracker) expire(now time.Time) {
	for k, e := range t.entries {
		if now.Sub(e.lastCrash()) >= Retention {
			delete(t.entries, k)
		}
	}
}

// lastCrash returns the time of the last crash.
func (e *entry) lastCrash() time.Time {
	var last time.Time
	for _, at := range e.crashes {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// countsAgainst reports whether a crash at a time counts against the request: there was no
// complete response after it, nor within answerValidity before it.
func (e *entry) countsAgainst(at time.Time) bool {
	return e.lastAnswer.IsZero() || at.After(e.lastAnswer.Add(answerValidity))
}

// countedCrashes returns the times of the crashes that count against the request, in order.
func (e *entry) countedCrashes(now time.Time) []time.Time {
	if now.Sub(e.lastCrash()) >= Retention {
		return nil
	}
	var times []time.Time
	for _, at := range e.crashes {
		if e.countsAgainst(at) {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// countCrashes returns the number of crashes that count against the request.
func (e *entry) countCrashes(now time.Time) int {
	if now.Sub(e.lastCrash()) >= Retention {
		return 0
	}
	n := 0
	for _, at := range e.crashes {
		if e.countsAgainst(at) {
			n++
		}
	}
	return n
}

// State is the verdict on a request at one point in time.
type State struct {
	Key       Key
	Label     Label
	Crashes   int           // crashes that count against the request
	Rejected  bool          // rejected, except for trials
	Pending   time.Duration // until it is rejected unless others object; 0: rejected already, or not to be
	Age       time.Duration // since the quarantine began
	Remaining time.Duration // until the quarantine expires
	Trials    int
	// TrialIn is the time until one request may be let through as a trial; 0: now. It equals
	// Remaining if there are no more trials.
	TrialIn time.Duration
}

// Reportable reports whether the request has enough crashes to be stored for instances that
// start later.
func (s State) Reportable() bool { return s.Crashes >= reportThreshold }

// Lookup returns the state of a request, and false if no crash of it is recorded.
func (t *Tracker) Lookup(k Key, now time.Time) (State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k]
	if e == nil {
		return State{}, false
	}
	return e.state(k, now), true
}

// Empty reports whether no request has a recorded crash.
func (t *Tracker) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) == 0
}

func (e *entry) state(k Key, now time.Time) State {
	s := State{Key: k, Label: e.label, Crashes: e.countCrashes(now), Trials: e.trials}
	threshold := e.label.rejectThreshold()
	if s.Crashes < threshold {
		return s
	}
	began := e.countedCrashes(now)[threshold-1].Add(objectionWindow)
	s.Rejected = !now.Before(began)
	s.Pending, s.Age = max(began.Sub(now), 0), max(now.Sub(began), 0)
	s.Remaining = e.lastCrash().Add(Retention).Sub(now)
	s.TrialIn = min(max(e.nextTrialAt(began).Sub(now), 0), s.Remaining)
	if e.trials-e.voidTrials >= maxTrials {
		s.TrialIn = s.Remaining
	}
	return s
}

// nextTrialAt returns when the next trial is due in a quarantine that began at since.
func (e *entry) nextTrialAt(since time.Time) time.Time {
	delay := firstTrialDelay
	if e.trials > e.voidTrials {
		delay = trialInterval
	}
	if e.lastTrial.After(since) {
		since = e.lastTrial
	}
	return since.Add(delay)
}

// StartTrial records that one request is let through as a trial. It returns the report for the
// other instances, and false if no trial is due.
func (t *Tracker) StartTrial(k Key, now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k]
	if e == nil {
		return Report{}, false
	}
	if s := e.state(k, now); !s.Rejected || s.TrialIn > 0 {
		return Report{}, false
	}
	e.trials++
	e.lastTrial = now
	return e.report(k, now), true
}

// VoidTrial records that the last trial reached no target. It proved nothing and harmed nothing,
// so it does not count towards maxTrials. It returns the report for the other instances, and
// false if there is no trial to void.
func (t *Tracker) VoidTrial(k Key, now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k]
	if e == nil || e.voidTrials >= e.trials {
		return Report{}, false
	}
	e.voidTrials++
	return e.report(k, now), true
}

// Suspects returns the state of all requests with at least reportThreshold counted crashes,
// sorted by key.
func (t *Tracker) Suspects(now time.Time) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []State
	for k, e := range t.entries {
		if len(e.crashes) >= reportThreshold && e.countCrashes(now) >= reportThreshold {
			out = append(out, e.state(k, now))
		}
	}
	slices.SortFunc(out, func(x, y State) int { return slices.Compare(x.Key[:], y.Key[:]) })
	return out
}
