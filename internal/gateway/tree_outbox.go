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
	delay time.Duration          // how long reports wait to be sent together
	merge func(older, newer V) V // joins two reports of one source on one subject

	mu      sync.Mutex
	pending map[string]map[K]V // by the peer that sent it; "": observed by this instance
}

// treeOutboxDelay is how long reports wait to be sent together, unless they come in hundreds.
const treeOutboxDelay = time.Millisecond

func newTreeOutbox[K comparable, V any](delay time.Duration, merge func(older, newer V) V) *treeOutbox[K, V] {
	return &treeOutbox[K, V]{due: wait.NewSignal(), delay: delay, merge: merge}
}

// newest is a merge function for reports of which the later one says all.
func newest[V any](_, newer V) V { return newer }

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
	if older, ok := o.pending[from][subject]; ok {
		report = o.merge(older, report)
	}
	o.pending[from][subject] = report
	o.due.Raise()
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
func reportsFor[K comparable, V any](n neighbour, pending map[string]map[K]V) []V {
	var out []V
	for from, bySubject := range pending {
		if from != "" && !n.relayedFrom[from] {
			continue
		}
		for _, report := range bySubject {
			out = append(out, report)
		}
	}
	return out
}

// run calls send with the reports for each neighbour, until ctx ends.
func (o *treeOutbox[K, V]) run(ctx context.Context, g *Gateway, send func(n neighbour, reports []V)) {
	for ctx.Err() == nil {
		if !o.due.Wait(ctx, time.Minute) || !wait.For(ctx, o.delay) {
			continue
		}
		pending := o.take()
		for _, n := range g.view.Load().Tree.neighbours() {
			if reports := reportsFor(n, pending); len(reports) > 0 {
				send(n, reports)
			}
		}
	}
}
