// Package ledger runs the partitions of the at-most-once ledger
// (internal/core/once) against the platform's object API.
package ledger

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/atmostonce"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/platform"
)

// Partitions is how many chains the claims are hashed to. At the pace of
// once.DefaultParams all of them together write at most 160 times a second.
const Partitions = 16

// UnavailableError says that a claim could not be made durable: its request
// must not be dispatched.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Cause == nil {
		return "ledger: claim not settled"
	}
	return "ledger: claim not settled: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NewID names the claim of a customer's key.
func NewID(customer, key string) atmostonce.ID {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%s", len(customer), customer, key)
	return atmostonce.ID(h.Sum(nil)[:16])
}

// NewNonce returns a random nonce.
func NewNonce() atmostonce.Nonce {
	var n atmostonce.Nonce
	_, _ = rand.Read(n[:]) // crypto/rand.Read never fails; it ends the process instead
	return n
}

// PartitionOf returns the partition of a claim.
func PartitionOf(id atmostonce.ID) int { return int(id[0]) % Partitions }

// Ledger holds the partitions that this instance has used.
type Ledger struct {
	store  platform.Store
	params atmostonce.Params
	now    func() time.Time
	ctx    context.Context

	mu   sync.Mutex
	runs [Partitions]*runner
	done sync.WaitGroup
}

// New returns a ledger whose work ends with ctx.
func New(ctx context.Context, store platform.Store, params atmostonce.Params, now func() time.Time) *Ledger {
	return &Ledger{ctx: ctx, store: store, params: params, now: now}
}

// Wait returns when all partitions have ended, which they do with the context.
func (l *Ledger) Wait() { l.done.Wait() }

func (l *Ledger) runner(n int) *runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[n] == nil {
		r := &runner{l: l, prefix: fmt.Sprintf("once/%02d/", n), ops: make(chan op, opBacklog), p: atmostonce.New(l.params)}
		l.runs[n] = r
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			r.run()
		}()
	}
	return l.runs[n]
}

// Claim makes a claim durable, or answers from the chain what became of an
// earlier one. To repeat it with the same nonce is safe.
func (l *Ledger) Claim(ctx context.Context, e atmostonce.Entry) (atmostonce.Result, error) {
	got := make(chan atmostonce.Result, 1)
	if !l.runner(PartitionOf(e.ID)).send(ctx, func(p *atmostonce.Partition) {
		p.Submit(e, func(a atmostonce.Result) { got <- a })
	}) {
		return atmostonce.Result{}, &UnavailableError{Cause: ctx.Err()}
	}
	select {
	case a := <-got:
		if a.Verdict == atmostonce.Undetermined {
			return a, &UnavailableError{}
		}
		return a, nil
	case <-ctx.Done():
		return atmostonce.Result{}, &UnavailableError{Cause: ctx.Err()}
	case <-l.ctx.Done():
		return atmostonce.Result{}, &UnavailableError{Cause: l.ctx.Err()}
	}
}

// Settle brings a claim's outcome; it does not wait.
func (l *Ledger) Settle(id atmostonce.ID, nonce atmostonce.Nonce, o atmostonce.Outcome) {
	l.runner(PartitionOf(id)).send(l.ctx, func(p *atmostonce.Partition) { p.Complete(id, nonce, o) })
}

// op is something to do with a partition on its own goroutine.
type op func(*atmostonce.Partition)

// Bounds of a runner.
const (
	opBacklog   = 4096
	callTimeout = 2 * time.Second // one write or load
	retryPause  = 100 * time.Millisecond
	loadAtOnce  = 8 // segments read at once
)

// runner is the goroutine of one partition.
type runner struct {
	l        *Ledger
	prefix   string
	ops      chan op
	p        *atmostonce.Partition
	failures int
}

func (r *runner) send(ctx context.Context, o op) bool {
	select {
	case r.ops <- o:
		return true
	case <-ctx.Done():
		return false
	case <-r.l.ctx.Done():
		return false
	}
}

func (r *runner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case o := <-r.ops:
			o(r.p)
			r.drain()
		case <-timer.C:
		case <-r.l.ctx.Done():
			r.p.FailQueued()
			return
		}
		timer.Reset(r.step())
	}
}

// drain takes what has queued meanwhile, so that it shares one write.
func (r *runner) drain() {
	for {
		select {
		case o := <-r.ops:
			o(r.p)
		default:
			return
		}
	}
}

// idle is how long a runner without work sleeps.
const idle = time.Hour

// step does what is due and returns when to look again.
func (r *runner) step() time.Duration {
	if !r.p.Loaded() {
		if err := r.load(); err != nil {
			return r.failed()
		}
	}
	now := r.l.now()
	at, some := r.p.NextWriteAt(now)
	if !some {
		return idle
	}
	if wait := at.Sub(now); wait > 0 {
		return wait
	}
	w, err := r.p.BeginWrite(now, NewNonce())
	if err != nil || w == nil {
		return idle
	}
	if err := r.write(w); err != nil {
		return r.failed()
	}
	r.failures = 0
	return 0
}

// failed ends a round that the platform did not carry. All who wait are
// answered now, so that nobody hangs; the next ones try again.
func (r *runner) failed() time.Duration {
	r.failures++
	metric.LedgerErrors.Inc()
	if r.failures >= giveUpAfter {
		r.p.FailQueued()
	}
	return retryPause * time.Duration(min(r.failures, 20))
}

// giveUpAfter is how many failed rounds the waiting claims are kept for.
const giveUpAfter = 3

// load reads the tip and those segments that are not known yet.
func (r *runner) load() error {
	ctx, cancel := context.WithTimeout(r.l.ctx, callTimeout)
	defer cancel()
	var missing *platform.NotFoundError
	o, err := r.l.store.Get(ctx, r.prefix+"tip")
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	tip, err := atmostonce.DecodeTip(o.Value)
	if err != nil {
		return err
	}
	var keys []string
	for _, s := range tip.Segments {
		if !r.p.HasSegment(s.Key) {
			keys = append(keys, s.Key)
		}
	}
	segments, err := r.segments(keys)
	if err != nil {
		return err
	}
	r.p.Load(tip, uint64(o.Version), segments)
	return nil
}

// segments reads segments, some at once, and returns them in order.
func (r *runner) segments(keys []string) ([][]atmostonce.Entry, error) {
	out := make([][]atmostonce.Entry, len(keys))
	errs := make([]error, len(keys))
	slots := make(chan struct{}, loadAtOnce)
	var wg sync.WaitGroup
	for i, key := range keys {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(r.l.ctx, callTimeout)
			defer cancel()
			o, err := r.l.store.Get(ctx, r.prefix+"segments/"+key)
			if err == nil {
				out[i], err = atmostonce.DecodeSegment(o.Value)
			}
			errs[i] = err
		}()
	}
	wg.Wait()
	return out, errors.Join(errs...)
}

// write carries out one write: the segment first, then the tip.
func (r *runner) write(w *atmostonce.Write) error {
	ctx, cancel := context.WithTimeout(r.l.ctx, callTimeout)
	defer cancel()
	if w.Segment != nil {
		if _, err := r.l.store.Put(ctx, r.prefix+"segments/"+w.SegmentKey, w.Segment, 0); err != nil {
			r.p.WriteFailed()
			return err
		}
	}
	metric.LedgerWrites.Inc()
	v, err := r.l.store.Put(ctx, r.prefix+"tip", w.Tip, platform.Version(w.ExpectedVersion))
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		r.remove(r.p.WriteSucceeded(uint64(v), r.l.now()))
		return nil
	case errors.As(err, &conflict):
		r.p.WriteFailed() // another instance wrote: read what, and try again at once
		metric.LedgerConflicts.Inc()
		return nil
	}
	r.p.WriteFailed()
	return err
}

// remove deletes segments that the chain no longer names. What is missed here
// is only space.
func (r *runner) remove(keys []string) {
	for _, key := range keys {
		ctx, cancel := context.WithTimeout(r.l.ctx, callTimeout)
		if o, err := r.l.store.Get(ctx, r.prefix+"segments/"+key); err == nil {
			_ = r.l.store.Delete(ctx, r.prefix+"segments/"+key, o.Version)
		}
		cancel()
	}
}
