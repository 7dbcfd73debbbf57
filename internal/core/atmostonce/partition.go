package atmostonce

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Params limits the writes and the size of a partition.
type Params struct {
	MinWriteInterval time.Duration // minimum time between the starts of two writes
	Retention        time.Duration // age at which a claim expires
	MaxTipBytes      int           // size of the tip's entries at which they are moved into a segment
	MaxBatchClaims   int           // maximum number of claims in one write
}

// DefaultParams allows each partition at most 10 writes per second.
var DefaultParams = Params{MinWriteInterval: 100 * time.Millisecond, Retention: 24 * time.Hour, MaxTipBytes: 64 << 10, MaxBatchClaims: 4096}

// Verdict is the decision on a claim.
type Verdict uint8

// Verdicts. Only Granted permits a dispatch.
const (
	Granted      Verdict = iota // the claim is durable: dispatch the request once
	Pending                     // claimed before and no outcome is known: the request may have been executed
	Completed                   // claimed before; the result carries the outcome
	Mismatch                    // the ID was claimed before for a request with another hash
	Undetermined                // it is unknown whether the claim is durable: do not dispatch
)

// Result is the verdict on one claim. Outcome is set if the verdict is Completed.
type Result struct {
	Verdict Verdict
	Outcome *Outcome
}

// queuedClaim is a submitted claim without a result so far.
type queuedClaim struct {
	Entry
	onResult     func(Result)
	mayBeDurable bool // was part of a write that may have taken effect
}

// claimRecord is the index's record of a claim.
type claimRecord struct {
	nonce       Nonce
	requestHash uint64
	claimedAt   int64
	outcome     *Outcome
}

// Write is a write for the caller to carry out. Segment, if not nil, must be
// stored under SegmentKey before the tip.
type Write struct {
	Tip             []byte
	ExpectedVersion uint64 // version that the tip must have; 0: the tip must not exist
	SegmentKey      string
	Segment         []byte
}

// Partition is one instance's state of a partition. It is not safe for concurrent
// use, and knows no claims until Load is called.
type Partition struct {
	params   Params
	loaded   bool
	version  uint64
	tip      Tip
	index    map[ID]*claimRecord
	tipBytes int // approximate size of the tip's entries

	queued      []*queuedClaim
	outcomes    []Entry // outcomes not yet written
	inFlight    *batchWrite
	lastWriteAt time.Time // start of the last write
}

// batchWrite is the write in progress.
type batchWrite struct {
	next     Tip
	nonce    Nonce
	claims   []*queuedClaim
	outcomes []Entry
}

// New returns a partition whose chain has yet to be loaded.
func New(p Params) *Partition { return &Partition{params: p, index: map[ID]*claimRecord{}} }

// Loaded reports whether the chain is known.
func (p *Partition) Loaded() bool { return p.loaded }

// HasSegment reports whether the index holds the entries of a segment, so that a
// reload reads only new segments.
func (p *Partition) HasSegment(key string) bool {
	for _, s := range p.tip.Segments {
		if s.Key == key {
			return true
		}
	}
	return false
}

// Load sets the stored tip and adds the entries of the segments for which
// HasSegment was false.
func (p *Partition) Load(t Tip, version uint64, segments [][]Entry) {
	for _, entries := range segments {
		p.indexEntries(entries)
	}
	p.indexEntries(t.Entries)
	p.tip, p.version, p.loaded = t, version, true
	p.tipBytes = 0
	for i := range t.Entries {
		p.tipBytes += entryBytes(&t.Entries[i])
	}
}

// indexEntries adds entries to the index in the order of the chain. A second claim
// of an ID replaces the first one: it was only written because the first one had
// expired or was void.
func (p *Partition) indexEntries(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		r := p.index[e.ID]
		if r == nil || (e.Outcome == nil && e.Nonce != r.nonce) {
			r = &claimRecord{nonce: e.Nonce, requestHash: e.RequestHash, claimedAt: e.ClaimedAt}
			p.index[e.ID] = r
		}
		if e.Outcome != nil && e.Nonce == r.nonce {
			r.outcome = e.Outcome
		}
	}
}

// entryOverheadBytes is the approximate encoded size of an entry without its
// outcome.
const entryOverheadBytes = 48

func entryBytes(e *Entry) int {
	n := entryOverheadBytes
	if e.Outcome != nil {
		n += len(e.Outcome.Body) + len(e.Outcome.ContentType)
	}
	return n
}

// Submit queues a claim. onResult is called once: as soon as the index holds a
// claim of the same ID, else when the claim is durable or when it cannot be
// determined whether it is.
func (p *Partition) Submit(e Entry, onResult func(Result)) {
	p.queued = append(p.queued, &queuedClaim{Entry: e, onResult: onResult})
}

// Complete records the outcome of a claim, or frees its ID with a Void outcome.
// The next batch writes it; if that never happens, a repeated request gets the
// verdict Pending, that is, the first one may have been executed.
func (p *Partition) Complete(id ID, nonce Nonce, outcome Outcome) {
	if len(outcome.Body) > MaxOutcomeBytes {
		outcome.Body, outcome.Truncated = nil, true
	}
	e := Entry{ID: id, Nonce: nonce, Outcome: &outcome}
	if r := p.index[id]; r != nil {
		if r.nonce != nonce || r.outcome != nil {
			return // a different claim holds the ID, or the outcome is known already
		}
		r.outcome, e.RequestHash, e.ClaimedAt = &outcome, r.requestHash, r.claimedAt
	}
	p.outcomes = append(p.outcomes, e)
}

// resolveQueued answers the queued claims that the index can decide and keeps the
// others. If a batch has two claims of one ID, the second is answered once the
// first is in the index.
func (p *Partition) resolveQueued(now time.Time) {
	unresolved := p.queued[:0]
	for _, t := range p.queued {
		if result, known := p.lookUp(&t.Entry, now); known {
			t.onResult(result)
			continue
		}
		unresolved = append(unresolved, t)
	}
	p.queued = unresolved
}

func (p *Partition) lookUp(e *Entry, now time.Time) (Result, bool) {
	r := p.index[e.ID]
	if r == nil || p.expired(r.claimedAt, now) {
		return Result{}, false
	}
	void := r.outcome != nil && r.outcome.Void
	switch {
	case r.nonce == e.Nonce && void:
		return Result{Verdict: Undetermined}, true // freed by FailQueued
	case r.nonce == e.Nonce:
		return Result{Verdict: Granted}, true // this claim, durable by an earlier write
	case void:
		return Result{}, false
	case r.requestHash != e.RequestHash:
		return Result{Verdict: Mismatch}, true
	case r.outcome == nil:
		return Result{Verdict: Pending}, true
	}
	return Result{Verdict: Completed, Outcome: r.outcome}, true
}

func (p *Partition) expired(at int64, now time.Time) bool {
	return now.Unix()-at >= int64(p.params.Retention/time.Second)
}

// NextWriteAt returns the earliest start of the next write, or false if no write
// can start: nothing to write, not loaded, or a write in progress.
func (p *Partition) NextWriteAt(now time.Time) (time.Time, bool) {
	if p.loaded {
		p.resolveQueued(now)
	}
	if !p.loaded || p.inFlight != nil || len(p.queued)+len(p.outcomes) == 0 {
		return time.Time{}, false
	}
	return p.lastWriteAt.Add(p.params.MinWriteInterval), true
}

// BeginWrite returns the write that is due, or nil. The nonce must be unique: it
// identifies the write and names the segment that the write may move out.
func (p *Partition) BeginWrite(now time.Time, nonce Nonce) (*Write, error) {
	earliest, pending := p.NextWriteAt(now)
	if !pending || now.Before(earliest) {
		return nil, nil
	}
	batch := &batchWrite{nonce: nonce, outcomes: p.outcomes}
	batched := map[ID]bool{}
	var deferred []*queuedClaim
	for _, t := range p.queued {
		if batched[t.ID] || len(batch.claims) == p.params.MaxBatchClaims {
			deferred = append(deferred, t) // depends on the result of the batch's claim of this ID, or the batch is full
			continue
		}
		batched[t.ID] = true
		batch.claims = append(batch.claims, t)
	}
	w, err := p.buildWrite(batch, now)
	if err != nil {
		return nil, err
	}
	p.queued, p.outcomes, p.inFlight, p.lastWriteAt = deferred, nil, batch, now
	return w, nil
}

// buildWrite encodes the next tip. If the tip has reached MaxTipBytes, its entries
// are moved into a segment. Segments past the retention are dropped.
func (p *Partition) buildWrite(batch *batchWrite, now time.Time) (*Write, error) {
	next := Tip{LastBatch: batch.nonce}
	for _, s := range p.tip.Segments {
		if !p.expired(s.NewestAt, now) {
			next.Segments = append(next.Segments, s)
		}
	}
	w := &Write{ExpectedVersion: p.version}
	if p.tipBytes >= p.params.MaxTipBytes {
		data, err := cbor.Marshal(p.tip.Entries)
		if err != nil {
			return nil, &CodecError{Cause: err}
		}
		w.Segment, w.SegmentKey = data, segmentKey(batch.nonce)
		next.Segments = append(next.Segments, Segment{Key: w.SegmentKey, NewestAt: now.Unix()})
	} else {
		next.Entries = append(next.Entries, p.tip.Entries...)
	}
	for _, t := range batch.claims {
		t.ClaimedAt = now.Unix()
		t.mayBeDurable = true
		next.Entries = append(next.Entries, t.Entry)
	}
	next.Entries = append(next.Entries, batch.outcomes...)
	data, err := cbor.Marshal(next)
	if err != nil {
		return nil, &CodecError{Cause: err}
	}
	batch.next, w.Tip = next, data
	return w, nil
}

const hexDigits = "0123456789abcdef"

// segmentKey derives the key of a segment from the nonce of the write that moves
// it out.
func segmentKey(n Nonce) string {
	out := make([]byte, 0, 2*len(n))
	for _, b := range n {
		out = append(out, hexDigits[b>>4], hexDigits[b&15])
	}
	return string(out)
}

// WriteSucceeded reports that the write took effect. It returns the keys of the
// segments that the tip no longer references; they may be deleted.
func (p *Partition) WriteSucceeded(version uint64, now time.Time) (obsolete []string) {
	batch := p.inFlight
	p.inFlight = nil
	referenced := map[string]bool{}
	for _, s := range batch.next.Segments {
		referenced[s.Key] = true
	}
	for _, s := range p.tip.Segments {
		if !referenced[s.Key] {
			obsolete = append(obsolete, s.Key)
		}
	}
	p.Load(batch.next, version, nil)
	for _, t := range batch.claims {
		t.onResult(Result{Verdict: Granted})
	}
	if len(obsolete) > 0 {
		p.evictExpired(now)
	}
	return obsolete
}

// evictExpired removes claims past the retention from the index.
func (p *Partition) evictExpired(now time.Time) {
	for id, r := range p.index {
		if p.expired(r.claimedAt, now) {
			delete(p.index, id)
		}
	}
}

// WriteFailed reports that the write did not take effect, or may not have. The
// chain has to be loaded again; the claims of the write stay queued and are
// recognised by their nonces if the chain turns out to hold them.
func (p *Partition) WriteFailed() {
	batch := p.inFlight
	p.inFlight, p.loaded = nil, false
	if batch == nil {
		return
	}
	p.queued = append(batch.claims, p.queued...)
	p.outcomes = append(batch.outcomes, p.outcomes...)
}

// Reset discards all state of the chain, so that the next Load has to read all
// segments.
func (p *Partition) Reset() {
	p.loaded, p.tip, p.index = false, Tip{}, map[ID]*claimRecord{}
}

// FailQueued answers all queued claims with Undetermined, for use when the object
// store is unreachable. None of these requests may be dispatched. A claim that was
// part of a failed write may be durable all the same, so a Void outcome for it is
// added to the next write.
func (p *Partition) FailQueued() {
	for _, t := range p.queued {
		if t.mayBeDurable {
			void := Outcome{Void: true}
			p.outcomes = append(p.outcomes, Entry{ID: t.ID, Nonce: t.Nonce, RequestHash: t.RequestHash, ClaimedAt: t.ClaimedAt, Outcome: &void})
		}
		t.onResult(Result{Verdict: Undetermined})
	}
	p.queued = nil
}

// Len returns the number of claims in the index.
func (p *Partition) Len() int { return len(p.index) }
