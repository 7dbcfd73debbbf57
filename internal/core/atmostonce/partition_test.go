package atmostonce_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/atmostonce"
)

var faultSteps = flag.Int("mix.steps", 20_000, "total steps of the random fault sequences")

// simulation holds the object of one partition in a store that loses and delays
// writes, and several instances that each act as the partition's owner.
type simulation struct {
	rand                *rand.Rand
	now                 time.Time
	version             uint64
	tip                 []byte
	segments            map[string][]byte
	owners              []*owner
	delayed             []*atmostonce.Write
	nonces              uint64
	unconditionalWrites bool // injected fault: the store ignores the expected version

	granted    map[atmostonce.ID][]atmostonce.Nonce
	events     []porcupine.Event
	nextCall   int
	violations []string // invariants found broken
}

type owner struct {
	partition   *atmostonce.Partition
	pausedSteps int // steps for which the owner does nothing and keeps its outdated state
}

func newSimulation(seed uint64, owners int) *simulation {
	sim := &simulation{rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0), segments: map[string][]byte{}, granted: map[atmostonce.ID][]atmostonce.Nonce{}}
	for range owners {
		sim.owners = append(sim.owners, &owner{partition: atmostonce.New(atmostonce.Params{MinWriteInterval: time.Second, Retention: time.Hour, MaxTipBytes: 1000, MaxBatchClaims: 8})})
	}
	return sim
}

func (sim *simulation) nonce() (n atmostonce.Nonce) {
	sim.nonces++
	binary.BigEndian.PutUint64(n[:], sim.nonces)
	return n
}

// step executes one random event.
func (sim *simulation) step() {
	sim.now = sim.now.Add(time.Duration(sim.rand.IntN(500)) * time.Millisecond)
	o := sim.owners[sim.rand.IntN(len(sim.owners))]
	if o.pausedSteps > 0 {
		o.pausedSteps--
		return
	}
	switch sim.rand.IntN(12) {
	case 0:
		o.pausedSteps = sim.rand.IntN(40)
	case 1:
		*o = owner{partition: atmostonce.New(atmostonce.Params{MinWriteInterval: time.Second, Retention: time.Hour, MaxTipBytes: 1000, MaxBatchClaims: 8})} // restarts without state
	case 2, 3, 4:
		sim.submit(o)
	case 5:
		sim.deliverDelayedWrite()
	default:
		sim.writeOrLoad(o)
	}
}

// claimCall is the input of one claim in the recorded history; its output is an
// atmostonce.Result.
type claimCall struct {
	id          atmostonce.ID
	nonce       atmostonce.Nonce
	requestHash uint64
}

func (sim *simulation) submit(o *owner) {
	var id atmostonce.ID
	binary.BigEndian.PutUint16(id[:], uint16(sim.nextCall/20+sim.rand.IntN(10))) // new IDs appear over time, and recent ones are repeated
	in := claimCall{id: id, nonce: sim.nonce(), requestHash: uint64(sim.rand.IntN(10) / 9)}
	call := sim.nextCall
	sim.nextCall++
	sim.events = append(sim.events, porcupine.Event{Kind: porcupine.CallEvent, Value: in, Id: call, ClientId: call})
	o.partition.Submit(atmostonce.Entry{ID: id, Nonce: in.nonce, RequestHash: in.requestHash}, func(result atmostonce.Result) {
		sim.events = append(sim.events, porcupine.Event{Kind: porcupine.ReturnEvent, Value: result, Id: call, ClientId: call})
		sim.checkResult(o, in, result)
	})
}

func (sim *simulation) checkResult(o *owner, in claimCall, result atmostonce.Result) {
	granted := sim.granted[in.id]
	switch result.Verdict {
	case atmostonce.Granted:
		sim.granted[in.id] = append(granted, in.nonce)
		if len(granted) > 0 {
			sim.violations = append(sim.violations, fmt.Sprintf("ID %x was granted twice", in.id[:2]))
		}
		if sim.rand.IntN(3) > 0 { // else the dispatcher fails before it records an outcome
			o.partition.Complete(in.id, in.nonce, atmostonce.Outcome{Status: 200, Body: in.nonce[:]})
		}
	case atmostonce.Completed:
		if len(granted) == 0 || string(result.Outcome.Body) != string(granted[0][:]) {
			sim.violations = append(sim.violations, fmt.Sprintf("ID %x got the outcome of another claim", in.id[:2]))
		}
	}
}

// put is the store's conditional write.
func (sim *simulation) put(write *atmostonce.Write) bool {
	if write.Segment != nil {
		sim.segments[write.SegmentKey] = write.Segment
	}
	if sim.version != write.ExpectedVersion && !sim.unconditionalWrites {
		return false
	}
	sim.version++
	sim.tip = write.Tip
	return true
}

// deliverDelayedWrite applies the oldest delayed write if its expected version
// still matches.
func (sim *simulation) deliverDelayedWrite() {
	if len(sim.delayed) > 0 {
		sim.put(sim.delayed[0])
		sim.delayed = sim.delayed[1:]
	}
}

func (sim *simulation) writeOrLoad(o *owner) {
	if !o.partition.Loaded() {
		sim.load(o)
		return
	}
	write, err := o.partition.BeginWrite(sim.now, sim.nonce())
	if err != nil {
		sim.violations = append(sim.violations, err.Error())
	}
	if write == nil {
		return
	}
	switch sim.rand.IntN(8) {
	case 0: // the write is lost
		o.partition.WriteFailed()
	case 1: // the write takes effect but its response is lost
		sim.put(write)
		o.partition.WriteFailed()
	case 2: // the write takes effect later, or fails then
		sim.delayed = append(sim.delayed, write)
		o.partition.WriteFailed()
	default:
		if sim.put(write) {
			o.partition.WriteSucceeded(sim.version, sim.now)
		} else {
			o.partition.WriteFailed()
		}
	}
}

func (sim *simulation) load(o *owner) {
	if sim.rand.IntN(6) == 0 {
		o.partition.FailQueued() // the store is unreachable
		return
	}
	tip, err := atmostonce.DecodeTip(sim.tip)
	if err != nil {
		sim.violations = append(sim.violations, err.Error())
		return
	}
	var segments [][]atmostonce.Entry
	for _, s := range tip.Segments {
		if !o.partition.HasSegment(s.Key) {
			entries, err := atmostonce.DecodeSegment(sim.segments[s.Key])
			if err != nil {
				sim.violations = append(sim.violations, err.Error())
			}
			segments = append(segments, entries)
		}
	}
	o.partition.Load(tip, sim.version, segments)
}

// TestRandomFaults runs a seeded random sequence of faults against a partition:
// several owners at a time, pauses, restarts, lost, delayed and failed writes,
// outages. No ID may be granted twice, and no repeated claim may get the outcome
// of another.
func TestRandomFaults(t *testing.T) {
	granted := 0
	for seed := range uint64(4) {
		sim := newSimulation(seed, 3)
		for i := range *faultSteps / 4 {
			sim.step()
			if len(sim.violations) > 0 {
				t.Fatalf("seed %d step %d: %v", seed, i, sim.violations)
			}
		}
		granted += len(sim.granted)
	}
	is.New(t).True(granted > 100) // the sequence does grant claims
	t.Logf("%d steps, %d IDs granted", *faultSteps, granted)
}

// TestRandomFaultsDetectUnconditionalWrites checks that the simulation detects a
// doubled grant when the store ignores the expected version of a write.
func TestRandomFaultsDetectUnconditionalWrites(t *testing.T) {
	sim := newSimulation(1, 3)
	sim.unconditionalWrites = true
	for range 20_000 {
		sim.step()
		if len(sim.violations) > 0 {
			return
		}
	}
	t.Fatal("the doubled grant of an unconditional write was not detected")
}

// modelState is the state of one ID in the reference model.
type modelState struct {
	claimed     bool
	requestHash uint64
}

// model specifies the permitted results, one ID at a time: the first granted claim
// holds the ID forever; later claims get Pending, Completed or Mismatch.
var model = porcupine.Model{
	PartitionEvent: func(history []porcupine.Event) [][]porcupine.Event {
		byID, ids, idOf := map[atmostonce.ID][]porcupine.Event{}, []atmostonce.ID{}, map[int]atmostonce.ID{}
		for _, e := range history {
			if in, ok := e.Value.(claimCall); ok {
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
	Init: func() any { return modelState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, a := state.(modelState), input.(claimCall), output.(atmostonce.Result)
		switch a.Verdict {
		case atmostonce.Granted:
			return !s.claimed, modelState{claimed: true, requestHash: in.requestHash}
		case atmostonce.Mismatch:
			return s.claimed && s.requestHash != in.requestHash, s
		case atmostonce.Pending, atmostonce.Completed:
			return s.claimed && s.requestHash == in.requestHash, s
		}
		return true, s
	},
	Equal: func(a, b any) bool { return a.(modelState) == b.(modelState) },
}

// TestLinearizableHistory checks the results of concurrent claims against the
// model. The run has no FailQueued and no restarts: a claim made durable by a
// write that its owner believes failed would hold its ID without a grant in the
// history.
func TestLinearizableHistory(t *testing.T) {
	is := is.New(t)
	check := func(plantDoubleGrant bool) bool {
		sim := newSimulation(3, 3)
		for range 3000 {
			sim.now = sim.now.Add(time.Duration(sim.rand.IntN(500)) * time.Millisecond)
			o := sim.owners[sim.rand.IntN(3)]
			if sim.rand.IntN(4) == 0 {
				sim.submit(o)
			} else if !o.partition.Loaded() {
				tip, err := atmostonce.DecodeTip(sim.tip)
				is.NoErr(err)
				var segments [][]atmostonce.Entry
				for _, s := range tip.Segments {
					if !o.partition.HasSegment(s.Key) {
						entries, err := atmostonce.DecodeSegment(sim.segments[s.Key])
						is.NoErr(err)
						segments = append(segments, entries)
					}
				}
				o.partition.Load(tip, sim.version, segments)
			} else {
				sim.writeOrLoad(o)
			}
		}
		events := dropUnanswered(sim.events)
		if plantDoubleGrant { // injected fault: a second claim is granted
			for i, e := range events {
				if a, ok := e.Value.(atmostonce.Result); ok && a.Verdict == atmostonce.Pending {
					events[i].Value = atmostonce.Result{Verdict: atmostonce.Granted}
					break
				}
			}
		}
		return porcupine.CheckEvents(model, events)
	}
	is.True(check(false))
	is.True(!check(true)) // the check detects a doubled grant
}

// dropUnanswered removes calls without a result.
func dropUnanswered(events []porcupine.Event) []porcupine.Event {
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

// TestVoidFreesClaim checks that only a Void outcome from the claim's own
// dispatch, or the end of the retention, frees an ID.
func TestVoidFreesClaim(t *testing.T) {
	is := is.New(t)
	p := atmostonce.New(atmostonce.DefaultParams)
	p.Load(atmostonce.Tip{}, 0, nil)
	now := time.Unix(100, 0)
	claim := func(n byte, request uint64) (out atmostonce.Verdict) {
		out = atmostonce.Undetermined
		p.Submit(atmostonce.Entry{ID: atmostonce.ID{1}, Nonce: atmostonce.Nonce{n}, RequestHash: request}, func(a atmostonce.Result) { out = a.Verdict })
		now = now.Add(time.Second)
		if w, err := p.BeginWrite(now, atmostonce.Nonce{99, n}); err == nil && w != nil {
			p.WriteSucceeded(uint64(n), now)
		}
		return out
	}
	is.Equal(claim(1, 7), atmostonce.Granted)
	is.Equal(claim(2, 7), atmostonce.Pending)
	is.Equal(claim(3, 8), atmostonce.Mismatch)
	p.Complete(atmostonce.ID{1}, atmostonce.Nonce{2}, atmostonce.Outcome{Void: true}) // wrong nonce: no effect
	is.Equal(claim(4, 7), atmostonce.Pending)
	p.Complete(atmostonce.ID{1}, atmostonce.Nonce{1}, atmostonce.Outcome{Void: true})
	is.Equal(claim(5, 8), atmostonce.Granted)
	now = now.Add(25 * time.Hour) // beyond the retention
	is.Equal(claim(6, 7), atmostonce.Granted)
}

// FuzzDecode checks that a stored tip either decodes and loads or gives an error.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		tip, err := atmostonce.DecodeTip(data)
		if err != nil {
			return
		}
		p := atmostonce.New(atmostonce.DefaultParams)
		p.Load(tip, 1, nil)
	})
}
