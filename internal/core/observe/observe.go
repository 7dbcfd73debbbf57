// Package observe derives the routing state of targets from probes, peers'
// digests, the target list and the configuration. It is pure: all of these are
// passed in with their times, and the result is a list of route.Target.
//
// Only a few instances probe each target (see Observers). They inform the others
// by digests on messages that are sent anyway. A changed state is sent in the next
// messages; an unchanged one is refreshed at an interval that grows with the
// number of targets, so that the cost for each instance stays bounded.
package observe

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/core/route"
)

// Params are the thresholds and rates of a Tracker.
type Params struct {
	FailureThreshold   int           // consecutive failed probes after which a target is suspect
	ReportTimeout      time.Duration // least age of the newest report at which a target is suspect; reportTimeout adds to it
	MaxDigests         int           // maximum number of digests in a message
	MinRefreshInterval time.Duration // minimum time between two refreshes of a target
	RefreshesPerSecond float64       // maximum rate of refreshes for all targets together
}

// messagesPerHeartbeat is how many messages with digests an instance sends in a
// heartbeat period: a probe of a peer and, on average, a reply to one.
const messagesPerHeartbeat = 2

// ParamsFor returns parameters for members that probe one another once a
// heartbeat. The refresh rate is what the messages can carry if each update is
// sent sendsPerUpdate times. At a higher rate, updates would queue up and be older
// when they arrive.
func ParamsFor(heartbeat time.Duration) Params {
	p := Params{FailureThreshold: 3, ReportTimeout: 20 * heartbeat, MaxDigests: 10, MinRefreshInterval: heartbeat / 2}
	p.RefreshesPerSecond = messagesPerHeartbeat / heartbeat.Seconds() * float64(p.MaxDigests) / sendsPerUpdate
	return p
}

// DefaultParams are for a heartbeat of 0.5 s: 10 refreshes per second.
var DefaultParams = ParamsFor(500 * time.Millisecond)

// ObserverCount is the number of instances that probe each target.
const ObserverCount = 3

// Observers returns the instances that probe a target: those with the highest
// rendezvous scores, the first two of them in different zones if possible.
// Instances that see the same members compute the same observers, so when one
// fails the next takes over without coordination.
func Observers(target string, members []Observer) []string {
	type scored struct {
		Observer
		score uint64
	}
	ranked := make([]scored, len(members))
	var hash xxhash.Digest
	for i, m := range members {
		hash.Reset()
		_, _ = hash.WriteString(m.Name)
		_, _ = hash.WriteString(target)
		ranked[i] = scored{m, hash.Sum64()}
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	if i := slices.IndexFunc(ranked, func(o scored) bool { return o.Zone != ranked[0].Zone }); i > 1 {
		other := ranked[i]
		ranked = slices.Insert(slices.Delete(ranked, i, i+1), 1, other)
	}
	out := make([]string, 0, ObserverCount)
	for _, o := range ranked[:min(len(ranked), ObserverCount)] {
		out = append(out, o.Name)
	}
	return out
}

// Observer is an instance that can probe targets.
type Observer struct{ Name, Zone string }

// Spec is the configuration of a target.
type Spec struct {
	Name, Address, Zone, Model string
	Slots                      int
	Drained                    bool
}

// Report is what a target reports about itself in response to a probe.
type Report struct {
	Version      string
	Adapters     []string
	Leaving      bool
	Loading      bool
	Running      int
	QueuedTokens int           // prompt tokens waiting
	Age          time.Duration // time since the report was read
	RTT          time.Duration
}

// Digest is the state of a target as instances send it to each other.
type Digest struct {
	Name         string   `cbor:"1,keyasint"`
	Address      string   `cbor:"2,keyasint"`
	ReportAgeMS  uint32   `cbor:"3,keyasint"` // time since an observer read the report, ms
	Down         bool     `cbor:"4,keyasint,omitempty"`
	Leaving      bool     `cbor:"5,keyasint,omitempty"`
	Loading      bool     `cbor:"6,keyasint,omitempty"`
	Version      string   `cbor:"7,keyasint,omitempty"`
	Adapters     []string `cbor:"8,keyasint,omitempty"`
	Running      uint32   `cbor:"9,keyasint,omitempty"`
	QueuedTokens uint32   `cbor:"10,keyasint,omitempty"`
}

// sameRouting reports whether two digests lead to the same routing state, version
// and adapters.
func (d *Digest) sameRouting(o *Digest) bool {
	return d.Down == o.Down && d.Leaving == o.Leaving && d.Loading == o.Loading && d.Version == o.Version && slices.Equal(d.Adapters, o.Adapters)
}

type targetEntry struct {
	spec            Spec
	latest          Digest        // newest digest, own or from a peer; ReportAgeMS is unused
	reportedAt      time.Time     // when an observer read the newest report; zero if there is none
	rtt             time.Duration // round-trip time of the last own probe
	failedProbes    int           // consecutive failed own probes
	listedAsLeaving bool          // the target list says that it is leaving
	ejectedUntil    time.Time     // gets no new requests before this time
	timesSent       int           // how often the newest digest was sent
	lastQueuedAt    time.Time     // when the newest digest was last queued for sending
}

// Tracker holds the state of all targets. It is not safe for concurrent use.
type Tracker struct {
	params  Params
	entries map[string]*targetEntry
	names   []string
}

// New returns a tracker without targets.
func New(p Params) *Tracker { return &Tracker{params: p, entries: map[string]*targetEntry{}} }

// SetTargets replaces the set of targets. The state of a target is kept unless its
// address changed, which means that it runs on a new machine.
func (t *Tracker) SetTargets(specs []Spec) {
	next := make(map[string]*targetEntry, len(specs))
	t.names = t.names[:0]
	for _, s := range specs {
		e := t.entries[s.Name]
		if e == nil || e.spec.Address != s.Address {
			e = &targetEntry{timesSent: sendsPerUpdate}
		}
		e.spec = s
		next[s.Name] = e
		t.names = append(t.names, s.Name)
	}
	t.entries = next
}

// RecordReport records a report that this instance has read itself.
func (t *Tracker) RecordReport(name string, r Report, now time.Time) {
	e := t.entries[name]
	if e == nil {
		return
	}
	e.failedProbes, e.rtt = 0, r.RTT
	t.applyDigest(e, Digest{Name: name, Address: e.spec.Address, Leaving: r.Leaving, Loading: r.Loading, Version: r.Version, Adapters: r.Adapters,
		Running: uint32(max(r.Running, 0)), QueuedTokens: uint32(max(r.QueuedTokens, 0))}, now.Add(-r.Age), now)
}

// RecordFailure records a failed probe by this instance. Once FailureThreshold
// probes in a row have failed, the target is marked down and peers are informed.
func (t *Tracker) RecordFailure(name string, now time.Time) {
	e := t.entries[name]
	if e == nil {
		return
	}
	if e.failedProbes++; e.failedProbes >= t.params.FailureThreshold {
		d := e.latest
		d.Name, d.Address, d.Down = name, e.spec.Address, true
		t.applyDigest(e, d, now, now)
	}
}

// MergeDigests merges the digests of a peer. It ignores those for unknown targets
// or old addresses, and those over the limits below.
func (t *Tracker) MergeDigests(digests []Digest, now time.Time) {
	for i := range digests {
		d := digests[i]
		e := t.entries[d.Name]
		if e == nil || e.spec.Address != d.Address || len(d.Version) > maxVersionBytes || len(d.Adapters) > maxAdapters {
			continue
		}
		t.applyDigest(e, d, now.Add(-time.Duration(d.ReportAgeMS)*time.Millisecond), now)
	}
}

// Limits on the contents of a peer's digest.
const (
	maxVersionBytes = 128
	maxAdapters     = 256
)

// applyDigest stores a digest that is newer than the known one. It queues it for
// sending if the state changed or a refresh is due.
func (t *Tracker) applyDigest(e *targetEntry, d Digest, reportedAt, now time.Time) {
	if !reportedAt.After(e.reportedAt) && !e.reportedAt.IsZero() {
		return
	}
	changed := e.reportedAt.IsZero() || !e.latest.sameRouting(&d)
	e.latest, e.reportedAt = d, reportedAt
	if changed || now.Sub(e.lastQueuedAt) >= t.refreshInterval() {
		e.timesSent, e.lastQueuedAt = 0, now
	}
}

// refreshInterval is the minimum time between two refreshes of a target whose
// state is unchanged. It grows with the number of targets, so that their total
// rate stays within RefreshesPerSecond.
func (t *Tracker) refreshInterval() time.Duration {
	return max(t.params.MinRefreshInterval, time.Duration(float64(len(t.names))/t.params.RefreshesPerSecond*float64(time.Second)))
}

// reportTimeout is the age of the newest report at which a target is suspect. It
// covers the failure of all observers of a target; a target that is down is
// announced by its observers at once.
func (t *Tracker) reportTimeout() time.Duration {
	return t.params.ReportTimeout + timeoutRefreshes*t.refreshInterval()
}

const (
	sendsPerUpdate   = 4 // how many messages carry each update
	timeoutRefreshes = 3 // refresh intervals added to Params.ReportTimeout
)

// NextUpdates returns the digests for the next message, those sent least often
// first.
func (t *Tracker) NextUpdates(now time.Time) []Digest {
	var pending []*targetEntry
	for _, name := range t.names {
		if e := t.entries[name]; e.timesSent < sendsPerUpdate && !e.reportedAt.IsZero() {
			pending = append(pending, e)
		}
	}
	slices.SortStableFunc(pending, func(a, b *targetEntry) int { return cmp.Compare(a.timesSent, b.timesSent) })
	out := make([]Digest, 0, min(len(pending), t.params.MaxDigests))
	for _, e := range pending[:min(len(pending), t.params.MaxDigests)] {
		d := e.latest
		d.ReportAgeMS = uint32(max(now.Sub(e.reportedAt), 0) / time.Millisecond)
		out = append(out, d)
		e.timesSent++
	}
	return out
}

// AllDigests returns the digests of all observed targets, for an instance that
// joins.
func (t *Tracker) AllDigests(now time.Time) []Digest {
	var out []Digest
	for _, name := range t.names {
		if e := t.entries[name]; !e.reportedAt.IsZero() {
			d := e.latest
			d.ReportAgeMS = uint32(max(now.Sub(e.reportedAt), 0) / time.Millisecond)
			out = append(out, d)
		}
	}
	return out
}

// Eject makes a target suspect until the given time, because requests to it fail.
func (t *Tracker) Eject(name string, until time.Time) {
	if e := t.entries[name]; e != nil {
		e.ejectedUntil = until
	}
}

// SetLeaving sets which targets are leaving according to the target list, which
// may lag.
func (t *Tracker) SetLeaving(leaving map[string]bool) {
	for name, e := range t.entries {
		e.listedAsLeaving = leaving[name]
	}
}

// AllObserved reports whether each target has had a report or a failed probe.
func (t *Tracker) AllObserved() bool {
	for _, e := range t.entries {
		if e.reportedAt.IsZero() && e.failedProbes == 0 {
			return false
		}
	}
	return true
}

// Targets returns the state of all targets, in the order of SetTargets.
func (t *Tracker) Targets(now time.Time) []route.Target {
	out := make([]route.Target, 0, len(t.names))
	for _, name := range t.names {
		e := t.entries[name]
		latest := &e.latest
		out = append(out, route.Target{
			Name: e.spec.Name, Address: e.spec.Address, Zone: e.spec.Zone, Model: e.spec.Model,
			Version: latest.Version, Adapters: latest.Adapters, State: t.routingState(e, now), Slots: e.spec.Slots,
			Running: int(latest.Running), QueuedTokens: int(latest.QueuedTokens), ReportAgeMS: milliseconds(now.Sub(e.reportedAt)), RTTMS: milliseconds(e.rtt) / 2,
		})
	}
	return out
}

// routingState checks the conditions in order of precedence: drained by an
// operator, leaving by any source, not observed, suspect (down, timed out or
// ejected), loading.
func (t *Tracker) routingState(e *targetEntry, now time.Time) route.State {
	switch {
	case e.spec.Drained:
		return route.Draining
	case e.listedAsLeaving || e.latest.Leaving:
		return route.Leaving
	case e.reportedAt.IsZero() && e.failedProbes == 0:
		return route.Unknown
	case e.latest.Down, e.reportedAt.IsZero(), now.Sub(e.reportedAt) > t.reportTimeout(), now.Before(e.ejectedUntil):
		return route.Suspect
	case e.latest.Loading:
		return route.Unknown
	}
	return route.Ready
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
