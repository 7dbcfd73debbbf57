// Package staleness tracks the age of an instance's copies of shared objects: the time since
// each copy was known to be complete, by a request to the object store or by reports of peers.
// The package does no I/O and reads no clock.
//
// Invariant: a Tracker takes a copy as complete at a point in time only if this instance or
// another one sent a request to the object store at that time or later, and the store had no
// change that the copy lacks.
package staleness

import (
	"sync"
	"time"
)

// Kind is a kind of object that every instance keeps a copy of.
type Kind int

// The kinds of objects.
const (
	Config Kind = iota
	Targets
	Versions
	Evacuations
	numKinds
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	return [...]string{"configuration", "targets", "weight versions", "evacuated zones"}[k]
}

// Report is what an instance reports to its peers about one kind of object.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// NewestRevision is the newest revision that the object store is known to have.
	NewestRevision uint64
	// AgeMS is the time since the object store had no newer revision, by the sender's clock,
	// or unknownAge.
	AgeMS int64
}

// Tracker holds the ages of all copies. In its zero value they are unknown. It is safe for
// concurrent use.
type Tracker struct {
	mu     sync.Mutex
	copies [numKinds]copyState
}

// copyState is the state of the copy of one kind of object.
type copyState struct {
	newestRevision uint64    // newest revision that the object store is known to have
	requestedAt    time.Time // send time of the latest request that found no newer one; zero: not known
	copyRevision   uint64    // the copy is complete up to this revision
	completeAsOf   time.Time // last time at which the copy was complete; zero: not known
}

// updateCompleteness updates completeAsOf after a change of the other fields.
func (c *copyState) updateCompleteness() {
	if c.copyRevision >= c.newestRevision && c.requestedAt.After(c.completeAsOf) {
		c.completeAsOf = c.requestedAt
	}
}

// Confirm records that the object store, by a request sent at requestedAt, had no revision
// after newestRevision.
func (t *Tracker) Confirm(k Kind, newestRevision uint64, requestedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.copies[k]
	if newestRevision > c.newestRevision || newestRevision == c.newestRevision && requestedAt.After(c.requestedAt) {
		c.newestRevision, c.requestedAt = newestRevision, requestedAt
		c.updateCompleteness()
	}
}

// SetCopyRevision records the revision up to which the copy is complete. A lower one than
// before is ignored.
func (t *Tracker) SetCopyRevision(k Kind, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.copies[k]
	if revision > c.copyRevision {
		c.copyRevision = revision
		c.updateCompleteness()
	}
}

// Age returns the time since the copy was known to be complete; known is false if it never was.
func (t *Tracker) Age(k Kind, now time.Time) (age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.copies[k]
	return now.Sub(c.completeAsOf), !c.completeAsOf.IsZero()
}

// Reports returns the reports for peers, indexed by kind, or nil as long as nothing is known.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := make([]Report, numKinds)
	known := false
	for i, c := range t.copies {
		reports[i] = Report{NewestRevision: c.newestRevision, AgeMS: unknownAge}
		if !c.requestedAt.IsZero() {
			reports[i].AgeMS = now.Sub(c.requestedAt).Milliseconds() + 1 // rounded up
			known = true
		}
	}
	if !known {
		return nil
	}
	return reports
}

// unknownAge is the value of Report.AgeMS if the sender does not know the age.
const unknownAge = -1

// Merge applies the reports of a peer. requestedAt is when they were requested from it. The
// time at which they were received would be wrong: reports are passed on from peer to peer,
// and each hop would understate their age by its network delay. Reports of unknown kinds, sent
// by a newer version of the program, are ignored.
func (t *Tracker) Merge(reports []Report, requestedAt time.Time) {
	for i, report := range reports {
		if i < int(numKinds) && report.AgeMS >= 0 {
			t.Confirm(Kind(i), report.NewestRevision, requestedAt.Add(-time.Duration(report.AgeMS)*time.Millisecond))
		}
	}
}
