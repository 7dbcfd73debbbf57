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

// In a large fleet most instances ask the object store nothing: the watchers do, and the
// others go by their news. No news may mean that nothing changed, or that the store answers
// no watcher any more, which it may do without a word. So each instance keeps the age of its
// copies, see package fresh: ages come from whoever asked the store, down the tree. An
// instance whose copy has grown old asks the store itself. With a third of 91 instances cut
// off from the store, the watchers first, a change is in force at all within 2 s; where the
// successors of lost watchers were waited for it took up to 4 s, and more where these were
// cut off as well.

// Pace of ages, and what follows from them.
const (
	// stalenessPollInterval is how often a top asks the watchers for their ages. Others get them with
	// the directory of cache stores, see pullInterval, and everybody with probes.
	stalenessPollInterval = 250 * time.Millisecond
	// stalenessPolledTops is how many other tops it asks too: one of them may have asked the store
	// where no watcher could.
	stalenessPolledTops = 2
	// stalenessPollTimeout bounds the question: ages that come later than the next ones are no use.
	stalenessPollTimeout = 500 * time.Millisecond

	// topStaleMargin is how much older than a watcher's watch of a kind lasts a top's copy must be
	// for the top to ask the store itself. One watcher alone keeps it younger, since it is
	// asked every stalenessPollInterval. A configuration is asked for after 1.2 s then, which leaves more
	// than a second of the 2 to 3 s that a change may take for the spread of what is found.
	topStaleMargin = 400 * time.Millisecond
	// otherStaleMargin is the same for the others, which hear of what tops find within two steps
	// of the tree. Only where the tops are cut off too it is reached.
	otherStaleMargin = 1100 * time.Millisecond
	// staleDelayStep is how much later each staleDelayGroup of instances, by rank, asks than the one
	// before: what the first find reaches the rest, and few ask in vain. maxStaleDelay bounds
	// that, so that no rank is so low that a change comes too late.
	staleDelayStep  = 50 * time.Millisecond
	staleDelayGroup = 8
	maxStaleDelay   = 300 * time.Millisecond
	// minStalePoll is the shortest pause between two looks at the age.
	minStalePoll = 10 * time.Millisecond

	// firstSourceTTL is how long what changes after such a question counts as found by it: all
	// three kinds are asked for at once, and answers of a slow store take a quarter of it.
	firstSourceTTL = time.Second

	// maxAnswerTransit is the longest time that a watch's answer with changes is taken to have been
	// under way: a slow store's answers take 60 times the usual 4 ms.
	maxAnswerTransit = 300 * time.Millisecond

	// isolationTicks is for how many ticks of the control goroutine an instance must seem cut
	// off: one that stood still for a while hears its peers within that time.
	isolationTicks = 6
)

// watchValidAt is as of when a watch's answer holds. One without changes comes when the watch
// has waited its time; one with changes was under way for a while, or the call was.
func watchValidAt(asked, answered time.Time, waited time.Duration, changes int) time.Time {
	if changes == 0 && answered.Sub(asked) >= waited {
		return asked.Add(waited)
	}
	if at := answered.Add(-maxAnswerTransit); at.After(asked) {
		return at
	}
	return asked
}

// confirmComplete notes that all that the object store holds of a kind was told, as of a moment. It
// goes the way of what was told, and returns when both have taken effect.
func (g *Gateway) confirmComplete(k staleness.Kind, at time.Time) {
	g.queryControl(func(c *controlState) {
		c.noteStaleness()
		have := c.stateVersions()
		newest := [...]uint64{staleness.Config: have.Config, staleness.Targets: uint64(have.Targets), staleness.Versions: uint64(have.NamedVersions), staleness.Evacuations: uint64(have.Evacuations)}
		c.staleness.Confirm(k, newest[k], at)
	})
}

// noteStaleness tells the book of ages up to where the copies are complete.
func (c *controlState) noteStaleness() {
	if c.staleness == nil {
		return // nobody asks for ages
	}
	known := c.knownVersions()
	c.staleness.SetCopyRevision(staleness.Config, known.Config)
	c.staleness.SetCopyRevision(staleness.Targets, uint64(known.Targets))
	c.staleness.SetCopyRevision(staleness.Versions, uint64(known.NamedVersions))
	c.staleness.SetCopyRevision(staleness.Evacuations, uint64(known.Evacuations))
}

// staleAge is the age of a copy from which this instance asks the object store itself.
func (v *View) staleAge(f feed) time.Duration {
	if v.Tree.position().polls {
		return f.watcherTimeout + topStaleMargin
	}
	return f.watcherTimeout + otherStaleMargin + min(time.Duration(v.WatchRank/staleDelayGroup)*staleDelayStep, maxStaleDelay)
}

// timeUntilStale is how long a feed's copy will still be young enough, if nothing is heard.
func (g *Gateway) timeUntilStale(f feed) time.Duration {
	age, known := f.age()
	if !known {
		return updatePoll // it was listed just now, and that is to be noted yet
	}
	return g.view.Load().staleAge(f) - age
}

// updatePause is how long an instance that goes by news waits before it looks again whether it
// still may.
func (g *Gateway) updatePause(f feed, news bool) time.Duration {
	if !news || f.age == nil {
		return updatePoll
	}
	return min(max(g.timeUntilStale(f), minStalePoll), updatePoll)
}

// checkStale says whether an instance that goes by news must ask the object store about a kind.
// If the watchers are lost for one that is watched closely, they are for the others too.
func (g *Gateway) checkStale(f feed, news bool) bool {
	if !news || f.age == nil || g.timeUntilStale(f) > 0 {
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

// firstSourceUntil says that what comes next from the object store may be news to all.
type storeReadBegun struct{}

func (storeReadBegun) apply(c *controlState) { c.firstSourceUntil = c.now().Add(firstSourceTTL) }

// AgesRequest asks an instance for the ages of its copies.
type AgesRequest struct{}

// AgesReply is the answer.
type AgesReply struct {
	Staleness []staleness.Report `cbor:"1,keyasint,omitempty"`
}

// Ages answers a top's question.
func (h *peerHandler) Ages(_ *AgesRequest, out *AgesReply) error {
	out.Staleness = h.g.staleness.Reports(h.g.now())
	return nil
}

// pollStaleness keeps the ages at a top of the tree up to date.
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

// stalenessSources are the instances that a top asks: the watchers, and some other tops.
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

// fetchStaleness asks one instance. A lost answer is replaced by the next; silence is the business
// of probes.
func (g *Gateway) fetchStaleness(address string) {
	ctx, cancel := context.WithTimeout(g.ctx, stalenessPollTimeout)
	defer cancel()
	var out AgesReply
	asked := g.now()
	if g.pool.Call(ctx, address, peerService+".Ages", &AgesRequest{}, &out) == nil {
		g.staleness.Merge(out.Staleness, asked)
	}
}

// sincePeerContact is how long ago a peer answered last.
func (g *Gateway) sincePeerContact() time.Duration {
	return g.now().Sub(g.startedAt) - time.Duration(g.lastPeerContact.Load())
}

// isIsolated says whether this instance has company, and hears neither the object store nor
// anybody who might: what it holds may have been revoked, and others can serve its callers.
// Where peers answer and none of them hears the store either, the store is most likely away
// for all, and nothing is acknowledged meanwhile: it serves on.
func (c *controlState) isIsolated(peerAge time.Duration) bool {
	if c.staleness == nil || c.fleet.instances < 2 || peerAge < c.configWithin {
		return false
	}
	age, known := c.staleness.Age(staleness.Config, c.now())
	return known && age >= c.configWithin
}

// isolation is the belief that this instance is cut off.
type isolation struct {
	active bool
	ticks  int // for which it has seemed so
}

// update takes what seems so at a tick, and says whether the belief changed.
func (x *isolation) update(seems bool, l log.Interface) bool {
	x.ticks++
	if !seems {
		x.ticks = 0
	}
	was := x.active
	x.active = x.ticks >= isolationTicks
	switch {
	case x.active && !was:
		l.Warn("cut off from the object store and all peers: requests are refused")
	case was && !x.active:
		l.Info("no longer cut off: requests are taken again")
	}
	return was != x.active
}
