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

// Intervals and timeouts of watching the object store.
const (
	// watchTimeout is how long one watch waits. Each watch is a call that is charged for;
	// one whose connection is lost silently is noticed only when it times out.
	watchTimeout = 6 * time.Second
	// watcherTimeout is the same for the watchers. They detect changes and lost connections
	// for all other instances, within the 2 s in which a change must be in force everywhere.
	watcherTimeout = 800 * time.Millisecond
	// watcherCount is the number of watchers: two may fail at the same time.
	watcherCount = 3
	// slowKindTimeout is the watch timeout for kinds whose changes may take longer to be in
	// force.
	slowKindTimeout = 3 * time.Second
	// minWatchInterval is the minimum time between the starts of two watches, so that in a
	// burst of changes a watch returns several.
	minWatchInterval = 50 * time.Millisecond
	// retryBase and retryMax bound the jittered pause after a failed call, so that the
	// instances do not all call at once when an outage ends.
	retryBase = 150 * time.Millisecond
	retryMax  = 1200 * time.Millisecond
)

// retryPause returns the pause before the next attempt after a number of consecutive
// failures.
func retryPause(failures int) time.Duration {
	return wait.Jitter(min(retryBase<<min(failures-1, 8), retryMax))
}

// feed turns the store's objects of one kind into events.
type feed struct {
	kind           string
	watcherTimeout time.Duration // timeout of a watcher's watch
	onList         func(platform.Snapshot)
	onChanges      func(platform.Changes)
	// refresh triggers one read of the store by an instance that relies on peers; nil: never.
	refresh wait.Signal
	// alsoRefresh are the refresh signals of the kinds that are stale whenever this one is.
	alsoRefresh []wait.Signal
	// knownRevision returns the revision up to which updates from peers made the state
	// complete; nil: updates carry no such revision.
	knownRevision func() platform.Version
	// age returns how long ago the copy was known to be complete, see staleness.go; nil: not
	// tracked.
	age func() (age time.Duration, known bool)
	// onConfirmed is called with a time at which the copy was complete; nil: not tracked.
	onConfirmed func(at time.Time)
}

// confirm reports that the copy was complete at a time.
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

// presentObjects returns the objects of a page of changes that were not deleted, in order.
func presentObjects(c platform.Changes) []platform.NamedObject {
	var out []platform.NamedObject
	for _, ch := range c.Changes {
		if !ch.Deleted {
			out = append(out, ch.NamedObject)
		}
	}
	return out
}

// watchKind lists a kind, then watches it. A failed call is repeated after a pause that
// grows. A watch resumes from the last revision, unless the store lost that history. While
// calls for firstKind fail, the other kinds are not read.
func (g *Gateway) watchKind(ctx context.Context, f feed, firstKind string) {
	revision, listed, failures := platform.Version(0), false, 0
	var lastCall time.Time
	for ctx.Err() == nil {
		viaPeers := g.reliesOnPeers()
		if listed && (viaPeers || g.isJoining() || f.kind != firstKind && g.isFailing(firstKind)) && !f.refresh.Wait(ctx, g.updatePause(f, viaPeers)) && !g.checkStale(f, viaPeers) {
			continue
		}
		wait.For(ctx, minWatchInterval-g.now().Sub(lastCall))
		lastCall = g.now()
		if f.knownRevision != nil {
			revision = max(revision, f.knownRevision())
		}
		next, err := g.watchOnce(ctx, f, revision, listed, g.watchDuration(f, viaPeers))
		var lost *platform.HistoryLostError
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &lost):
			g.log.WithField("kind", f.kind).WithField("revision", uint64(revision)).Info("history lost, listing anew")
			listed = false
			continue
		case err == nil:
			revision, listed, failures = next, true, 0
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

// watchOnce lists a kind, or watches it from a revision if it was listed. It returns the
// revision up to which the copy is then complete.
func (g *Gateway) watchOnce(ctx context.Context, f feed, revision platform.Version, listed bool, timeout time.Duration) (platform.Version, error) {
	requestedAt := g.now()
	if !listed {
		s, err := g.store.List(ctx, f.kind)
		if err != nil {
			return revision, err
		}
		g.countUnreadable(f.kind, s.Unreadable)
		f.onList(s)
		f.confirm(requestedAt)
		return s.Revision, nil
	}
	c, err := g.store.Watch(ctx, f.kind, revision, timeout)
	if err != nil {
		return revision, err
	}
	g.countUnreadable(f.kind, c.Unreadable)
	f.onChanges(c)
	f.confirm(watchValidAt(requestedAt, g.now(), timeout, len(c.Changes)))
	return max(c.Revision, revision), nil
}

// readTargets reads from the object store what has changed in the list of targets, and returns once it is in
// force here.
func (g *Gateway) readTargets(ctx context.Context) error {
	_, kind, _ := g.codec.Kinds()
	f := feed{kind: kind, onChanges: g.changeTargets, onConfirmed: func(at time.Time) { g.confirmComplete(staleness.Targets, at) }}
	if _, err := g.watchOnce(ctx, f, g.view.Load().TargetsRevision, true, minWatchInterval); err != nil {
		return err
	}
	g.queryControl(func(*controlState) {}) // the view is published after the events that are applied together
	return nil
}

// countUnreadable counts and logs objects that can't be decoded.
func (g *Gateway) countUnreadable(kind string, n int) {
	if n == 0 {
		return
	}
	metric.UnreadableObjects.Add(n)
	g.log.WithField("kind", kind).WithField("objects", n).Error("objects not readable, omitted")
}

// updatePoll is how often an instance that relies on peers checks whether it still may.
const updatePoll = 250 * time.Millisecond

// reliesOnPeers reports whether this instance may rely on updates from peers instead of a
// watch of its own: the fleet is large, other instances are the watchers, and a peer answered
// recently. An instance whose last call to the store failed retries until one succeeds.
func (g *Gateway) reliesOnPeers() bool {
	v := g.view.Load()
	if len(v.Alive) <= maxSmallFleet || v.IsWatcher || !g.storeReachable.Load() {
		return false
	}
	return g.now().Sub(g.startedAt)-time.Duration(g.lastPeerContact.Load()) < maxPeerSilence
}

// isJoining reports whether this process has just started and does not know any other
// instance yet. In a large fleet it is about to rely on peers, so a watch opened now would be
// wasted.
func (g *Gateway) isJoining() bool {
	return len(g.view.Load().Alive) <= 1 && g.now().Sub(g.startedAt) < joinWindow
}

// watchDuration returns the timeout of a watch. An instance that relies on peers and reads
// the store once does not wait.
func (g *Gateway) watchDuration(f feed, viaPeers bool) time.Duration {
	v := g.view.Load()
	switch {
	case viaPeers, len(v.Alive) > maxSmallFleet && g.isFailing(f.kind):
		return minWatchInterval // relies on peers again as soon as a call succeeds
	case v.IsWatcher:
		return f.watcherTimeout
	}
	return watchTimeout
}

// isFailing reports whether the last call to the store for a kind failed.
func (g *Gateway) isFailing(kind string) bool {
	g.failingMu.Lock()
	defer g.failingMu.Unlock()
	return g.failingKinds[kind]
}

// noteContact records the outcome of a call to the store for a kind. It sends an event only
// if the overall reachability changes.
func (g *Gateway) noteContact(kind string, err error) {
	g.failingMu.Lock()
	defer g.failingMu.Unlock()
	if err != nil {
		g.failingKinds[kind] = true
	} else {
		delete(g.failingKinds, kind)
		g.lastStoreContact.Store(int64(g.now().Sub(g.startedAt)))
	}
	if reachable := len(g.failingKinds) == 0; g.storeReachable.Swap(reachable) != reachable {
		g.sendEvent(storeContactChanged{reachable: reachable, cause: err})
	}
}

// applyConfigs applies the configuration among objects from the store.
func (g *Gateway) applyConfigs(objects []platform.NamedObject) {
	for _, o := range objects {
		if o.Name == g.codec.ConfigName() {
			g.applyConfig(o.Value, fromStore)
		}
	}
}

// applyConfig applies a configuration. If it can't be decoded, the previous one stays in
// force.
func (g *Gateway) applyConfig(raw []byte, from source) {
	cfg, err := g.codec.DecodeConfig(raw)
	if err != nil {
		metric.ConfigErrors.Inc()
		g.log.WithError(err).WithField("from", string(from)).Error("configuration not readable, previous one stays in force")
		return
	}
	g.sendEvent(configReceived{cfg: cfg, raw: raw, from: from})
}

// listTargets applies a complete list of targets from the store.
func (g *Gateway) listTargets(s platform.Snapshot) {
	g.sendEvent(targetsListed{revision: s.Revision, targets: g.decodeTargets(s.Objects), from: fromStore})
}

// changeTargets applies a page of changes. Of several changes of one object the last one
// counts.
func (g *Gateway) changeTargets(c platform.Changes) {
	last := map[string]platform.Change{}
	for _, ch := range c.Changes {
		last[ch.Name] = ch
	}
	event := targetsChanged{revision: c.Revision}
	var present []platform.NamedObject
	for name, ch := range last {
		if ch.Deleted {
			event.gone = append(event.gone, name)
			continue
		}
		present = append(present, ch.NamedObject)
	}
	event.present = g.decodeTargets(present)
	g.sendEvent(event)
}

// decodeTargets decodes entries. An entry that can't be decoded is listed as unusable. One
// log line covers all such entries.
func (g *Gateway) decodeTargets(objects []platform.NamedObject) []catalog.Target {
	out := make([]catalog.Target, 0, len(objects))
	var decodeErrors []error
	for _, o := range objects {
		t, err := g.codec.DecodeTarget(o.Name, o.Value)
		if err != nil {
			t = catalog.Target{Name: o.Name, Unusable: true}
			decodeErrors = append(decodeErrors, err)
		}
		t.Revision = uint64(o.Version)
		out = append(out, t.WithID())
	}
	if len(decodeErrors) > 0 {
		g.log.WithError(decodeErrors[0]).WithField("entries", len(decodeErrors)).Error("entries of targets not readable")
	}
	return out
}

// applyVersions applies named weight versions from the store. Those that can't be decoded are
// omitted.
func (g *Gateway) applyVersions(revision platform.Version, objects []platform.NamedObject) {
	event := versionsNamed{revision: revision, from: fromStore}
	for _, o := range objects {
		event.changed = max(event.changed, o.Version)
		v, err := g.codec.DecodeNamedVersion(o.Name, o.Value)
		if err != nil {
			metric.UnreadableWeightVersions.Inc()
			g.log.WithError(err).WithField("object", o.Name).Error("weight version not readable, omitted")
			continue
		}
		event.versions = append(event.versions, v)
	}
	g.sendEvent(event)
}
