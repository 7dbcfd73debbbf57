package loadreport

import "time"

// MaxUnresponsive is how many unresponsive targets one report names, in some 0.6 kB. If there are
// more, whole zones are unreachable, which instances report to one another in another way.
const MaxUnresponsive = 64

// TargetAge is a target and the time since an event there, as encoded in a report: since it became
// unresponsive to the reporting instance, or since its last response to it.
type TargetAge struct {
	_      struct{} `cbor:",toarray"`
	Target Key
	AgeMS  int64 // time since the event
}

// UnresponsiveTargets holds the peers' latest reports of targets that have answered none of their
// requests, and of those targets that have responded to another instance since: a target with a
// long queue is unresponsive to some instances and answers others. It is safe for use by several
// goroutines. Use NewUnresponsiveTargets.
type UnresponsiveTargets struct {
	unresponsive *latestReports[timeByTarget]
	responded    *latestReports[timeByTarget] // time of each target's last response
}

// timeByTarget is one report's time for each target: since when it has been unresponsive, or when
// it last responded.
type timeByTarget map[Key]time.Time

// NewUnresponsiveTargets returns an empty table. A report expires after maxAge.
func NewUnresponsiveTargets(maxAge time.Duration) *UnresponsiveTargets {
	return &UnresponsiveTargets{unresponsive: newLatestReports[timeByTarget](maxAge), responded: newLatestReports[timeByTarget](maxAge)}
}

// Apply keeps a peer's report of unresponsive targets, unless a newer one is known.
func (s *UnresponsiveTargets) Apply(from string, seq uint64, reported []TargetAge, now time.Time) {
	reported = reported[:min(len(reported), MaxUnresponsive)]
	since := make(timeByTarget, len(reported))
	for _, t := range reported {
		since.keepEarliest(t.Target, now.Add(-time.Duration(t.AgeMS)*time.Millisecond))
	}
	s.unresponsive.apply(from, seq, since, now)
}

// ApplyResponses keeps a peer's report of targets that responded to it AgeMS ago, unless a newer
// one is known.
func (s *UnresponsiveTargets) ApplyResponses(from string, seq uint64, reported []TargetAge, now time.Time) {
	reported = reported[:min(len(reported), MaxUnresponsive)]
	responses := make(timeByTarget, len(reported))
	for _, t := range reported {
		responses[t.Target] = now.Add(-time.Duration(t.AgeMS) * time.Millisecond)
	}
	s.responded.apply(from, seq, responses, now)
}

// keepEarliest notes since when a target has been unresponsive, unless an earlier time is known.
func (w timeByTarget) keepEarliest(k Key, since time.Time) {
	if known, ok := w[k]; !ok || since.Before(known) {
		w[k] = since
	}
}

// Since returns the earliest time from which a target has been unresponsive to a peer. It returns
// zero if it is unresponsive to none, or if it has responded to another peer since.
func (s *UnresponsiveTargets) Since(k Key, now time.Time) time.Time {
	first, lastResponse := s.earliest(k, now), time.Time{}
	s.responded.each(now, func(_ string, responses timeByTarget, _ time.Duration) {
		if response := responses[k]; response.After(lastResponse) {
			lastResponse = response
		}
	})
	if lastResponse.After(first) {
		return time.Time{}
	}
	return first
}

// earliest returns the earliest time from which a target has been unresponsive to a peer.
func (s *UnresponsiveTargets) earliest(k Key, now time.Time) time.Time {
	var first time.Time
	s.unresponsive.each(now, func(_ string, times timeByTarget, _ time.Duration) {
		if since, ok := times[k]; ok && (first.IsZero() || since.Before(first)) {
			first = since
		}
	})
	return first
}

// Reports returns each peer's report of unresponsive targets that has not expired.
func (s *UnresponsiveTargets) Reports(now time.Time) map[string][]TargetAge {
	return ageReports(s.unresponsive, now)
}

// ResponseReports returns each peer's report of target responses that has not expired.
func (s *UnresponsiveTargets) ResponseReports(now time.Time) map[string][]TargetAge {
	return ageReports(s.responded, now)
}

// ageReports converts the times of reports back to ages.
func ageReports(reports *latestReports[timeByTarget], now time.Time) map[string][]TargetAge {
	out := map[string][]TargetAge{}
	reports.each(now, func(from string, times timeByTarget, _ time.Duration) {
		for k, since := range times {
			out[from] = append(out[from], TargetAge{Target: k, AgeMS: now.Sub(since).Milliseconds()})
		}
	})
	return out
}
