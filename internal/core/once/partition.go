package once

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Params are a partition's bounds.
type Params struct {
	Pace      time.Duration // least time between two writes
	Retention time.Duration // age at which a claim is forgotten
	TipBytes  int           // size at which the tip is moved out into a segment
	Batch     int           // claims in one write
}

// DefaultParams: at most 10 writes a second a partition.
var DefaultParams = Params{Pace: 100 * time.Millisecond, Retention: 24 * time.Hour, TipBytes: 64 << 10, Batch: 4096}

// Verdict answers a claim.
type Verdict uint8

// Verdicts.
const (
	Granted   Verdict = iota // durable: dispatch it, once
	Pending                  // claimed before, outcome not known: it may have run
	Done                     // claimed before, here is its outcome
	Differs                  // the key was used for another request
	Unsettled                // not known whether the claim is durable: do not dispatch
)

// Answer is the verdict on one claim.
type Answer struct {
	Verdict Verdict
	Outcome *Outcome
}

// Ticket is an offered claim that waits for its answer.
type Ticket struct {
	Entry
	answer func(Answer)
	flown  bool // was part of a write that may have taken effect
}

// record is what the index keeps of an entry.
type record struct {
	nonce   Nonce
	request uint64
	at      int64
	outcome *Outcome
}

// Write is a write to carry out. Segment, if not nil, is written first.
type Write struct {
	Tip        []byte
	Want       uint64 // version that the tip must have; 0: it must not exist
	SegmentKey string
	Segment    []byte
}

// Partition is one partition as one instance knows it. It belongs to one
// goroutine. It knows nothing until Load.
type Partition struct {
	p       Params
	loaded  bool
	version uint64
	tip     Tip
	index   map[ID]*record
	size    int // bytes of the tip's entries, about

	waiting  []*Ticket
	outcomes []Entry // to be written
	flying   *flight
	last     time.Time // of the last write's start
}

// flight is the write under way.
type flight struct {
	next     Tip
	batch    Nonce
	tickets  []*Ticket
	outcomes []Entry
}

// New returns a partition that has to be loaded.
func New(p Params) *Partition { return &Partition{p: p, index: map[ID]*record{}} }

// Loaded says whether the chain is known.
func (p *Partition) Loaded() bool { return p.loaded }

// Has says whether a segment's entries are in the index, so that a reload
// reads only what is new.
func (p *Partition) Has(key string) bool {
	for _, s := range p.tip.Segments {
		if s.Key == key {
			return true
		}
	}
	return false
}

// Load takes the stored tip and the entries of those segments that Has denied.
func (p *Partition) Load(t Tip, version uint64, segments [][]Entry) {
	for _, entries := range segments {
		p.learn(entries)
	}
	p.learn(t.Entries)
	p.tip, p.version, p.loaded = t, version, true
	p.size = 0
	for i := range t.Entries {
		p.size += entrySize(&t.Entries[i])
	}
}

// learn takes entries in the order of the chain. A claim behind another claim
// of its ID stands there because that one had expired or was void.
func (p *Partition) learn(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		r := p.index[e.ID]
		if r == nil || (e.Outcome == nil && e.Nonce != r.nonce) {
			r = &record{nonce: e.Nonce, request: e.Request, at: e.At}
			p.index[e.ID] = r
		}
		if e.Outcome != nil && e.Nonce == r.nonce {
			r.outcome = e.Outcome
		}
	}
}

// entryOverhead is the encoded size of an entry without its outcome, about.
const entryOverhead = 48

func entrySize(e *Entry) int {
	n := entryOverhead
	if e.Outcome != nil {
		n += len(e.Outcome.Body) + len(e.Outcome.ContentType)
	}
	return n
}

// Offer brings a claim. answer is called once: at once if the claim is known
// already, else when it is durable or its fate can't be known.
func (p *Partition) Offer(e Entry, answer func(Answer)) {
	p.waiting = append(p.waiting, &Ticket{Entry: e, answer: answer})
}

// Complete brings the outcome of a claim, or frees it with a Void one. It is
// written with the next batch; if that never happens, a repeat is told that the
// request may have run.
func (p *Partition) Complete(id ID, nonce Nonce, o Outcome) {
	if len(o.Body) > MaxOutcome {
		o.Body, o.Cut = nil, true
	}
	e := Entry{ID: id, Nonce: nonce, Outcome: &o}
	if r := p.index[id]; r != nil {
		if r.nonce != nonce || r.outcome != nil {
			return // not the claim that stands, or settled before
		}
		r.outcome, e.Request, e.At = &o, r.request, r.at
	}
	p.outcomes = append(p.outcomes, e)
}

// settle answers what the index can answer, and keeps the rest waiting. Of two
// claims for one ID in one batch the second is answered by the first.
func (p *Partition) settle(now time.Time) {
	left := p.waiting[:0]
	for _, t := range p.waiting {
		if a, known := p.lookup(&t.Entry, now); known {
			t.answer(a)
			continue
		}
		left = append(left, t)
	}
	p.waiting = left
}

func (p *Partition) lookup(e *Entry, now time.Time) (Answer, bool) {
	r := p.index[e.ID]
	if r == nil || p.expired(r.at, now) {
		return Answer{}, false
	}
	void := r.outcome != nil && r.outcome.Void
	switch {
	case r.nonce == e.Nonce && void:
		return Answer{Verdict: Unsettled}, true // given up before
	case r.nonce == e.Nonce:
		return Answer{Verdict: Granted}, true // its own claim, written before
	case void:
		return Answer{}, false
	case r.request != e.Request:
		return Answer{Verdict: Differs}, true
	case r.outcome == nil:
		return Answer{Verdict: Pending}, true
	}
	return Answer{Verdict: Done, Outcome: r.outcome}, true
}

func (p *Partition) expired(at int64, now time.Time) bool {
	return now.Unix()-at >= int64(p.p.Retention/time.Second)
}

// Due returns when the next write may start; false if there is nothing to write.
func (p *Partition) Due(now time.Time) (time.Time, bool) {
	if p.loaded {
		p.settle(now)
	}
	if !p.loaded || p.flying != nil || len(p.waiting)+len(p.outcomes) == 0 {
		return time.Time{}, false
	}
	return p.last.Add(p.p.Pace), true
}

// Next returns the write that is due, or nil. nonce names it.
func (p *Partition) Next(now time.Time, nonce Nonce) (*Write, error) {
	at, some := p.Due(now)
	if !some || now.Before(at) {
		return nil, nil
	}
	f := &flight{batch: nonce, outcomes: p.outcomes}
	taken := map[ID]bool{}
	var later []*Ticket
	for _, t := range p.waiting {
		if taken[t.ID] || len(f.tickets) == p.p.Batch {
			later = append(later, t) // its twin's fate decides
			continue
		}
		taken[t.ID] = true
		f.tickets = append(f.tickets, t)
	}
	w, err := p.compose(f, now)
	if err != nil {
		return nil, err
	}
	p.waiting, p.outcomes, p.flying, p.last = later, nil, f, now
	return w, nil
}

// compose builds the next tip. A tip that would grow too long has its entries
// moved out into a segment first; segments past retention are let go.
func (p *Partition) compose(f *flight, now time.Time) (*Write, error) {
	next := Tip{Batch: f.batch}
	for _, s := range p.tip.Segments {
		if !p.expired(s.Newest, now) {
			next.Segments = append(next.Segments, s)
		}
	}
	w := &Write{Want: p.version}
	if p.size >= p.p.TipBytes {
		data, err := cbor.Marshal(p.tip.Entries)
		if err != nil {
			return nil, &EncodeError{Cause: err}
		}
		w.Segment, w.SegmentKey = data, segmentKey(f.batch)
		next.Segments = append(next.Segments, Segment{Key: w.SegmentKey, Newest: now.Unix()})
	} else {
		next.Entries = append(next.Entries, p.tip.Entries...)
	}
	for _, t := range f.tickets {
		t.At = now.Unix()
		t.flown = true
		next.Entries = append(next.Entries, t.Entry)
	}
	next.Entries = append(next.Entries, f.outcomes...)
	data, err := cbor.Marshal(next)
	if err != nil {
		return nil, &EncodeError{Cause: err}
	}
	f.next, w.Tip = next, data
	return w, nil
}

const hexDigits = "0123456789abcdef"

// segmentKey names a segment by the batch that moved it out.
func segmentKey(n Nonce) string {
	out := make([]byte, 0, 2*len(n))
	for _, b := range n {
		out = append(out, hexDigits[b>>4], hexDigits[b&15])
	}
	return string(out)
}

// Written reports that the write took effect. It returns the segments that
// are no longer named and may be deleted.
func (p *Partition) Written(version uint64, now time.Time) (dropped []string) {
	f := p.flying
	p.flying = nil
	named := map[string]bool{}
	for _, s := range f.next.Segments {
		named[s.Key] = true
	}
	for _, s := range p.tip.Segments {
		if !named[s.Key] {
			dropped = append(dropped, s.Key)
		}
	}
	p.Load(f.next, version, nil)
	for _, t := range f.tickets {
		t.answer(Answer{Verdict: Granted})
	}
	if len(dropped) > 0 {
		p.forget(now)
	}
	return dropped
}

// forget drops what is past retention from the index.
func (p *Partition) forget(now time.Time) {
	for id, r := range p.index {
		if p.expired(r.at, now) {
			delete(p.index, id)
		}
	}
}

// Lost reports that the write did not take effect, or that it is not known
// whether it did. The chain has to be loaded again; the claims wait for it,
// and are answered by their own nonces if they are found in it.
func (p *Partition) Lost() {
	f := p.flying
	p.flying, p.loaded = nil, false
	if f == nil {
		return
	}
	p.waiting = append(f.tickets, p.waiting...)
	p.outcomes = append(f.outcomes, p.outcomes...)
}

// Reset forgets the chain, so that the next Load reads all of it.
func (p *Partition) Reset() {
	p.loaded, p.tip, p.index = false, Tip{}, map[ID]*record{}
}

// GiveUp answers all that waits: the platform can't be reached. A claim that
// was in a lost write may be durable; none of them may be dispatched, and such
// ones are freed by the next write that succeeds.
func (p *Partition) GiveUp() {
	for _, t := range p.waiting {
		if t.flown {
			void := Outcome{Void: true}
			p.outcomes = append(p.outcomes, Entry{ID: t.ID, Nonce: t.Nonce, Request: t.Request, At: t.At, Outcome: &void})
		}
		t.answer(Answer{Verdict: Unsettled})
	}
	p.waiting = nil
}

// Len is the number of claims in the index.
func (p *Partition) Len() int { return len(p.index) }
