// Package ledger runs the partitions of the at-most-once ledger
// (internal/core/atmostonce) against the platform's object API.
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
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Partitions is the number of partitions that claims are distributed over by their
// ID. With atmostonce.DefaultParams they make at most 160 writes per second in total.
const Partitions = 16

// UnavailableError reports that a claim could not be made durable, or that it is
// not known whether it is: its request must not be dispatched.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Cause == nil {
		return "ledger: claim not confirmed as durable"
	}
	return "ledger: claim not confirmed as durable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NewID returns the claim ID of a customer's idempotency key.
func NewID(customer, key string) atmostonce.ID {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%s", len(customer), customer, key)
	return atmostonce.ID(h.Sum(nil)[:16])
}

// NewNonce returns a random nonce.
func NewNonce() atmostonce.Nonce {
	var n atmostonce.Nonce
	_, _ = rand.Read(n[:]) // crypto/rand.Read never returns an error; it ends the process instead
	return n
}

// PartitionOf returns the index of a claim's partition.
func PartitionOf(id atmostonce.ID) int { return int(id[0]) % Partitions }

// Ledger holds the partitions that this instance has used. Use New to create one.
type Ledger struct {
	store  platform.Store
	params atmostonce.Params
	now    func() time.Time
	ctx    context.Context

	mu      sync.Mutex
	runners [Partitions]*runner
	wg      wait.Group // a request may start one while the ledger ends
}

// New returns a ledger whose goroutines end with ctx.
func New(ctx context.Context, store platform.Store, params atmostonce.Params, now func() time.Time) *Ledger {
	return &Ledger{ctx: ctx, store: store, params: params, now: now}
}

// Wait returns when the goroutines of all partitions have ended. They end with the
// context given to New.
func (l *Ledger) Wait() { l.wg.Wait() }

// runnerFor returns the runner of partition n and starts it on first use.
func (l *Ledger) runnerFor(n int) *runner {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runners[n] == nil {
		r := &runner{ledger: l, prefix: fmt.Sprintf("once/%02d/", n), ops: make(chan op, opBacklog), partition: atmostonce.New(l.params)}
		l.runners[n] = r
		l.wg.Go(r.run)
	}
	return l.runners[n]
}

// Claim makes a claim durable, or returns the verdict on an earlier claim of the
// same ID. It is safe to repeat it with the same nonce.
func (l *Ledger) Claim(ctx context.Context, e atmostonce.Entry) (atmostonce.Result, error) {
	results := make(chan atmostonce.Result, 1)
	if !l.runnerFor(PartitionOf(e.ID)).submit(ctx, func(p *atmostonce.Partition) {
		p.Submit(e, func(result atmostonce.Result) { results <- result })
	}) {
		return atmostonce.Result{}, &UnavailableError{Cause: ctx.Err()}
	}
	select {
	case result := <-results:
		if result.Verdict == atmostonce.Undetermined {
			return result, &UnavailableError{}
		}
		return result, nil
	case <-ctx.Done():
		return atmostonce.Result{}, &UnavailableError{Cause: ctx.Err()}
	case <-l.ctx.Done():
		return atmostonce.Result{}, &UnavailableError{Cause: l.ctx.Err()}
	}
}

// Settle records the outcome of a claim. It does not wait for the write.
func (l *Ledger) Settle(id atmostonce.ID, nonce atmostonce.Nonce, o atmostonce.Outcome) {
	l.runnerFor(PartitionOf(id)).submit(l.ctx, func(p *atmostonce.Partition) { p.Complete(id, nonce, o) })
}

// op is an operation on a partition, run on the partition's goroutine.
type op func(*atmostonce.Partition)

// Limits of a runner.
const (
	opBacklog          = 4096            // operations queued for a partition; submit blocks when the queue is full
	callTimeout        = 2 * time.Second // for one write, one load of the tip or one read of a segment
	retryDelay         = 100 * time.Millisecond
	maxConcurrentReads = 8 // segments read concurrently
)

// runner owns one partition and runs its operations on a goroutine.
type runner struct {
	ledger    *Ledger
	prefix    string
	ops       chan op
	partition *atmostonce.Partition
	failures  int // since the last completed write; a conflict counts as completed
}

// submit queues an operation. It returns false if ctx or the ledger's context ends first.
func (r *runner) submit(ctx context.Context, o op) bool {
	select {
	case r.ops <- o:
		return true
	case <-ctx.Done():
		return false
	case <-r.ledger.ctx.Done():
		return false
	}
}

func (r *runner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case o := <-r.ops:
			o(r.partition)
			r.applyQueued()
		case <-timer.C:
		case <-r.ledger.ctx.Done():
			r.partition.FailQueued()
			return
		}
		timer.Reset(r.step())
	}
}

// applyQueued runs the operations that are queued by now, so that they share one
// write.
func (r *runner) applyQueued() {
	for {
		select {
		case o := <-r.ops:
			o(r.partition)
		default:
			return
		}
	}
}

// idleInterval is how long a runner without pending writes waits for an operation.
const idleInterval = time.Hour

// step loads the partition if needed and makes the write that is due. It returns the
// time to the next step.
func (r *runner) step() time.Duration {
	if !r.partition.Loaded() {
		if err := r.load(); err != nil {
			return r.recordFailure()
		}
	}
	now := r.ledger.now()
	at, due := r.partition.NextWriteAt(now)
	if !due {
		return idleInterval
	}
	if wait := at.Sub(now); wait > 0 {
		return wait
	}
	w, err := r.partition.BeginWrite(now, NewNonce())
	if err != nil || w == nil {
		return idleInterval
	}
	if err := r.write(w); err != nil {
		return r.recordFailure()
	}
	r.failures = 0
	return 0
}

// recordFailure counts a load or write that failed, and returns the delay before the
// next step. From the maxFailures-th failure after the last completed write on, the queued
// claims fail, so that their callers do not hang; later claims are tried again.
func (r *runner) recordFailure() time.Duration {
	r.failures++
	metric.LedgerErrors.Inc()
	if r.failures >= maxFailures {
		r.partition.FailQueued()
	}
	return retryDelay * time.Duration(min(r.failures, 20))
}

// maxFailures is the number of failures, without a completed write between them, at
// which the queued claims fail.
const maxFailures = 3

// load reads the tip and the segments that are not known yet.
func (r *runner) load() error {
	ctx, cancel := context.WithTimeout(r.ledger.ctx, callTimeout)
	defer cancel()
	var notFound *platform.NotFoundError
	o, err := r.ledger.store.Get(ctx, r.prefix+"tip")
	if err != nil && !errors.As(err, &notFound) {
		return err
	}
	tip, err := atmostonce.DecodeTip(o.Value)
	if err != nil {
		return err
	}
	var keys []string
	for _, s := range tip.Segments {
		if !r.partition.HasSegment(s.Key) {
			keys = append(keys, s.Key)
		}
	}
	segments, err := r.readSegments(keys)
	if err != nil {
		return err
	}
	r.partition.Load(tip, uint64(o.Version), segments)
	return nil
}

// readSegments reads segments concurrently and returns them in the order of keys.
func (r *runner) readSegments(keys []string) ([][]atmostonce.Entry, error) {
	out := make([][]atmostonce.Entry, len(keys))
	errs := make([]error, len(keys))
	slots := make(chan struct{}, maxConcurrentReads)
	var wg sync.WaitGroup
	for i, key := range keys {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(r.ledger.ctx, callTimeout)
			defer cancel()
			o, err := r.ledger.store.Get(ctx, r.prefix+"segments/"+key)
			if err == nil {
				out[i], err = atmostonce.DecodeSegment(o.Value)
			}
			errs[i] = err
		}()
	}
	wg.Wait()
	return out, errors.Join(errs...)
}

// write makes one write: the segment first, then the tip.
func (r *runner) write(w *atmostonce.Write) error {
	ctx, cancel := context.WithTimeout(r.ledger.ctx, callTimeout)
	defer cancel()
	if w.Segment != nil {
		if _, err := r.ledger.store.Put(ctx, r.prefix+"segments/"+w.SegmentKey, w.Segment, 0); err != nil {
			r.partition.WriteFailed()
			return err
		}
	}
	metric.LedgerWrites.Inc()
	v, err := r.ledger.store.Put(ctx, r.prefix+"tip", w.Tip, platform.Version(w.ExpectedVersion))
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		r.deleteSegments(r.partition.WriteSucceeded(uint64(v), r.ledger.now()))
		return nil
	case errors.As(err, &conflict):
		r.partition.WriteFailed() // another instance wrote: reload and retry without delay
		metric.LedgerConflicts.Inc()
		return nil
	}
	r.partition.WriteFailed()
	return err
}

// deleteSegments deletes segments that the chain no longer references. A segment that
// is not deleted only takes up space.
func (r *runner) deleteSegments(keys []string) {
	for _, key := range keys {
		ctx, cancel := context.WithTimeout(r.ledger.ctx, callTimeout)
		if o, err := r.ledger.store.Get(ctx, r.prefix+"segments/"+key); err == nil {
			_ = r.ledger.store.Delete(ctx, r.prefix+"segments/"+key, o.Version)
		}
		cancel()
	}
}
