package loadreport

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// RequestUnit is the resolution of reported numbers of requests, as a part of one request. Most
// instances of a large fleet have far less than one request at each target on average.
const RequestUnit = 1.0 / 16

// MaxTargetRequests is the number of targets with requests that a report contains at most: those
// with the most requests.
const MaxTargetRequests = 64

// TargetRequests is the mean number of requests in flight at one target, as encoded in a report.
type TargetRequests struct {
	_      struct{} `cbor:",toarray"`
	Target Key
	Units  int // multiples of RequestUnit
}

// RequestsByTarget is the mean number of requests in flight at each target, in multiples of
// RequestUnit.
type RequestsByTarget map[Key]int

// AddMean adds a mean number of requests, rounded up or down at random so that sums over many
// instances are right on average. random is uniform in [0, 1).
func (s RequestsByTarget) AddMean(k Key, requests, random float64) {
	if units := int(math.Floor(requests/RequestUnit + random)); units > 0 {
		s[k] += units
	}
}

// AddAll adds the requests of other.
func (s RequestsByTarget) AddAll(other RequestsByTarget) {
	for k, units := range other {
		s[k] += units
	}
}

// Report returns the entries to be reported.
func (s RequestsByTarget) Report() []TargetRequests {
	var out []TargetRequests
	for k, units := range s {
		if units > 0 {
			out = append(out, TargetRequests{Target: k, Units: units})
		}
	}
	if len(out) > MaxTargetRequests {
		slices.SortFunc(out, func(a, b TargetRequests) int { return cmp.Compare(b.Units, a.Units) })
		out = out[:MaxTargetRequests]
	}
	return out
}

// PeerRequests holds the peers' latest reports of their requests. It is safe for use by several
// goroutines. Use NewPeerRequests.
type PeerRequests struct {
	reports *latestReports[RequestsByTarget]

	mu sync.Mutex
	// lastBusy is when each peer last reported requests. A peer that has none any more reports that
	// once, and then no longer.
	lastBusy map[string]time.Time
}

// lostReportTime is how long a peer's reports count as lost if they end without an empty one. After
// that the peer is taken for stopped.
const lostReportTime = 10 * time.Second

// NewPeerRequests returns an empty table. A report expires after maxAge. It counts in full until
// then: the requests that it counts have ended, and others have taken their place.
func NewPeerRequests(maxAge time.Duration) *PeerRequests {
	return &PeerRequests{reports: newLatestReports[RequestsByTarget](maxAge), lastBusy: map[string]time.Time{}}
}

// Apply keeps a peer's report, unless a newer one is known.
func (p *PeerRequests) Apply(from string, seq uint64, reported []TargetRequests, now time.Time) {
	requests := make(RequestsByTarget, len(reported))
	for _, r := range reported {
		requests[r.Target] += max(r.Units, 0)
	}
	if !p.reports.apply(from, seq, requests, now) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(reported) > 0 {
		p.lastBusy[from] = now
	} else {
		delete(p.lastBusy, from)
	}
}

// Complete reports whether no peer's reports are missing: those of each that reported requests have
// gone on or have ended with an empty one.
func (p *PeerRequests) Complete(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	complete := true
	for from, at := range p.lastBusy {
		switch age := now.Sub(at); {
		case age >= lostReportTime:
			delete(p.lastBusy, from)
		case age >= p.reports.maxAge:
			complete = false
		}
	}
	return complete
}

// At returns the mean number of the peers' requests at some targets, in the order of keys.
func (p *PeerRequests) At(keys []Key, now time.Time) []float64 {
	requests := make([]float64, len(keys))
	p.reports.each(now, func(_ string, of RequestsByTarget, _ time.Duration) {
		for i, k := range keys {
			requests[i] += float64(of[k]) * RequestUnit
		}
	})
	return requests
}

// Reports returns each peer's report that has not expired. The reports must not be modified.
func (p *PeerRequests) Reports(now time.Time) map[string]RequestsByTarget {
	out := map[string]RequestsByTarget{}
	p.reports.each(now, func(from string, reported RequestsByTarget, _ time.Duration) { out[from] = reported })
	return out
}
