package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Pace of following the object store.
const (
	// watchTimeout is how long one watch waits. Each waiting watch is a call that is
	// paid for; one that is cut off without a word is noticed when it is over.
	watchTimeout = 6 * time.Second
	// watcherTimeout is the same for the few instances that notice it for all others,
	// within the 2 s in which a change must be in force everywhere.
	watcherTimeout = 800 * time.Millisecond
	// watcherCount is how many instances are: two may fail at the same time.
	watcherCount = 3
	// slowKindTimeout is a watch of what may take longer to be in force.
	slowKindTimeout = 3 * time.Second
	// minWatchInterval is the least time from one watch to the next: in a storm of changes a
	// watch brings several.
	minWatchInterval = 50 * time.Millisecond
	// retryBase and retryMax bound the jittered pause after a failed call, so that
	// the end of an outage meets no crowd.
	retryBase = 150 * time.Millisecond
	retryMax  = 1200 * time.Millisecond
)

// retryPause is the time before the next try after so many failures in a row.
func retryPause(failures int) time.Duration {
	return wait.Jitter(min(retryBase<<min(failures-1, 8), retryMax))
}

// feed turns what the store says of one kind into events.
type feed struct {
	kind           string
	watcherTimeout time.Duration // how long a watcher's watch waits
	onList         func(platform.Snapshot)
	onChanges      func(platform.Changes)
	// refresh asks for one look at the store by an instance that goes by news; nil: never.
	refresh wait.Signal
	// alsoRefresh are the due signals of the kinds that are in doubt whenever this one is.
	alsoRefresh []wait.Signal
	// knownRevision is up to where news made the beliefs complete; nil: they say nothing of it.
	knownRevision func() platform.Version
	// age is how long ago the copy was known to be complete, see staleness.go; nil: not kept.
	age func() (age time.Duration, known bool)
	// onConfirmed takes that it was, as of a moment; nil: nobody wants to know.
	onConfirmed func(at time.Time)
}

func (f feed) confirm(at time.Time) {
	if f.onConfirmed != nil {
		f.onConfirmed(at)
	}
}

// watchAll keeps all kinds up to date.
func (g *Gateway) watchAll(ctx context.Context) {
	config, targets, versions := g.codec.Kinds()
	slower := []wait.Signal{g.versionsDue, g.evacuationsDue}
	feeds := []feed{
		{kind: config, watcherTimeout: watcherTimeout, alsoRefresh: slower, onList: func(s platform.Snapshot) { g.applyConfigs(s.Objects) },
			onChanges: func(c platform.Changes) { g.applyConfigs(presentObjects(c)) }},
		{kind: targets, watcherTimeout: watcherTimeout, alsoRefresh: slower, onList: g.listTargets, onChanges: g.changeTargets, refresh: g.targetsDue,
			knownRevision: func() platform.Version { return g.view.Load().TargetsRevision }},
		{kind: versions, watcherTimeout: slowKindTimeout, refresh: g.versionsDue, onList: func(s platform.Snapshot) { g.applyVersions(s.Revision, s.Objects) },
			onChanges: func(c platform.Changes) { g.applyVersions(c.Revision, presentObjects(c)) }},
	}
	for i, k := range [...]staleness.Kind{staleness.Config, staleness.Targets, staleness.Versions} {
		feeds[i].age = func() (time.Duration, bool) { return g.staleness.Age(k, g.now()) }
		feeds[i].onConfirmed = func(at time.Time) { g.confirmComplete(k, at) }
	}
	if g.settings().EvacuateWithin > 0 {
		feeds = append(feeds, g.evacuationsFeed())
	}
	for _, f := range feeds {
		g.spawn(func() { g.watchKind(ctx, f, feeds[0].kind) })
	}
}

// presentObjects returns the objects that a page of changes leaves, in order.
func presentObjects(c platform.Changes) []platform.NamedObject {
	var out []platform.NamedObject
	for _, ch := range c.Changes {
		if !ch.Deleted {
			out = append(out, ch.NamedObject)
		}
	}
	return out
}

// watchKind lists a kind, then watches it. A failed call is repeated after a pause
// that grows; a watch goes on from where it was, unless that history is lost. While
// the store does not answer about the first kind, the others are not asked for.
func (g *Gateway) watchKind(ctx context.Context, f feed, first string) {
	at, listed, failures := platform.Version(0), false, 0
	var last time.Time
	for ctx.Err() == nil {
		news := g.reliesOnPeers()
		if listed && (news || g.isJoining() || f.kind != first && g.isFailing(first)) && !f.refresh.Wait(ctx, g.updatePause(f, news)) && !g.checkStale(f, news) {
			continue
		}
		wait.For(ctx, minWatchInterval-g.now().Sub(last))
		last = g.now()
		if f.knownRevision != nil {
			at = max(at, f.knownRevision())
		}
		next, err := g.watchOnce(ctx, f, at, listed, g.watchDuration(f, news))
		var lost *platform.HistoryLostError
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &lost):
			g.log.WithField("kind", f.kind).WithField("revision", uint64(at)).Info("history lost, listing anew")
			listed = false
			continue
		case err == nil:
			at, listed, failures = next, true, 0
			g.noteContact(f.kind, nil)
			continue
		}
		failures++
		metric.PlatformErrors.Inc()
		g.noteContact(f.kind, err)
		if !wait.For(ctx, retryPause(failures)) {
			return
		}
	}
}

func (g *Gateway) watchOnce(ctx context.Context, f feed, at platform.Version, listed bool, watch time.Duration) (platform.Version, error) {
	asked := g.now()
	if !listed {
		s, err := g.store.List(ctx, f.kind)
		if err != nil {
			return at, err
		}
		g.countUnreadable(f.kind, s.Unreadable)
		f.onList(s)
		f.confirm(asked)
		return s.Revision, nil
	}
	c, err := g.store.Watch(ctx, f.kind, at, watch)
	if err != nil {
		return at, err
	}
	g.countUnreadable(f.kind, c.Unreadable)
	f.onChanges(c)
	f.confirm(watchValidAt(asked, g.now(), watch, len(c.Changes)))
	return max(c.Revision, at), nil
}

// countUnreadable counts objects that can't be read as such, and writes a line on them.
func (g *Gateway) countUnreadable(kind string, n int) {
	if n == 0 {
		return
	}
	metric.UnreadableObjects.Add(n)
	g.log.WithField("kind", kind).WithField("objects", n).Error("objects not readable, left out")
}

// updatePoll is how often an instance that goes by news looks whether it may still.
const updatePoll = 250 * time.Millisecond

// reliesOnPeers says whether this instance may go by its peers' news instead of a
// watch of its own: the fleet is large, others are its watchers, and a peer was
// heard lately. One that the store did not answer last tries until it does.
func (g *Gateway) reliesOnPeers() bool {
	v := g.view.Load()
	if len(v.Alive) <= maxSmallFleet || v.IsWatcher || !g.storeReachable.Load() {
		return false
	}
	return g.now().Sub(g.startedAt)-time.Duration(g.lastPeerContact.Load()) < maxPeerSilence
}

// isJoining says whether this process has just started and knows of no other instance yet. In
// a large fleet it will go by news, and a watch that it opens now would be one for nothing.
func (g *Gateway) isJoining() bool {
	return len(g.view.Load().Alive) <= 1 && g.now().Sub(g.startedAt) < joinWindow
}

// watchDuration is how long a watch waits; one who goes by news and looks once does not.
func (g *Gateway) watchDuration(f feed, news bool) time.Duration {
	v := g.view.Load()
	switch {
	case news, len(v.Alive) > maxSmallFleet && g.isFailing(f.kind):
		return minWatchInterval // one that the store did not answer goes by news again once it does
	case v.IsWatcher:
		return f.watcherTimeout
	}
	return watchTimeout
}

// isFailing says whether the store does not answer about a kind.
func (g *Gateway) isFailing(kind string) bool {
	g.failingMu.Lock()
	defer g.failingMu.Unlock()
	return g.failingKinds[kind]
}

// noteContact notes whether the store answers about a kind; only a change of the
// whole makes an event.
func (g *Gateway) noteContact(kind string, err error) {
	g.failingMu.Lock()
	defer g.failingMu.Unlock()
	if err != nil {
		g.failingKinds[kind] = true
	} else {
		delete(g.failingKinds, kind)
		g.lastStoreContact.Store(int64(g.now().Sub(g.startedAt)))
	}
	if ok := len(g.failingKinds) == 0; g.storeReachable.Swap(ok) != ok {
		g.sendEvent(storeContactChanged{reachable: ok, cause: err})
	}
}

// applyConfigs takes configurations as stored. One that can't be read leaves the
// one before in force.
func (g *Gateway) applyConfigs(objects []platform.NamedObject) {
	for _, o := range objects {
		if o.Name == g.codec.ConfigName() {
			g.applyConfig(o.Value, fromStore)
		}
	}
}

func (g *Gateway) applyConfig(raw []byte, from source) {
	cfg, err := g.codec.DecodeConfig(raw)
	if err != nil {
		metric.ConfigErrors.Inc()
		g.log.WithError(err).WithField("from", string(from)).Error("configuration not readable, the one before stays in force")
		return
	}
	g.sendEvent(configReceived{cfg: cfg, raw: raw, from: from})
}

func (g *Gateway) listTargets(s platform.Snapshot) {
	g.sendEvent(targetsListed{revision: s.Revision, targets: g.decodeTargets(s.Objects), from: fromStore})
}

// changeTargets takes a page of changes; of several changes of one object the
// last one counts.
func (g *Gateway) changeTargets(c platform.Changes) {
	last := map[string]platform.Change{}
	for _, ch := range c.Changes {
		last[ch.Name] = ch
	}
	e := targetsChanged{revision: c.Revision}
	var stay []platform.NamedObject
	for name, ch := range last {
		if ch.Deleted {
			e.gone = append(e.gone, name)
			continue
		}
		stay = append(stay, ch.NamedObject)
	}
	e.present = g.decodeTargets(stay)
	g.sendEvent(e)
}

// decodeTargets decodes entries. One that can't be read names no target to use, and
// stands in the list all the same. Of several one line is written.
func (g *Gateway) decodeTargets(objects []platform.NamedObject) []catalog.Target {
	out := make([]catalog.Target, 0, len(objects))
	var bad []error
	for _, o := range objects {
		t, err := g.codec.DecodeTarget(o.Name, o.Value)
		if err != nil {
			t = catalog.Target{Name: o.Name, Unusable: true}
			bad = append(bad, err)
		}
		t.Revision = uint64(o.Version)
		out = append(out, t.WithID())
	}
	if len(bad) > 0 {
		g.log.WithError(bad[0]).WithField("entries", len(bad)).Error("entries of targets not readable")
	}
	return out
}

func (g *Gateway) applyVersions(revision platform.Version, objects []platform.NamedObject) {
	e := versionsNamed{revision: revision, from: fromStore}
	for _, o := range objects {
		e.changed = max(e.changed, o.Version)
		v, err := g.codec.DecodeNamedVersion(o.Name, o.Value)
		if err != nil {
			metric.UnreadableWeightVersions.Inc()
			g.log.WithError(err).WithField("object", o.Name).Error("weight version not readable, left out")
			continue
		}
		e.versions = append(e.versions, v)
	}
	g.sendEvent(e)
}
