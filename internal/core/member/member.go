// Package member is the instances' knowledge of one another, as a pure state
// machine after SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", 2002): each instance
// probes one other a period, asks a few more to probe it when it is silent, and
// spreads what changed on the probes themselves. So the cost an instance is
// constant, whatever the number of instances.
//
// The caller passes in time by Tick and messages by Ack, Fail and Receive, and
// carries out the probes handed back.
package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// State is what is believed of an instance.
type State uint8

// States, in the order in which they override one another at the same
// incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String names the state for operators.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Member is one instance as known here. It is also the update that spreads.
type Member struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Address     string `cbor:"2,keyasint" json:"address"` // peers' listener
	Zone        string `cbor:"3,keyasint" json:"zone"`
	Incarnation uint64 `cbor:"4,keyasint" json:"incarnation"` // only the member itself raises it
	State       State  `cbor:"5,keyasint" json:"state"`
	Detached    bool   `cbor:"6,keyasint,omitempty" json:"detached,omitempty"` // the object store does not answer it
}

// Probe is a message to send. Via is empty for a direct probe; else it is the
// address of the member that is asked to probe To.
type Probe struct {
	To      string // name
	Address string
	Via     string
	Updates []Member
}

// Params are the machine's bounds.
type Params struct {
	Period           time.Duration // between probes
	SuspicionTimeout time.Duration // from suspect to dead
	Retention        time.Duration // how long the dead and the left are remembered
	IndirectProbes   int           // members asked to probe a silent one
	MaxUpdates       int           // updates on one message
	MaxMembers       int           // members remembered, against garbage
}

// DefaultLeaseParams suit a few hundred instances.
var DefaultParams = Params{Period: 500 * time.Millisecond, SuspicionTimeout: 3 * time.Second, Retention: 2 * time.Minute, IndirectProbes: 3, MaxUpdates: 8, MaxMembers: 4096}

type record struct {
	Member
	since time.Time // of the state
}

type rumor struct {
	m    Member
	sent int
}

// Machine is one instance's knowledge. It belongs to one goroutine.
type Machine struct {
	p       Params
	self    Member
	members map[string]*record // without self
	rumors  []rumor
	ring    []string // names still to probe in this round
	rand    func(n int) int
	next    time.Time // of the next probe
	changed bool
}

// New returns a machine that knows only itself. rand returns a number in [0, n).
func New(p Params, self Member, rand func(n int) int) *Machine {
	m := &Machine{p: p, self: self, members: map[string]*record{}, rand: rand, changed: true}
	m.spread(self)
	return m
}

// Self is this instance as others shall know it.
func (m *Machine) Self() Member { return m.self }

// Members returns all members, this one included, sorted by name.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, len(m.members)+1)
	out = append(out, m.self)
	for _, r := range m.members {
		out = append(out, r.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// LiveCount is the number of live members, this one included.
func (m *Machine) LiveCount() int {
	n := 0
	if m.self.State == Alive {
		n = 1
	}
	for _, r := range m.members {
		if r.State == Alive {
			n++
		}
	}
	return n
}

// TakeChanged says whether the members changed since it was last asked.
func (m *Machine) TakeChanged() bool {
	c := m.changed
	m.changed = false
	return c
}

// Tick advances time and returns the probes now due.
func (m *Machine) Tick(now time.Time) []Probe {
	m.age(now)
	if now.Before(m.next) {
		return nil
	}
	m.next = now.Add(m.p.Period)
	r := m.pick()
	if r == nil {
		return nil
	}
	return []Probe{{To: r.Name, Address: r.Address, Updates: m.UpdatesFor(r.Name)}}
}

// age turns lasting suspicion into death and forgets the long gone.
func (m *Machine) age(now time.Time) {
	for name, r := range m.members {
		switch {
		case r.State == Suspect && now.Sub(r.since) >= m.p.SuspicionTimeout:
			dead := r.Member
			dead.State = Dead
			m.apply(dead, now)
		case r.State >= Dead && now.Sub(r.since) >= m.p.Retention:
			delete(m.members, name)
			m.changed = true
		}
	}
}

// pick takes the next member of a shuffled round, so that each is probed once
// a round: detection time is bounded, not only likely.
func (m *Machine) pick() *record {
	for range 2 {
		for len(m.ring) > 0 {
			name := m.ring[len(m.ring)-1]
			m.ring = m.ring[:len(m.ring)-1]
			if r := m.members[name]; r != nil && r.State < Dead {
				return r
			}
		}
		for name, r := range m.members {
			if r.State < Dead {
				m.ring = append(m.ring, name)
			}
		}
		slices.Sort(m.ring)
		for i := len(m.ring) - 1; i > 0; i-- {
			j := m.rand(i + 1)
			m.ring[i], m.ring[j] = m.ring[j], m.ring[i]
		}
	}
	return nil
}

// DirectProbeFailed takes a direct probe without an answer. It returns indirect probes
// to make; their answers end in Ack or Fail.
func (m *Machine) DirectProbeFailed(name string, now time.Time) []Probe {
	r := m.members[name]
	if r == nil || r.State >= Dead {
		return nil
	}
	var others []*record
	for _, o := range m.members {
		if o.Name != name && o.State == Alive {
			others = append(others, o)
		}
	}
	slices.SortFunc(others, func(a, b *record) int { return cmp.Compare(a.Name, b.Name) })
	var out []Probe
	for len(others) > 0 && len(out) < m.p.IndirectProbes {
		i := m.rand(len(others))
		out = append(out, Probe{To: name, Address: r.Address, Via: others[i].Address, Updates: m.UpdatesFor(name)})
		others = slices.Delete(others, i, i+1)
	}
	if len(out) == 0 {
		m.ProbeFailed(name, now)
	}
	return out
}

// ProbeFailed takes the end of all probes of a member without an answer.
func (m *Machine) ProbeFailed(name string, now time.Time) {
	r := m.members[name]
	if r == nil || r.State != Alive {
		return
	}
	s := r.Member
	s.State = Suspect
	m.apply(s, now)
}

// Ack takes an answer that proves a member alive at its known incarnation. A
// suspicion is not lifted by it: the member itself must refute, so that all
// hear of it; the updates sent along tell it to.
func (m *Machine) Ack(name string, now time.Time) {
	r := m.members[name]
	if r != nil && r.State == Suspect {
		m.spread(r.Member)
		r.since = now // it lives: leave it the time to refute
	}
}

// Receive takes the updates that came on any message.
func (m *Machine) Receive(updates []Member, now time.Time) {
	for _, u := range updates {
		if valid(u) {
			m.receive(u, now)
		}
	}
}

// maxField bounds the strings of an update, in bytes.
const maxField = 128

func valid(u Member) bool {
	return u.Name != "" && len(u.Name) <= maxField && u.Address != "" && len(u.Address) <= maxField && len(u.Zone) <= maxField && u.State <= Left
}

func (m *Machine) receive(u Member, now time.Time) {
	if u.Name == m.self.Name {
		m.refute(u)
		return
	}
	if r := m.members[u.Name]; r == nil {
		if u.State >= Dead || len(m.members) >= m.p.MaxMembers {
			return // news of the end of a stranger is no news
		}
	} else if !overrides(u, r.Member) {
		return
	}
	m.apply(u, now)
}

// overrides is SWIM's order: a higher incarnation wins; at the same one the
// worse state does.
func overrides(u, old Member) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	return u.State > old.State
}

// refute answers any word of this instance's end, or of an older self at
// another address, with a higher incarnation.
func (m *Machine) refute(u Member) {
	if m.self.State == Left || u.Incarnation < m.self.Incarnation {
		return
	}
	if u.State == Alive && u.Incarnation == m.self.Incarnation && u.Address == m.self.Address {
		return
	}
	m.self.Incarnation = u.Incarnation + 1
	m.changed = true
	m.spread(m.self)
}

// SetDetached tells the others whether the object store answers this instance.
func (m *Machine) SetDetached(yes bool) {
	if m.self.Detached == yes {
		return
	}
	m.self.Detached = yes
	m.self.Incarnation++
	m.changed = true
	m.spread(m.self)
}

// Leave says goodbye: the update spreads with the last messages.
func (m *Machine) Leave() []Probe {
	m.self.State = Left
	m.changed = true
	m.spread(m.self)
	var out []Probe
	for range m.p.IndirectProbes {
		if r := m.pick(); r != nil {
			out = append(out, Probe{To: r.Name, Address: r.Address, Updates: m.UpdatesFor(r.Name)})
		}
	}
	return out
}

func (m *Machine) apply(u Member, now time.Time) {
	m.members[u.Name] = &record{Member: u, since: now}
	m.changed = true
	m.spread(u)
}

// spread queues an update, in place of an older one about the same member.
func (m *Machine) spread(u Member) {
	m.rumors = slices.DeleteFunc(m.rumors, func(r rumor) bool { return r.m.Name == u.Name })
	m.rumors = append(m.rumors, rumor{m: u})
}

// UpdatesFor returns the updates for a message to a member. One that is believed
// suspect or dead is told so first, whether or not that is still news: only it
// can refute it.
func (m *Machine) UpdatesFor(to string) []Member {
	out := m.batch()
	if r := m.members[to]; r != nil && r.State != Alive {
		out = append([]Member{r.Member}, out...)
	}
	return out
}

// batch takes the least sent updates. Each is sent some multiple of log2 of
// the number of members times, which reaches all with high probability.
func (m *Machine) batch() []Member {
	slices.SortStableFunc(m.rumors, func(a, b rumor) int { return cmp.Compare(a.sent, b.sent) })
	n := min(len(m.rumors), m.p.MaxUpdates)
	out := make([]Member, 0, n)
	for i := range n {
		out = append(out, m.rumors[i].m)
		m.rumors[i].sent++
	}
	most := spreadFactor * bits.Len(uint(len(m.members)+1))
	m.rumors = slices.DeleteFunc(m.rumors, func(r rumor) bool { return r.sent >= most })
	return out
}

// spreadFactor times log2(members) is how often an update is sent on.
const spreadFactor = 3

// Sample returns up to n live members chosen at random, this one not included.
// No period's turn is taken.
func (m *Machine) Sample(n int) []Member {
	var alive []Member
	for _, r := range m.members {
		if r.State == Alive {
			alive = append(alive, r.Member)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for i := range min(n, len(alive)) {
		j := i + m.rand(len(alive)-i)
		alive[i], alive[j] = alive[j], alive[i]
	}
	return alive[:min(n, len(alive))]
}
