package engine

import (
	"container/heap"
	"context"
	"sync"
)

// queue is a semaphore that serves waiters by priority (0 first), then by arrival.
type queue struct {
	mu    sync.Mutex
	free  int
	seq   int
	heads waiters
}

type waiter struct {
	priority, seq, index int
	ready                chan struct{}
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].seq < w[j].seq
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	e := x.(*waiter)
	e.index = len(*w)
	*w = append(*w, e)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	e := old[len(old)-1]
	*w = old[:len(old)-1]
	e.index = -1
	return e
}

func newQueue(n int) *queue { return &queue{free: n} }

// acquire waits for a turn; it returns false if ctx ended first.
func (q *queue) acquire(ctx context.Context, priority int) bool {
	q.mu.Lock()
	if q.free > 0 {
		q.free--
		q.mu.Unlock()
		return true
	}
	q.seq++
	w := &waiter{priority: priority, seq: q.seq, ready: make(chan struct{})}
	heap.Push(&q.heads, w)
	q.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		q.mu.Lock()
		if w.index < 0 { // the turn came together with the end
			q.mu.Unlock()
			q.release()
			return false
		}
		heap.Remove(&q.heads, w.index)
		q.mu.Unlock()
		return false
	}
}

func (q *queue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.heads) > 0 {
		close(heap.Pop(&q.heads).(*waiter).ready)
		return
	}
	q.free++
}
