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
	// agesEvery is how often a top asks the watchers for their ages. Others get them with
	// the directory of cache stores, see pullGap, and everybody with probes.
	agesEvery = 250 * time.Millisecond
	// agesOfTops is how many other tops it asks too: one of them may have asked the store
	// where no watcher could.
	agesOfTops = 2
	// agesTimeout bounds the question: ages that come later than the next ones are no use.
	agesTimeout = 500 * time.Millisecond

	// topDoubt is how much older than a watcher's watch of a kind lasts a top's copy must be
	// for the top to ask the store itself. One watcher alone keeps it younger, since it is
	// asked every agesEvery. A configuration is asked for after 1.2 s then, which leaves more
	// than a second of the 2 to 3 s that a change may take for the spread of what is found.
	topDoubt = 400 * time.Millisecond
	// othersDoubt is the same for the others, which hear of what tops find within two steps
	// of the tree. Only where the tops are cut off too it is reached.
	othersDoubt = 1100 * time.Millisecond
	// doubtStep is how much later each doubtGroup of instances, by rank, asks than the one
	// before: what the first find reaches the rest, and few ask in vain. doubtLatest bounds
	// that, so that no rank is so low that a change comes too late.
	doubtStep   = 50 * time.Millisecond
	doubtGroup  = 8
	doubtLatest = 300 * time.Millisecond
	// doubtPoll is the shortest pause between two looks at the age.
	doubtPoll = 10 * time.Millisecond

	// firstHandFor is how long what changes after such a question counts as found by it: all
	// three kinds are asked for at once, and answers of a slow store take a quarter of it.
	firstHandFor = time.Second

	// answerWay is the longest time that a watch's answer with changes is taken to have been
	// under way: a slow store's answers take 60 times the usual 4 ms.
	answerWay = 300 * time.Millisecond

	// cutOffTicks is for how many ticks of the control goroutine an instance must seem cut
	// off: one that stood still for a while hears its peers within that time.
	cutOffTicks = 6
)

// watchedAt is as of when a watch's answer holds. One without changes comes when the watch
// has waited its time; one with changes was under way for a while, or the call was.
func watchedAt(asked, answered time.Time, waited time.Duration, changes int) time.Time {
	if changes == 0 && answered.Sub(asked) >= waited {
		return asked.Add(waited)
	}
	if at := answered.Add(-answerWay); at.After(asked) {
		return at
	}
	return asked
}

// confirm notes that all that the object store holds of a kind was told, as of a moment. It
// goes the way of what was told, and returns when both have taken effect.
func (g *Gateway) confirm(k staleness.Kind, at time.Time) {
	g.query(func(c *control) {
		c.noteFresh()
		have := c.have()
		newest := [...]uint64{staleness.Config: have.Config, staleness.Targets: uint64(have.Targets), staleness.Versions: uint64(have.Versions), staleness.Evacuations: uint64(have.Evacuations)}
		c.fresh.Confirm(k, newest[k], at)
	})
}

// noteFresh tells the book of ages up to where the copies are complete.
func (c *control) noteFresh() {
	if c.fresh == nil {
		return // nobody asks for ages
	}
	known := c.known()
	c.fresh.SetCopyRevision(staleness.Config, known.Config)
	c.fresh.SetCopyRevision(staleness.Targets, uint64(known.Targets))
	c.fresh.SetCopyRevision(staleness.Versions, uint64(known.Versions))
	c.fresh.SetCopyRevision(staleness.Evacuations, uint64(known.Evacuations))
}

// doubtAge is the age of a copy from which this instance asks the object store itself.
func (v *View) doubtAge(f feed) time.Duration {
	if v.Tree.position().follows {
		return f.watcher + topDoubt
	}
	return f.watcher + othersDoubt + min(time.Duration(v.WatchRank/doubtGroup)*doubtStep, doubtLatest)
}

// untilDoubt is how long a feed's copy will still be young enough, if nothing is heard.
func (g *Gateway) untilDoubt(f feed) time.Duration {
	age, known := f.age()
	if !known {
		return newsPoll // it was listed just now, and that is to be noted yet
	}
	return g.view.Load().doubtAge(f) - age
}

// newsPause is how long an instance that goes by news waits before it looks again whether it
// still may.
func (g *Gateway) newsPause(f feed, news bool) time.Duration {
	if !news || f.age == nil {
		return newsPoll
	}
	return min(max(g.untilDoubt(f), doubtPoll), newsPoll)
}

// doubts says whether an instance that goes by news must ask the object store about a kind.
// If the watchers are lost for one that is watched closely, they are for the others too.
func (g *Gateway) doubts(f feed, news bool) bool {
	if !news || f.age == nil || g.untilDoubt(f) > 0 {
		return false
	}
	age, _ := f.age()
	g.log.WithField("kind", f.kind).WithField("age_ms", age.Milliseconds()).WithField("rank", g.view.Load().WatchRank).Info("news in doubt, asking the object store")
	metric.UpdatesBypassed.Inc()
	g.send(firstHand{})
	for _, due := range f.doubtedToo {
		due.Raise()
	}
	return true
}

// firstHand says that what comes next from the object store may be news to all.
type firstHand struct{}

func (firstHand) apply(c *control) { c.firstHand = c.now().Add(firstHandFor) }

// AgesAsk asks an instance for the ages of its copies.
type AgesAsk struct{}

// Ages is the answer.
type Ages struct {
	Fresh []staleness.Report `cbor:"1,keyasint,omitempty"`
}

// Ages answers a top's question.
func (h *peerHandler) Ages(_ *AgesAsk, out *Ages) error {
	out.Fresh = h.g.fresh.Reports(h.g.now())
	return nil
}

// askAges keeps the ages at a top of the tree up to date.
func (g *Gateway) askAges(ctx context.Context) {
	for wait.For(ctx, agesEvery*3/4+rand.N(agesEvery/2)) {
		v := g.view.Load()
		if v.Tree.small || !v.Tree.position().follows {
			continue
		}
		for _, m := range v.agesFrom() {
			g.start(func() { g.askAge(m.Address) })
		}
	}
}

// agesFrom are the instances that a top asks: the watchers, and some other tops.
func (v *View) agesFrom() []member.Member {
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
	tops := v.Tree.topsElsewhere()
	rand.Shuffle(len(tops), func(i, j int) { tops[i], tops[j] = tops[j], tops[i] })
	return append(out, tops[:min(len(tops), agesOfTops)]...)
}

// askAge asks one instance. A lost answer is replaced by the next; silence is the business
// of probes.
func (g *Gateway) askAge(address string) {
	ctx, cancel := context.WithTimeout(g.ctx, agesTimeout)
	defer cancel()
	var out Ages
	asked := g.now()
	if g.pool.Call(ctx, address, peerService+".Ages", &AgesAsk{}, &out) == nil {
		g.fresh.Merge(out.Fresh, asked)
	}
}

// peerAge is how long ago a peer answered last.
func (g *Gateway) peerAge() time.Duration {
	return g.now().Sub(g.began) - time.Duration(g.heardPeer.Load())
}

// isCutOff says whether this instance has company, and hears neither the object store nor
// anybody who might: what it holds may have been revoked, and others can serve its callers.
// Where peers answer and none of them hears the store either, the store is most likely away
// for all, and nothing is acknowledged meanwhile: it serves on.
func (c *control) isCutOff(peerAge time.Duration) bool {
	if c.fresh == nil || c.fleet.instances < 2 || peerAge < c.configWithin {
		return false
	}
	age, known := c.fresh.Age(staleness.Config, c.now())
	return known && age >= c.configWithin
}

// cutOff is the belief that this instance is cut off.
type cutOff struct {
	now   bool
	ticks int // for which it has seemed so
}

// update takes what seems so at a tick, and says whether the belief changed.
func (x *cutOff) update(seems bool, l log.Interface) bool {
	x.ticks++
	if !seems {
		x.ticks = 0
	}
	was := x.now
	x.now = x.ticks >= cutOffTicks
	switch {
	case x.now && !was:
		l.Warn("cut off from the object store and all peers: requests are refused")
	case was && !x.now:
		l.Info("no longer cut off: requests are taken again")
	}
	return was != x.now
}
