package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/wait"
)

// treeOutbox holds what this instance has to tell all others, by subject. Words travel along the relay tree: each
// instance tells its neighbours what it has observed itself, and passes on what it was told to those that hear
// of it only through this instance.
type treeOutbox[K comparable, V any] struct {
	due   wait.Signal
	merge func(older, newer V) V // joins two words on one subject

	mu      sync.Mutex
	pending map[string]map[K]V // by the peer that told of it; "": this instance
}

// treeOutboxDelay is how long words wait to be sent together.
const treeOutboxDelay = time.Millisecond

func newTreeOutbox[K comparable, V any](merge func(older, newer V) V) *treeOutbox[K, V] {
	return &treeOutbox[K, V]{due: wait.NewSignal(), merge: merge}
}

// add queues a word that a peer told of, or this instance if from is "".
func (o *treeOutbox[K, V]) add(from string, subject K, word V) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending == nil {
		o.pending = map[string]map[K]V{}
	}
	if o.pending[from] == nil {
		o.pending[from] = map[K]V{}
	}
	o.put(o.pending[from], subject, word)
	o.due.Raise()
}

func (o *treeOutbox[K, V]) put(words map[K]V, subject K, word V) {
	if older, ok := words[subject]; ok {
		word = o.merge(older, word)
	}
	words[subject] = word
}

// take empties the outbox.
func (o *treeOutbox[K, V]) take() map[string]map[K]V {
	o.mu.Lock()
	defer o.mu.Unlock()
	pending := o.pending
	o.pending = nil
	return pending
}

// wordsFor returns the words to tell a neighbour: those that it does not hear of otherwise.
func (o *treeOutbox[K, V]) wordsFor(n neighbour, pending map[string]map[K]V) map[K]V {
	out := map[K]V{}
	for from, words := range pending {
		if from != "" && !n.relayedFrom[from] {
			continue
		}
		for subject, word := range words {
			o.put(out, subject, word)
		}
	}
	return out
}

// run calls send with the words for each neighbour, until ctx ends.
func (o *treeOutbox[K, V]) run(ctx context.Context, g *Gateway, send func(n neighbour, words map[K]V)) {
	for ctx.Err() == nil {
		if !o.due.Wait(ctx, time.Minute) || !wait.For(ctx, treeOutboxDelay) {
			continue
		}
		pending := o.take()
		for _, n := range g.view.Load().Tree.neighbours() {
			if words := o.wordsFor(n, pending); len(words) > 0 {
				send(n, words)
			}
		}
	}
}
