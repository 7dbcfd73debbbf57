package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/member"
)

// network delivers messages between machines in one goroutine with a simulated clock.
type network struct {
	params   member.Params
	now      time.Time
	rand     *rand.Rand
	nodes    map[string]*node
	loss     float64 // share of messages lost
	messages int
	bytes    int
}

type node struct {
	m    *member.Machine
	down bool
}

const step = 50 * time.Millisecond

func newNetwork(seed uint64) *network {
	return &network{params: member.DefaultParams, now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}}
}

func (w *network) nodeName(i int) string { return fmt.Sprintf("n%03d", i) }

// join adds n instances, each of which contacts one random other instance.
func (w *network) join(n int) {
	for range n {
		name := w.nodeName(len(w.nodes))
		self := member.Member{Name: name, Address: name, Zone: "z", Incarnation: uint64(w.now.UnixMilli())}
		nd := &node{m: member.New(w.params, self, w.rand.IntN)}
		if len(w.nodes) > 0 {
			seed := w.nodes[w.nodeName(w.rand.IntN(len(w.nodes)))]
			seed.m.Receive([]member.Member{self}, w.now)
			nd.m.Receive(seed.m.Members(), w.now)
		}
		w.nodes[name] = nd
	}
}

// exchange simulates one call and its reply; it returns false if either was lost.
func (w *network) exchange(from, to *node, updates []member.Member) bool {
	w.count(updates)
	if to == nil || to.down || w.rand.Float64() < w.loss {
		return false
	}
	to.m.Receive([]member.Member{from.m.Self()}, w.now)
	to.m.Receive(updates, w.now)
	reply := to.m.UpdatesFor(from.m.Self().Name)
	w.count(reply)
	if w.rand.Float64() < w.loss {
		return false
	}
	from.m.Receive(reply, w.now)
	return true
}

func (w *network) count(updates []member.Member) {
	data, err := cbor.Marshal(updates)
	if err != nil {
		panic(err)
	}
	w.messages++
	w.bytes += len(data)
}

// run advances the network by d. It ticks the nodes in the order of their names,
// so that runs are reproducible.
func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for i := range len(w.nodes) {
			if n := w.nodes[w.nodeName(i)]; !n.down {
				w.tick(n)
			}
		}
	}
}

func (w *network) tick(n *node) {
	for _, p := range n.m.Tick(w.now) {
		if w.exchange(n, w.nodes[p.To], p.Updates) {
			n.m.Ack(p.To, w.now)
			continue
		}
		reached := false
		indirect := n.m.DirectProbeFailed(p.To, w.now)
		for _, q := range indirect {
			via := w.nodes[q.Via]
			reached = reached || (w.exchange(n, via, q.Updates) && w.exchange(via, w.nodes[q.To], via.m.UpdatesFor(q.To)))
		}
		if reached {
			n.m.Ack(p.To, w.now)
		} else if len(indirect) > 0 {
			n.m.ProbeFailed(p.To, w.now)
		}
	}
}

// countInState counts the live instances that know name in the given state.
func (w *network) countInState(name string, s member.State) int {
	count := 0
	for _, n := range w.nodes {
		if n.down {
			continue
		}
		for _, m := range n.m.Members() {
			if m.Name == name && m.State == s {
				count++
			}
		}
	}
	return count
}

// TestJoin: instances that each contacted one other learn of all.
func TestJoin(t *testing.T) {
	is := is.New(t)
	w := newNetwork(1)
	w.join(40)
	w.run(15 * time.Second)
	for name := range w.nodes {
		is.Equal(w.countInState(name, member.Alive), 40)
	}
}

// TestFailureDetection: all live instances declare a failed one dead within a bounded time.
func TestFailureDetection(t *testing.T) {
	for _, n := range []int{8, 32, 128} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(2)
			w.join(n)
			w.run(20 * time.Second)
			w.nodes["n003"].down = true
			start := w.now
			for w.countInState("n003", member.Alive)+w.countInState("n003", member.Suspect) > 0 {
				w.run(step)
				is.True(w.now.Sub(start) < 20*time.Second)
			}
			t.Logf("%d instances: known dead everywhere after %v", n, w.now.Sub(start))
		})
	}
}

// TestNoFalsePositives: with one message in ten lost, and with pauses shorter than
// the suspicion timeout, no live instance is declared dead.
func TestNoFalsePositives(t *testing.T) {
	is := is.New(t)
	w := newNetwork(3)
	w.join(32)
	w.run(15 * time.Second)
	w.loss = 0.1
	for i := range 20 {
		paused := w.nodes[w.nodeName(i)]
		paused.down = true
		w.run(time.Second)
		paused.down = false
		w.run(2 * time.Second)
		for name := range w.nodes {
			is.Equal(w.countInState(name, member.Dead), 0)
		}
	}
}

// TestRefutation: an instance that was declared dead while it was paused refutes
// it when it resumes.
func TestRefutation(t *testing.T) {
	is := is.New(t)
	w := newNetwork(4)
	w.join(16)
	w.run(10 * time.Second)
	w.nodes["n005"].down = true
	w.run(15 * time.Second)
	is.Equal(w.countInState("n005", member.Dead), 15)
	w.nodes["n005"].down = false
	w.run(15 * time.Second)
	is.Equal(w.countInState("n005", member.Alive), 16)
}

// TestLeave: an instance that left is known as left, and stays so.
func TestLeave(t *testing.T) {
	is := is.New(t)
	w := newNetwork(5)
	w.join(16)
	w.run(10 * time.Second)
	leaver := w.nodes["n007"]
	for _, p := range leaver.m.Leave() {
		w.exchange(leaver, w.nodes[p.To], p.Updates)
	}
	leaver.down = true
	w.run(10 * time.Second)
	is.Equal(w.countInState("n007", member.Left), 15)
}

// TestArbitraryUpdates: whatever updates arrive, in any order and any number of
// times, the instance regards itself as alive, its incarnation never decreases,
// and memory is bounded.
func TestArbitraryUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		params := member.DefaultParams
		params.MaxMembers = 20
		m := member.New(params, member.Member{Name: "self", Address: "a", Incarnation: 5}, func(int) int { return 0 })
		updates := rapid.SliceOf(rapid.Custom(func(t *rapid.T) member.Member {
			return member.Member{Name: rapid.SampledFrom([]string{"self", "x", "y", ""}).Draw(t, "name") + rapid.StringMatching(`[0-9]{0,2}`).Draw(t, "n"),
				Address: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "address"), Incarnation: rapid.Uint64Range(0, 1<<40).Draw(t, "incarnation"),
				State: member.State(rapid.IntRange(0, 9).Draw(t, "state"))}
		})).Draw(t, "updates")
		last := m.Self().Incarnation
		now := time.Unix(0, 0)
		for _, u := range updates {
			m.Receive([]member.Member{u, u}, now)
			now = now.Add(time.Second)
			m.Tick(now)
			if self := m.Self(); self.State != member.Alive || self.Incarnation < last {
				t.Fatalf("self is %+v", self)
			}
			last = m.Self().Incarnation
			if len(m.Members()) > params.MaxMembers+1 {
				t.Fatalf("%d members", len(m.Members()))
			}
		}
	})
}

// BenchmarkGossip measures what one instance sends per second while membership
// does not change, for several numbers of instances.
func BenchmarkGossip(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64, 128} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newNetwork(6)
			w.join(n)
			w.run(60 * time.Second)
			w.messages, w.bytes = 0, 0
			seconds := 0
			for b.Loop() {
				w.run(time.Second)
				seconds++
			}
			b.ReportMetric(float64(w.messages)/float64(n*seconds), "messages/instance-s")
			b.ReportMetric(float64(w.bytes)/float64(n*seconds), "bytes/instance-s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n*seconds), "us/instance-s")
		})
	}
}
