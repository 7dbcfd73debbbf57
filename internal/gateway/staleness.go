package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// In a large fleet most instances do not read the object store: the watchers do, and the
// others rely on their updates. The absence of updates may mean that nothing changed, or that
// the store answers no watcher any more, possibly without closing connections. So each
// instance tracks the staleness of its copies, see package staleness: staleness reports
// originate at instances that read the store and are relayed down the tree. An instance whose
// copy is too stale reads the store itself. With a third of 91 instances unable to reach the
// store, the watchers first, a change is in force at all instances within 2 s. Waiting for
// the successors of the lost watchers instead took up to 4 s, and more where these could not
// reach the store either.

// Intervals of staleness reports, and thresholds derived from them.
const (
	// stalenessPollInterval is how often a top requests the staleness reports of the
	// watchers. Other instances receive reports with the directory of cache stores, see
	// pullInterval, and all instances receive them with probes.
	stalenessPollInterval = 250 * time.Millisecond
	// stalenessPolledTops is how many other tops it polls as well: one of them may have read
	// the store when no watcher could.
	stalenessPolledTops = 2
	// stalenessPollTimeout bounds one poll: reports that arrive after the next ones are
	// useless.
	stalenessPollTimeout = 500 * time.Millisecond

	// topStaleMargin is added to a watcher's watch timeout for a kind: a top whose copy is
	// older than the sum reads the store itself. One working watcher is enough to keep the
	// copy younger, since it is polled every stalenessPollInterval. A configuration is thus
	// read after 1.2 s, which leaves more than one of the 2 to 3 s that a change may take
	// for spreading it.
	topStaleMargin = 400 * time.Millisecond
	// otherStaleMargin is the same for other instances. They receive what tops find within
	// two hops of the tree, so the margin is only exceeded if no top reaches the store
	// either.
	otherStaleMargin = 1100 * time.Millisecond
	// staleDelayStep is how much later each group of staleDelayGroup instances, by rank,
	// reads the store than the group before: what the first groups find reaches the rest, so
	// that few instances read needlessly. maxStaleDelay bounds the delay, so that changes do
	// not arrive too late at instances of low rank.
	staleDelayStep  = 50 * time.Millisecond
	staleDelayGroup = 8
	maxStaleDelay   = 300 * time.Millisecond
	// minStalePoll is the minimum pause between two checks of the age.
	minStalePoll = 10 * time.Millisecond

	// firstSourceTTL is how long after an instance read the store because of a stale copy its
	// changes are attributed to that read: all three kinds are read at the same time, and
	// responses of a slow store take a quarter of this time.
	firstSourceTTL = time.Second

	// maxResponseTransit is the longest assumed transit time of a watch response with changes:
	// responses of a slow store take 60 times the usual 4 ms.
	maxResponseTransit = 300 * time.Millisecond

	// isolationTicks is the number of consecutive ticks of the control goroutine for which an
	// instance must appear isolated: a process that was paused for a while receives messages
	// of its peers within that time.
	isolationTicks = 6
)

// watchValidAt returns the time as of which a watch response is valid. A response without
// changes that arrives after the watch's timeout is valid as of that timeout. Any other may
// have spent up to maxResponseTransit in transit, but is not older than the request; it was sent by
// the watch's timeout, however late a link or a process that stood still let it arrive.
func watchValidAt(requestedAt, respondedAt time.Time, timeout time.Duration, changes int) time.Time {
	expiredAt := requestedAt.Add(timeout)
	if changes == 0 && !respondedAt.Before(expiredAt) {
		return expiredAt
	}
	if respondedAt.After(expiredAt) {
		respondedAt = expiredAt
	}
	if at := respondedAt.Add(-maxResponseTransit); at.After(requestedAt) {
		return at
	}
	return requestedAt
}

// confirmComplete records that everything the object store held of a kind at a time has been
// received. It goes through the control goroutine behind the received events, and returns
// when both have been applied.
func (g *Gateway) confirmComplete(k staleness.Kind, at time.Time) {
	g.queryControl(func(c *controlState) {
		c.noteStaleness()
		versions := c.stateVersions()
		newest := [...]uint64{staleness.Config: versions.Config, staleness.Targets: uint64(versions.Targets), staleness.Versions: uint64(versions.NamedVersions), staleness.Evacuations: uint64(versions.Evacuations)}
		c.staleness.Confirm(k, newest[k], at)
	})
}

// noteStaleness passes the revisions up to which the copies are complete to the staleness
// tracker.
func (c *controlState) noteStaleness() {
	if c.staleness == nil {
		return // staleness is not tracked
	}
	known := c.knownVersions()
	c.staleness.SetCopyRevision(staleness.Config, known.Config)
	c.staleness.SetCopyRevision(staleness.Targets, uint64(known.Targets))
	c.staleness.SetCopyRevision(staleness.Versions, uint64(known.NamedVersions))
	c.staleness.SetCopyRevision(staleness.Evacuations, uint64(known.Evacuations))
}

// staleAge returns the age of a copy from which this instance reads the object store itself.
func (v *View) staleAge(f feed) time.Duration {
	if v.Tree.position().polls {
		return f.watcherTimeout + topStaleMargin
	}
	return f.watcherTimeout + otherStaleMargin + min(time.Duration(v.WatchRank/staleDelayGroup)*staleDelayStep, maxStaleDelay)
}

// timeUntilStale returns how long a feed's copy stays recent enough if no report arrives.
func (g *Gateway) timeUntilStale(f feed) time.Duration {
	age, known := f.age()
	if !known {
		return updatePoll // it has just been listed, which is not recorded yet
	}
	return g.view.Load().staleAge(f) - age
}

// updatePause returns how long an instance that relies on peers waits before it checks again
// whether it still may.
func (g *Gateway) updatePause(f feed, viaPeers bool) time.Duration {
	if !viaPeers || f.age == nil {
		return updatePoll
	}
	return min(max(g.timeUntilStale(f), minStalePoll), updatePoll)
}

// checkStale reports whether an instance that relies on peers must read a kind from the
// object store, and then also triggers a read of the kinds in f.alsoRefresh: watchers that
// are lost for a kind with a short watch timeout are lost for the others too.
func (g *Gateway) checkStale(f feed, viaPeers bool) bool {
	if !viaPeers || f.age == nil || g.timeUntilStale(f) > 0 {
		return false
	}
	age, _ := f.age()
	g.log.WithField("kind", f.kind).WithField("age_ms", age.Milliseconds()).WithField("rank", g.view.Load().WatchRank).Info("news in doubt, asking the object store")
	metric.UpdatesBypassed.Inc()
	g.sendEvent(storeReadBegun{})
	for _, due := range f.alsoRefresh {
		due.Raise()
	}
	return true
}

// storeReadBegun is the event that this instance reads the object store because its copy is
// stale: changes that it receives next may be new to all instances.
type storeReadBegun struct{}

func (storeReadBegun) apply(c *controlState) { c.firstSourceUntil = c.now().Add(firstSourceTTL) }

// AgesRequest asks an instance for the staleness of its copies.
type AgesRequest struct{}

// AgesReply is the reply to an AgesRequest.
type AgesReply struct {
	Staleness []staleness.Report `cbor:"1,keyasint,omitempty"`
}

// Ages returns the staleness reports of this instance.
func (h *peerHandler) Ages(_ *AgesRequest, out *AgesReply) error {
	out.Staleness = h.g.staleness.Reports(h.g.now())
	return nil
}

// pollStaleness keeps the staleness reports of a top of the relay tree up to date.
func (g *Gateway) pollStaleness(ctx context.Context) {
	for wait.For(ctx, stalenessPollInterval*3/4+rand.N(stalenessPollInterval/2)) {
		v := g.view.Load()
		if v.Tree.small || !v.Tree.position().polls {
			continue
		}
		for _, m := range v.stalenessSources() {
			g.spawn(func() { g.fetchStaleness(m.Address) })
		}
	}
}

// stalenessSources returns the instances that a top polls: the watchers and some other tops.
func (v *View) stalenessSources() []member.Member {
	watching := map[string]bool{}
	for _, name := range v.Watchers {
		watching[name] = true
	}
	var out []member.Member
	for _, m := range v.Peers {
		if watching[m.Name] && m.Name != v.Tree.self {
			out = append(out, m)
		}
	}
	tops := v.Tree.otherTops()
	rand.Shuffle(len(tops), func(i, j int) { tops[i], tops[j] = tops[j], tops[i] })
	return append(out, tops[:min(len(tops), stalenessPolledTops)]...)
}

// fetchStaleness polls one instance and ignores errors: the next reply replaces a lost one,
// and probes detect failed peers.
func (g *Gateway) fetchStaleness(address string) {
	ctx, cancel := context.WithTimeout(g.ctx, stalenessPollTimeout)
	defer cancel()
	var out AgesReply
	sentAt := g.now()
	if g.pool.Call(ctx, address, peerService+".Ages", &AgesRequest{}, &out) == nil {
		g.staleness.Merge(out.Staleness, sentAt)
	}
}

// sincePeerContact returns the time since a peer last answered.
func (g *Gateway) sincePeerContact() time.Duration {
	return g.now().Sub(g.startedAt) - time.Duration(g.lastPeerContact.Load())
}

// isIsolated reports whether this instance is one of several and reaches neither the object
// store nor a peer that might. Its state may then have been revoked, and the other instances
// can serve its callers. If peers answer but none of them reaches the store either, the store
// is most likely down for all and no change is acknowledged meanwhile, so the instance keeps
// serving.
func (c *controlState) isIsolated(sincePeerContact time.Duration) bool {
	if c.staleness == nil || c.fleet.instances < 2 || sincePeerContact < c.configWithin {
		return false
	}
	age, known := c.staleness.Age(staleness.Config, c.now())
	return known && age >= c.configWithin
}

// isolation tracks whether this instance counts as isolated.
type isolation struct {
	active bool
	ticks  int // consecutive ticks for which it has appeared isolated
}

// update records whether the instance appears isolated at a tick, and reports whether the
// state changed.
func (i *isolation) update(seemsIsolated bool, l log.Interface) bool {
	i.ticks++
	if !seemsIsolated {
		i.ticks = 0
	}
	wasActive := i.active
	i.active = i.ticks >= isolationTicks
	switch {
	case i.active && !wasActive:
		l.Warn("cut off from the object store and all peers: requests are refused")
	case wasActive && !i.active:
		l.Info("no longer cut off: requests are accepted again")
	}
	return wasActive != i.active
}
