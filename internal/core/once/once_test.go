package once_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/once"
)

var mixSteps = flag.Int("mix.steps", 20_000, "steps of the random mix")

// world is one partition's object in a platform that loses and delays writes,
// with some keepers that all believe to be the one.
type world struct {
	rand      *rand.Rand
	now       time.Time
	version   uint64
	tip       []byte
	segments  map[string][]byte
	keepers   []*keeper
	delayed   []*once.Write
	nonces    uint64
	brokenCAS bool // planted fault: writes are not conditional

	granted map[once.ID][]once.Nonce
	events  []porcupine.Event
	calls   int
	found   []string // broken promises
}

type keeper struct {
	p      *once.Partition
	paused int // steps for which it does nothing, with what it believes
}

func newWorld(seed uint64, keepers int) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0), segments: map[string][]byte{}, granted: map[once.ID][]once.Nonce{}}
	for range keepers {
		w.keepers = append(w.keepers, &keeper{p: once.New(once.Params{Pace: time.Second, Retention: time.Hour, TipBytes: 1000, Batch: 8})})
	}
	return w
}

func (w *world) nonce() (n once.Nonce) {
	w.nonces++
	binary.BigEndian.PutUint64(n[:], w.nonces)
	return n
}

// step lets one thing happen.
func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.rand.IntN(500)) * time.Millisecond)
	k := w.keepers[w.rand.IntN(len(w.keepers))]
	if k.paused > 0 {
		k.paused--
		return
	}
	switch w.rand.IntN(12) {
	case 0:
		k.paused = w.rand.IntN(40)
	case 1:
		*k = keeper{p: once.New(once.Params{Pace: time.Second, Retention: time.Hour, TipBytes: 1000, Batch: 8})} // died, came back
	case 2, 3, 4:
		w.offer(k)
	case 5:
		w.deliver()
	default:
		w.advance(k)
	}
}

// claimInput and claimOutput are one claim in the history that is checked.
type claimInput struct {
	id      once.ID
	nonce   once.Nonce
	request uint64
}

func (w *world) offer(k *keeper) {
	var id once.ID
	binary.BigEndian.PutUint16(id[:], uint16(w.calls/20+w.rand.IntN(10))) // new IDs come, old ones are repeated
	in := claimInput{id: id, nonce: w.nonce(), request: uint64(w.rand.IntN(10) / 9)}
	call := w.calls
	w.calls++
	w.events = append(w.events, porcupine.Event{Kind: porcupine.CallEvent, Value: in, Id: call, ClientId: call})
	k.p.Offer(once.Entry{ID: id, Nonce: in.nonce, Request: in.request}, func(a once.Answer) {
		w.events = append(w.events, porcupine.Event{Kind: porcupine.ReturnEvent, Value: a, Id: call, ClientId: call})
		w.answered(k, in, a)
	})
}

func (w *world) answered(k *keeper, in claimInput, a once.Answer) {
	got := w.granted[in.id]
	switch a.Verdict {
	case once.Granted:
		w.granted[in.id] = append(got, in.nonce)
		if len(got) > 0 {
			w.found = append(w.found, fmt.Sprintf("%x is granted twice", in.id[:2]))
		}
		if w.rand.IntN(3) > 0 { // else the dispatcher dies before its outcome
			k.p.Complete(in.id, in.nonce, once.Outcome{Status: 200, Body: in.nonce[:]})
		}
	case once.Done:
		if len(got) == 0 || string(a.Outcome.Body) != string(got[0][:]) {
			w.found = append(w.found, fmt.Sprintf("%x has another's outcome", in.id[:2]))
		}
	}
}

// put is the platform's conditional write.
func (w *world) put(x *once.Write) bool {
	if x.Segment != nil {
		w.segments[x.SegmentKey] = x.Segment
	}
	if w.version != x.Want && !w.brokenCAS {
		return false
	}
	w.version++
	w.tip = x.Tip
	return true
}

// deliver lets a write that was under way for long take effect now, if it can.
func (w *world) deliver() {
	if len(w.delayed) > 0 {
		w.put(w.delayed[0])
		w.delayed = w.delayed[1:]
	}
}

func (w *world) advance(k *keeper) {
	if !k.p.Loaded() {
		w.load(k)
		return
	}
	x, err := k.p.Next(w.now, w.nonce())
	if err != nil {
		w.found = append(w.found, err.Error())
	}
	if x == nil {
		return
	}
	switch w.rand.IntN(8) {
	case 0: // lost on the way
		k.p.Lost()
	case 1: // took effect, the answer was lost
		w.put(x)
		k.p.Lost()
	case 2: // will take effect later, or never
		w.delayed = append(w.delayed, x)
		k.p.Lost()
	default:
		if w.put(x) {
			k.p.Written(w.version, w.now)
		} else {
			k.p.Lost()
		}
	}
}

func (w *world) load(k *keeper) {
	if w.rand.IntN(6) == 0 {
		k.p.GiveUp() // the platform is down for this round
		return
	}
	t, err := once.DecodeTip(w.tip)
	if err != nil {
		w.found = append(w.found, err.Error())
		return
	}
	var segs [][]once.Entry
	for _, s := range t.Segments {
		if !k.p.Has(s.Key) {
			entries, err := once.DecodeSegment(w.segments[s.Key])
			if err != nil {
				w.found = append(w.found, err.Error())
			}
			segs = append(segs, entries)
		}
	}
	k.p.Load(t, w.version, segs)
}

// TestMix is a seeded mix of all that can befall a partition: several keepers,
// pauses, deaths, lost, delayed and dropped writes, outages. No ID is ever
// granted twice, and no repeat gets another's outcome.
func TestMix(t *testing.T) {
	granted := 0
	for seed := range uint64(4) {
		w := newWorld(seed, 3)
		for i := range *mixSteps / 4 {
			w.step()
			if len(w.found) > 0 {
				t.Fatalf("seed %d step %d: %v", seed, i, w.found)
			}
		}
		granted += len(w.granted)
	}
	is.New(t).True(granted > 100) // the mix is not idle
	t.Logf("%d steps, %d IDs granted", *mixSteps, granted)
}

// TestMixCatchesBrokenCAS plants a fault: writes are not conditional. The mix
// must see an ID granted twice.
func TestMixCatchesBrokenCAS(t *testing.T) {
	w := newWorld(1, 3)
	w.brokenCAS = true
	for range 20_000 {
		w.step()
		if len(w.found) > 0 {
			return
		}
	}
	t.Fatal("an unconditional write was not noticed")
}

// claimState is an ID's state in the model: who holds it.
type claimState struct {
	held    bool
	request uint64
}

// model says what a claim may be answered, one ID at a time: the first one
// granted holds the ID for ever; later ones are pending, done, or differ.
var model = porcupine.Model{
	PartitionEvent: func(history []porcupine.Event) [][]porcupine.Event {
		byID, ids, idOf := map[once.ID][]porcupine.Event{}, []once.ID{}, map[int]once.ID{}
		for _, e := range history {
			if in, ok := e.Value.(claimInput); ok {
				idOf[e.Id] = in.id
			}
			id := idOf[e.Id]
			if byID[id] == nil {
				ids = append(ids, id)
			}
			byID[id] = append(byID[id], e)
		}
		var out [][]porcupine.Event
		for _, id := range ids {
			out = append(out, byID[id])
		}
		return out
	},
	Init: func() any { return claimState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, a := state.(claimState), input.(claimInput), output.(once.Answer)
		switch a.Verdict {
		case once.Granted:
			return !s.held, claimState{held: true, request: in.request}
		case once.Differs:
			return s.held && s.request != in.request, s
		case once.Pending, once.Done:
			return s.held && s.request == in.request, s
		}
		return true, s
	},
	Equal: func(a, b any) bool { return a.(claimState) == b.(claimState) },
}

// TestHistory checks the answers of a concurrent run against the model. A
// claim that a lost write made durable without its keeper knowing holds its ID
// as well, so this run has no giving up and no deaths.
func TestHistory(t *testing.T) {
	is := is.New(t)
	check := func(double bool) bool {
		w := newWorld(3, 3)
		for range 3000 {
			w.now = w.now.Add(time.Duration(w.rand.IntN(500)) * time.Millisecond)
			k := w.keepers[w.rand.IntN(3)]
			if w.rand.IntN(4) == 0 {
				w.offer(k)
			} else if !k.p.Loaded() {
				tip, err := once.DecodeTip(w.tip)
				is.NoErr(err)
				var segs [][]once.Entry
				for _, s := range tip.Segments {
					if !k.p.Has(s.Key) {
						entries, err := once.DecodeSegment(w.segments[s.Key])
						is.NoErr(err)
						segs = append(segs, entries)
					}
				}
				k.p.Load(tip, w.version, segs)
			} else {
				w.advance(k)
			}
		}
		events := complete(w.events)
		if double { // planted fault: one more caller is told that it holds an ID
			for i, e := range events {
				if a, ok := e.Value.(once.Answer); ok && a.Verdict == once.Pending {
					events[i].Value = once.Answer{Verdict: once.Granted}
					break
				}
			}
		}
		return porcupine.CheckEvents(model, events)
	}
	is.True(check(false))
	is.True(!check(true)) // the checker sees a doubled grant
}

// complete drops calls that were never answered.
func complete(events []porcupine.Event) []porcupine.Event {
	answered := map[int]bool{}
	for _, e := range events {
		if e.Kind == porcupine.ReturnEvent {
			answered[e.Id] = true
		}
	}
	var out []porcupine.Event
	for _, e := range events {
		if answered[e.Id] {
			out = append(out, e)
		}
	}
	return out
}

// TestVoid: a claim that was given up frees its ID, and only then.
func TestVoid(t *testing.T) {
	is := is.New(t)
	p := once.New(once.DefaultParams)
	p.Load(once.Tip{}, 0, nil)
	now := time.Unix(100, 0)
	claim := func(n byte, request uint64) (out once.Verdict) {
		out = once.Unsettled
		p.Offer(once.Entry{ID: once.ID{1}, Nonce: once.Nonce{n}, Request: request}, func(a once.Answer) { out = a.Verdict })
		now = now.Add(time.Second)
		if w, err := p.Next(now, once.Nonce{99, n}); err == nil && w != nil {
			p.Written(uint64(n), now)
		}
		return out
	}
	is.Equal(claim(1, 7), once.Granted)
	is.Equal(claim(2, 7), once.Pending)
	is.Equal(claim(3, 8), once.Differs)
	p.Complete(once.ID{1}, once.Nonce{2}, once.Outcome{Void: true}) // not the holder's word
	is.Equal(claim(4, 7), once.Pending)
	p.Complete(once.ID{1}, once.Nonce{1}, once.Outcome{Void: true})
	is.Equal(claim(5, 8), once.Granted)
	now = now.Add(25 * time.Hour) // past retention
	is.Equal(claim(6, 7), once.Granted)
}

// FuzzDecode: whatever the platform hands back ends in a chain or an error.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		tip, err := once.DecodeTip(data)
		if err != nil {
			return
		}
		p := once.New(once.DefaultParams)
		p.Load(tip, 1, nil)
	})
}
