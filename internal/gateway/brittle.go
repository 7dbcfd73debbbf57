package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/loadreport"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// A brittle target falls over if it has to turn away more than a few requests a second for want of room,
// whoever sends them. So instances tell one another at once of each request that such a target turns away.
// All count them, and send it nothing while half of what it can bear has come in a second; the other half is
// for requests that are on their way meanwhile.

const (
	// brittleWindow is the time over which a brittle target's refusals count, with a margin for the time
	// that requests and words take.
	brittleWindow = 1200 * time.Millisecond
	// brittleSpread, for each instance of the fleet, bounds the random time by which each waits longer, so
	// that they do not return together; minBrittleSpread and maxBrittleSpread bound the sum.
	brittleSpread    = 20 * time.Millisecond
	minBrittleSpread = 300 * time.Millisecond
	maxBrittleSpread = 3 * time.Second
	// brittleReportTimeout bounds the sending of a word to a peer.
	brittleReportTimeout = 300 * time.Millisecond
	// maxBrittleTargets bounds the targets in one message; the next message has the others.
	maxBrittleTargets = 64
	// maxBrittleCount bounds the refusals that one message adds to a target.
	maxBrittleCount = 256
)

// BrittleRefusals tells a peer of requests that brittle targets have turned away.
type BrittleRefusals struct {
	From    string           `cbor:"1,keyasint"` // instance that sent this copy
	Targets []BrittleRefusal `cbor:"2,keyasint"`
}

// BrittleRefusal is the number of requests that one target has turned away since the last word.
type BrittleRefusal struct {
	Target loadreport.Key `cbor:"1,keyasint"`
	Count  int            `cbor:"2,keyasint"`
	Limit  int            `cbor:"3,keyasint"` // how many it can turn away in a second
}

// addRefusals joins two words of one target's refusals; the newest limit counts.
func addRefusals(older, newer BrittleRefusal) BrittleRefusal {
	newer.Count += older.Count
	return newer
}

// brittleReports counts the refusals of brittle targets, and tells peers of them.
type brittleReports struct {
	g      *Gateway
	outbox *treeOutbox[loadreport.Key, BrittleRefusal]

	mu     sync.Mutex
	recent map[string][]time.Time // refusals within brittleWindow, by id of the target
}

// turnedAway is called when a brittle target has turned away a request of this instance.
func (b *brittleReports) turnedAway(t *catalog.Target, limit int) {
	metric.BrittleRefusals.Inc()
	refusal := BrittleRefusal{Target: loadreport.KeyOf(t.ID), Count: 1, Limit: limit}
	b.count(t, refusal)
	b.outbox.add("", refusal.Target, refusal)
}

// count counts refusals of a target, and keeps requests away from it while there are too many.
func (b *brittleReports) count(t *catalog.Target, r BrittleRefusal) {
	pause := b.record(t.ID, r, b.g.now())
	if pause <= 0 {
		return
	}
	until, changed := b.g.breaker.RequestBackoff(t.ID, pause+rand.N(b.spread()))
	if changed {
		b.g.log.WithField("target", t.ID).WithField("limit", r.Limit).WithField("until", until.UTC().Format(time.RFC3339Nano)).Info("brittle target gets no requests")
	}
}

// record records refusals of a target and returns for how long it shall get no requests; 0: it may get some.
func (b *brittleReports) record(id string, r BrittleRefusal, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.recent == nil {
		b.recent = map[string][]time.Time{}
	}
	recent := slices.DeleteFunc(b.recent[id], func(at time.Time) bool { return now.Sub(at) >= brittleWindow })
	for range min(r.Count, maxBrittleCount) {
		recent = append(recent, now)
	}
	b.recent[id] = recent
	bearable := min(max(r.Limit/2, 1), maxBrittleCount)
	if len(recent) < bearable {
		return 0
	}
	return recent[len(recent)-bearable].Add(brittleWindow).Sub(now)
}

// refusing returns how many of the targets have turned a request away within brittleWindow.
func (b *brittleReports) refusing(targets []*catalog.Target, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, t := range targets {
		if recent := b.recent[t.ID]; len(recent) > 0 && now.Sub(recent[len(recent)-1]) < brittleWindow {
			n++
		}
	}
	return n
}

// maxRefusingFraction is the fraction of a service's targets that may turn requests away at a time without
// the service counting as full.
const maxRefusingFraction = 0.25

// brittleTargetsAreFull reports whether a brittle target has turned the request away, as many others of its
// service do: another one would most likely do so too, and each bears few of that.
func (x *exchange) brittleTargetsAreFull() bool {
	serving := x.view.Serving[x.service]
	return x.notice.Brittle > 0 && float64(x.g.brittle.refusing(serving, x.g.now())) > maxRefusingFraction*float64(len(serving))
}

// spread returns the bound of the random part of a pause.
func (b *brittleReports) spread() time.Duration {
	return min(max(brittleSpread*time.Duration(b.g.view.Load().InstanceCount), minBrittleSpread), maxBrittleSpread)
}

// BrittleRefusals handles a peer's word, and passes it on to those that hear of it only through this
// instance.
func (h *peerHandler) BrittleRefusals(req *BrittleRefusals, _ *Ack) error {
	b := &h.g.brittle
	told := map[loadreport.Key]BrittleRefusal{}
	for _, r := range req.Targets {
		told[r.Target] = addRefusals(told[r.Target], r)
		b.outbox.add(req.From, r.Target, r)
	}
	for _, t := range h.g.view.Load().Targets {
		if r, ok := told[loadreport.KeyOf(t.ID)]; ok && r.Limit > 0 {
			b.count(t, r)
		}
	}
	return nil
}

// retain forgets the targets for which keep returns false.
func (b *brittleReports) retain(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.recent, func(id string, _ []time.Time) bool { return !keep(id) })
}

// run sends the pending words to the neighbours until ctx ends.
func (b *brittleReports) run(ctx context.Context) {
	b.outbox.run(ctx, b.g, func(n neighbour, refusals []BrittleRefusal) {
		for targets := range slices.Chunk(refusals, maxBrittleTargets) {
			b.g.spawn(func() { b.send(ctx, n, targets) })
		}
	})
}

func (b *brittleReports) send(ctx context.Context, n neighbour, targets []BrittleRefusal) {
	ctx, cancel := context.WithTimeout(ctx, brittleReportTimeout)
	defer cancel()
	err := b.g.pool.Call(ctx, n.Address, peerService+".BrittleRefusals", &BrittleRefusals{From: b.g.settings().Name, Targets: targets}, &Ack{})
	if err != nil {
		b.g.log.WithError(err).WithField("peer", n.Name).WithField("targets", len(targets)).Info("refusals of brittle targets not told")
	}
}
