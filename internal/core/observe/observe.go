// Package observe turns what is heard about targets into their routing state.
// It is pure: own probes, other instances' digests, the lagging list and the
// configuration go in with the time they were met; a list of route.Target
// comes out.
//
// Each target is probed by a few instances only (see Observers), which tell the
// others by digests on messages that are sent anyway. A change of state spreads
// at once, a mere refresh at a pace that the number of targets sets, so that
// the cost an instance stays bounded.
package observe

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/core/route"
)

// Params are the tracker's bounds.
type Params struct {
	Failures int           // consecutive failed probes until a target is suspect
	Silence  time.Duration // age of the last report at which a target is suspect
	Digests  int           // digests on one message
	Refresh  time.Duration // least time between two refreshes of one target
	PerSec   float64       // refreshes a second over all targets
}

// messagesPerBeat is how many messages with digests an instance writes in one
// heartbeat period: a probe, and on the average an answer to one.
const messagesPerBeat = 2

// ParamsFor suits members that probe one another every beat. The rate of
// refreshes is what the messages can carry, each told spreadTimes: a higher one
// would only make every word older on its way.
func ParamsFor(beat time.Duration) Params {
	p := Params{Failures: 3, Silence: 20 * beat, Digests: 10, Refresh: beat / 2}
	p.PerSec = messagesPerBeat / beat.Seconds() * float64(p.Digests) / spreadTimes
	return p
}

// DefaultParams suit a heartbeat of half a second: 10 refreshes a second.
var DefaultParams = ParamsFor(500 * time.Millisecond)

// ObserverCount is how many instances probe one target.
const ObserverCount = 3

// Observers returns the instances that probe a target: the highest rendezvous
// scores, with the first two in different zones where there are any. Any
// instance that sees the same members finds the same ones; when one dies the
// next takes over by that alone.
func Observers(target string, members []Observer) []string {
	type scored struct {
		Observer
		score uint64
	}
	ranked := make([]scored, len(members))
	var digest xxhash.Digest
	for i, m := range members {
		digest.Reset()
		_, _ = digest.WriteString(m.Name)
		_, _ = digest.WriteString(target)
		ranked[i] = scored{m, digest.Sum64()}
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

// Observer is an instance that may probe targets.
type Observer struct{ Name, Zone string }

// Spec is a target as configured.
type Spec struct {
	Name, Address, Zone, Model string
	Slots                      int
	Drained                    bool
}

// Report is a target's word about itself.
type Report struct {
	Version  string
	Adapters []string
	Leaving  bool
	Loading  bool
	Running  int
	Queued   int           // prompt tokens
	Age      time.Duration // when it was read
	RTT      time.Duration
}

// Digest is what one instance tells another of a target.
type Digest struct {
	Name     string   `cbor:"1,keyasint"`
	Address  string   `cbor:"2,keyasint"`
	AgeMS    uint32   `cbor:"3,keyasint"` // since an observer read it
	Down     bool     `cbor:"4,keyasint,omitempty"`
	Leaving  bool     `cbor:"5,keyasint,omitempty"`
	Loading  bool     `cbor:"6,keyasint,omitempty"`
	Version  string   `cbor:"7,keyasint,omitempty"`
	Adapters []string `cbor:"8,keyasint,omitempty"`
	Running  uint32   `cbor:"9,keyasint,omitempty"`
	Queued   uint32   `cbor:"10,keyasint,omitempty"`
}

// same says whether two digests call for the same routing.
func (d *Digest) same(o *Digest) bool {
	return d.Down == o.Down && d.Leaving == o.Leaving && d.Loading == o.Loading && d.Version == o.Version && slices.Equal(d.Adapters, o.Adapters)
}

type entry struct {
	spec     Spec
	known    Digest        // newest word, own or another's; AgeMS is unused
	at       time.Time     // when an observer read it; zero before the first
	rtt      time.Duration // of the last own probe
	failures int           // own probes in a row
	listed   bool          // the list says that it leaves
	ejected  time.Time     // no new work until then
	sent     int           // times the newest word was told on
	spread   time.Time     // when it last became worth telling
}

// Tracker holds all targets. It belongs to one goroutine.
type Tracker struct {
	p       Params
	entries map[string]*entry
	order   []string
}

// New returns a tracker without targets.
func New(p Params) *Tracker { return &Tracker{p: p, entries: map[string]*entry{}} }

// Declare replaces the set of targets. What is known of a target that keeps
// its address is kept; a new address is a new machine.
func (t *Tracker) Declare(specs []Spec) {
	next := make(map[string]*entry, len(specs))
	t.order = t.order[:0]
	for _, s := range specs {
		e := t.entries[s.Name]
		if e == nil || e.spec.Address != s.Address {
			e = &entry{sent: spreadTimes}
		}
		e.spec = s
		next[s.Name] = e
		t.order = append(t.order, s.Name)
	}
	t.entries = next
}

// Heard takes a report that this instance read itself at now.
func (t *Tracker) Heard(name string, r Report, now time.Time) {
	e := t.entries[name]
	if e == nil {
		return
	}
	e.failures, e.rtt = 0, r.RTT
	t.accept(e, Digest{Name: name, Address: e.spec.Address, Leaving: r.Leaving, Loading: r.Loading, Version: r.Version, Adapters: r.Adapters,
		Running: uint32(max(r.Running, 0)), Queued: uint32(max(r.Queued, 0))}, now.Add(-r.Age), now)
}

// Failed takes one own probe that brought no report. Enough of them in a row
// are a word worth telling.
func (t *Tracker) Failed(name string, now time.Time) {
	e := t.entries[name]
	if e == nil {
		return
	}
	if e.failures++; e.failures >= t.p.Failures {
		d := e.known
		d.Name, d.Address, d.Down = name, e.spec.Address, true
		t.accept(e, d, now, now)
	}
}

// Told takes another instance's digests.
func (t *Tracker) Told(digests []Digest, now time.Time) {
	for i := range digests {
		d := digests[i]
		e := t.entries[d.Name]
		if e == nil || e.spec.Address != d.Address || len(d.Version) > maxText || len(d.Adapters) > maxAdapters {
			continue
		}
		t.accept(e, d, now.Add(-time.Duration(d.AgeMS)*time.Millisecond), now)
	}
}

// Bounds on what another instance may say.
const (
	maxText     = 128
	maxAdapters = 256
)

// accept takes the newer word and decides whether it is worth telling on.
func (t *Tracker) accept(e *entry, d Digest, at, now time.Time) {
	if !at.After(e.at) && !e.at.IsZero() {
		return
	}
	changed := e.at.IsZero() || !e.known.same(&d)
	e.known, e.at = d, at
	if changed || now.Sub(e.spread) >= t.refresh() {
		e.sent, e.spread = 0, now
	}
}

// refresh is the least time between two tellings of an unchanged target: it
// grows with their number, so that all of them together keep to one rate.
func (t *Tracker) refresh() time.Duration {
	return max(t.p.Refresh, time.Duration(float64(len(t.order))/t.p.PerSec*float64(time.Second)))
}

// silence is the age of the newest word at which a target is suspect. A target
// that is down is told of at once; silence covers the death of its observers.
func (t *Tracker) silence() time.Duration { return t.p.Silence + silenceRefreshes*t.refresh() }

const (
	spreadTimes      = 4 // tellings of one word
	silenceRefreshes = 3
)

// News returns the digests for one message: those told least often first.
func (t *Tracker) News(now time.Time) []Digest {
	var fresh []*entry
	for _, name := range t.order {
		if e := t.entries[name]; e.sent < spreadTimes && !e.at.IsZero() {
			fresh = append(fresh, e)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *entry) int { return cmp.Compare(a.sent, b.sent) })
	out := make([]Digest, 0, min(len(fresh), t.p.Digests))
	for _, e := range fresh[:min(len(fresh), t.p.Digests)] {
		d := e.known
		d.AgeMS = uint32(max(now.Sub(e.at), 0) / time.Millisecond)
		out = append(out, d)
		e.sent++
	}
	return out
}

// All returns a digest of every target known, for an instance that joins.
func (t *Tracker) All(now time.Time) []Digest {
	var out []Digest
	for _, name := range t.order {
		if e := t.entries[name]; !e.at.IsZero() {
			d := e.known
			d.AgeMS = uint32(max(now.Sub(e.at), 0) / time.Millisecond)
			out = append(out, d)
		}
	}
	return out
}

// Eject keeps new work from a target until a time, because runs there fail.
func (t *Tracker) Eject(name string, until time.Time) {
	if e := t.entries[name]; e != nil {
		e.ejected = until
	}
}

// Listed takes the lagging list: the names that it says are leaving.
func (t *Tracker) Listed(leaving map[string]bool) {
	for name, e := range t.entries {
		e.listed = leaving[name]
	}
}

// Settled says whether something was heard of every target, good or bad.
func (t *Tracker) Settled() bool {
	for _, e := range t.entries {
		if e.at.IsZero() && e.failures == 0 {
			return false
		}
	}
	return true
}

// Targets returns the state of all targets at now, in the order declared.
func (t *Tracker) Targets(now time.Time) []route.Target {
	out := make([]route.Target, 0, len(t.order))
	for _, name := range t.order {
		e := t.entries[name]
		k := &e.known
		out = append(out, route.Target{
			Name: e.spec.Name, Address: e.spec.Address, Zone: e.spec.Zone, Model: e.spec.Model,
			Version: k.Version, Adapters: k.Adapters, State: t.state(e, now), Slots: e.spec.Slots,
			Running: int(k.Running), QueuedTokens: int(k.Queued), ReportAgeMS: ms(now.Sub(e.at)), RTTMS: ms(e.rtt) / 2,
		})
	}
	return out
}

// state applies the strongest word first: an operator's drain, then leaving by
// any source, then failure and silence.
func (t *Tracker) state(e *entry, now time.Time) route.State {
	switch {
	case e.spec.Drained:
		return route.Draining
	case e.listed || e.known.Leaving:
		return route.Leaving
	case e.at.IsZero() && e.failures == 0:
		return route.Unknown
	case e.known.Down, e.at.IsZero(), now.Sub(e.at) > t.silence(), now.Before(e.ejected):
		return route.Suspect
	case e.known.Loading:
		return route.Unknown
	}
	return route.Ready
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
