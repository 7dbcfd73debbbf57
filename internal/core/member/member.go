// Package member implements group membership of the instances as a pure state
// machine after SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", 2002): each instance
// probes one other per period, has a few more probe it if it does not answer,
// and piggybacks membership updates on the probes. The cost per instance is
// therefore constant, whatever the number of instances.
//
// The caller passes in time by Tick, results of probes by Ack,
// DirectProbeFailed and ProbeFailed, and messages by Receive, and sends the
// probes that are returned.
package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// State is the state of an instance as known to another one.
type State uint8

// States, in the order in which they override one another at the same
// incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the state's name.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Member describes one instance. It is also the update that instances gossip.
type Member struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Address     string `cbor:"2,keyasint" json:"address"` // of its listener for peers
	Zone        string `cbor:"3,keyasint" json:"zone"`
	Incarnation uint64 `cbor:"4,keyasint" json:"incarnation"` // incremented only by the member itself
	State       State  `cbor:"5,keyasint" json:"state"`
	Detached    bool   `cbor:"6,keyasint,omitempty" json:"detached,omitempty"`    // its object store is unreachable
	Partitioned bool   `cbor:"7,keyasint,omitempty" json:"partitioned,omitempty"` // it has lost its links to the targets of some service, which others reach
}

// Probe is a message to send. Via is empty for a direct probe; for an indirect
// one it is the address of the member that is to probe To.
type Probe struct {
	To      string // name of the member to probe
	Address string
	Via     string
	Updates []Member
}

// Params are the timeouts and limits of a Machine.
type Params struct {
	Period           time.Duration // between probes
	SuspicionTimeout time.Duration // after which a suspect member is dead
	Retention        time.Duration // how long dead members and those that left are kept
	IndirectProbes   int           // members that probe one that failed a direct probe
	MaxUpdates       int           // updates in one message, besides the state of its recipient
	MaxMembers       int           // bounds memory against invalid updates
}

// DefaultParams suit a few hundred instances.
var DefaultParams = Params{Period: 500 * time.Millisecond, SuspicionTimeout: 3 * time.Second, Retention: 2 * time.Minute, IndirectProbes: 3, MaxUpdates: 8, MaxMembers: 4096}

// record is a member and the time when its state was last set.
type record struct {
	Member
	since time.Time
}

// queuedUpdate is an update and how many times it has been sent.
type queuedUpdate struct {
	update Member
	sent   int
}

// Machine is one instance's view of the group. It is not safe for concurrent use.
type Machine struct {
	params     Params
	self       Member
	members    map[string]*record // by name, without self
	queue      []queuedUpdate
	probeOrder []string // names still to probe in this round
	rand       func(n int) int
	nextProbe  time.Time
	changed    bool
}

// New returns a machine that knows only itself. rand returns a number in [0, n).
func New(p Params, self Member, rand func(n int) int) *Machine {
	m := &Machine{params: p, self: self, members: map[string]*record{}, rand: rand, changed: true}
	m.enqueue(self)
	return m
}

// Self returns this instance as it is announced to others.
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

// TakeChanged reports whether the members changed since the last call.
func (m *Machine) TakeChanged() bool {
	changed := m.changed
	m.changed = false
	return changed
}

// Tick advances time and returns the probes now due.
func (m *Machine) Tick(now time.Time) []Probe {
	m.expire(now)
	if now.Before(m.nextProbe) {
		return nil
	}
	m.nextProbe = now.Add(m.params.Period)
	r := m.nextMember()
	if r == nil {
		return nil
	}
	return []Probe{{To: r.Name, Address: r.Address, Updates: m.UpdatesFor(r.Name)}}
}

// expire declares members dead that stayed suspect for SuspicionTimeout, and
// removes those that have been dead or have left for Retention.
func (m *Machine) expire(now time.Time) {
	for name, r := range m.members {
		switch {
		case r.State == Suspect && now.Sub(r.since) >= m.params.SuspicionTimeout:
			dead := r.Member
			dead.State = Dead
			m.apply(dead, now)
		case r.State >= Dead && now.Sub(r.since) >= m.params.Retention:
			delete(m.members, name)
			m.changed = true
		}
	}
}

// nextMember returns the next member of a shuffled round-robin. Each member is
// probed once per round, which bounds the time to detect a failure.
func (m *Machine) nextMember() *record {
	for range 2 {
		for len(m.probeOrder) > 0 {
			name := m.probeOrder[len(m.probeOrder)-1]
			m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
			if r := m.members[name]; r != nil && r.State < Dead {
				return r
			}
		}
		for name, r := range m.members {
			if r.State < Dead {
				m.probeOrder = append(m.probeOrder, name)
			}
		}
		slices.Sort(m.probeOrder)
		for i := len(m.probeOrder) - 1; i > 0; i-- {
			j := m.rand(i + 1)
			m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
		}
	}
	return nil
}

// DirectProbeFailed records that a direct probe was not answered. It returns
// the indirect probes to send. The caller then calls Ack if one of them
// succeeds, else ProbeFailed. If none is returned, no call is needed: the member
// is suspect already, dead, gone or unknown.
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
	for len(others) > 0 && len(out) < m.params.IndirectProbes {
		i := m.rand(len(others))
		out = append(out, Probe{To: name, Address: r.Address, Via: others[i].Address, Updates: m.UpdatesFor(name)})
		others = slices.Delete(others, i, i+1)
	}
	if len(out) == 0 {
		m.ProbeFailed(name, now)
	}
	return out
}

// ProbeFailed records that no probe of a member was answered: a live member
// becomes suspect.
func (m *Machine) ProbeFailed(name string, now time.Time) {
	r := m.members[name]
	if r == nil || r.State != Alive {
		return
	}
	suspected := r.Member
	suspected.State = Suspect
	m.apply(suspected, now)
}

// Ack records an answer that proves a member alive at its known incarnation. It
// does not lift a suspicion: the member must refute it itself, so that all
// instances learn of it. The updates sent with the probe make it do so.
func (m *Machine) Ack(name string, now time.Time) {
	r := m.members[name]
	if r != nil && r.State == Suspect {
		m.enqueue(r.Member)
		r.since = now // restart the timeout, since the member needs time to refute
	}
}

// Receive applies the updates of a received message and ignores invalid ones.
func (m *Machine) Receive(updates []Member, now time.Time) {
	for _, u := range updates {
		if valid(u) {
			m.receive(u, now)
		}
	}
}

// maxFieldBytes bounds the length of each string of an update.
const maxFieldBytes = 128

func valid(u Member) bool {
	return u.Name != "" && len(u.Name) <= maxFieldBytes && u.Address != "" && len(u.Address) <= maxFieldBytes && len(u.Zone) <= maxFieldBytes && u.State <= Left
}

func (m *Machine) receive(u Member, now time.Time) {
	if u.Name == m.self.Name {
		m.refute(u)
		return
	}
	if r := m.members[u.Name]; r == nil {
		if u.State >= Dead || len(m.members) >= m.params.MaxMembers {
			return // an unknown member that is gone need not be added
		}
	} else if !overrides(u, r.Member) {
		return
	}
	m.apply(u, now)
}

// overrides implements SWIM's precedence of updates: a higher incarnation wins;
// at the same incarnation the higher state wins.
func overrides(u, old Member) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	return u.State > old.State
}

// refute answers an update that declares this instance suspect, dead or gone, or
// that describes an earlier process under its name at another address: it
// announces this instance with a higher incarnation.
func (m *Machine) refute(u Member) {
	if m.self.State == Left || u.Incarnation < m.self.Incarnation {
		return
	}
	if u.State == Alive && u.Incarnation == m.self.Incarnation && u.Address == m.self.Address {
		return
	}
	m.self.Incarnation = u.Incarnation + 1
	m.changed = true
	m.enqueue(m.self)
}

// SetDetached sets whether this instance's object store is unreachable, and
// announces a change to the others.
func (m *Machine) SetDetached(detached bool) {
	if m.self.Detached == detached {
		return
	}
	m.self.Detached = detached
	m.announceSelf()
}

// SetPartitioned sets whether this instance has lost its links to the targets of some service, and
// announces a change to the others.
func (m *Machine) SetPartitioned(partitioned bool) {
	if m.self.Partitioned == partitioned {
		return
	}
	m.self.Partitioned = partitioned
	m.announceSelf()
}

// announceSelf announces a change of this instance's own state, which overrides the former one.
func (m *Machine) announceSelf() {
	m.self.Incarnation++
	m.changed = true
	m.enqueue(m.self)
}

// Leave marks this instance as left. It returns the last probes to send, at most
// IndirectProbes, which carry the update.
func (m *Machine) Leave() []Probe {
	m.self.State = Left
	m.changed = true
	m.enqueue(m.self)
	var out []Probe
	for range m.params.IndirectProbes {
		if r := m.nextMember(); r != nil {
			out = append(out, Probe{To: r.Name, Address: r.Address, Updates: m.UpdatesFor(r.Name)})
		}
	}
	return out
}

func (m *Machine) apply(u Member, now time.Time) {
	m.members[u.Name] = &record{Member: u, since: now}
	m.changed = true
	m.enqueue(u)
}

// enqueue queues an update and drops an older one about the same member.
func (m *Machine) enqueue(u Member) {
	m.queue = slices.DeleteFunc(m.queue, func(queued queuedUpdate) bool { return queued.update.Name == u.Name })
	m.queue = append(m.queue, queuedUpdate{update: u})
}

// UpdatesFor returns the updates for a message to a member. If the member is not
// known as alive, its own state comes first, even if it is no longer queued,
// since only the member itself can refute it.
func (m *Machine) UpdatesFor(to string) []Member {
	out := m.nextUpdates()
	if r := m.members[to]; r != nil && r.State != Alive {
		out = append([]Member{r.Member}, out...)
	}
	return out
}

// nextUpdates returns the updates that were sent the fewest times. Each is sent
// a multiple of log2(members) times, which reaches all members with high
// probability.
func (m *Machine) nextUpdates() []Member {
	slices.SortStableFunc(m.queue, func(a, b queuedUpdate) int { return cmp.Compare(a.sent, b.sent) })
	n := min(len(m.queue), m.params.MaxUpdates)
	out := make([]Member, 0, n)
	for i := range n {
		out = append(out, m.queue[i].update)
		m.queue[i].sent++
	}
	maxSends := retransmitFactor * bits.Len(uint(len(m.members)+1))
	m.queue = slices.DeleteFunc(m.queue, func(queued queuedUpdate) bool { return queued.sent >= maxSends })
	return out
}

// retransmitFactor times log2(members) is how many times an update is sent.
const retransmitFactor = 3

// Sample returns up to n live members chosen at random, this one not included.
// It does not advance the probe round.
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
