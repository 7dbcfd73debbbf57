package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/wait"
)

// treeOutbox queues reports for all other instances, by subject. Reports travel along the relay tree: each instance
// sends its neighbours what it has observed itself, and forwards what it has received to those that get it only
// through this instance.
type treeOutbox[K comparable, V any] struct {
	due   wait.Signal
	merge func(older, newer V) V // joins two reports on one subject

	mu      sync.Mutex
	pending map[string]map[K]V // by the peer that sent it; "": observed by this instance
}

// treeOutboxDelay is how long reports wait to be sent together.
const treeOutboxDelay = time.Millisecond

func newTreeOutbox[K comparable, V any](merge func(older, newer V) V) *treeOutbox[K, V] {
	return &treeOutbox[K, V]{due: wait.NewSignal(), merge: merge}
}

// add queues a report that a peer sent, or that this instance observed if from is "".
func (o *treeOutbox[K, V]) add(from string, subject K, report V) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending == nil {
		o.pending = map[string]map[K]V{}
	}
	if o.pending[from] == nil {
		o.pending[from] = map[K]V{}
	}
	o.put(o.pending[from], subject, report)
	o.due.Raise()
}

// put adds a report to those on their subjects.
func (o *treeOutbox[K, V]) put(reports map[K]V, subject K, report V) {
	if older, ok := reports[subject]; ok {
		report = o.merge(older, report)
	}
	reports[subject] = report
}

// take empties the outbox.
func (o *treeOutbox[K, V]) take() map[string]map[K]V {
	o.mu.Lock()
	defer o.mu.Unlock()
	pending := o.pending
	o.pending = nil
	return pending
}

// reportsFor returns the reports to send to a neighbour: those that it does not get otherwise.
func (o *treeOutbox[K, V]) reportsFor(n neighbour, pending map[string]map[K]V) map[K]V {
	out := map[K]V{}
	for from, reports := range pending {
		if from != "" && !n.relayedFrom[from] {
			continue
		}
		for subject, report := range reports {
			o.put(out, subject, report)
		}
	}
	return out
}

// run calls send with the reports for each neighbour, until ctx ends.
func (o *treeOutbox[K, V]) run(ctx context.Context, g *Gateway, send func(n neighbour, reports map[K]V)) {
	for ctx.Err() == nil {
		if !o.due.Wait(ctx, time.Minute) || !wait.For(ctx, treeOutboxDelay) {
			continue
		}
		pending := o.take()
		for _, n := range g.view.Load().Tree.neighbours() {
			if reports := o.reportsFor(n, pending); len(reports) > 0 {
				send(n, reports)
			}
		}
	}
}
