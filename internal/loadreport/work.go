// Package loadreport holds what instances report to one another of their work under way at the
// targets: each reports sums by target to its peers, which decay until its next report. It also
// holds the peers' reports of unresponsive targets and of pending cache saves. It does no I/O.
package loadreport

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names a target in a report: a hash of its ID that all instances compute alike. It takes 5
// bytes where the ID takes some 25, and an instance of a large fleet names up to 256 targets 20
// times a second. Two of 600 targets share a key with a probability of 1 in 24,000; the only effect
// is that each then seems to have the other's work too.
type Key uint32

// KeyOf returns the key of a target's ID.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Work is an amount of work under way at a target.
type Work struct {
	Tokens int // prompt tokens that are not processed yet
	Memory int // tokens of the target's memory that running requests occupy
}

func (a Work) plus(b Work) Work {
	return Work{Tokens: a.Tokens + b.Tokens, Memory: a.Memory + b.Memory}
}

// TargetWork is the work under way at one target, as encoded in a report.
type TargetWork struct {
	_      struct{} `cbor:",toarray"`
	Target Key
	Tokens int
	Memory int
}

// minReportedTokens is the smallest number of tokens that is reported.
const minReportedTokens = 256

// WorkByTarget is the work under way at each target.
type WorkByTarget map[Key]Work

// Add adds work at one target.
func (s WorkByTarget) Add(k Key, a Work) { s[k] = s[k].plus(a) }

// AddAll adds the work of other.
func (s WorkByTarget) AddAll(other WorkByTarget) {
	for k, a := range other {
		s.Add(k, a)
	}
}

// Report returns the entries that are large enough to be reported.
func (s WorkByTarget) Report() []TargetWork {
	var out []TargetWork
	for k, a := range s {
		if max(a.Tokens, a.Memory) >= minReportedTokens {
			out = append(out, TargetWork{Target: k, Tokens: a.Tokens, Memory: a.Memory})
		}
	}
	return out
}

// PeerWork holds the peers' latest reports of their work. It is safe for use by several goroutines.
// Use NewPeerWork.
type PeerWork struct{ reports *latestReports[WorkByTarget] }

// NewPeerWork returns an empty table. A report expires after maxAge.
func NewPeerWork(maxAge time.Duration) *PeerWork {
	return &PeerWork{reports: newLatestReports[WorkByTarget](maxAge)}
}

// Apply keeps a peer's report, unless a newer one is known or the report is from an earlier process
// of the peer.
func (h *PeerWork) Apply(from string, seq uint64, reported []TargetWork, now time.Time) {
	work := make(WorkByTarget, len(reported))
	for _, l := range reported {
		work.Add(l.Target, Work{Tokens: l.Tokens, Memory: l.Memory})
	}
	h.reports.apply(from, seq, work, now)
}

// decayed returns what is assumed to be left of an amount that was reported some time ago. Queued
// tokens decay linearly with the report's age, since the target processes them meanwhile; memory
// does not, since requests run longer than a report is valid.
func (h *PeerWork) decayed(a Work, age time.Duration) Work {
	remaining := 1 - float64(age)/float64(h.reports.maxAge)
	return Work{Tokens: int(float64(a.Tokens) * remaining), Memory: a.Memory}
}

// At returns the peers' work at some targets, in the order of keys.
func (h *PeerWork) At(keys []Key, now time.Time) []Work {
	out := make([]Work, len(keys))
	h.reports.each(now, func(_ string, work WorkByTarget, age time.Duration) {
		for i, k := range keys {
			if a, ok := work[k]; ok {
				out[i] = out[i].plus(h.decayed(a, age))
			}
		}
	})
	return out
}

// Reports returns each peer's report that has not expired, decayed.
func (h *PeerWork) Reports(now time.Time) map[string]WorkByTarget {
	out := map[string]WorkByTarget{}
	h.reports.each(now, func(from string, reported WorkByTarget, age time.Duration) {
		work := make(WorkByTarget, len(reported))
		for k, a := range reported {
			work[k] = h.decayed(a, age)
		}
		out[from] = work
	})
	return out
}
