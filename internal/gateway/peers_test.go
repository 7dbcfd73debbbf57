package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/member"
)

// startingFleet is a fleet whose instances start at the same time. It has no network:
// messages are delivered immediately.
type startingFleet struct {
	byAddress   map[string]*controlState
	names       []string
	now         time.Time
	memberLists int // complete member lists that were transferred
}

func newStartingFleet(n int) *startingFleet {
	f := &startingFleet{byAddress: map[string]*controlState{}, now: at0}
	r := rand.New(rand.NewPCG(1, 2))
	for i := range n {
		name := fmt.Sprintf("e-%03d", i)
		c := controlOf(name, fmt.Sprintf("z%d", i%5))
		self := member.Member{Name: name, Address: name, Zone: c.members.Self().Zone, Incarnation: 1}
		params := member.DefaultParams
		params.Period = peerPeriod
		c.members, c.now = member.New(params, self, r.IntN), func() time.Time { return f.now }
		f.byAddress[name], f.names = c, append(f.names, name)
	}
	return f
}

// send delivers a hello from one instance to another and applies the reply, as
// Gateway.sendHello and peerHandler.Hello do.
func (f *startingFleet) send(c *controlState, probe member.Probe, hello *HelloRequest) {
	to := f.byAddress[probe.Address]
	reply := to.replyHello(hello)
	if hello.Join {
		f.memberLists++
	}
	probeEnded{probe: probe, ok: true, reply: reply}.apply(c)
	if to.needsMembers(hello.LiveMembers) {
		f.join(to, c.members.Self().Address)
	}
	if c.needsMembers(reply.LiveMembers) {
		f.join(c, probe.Address)
	}
}

func (f *startingFleet) join(c *controlState, address string) {
	hello := c.newHello(false)
	hello.Join = true
	f.send(c, member.Probe{Address: address}, hello)
}

// allKnown returns the number of instances that know all members.
func (f *startingFleet) allKnown() int {
	n := 0
	for _, c := range f.byAddress {
		if c.members.LiveCount() == len(f.names) {
			n++
		}
	}
	return n
}

// TestSimultaneousStart guards against a slow start of a whole fleet: all instances join
// through seeds that know few members yet, and must know all of them within ten probe
// periods, with at most six complete member lists transferred per instance.
func TestSimultaneousStart(t *testing.T) {
	for _, n := range []int{9, 91, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newStartingFleet(n)
			for i, name := range f.names[1:] {
				f.join(f.byAddress[name], f.names[i%min(3, i+1)])
			}
			periods := 0
			for ; f.allKnown() < n && periods < 60; periods++ {
				f.now = f.now.Add(peerPeriod)
				for _, name := range f.names {
					c := f.byAddress[name]
					for _, p := range c.members.Tick(f.now) {
						hello := c.newHello(false)
						hello.Members = p.Updates
						f.send(c, p, hello)
					}
				}
			}
			t.Logf("%d periods, %.1f lists an instance", periods, float64(f.memberLists)/float64(n))
			is.True(periods <= 10)
			is.True(f.memberLists <= 6*n)
		})
	}
}

// TestReusedPeerAddress guards against an instance that is gone but counts as alive everywhere, because
// another one answers probes at its address.
func TestReusedPeerAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTrafficFleet(t, 4, 2, 2)
		defer f.stop()
		gone := member.Member{Name: "e-gone", Address: f.gateways[1].PeerAddr(), Zone: "z0", Incarnation: 1}
		for _, g := range f.gateways {
			g.queryControl(func(c *controlState) { c.members.Receive([]member.Member{gone}, c.now()) })
		}
		synctest.Wait()
		for _, g := range f.gateways {
			is.True(slices.Contains(g.view.Load().Alive, gone.Name))
		}
		time.Sleep(20 * time.Second)
		for _, g := range f.gateways {
			is.Equal(len(g.view.Load().Alive), len(f.gateways))
			var members []member.Member
			g.queryControl(func(c *controlState) { members = c.members.Members() })
			is.True(!slices.ContainsFunc(members, func(m member.Member) bool { return m.Name == gone.Name && m.State <= member.Suspect }))
		}
	})
}
