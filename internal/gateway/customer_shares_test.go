package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/fairshare"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// sharesSim plays the reports of customers' sums among many instances, without a network: a message arrives in
// the round after the one in which it was sent.
type sharesSim struct {
	now      time.Time
	members  []member.Member
	nodes    map[string]*sharesNode
	lose     func(from, to string) bool // which messages get lost; nil: none
	messages int                        // sent with sums
	inbox    []sharesMessage
}

// sharesNode is one instance.
type sharesNode struct {
	g     *Gateway
	tree  *relayTree
	seq   uint64
	known loadreport.UseByService // as of the last round
}

// sharesMessage is a report on its way.
type sharesMessage struct {
	from, to string
	seq      uint64
	sums     []loadreport.ServiceSums
}

// simHold is what each instance's requests hold for customer "a".
const simHold = 1000

func newSharesSim(n, zones int) *sharesSim {
	s := &sharesSim{now: time.Unix(1000, 0), nodes: map[string]*sharesNode{}}
	for _, m := range membersOf(n, zones) {
		s.add(m)
	}
	s.rebuildTrees()
	return s
}

// add starts an instance that holds simHold tokens, or starts it anew. rebuildTrees must follow.
func (s *sharesSim) add(m member.Member) *sharesNode {
	if _, known := s.nodes[m.Name]; !known {
		s.members = append(s.members, m)
	}
	g := &Gateway{now: func() time.Time { return s.now }}
	g.customerShares.g, g.customerShares.peers = g, loadreport.NewPeerCustomers(customerSumsTTL, loadReportTTL)
	g.view.Store(&View{Config: catalog.NewConfig(catalog.ConfigSpec{Customers: []catalog.CustomerKeys{{Customer: catalog.Customer{Name: "a"}}}})})
	g.customerShares.hold("s", "a", simHold)
	s.nodes[m.Name] = &sharesNode{g: g}
	return s.nodes[m.Name]
}

// remove ends an instance.
func (s *sharesSim) remove(name string) {
	s.members = slices.DeleteFunc(s.members, func(m member.Member) bool { return m.Name == name })
	delete(s.nodes, name)
	s.rebuildTrees()
}

func (s *sharesSim) rebuildTrees() {
	for _, m := range s.members {
		s.nodes[m.Name].tree = newRelayTree(s.members, m)
	}
}

// refuse has an instance refuse requests for lack of capacity.
func (s *sharesSim) refuse(name string) { s.nodes[name].g.customerShares.refused("s", "b", 1) }

// round plays one round of reports.
func (s *sharesSim) round() {
	s.now = s.now.Add(loadRelayInterval)
	for _, m := range s.inbox {
		if to := s.nodes[m.to]; to != nil {
			to.g.customerShares.peers.Apply(m.from, m.seq, m.sums, s.now)
		}
	}
	s.inbox = nil
	for _, m := range s.members {
		node := s.nodes[m.Name]
		node.seq++
		own, peers := node.g.customerShares.update(s.now, node.tree.neighbours())
		node.known = loadreport.UseByService{}
		node.known.AddAll(own)
		for _, use := range peers {
			node.known.AddAll(use)
		}
		for _, n := range node.tree.neighbours() {
			if node.tree.isCrossZone(n.Member) && node.seq%crossZoneEvery != 0 {
				continue
			}
			use := n.customersToReport(own, peers)
			if !node.g.customerShares.takeDue(n.Name, use, s.now) {
				continue
			}
			s.messages++
			if s.lose == nil || !s.lose(m.Name, n.Name) {
				s.inbox = append(s.inbox, sharesMessage{from: m.Name, to: n.Name, seq: node.seq, sums: use.Report()})
			}
		}
	}
}

// play plays some time. One instance refuses a request in each round if refusing is not "".
func (s *sharesSim) play(d time.Duration, refusing string) {
	for end := s.now.Add(d); s.now.Before(end); {
		if refusing != "" {
			s.refuse(refusing)
		}
		s.round()
	}
}

// held returns how many instances' sums of customer "a" an instance knows.
func (s *sharesSim) held(name string) float64 {
	return float64(s.nodes[name].known[loadreport.KeyOf("s")].Customers[loadreport.KeyOf("a")].Held) / simHold
}

// extremes returns the least and the most of held.
func (s *sharesSim) extremes() (least, most float64) {
	for i, m := range s.members {
		h := s.held(m.Name)
		if i == 0 {
			least, most = h, h
		}
		least, most = min(least, h), max(most, h)
	}
	return least, most
}

// TestCustomerSumsReachAll guards against sums that are lost or counted twice on their way, against instances that
// judge before they know most of the fleet, and against reports that go on after the scarcity has ended.
func TestCustomerSumsReachAll(t *testing.T) {
	for _, c := range []struct{ n, zones int }{{1, 1}, {9, 4}, {16, 3}, {17, 3}, {79, 3}, {300, 3}, {330, 7}, {1000, 3}} {
		t.Run(fmt.Sprintf("%d in %d", c.n, c.zones), func(t *testing.T) {
			is := is.New(t)
			s := newSharesSim(c.n, c.zones)
			s.play(time.Second, "")
			is.Equal(s.messages, 0) // capacity is not scarce

			last := s.members[c.n-1].Name
			settled := 0.0
			for range 8 * int(time.Second/loadRelayInterval) {
				s.refuse(last)
				s.round()
				_, most := s.extremes()
				is.True(most <= float64(c.n)) // nobody is counted twice
				for name, node := range s.nodes {
					scarcity := node.g.customerShares.scarcity[loadreport.KeyOf("s")]
					if settled == 0 && scarcity != nil && scarcity.Settled(s.now) {
						settled, _ = s.extremes()
						t.Logf("%s judges first, %v after the first refusal; an instance knows %.2f of the sums at least", name, s.now.Sub(time.Unix(1001, 0)), settled/float64(c.n))
					}
				}
			}
			least, most := s.extremes()
			is.Equal(least, float64(c.n))
			is.Equal(most, float64(c.n))
			is.True(settled >= 0.75*float64(c.n))

			s.messages = 0
			s.play(fairshare.ScarceTime+time.Second, "")
			before := s.messages
			s.play(2*time.Second, "")
			is.Equal(s.messages, before)
			for _, node := range s.nodes {
				is.Equal(len(node.g.customerShares.scarcity), 0)
			}
		})
	}
}

// TestCustomerSumsMessages counts reports, for docs/design/fair-shares-of-customers.md, and guards against more of
// them than one a second along each edge of the tree.
func TestCustomerSumsMessages(t *testing.T) {
	for _, n := range []int{79, 300, 1000} {
		s := newSharesSim(n, 3)
		s.play(3*time.Second, s.rootOf())
		early := s.messages
		s.play(3*time.Second, s.rootOf())
		edges := 0
		for _, node := range s.nodes {
			edges += len(node.tree.neighbours())
		}
		later := s.messages - early
		t.Logf("%d instances: %d directed edges, %d reports in the first 3 s, %d in the next 3", n, edges, early, later)
		if later > 3*edges {
			t.Errorf("%d instances: %d reports in 3 s over %d edges", n, later, edges)
		}
		if early > 8*edges {
			t.Errorf("%d instances: %d reports in the first 3 s over %d edges", n, early, edges)
		}
	}
}

// leafOf returns an instance without children.
func (s *sharesSim) leafOf() string {
	for _, m := range s.members {
		if tree := s.nodes[m.Name].tree; !tree.small && len(tree.children()) == 0 && tree.ownIndex >= tree.tops {
			return m.Name
		}
	}
	panic("no leaf")
}

// rootOf returns an instance at the top of a zone.
func (s *sharesSim) rootOf() string { return s.nodes[s.members[0].Name].tree.zoneMembers[0].Name }

// TestCustomerSumsLost guards against sums that one lost report removes, and against sums of an instance that is not
// heard of any more.
func TestCustomerSumsLost(t *testing.T) {
	is := is.New(t)
	const n = 79
	s := newSharesSim(n, 3)
	leaf, refusing := s.leafOf(), s.rootOf()
	s.play(10*time.Second, refusing)
	lost := 0
	s.lose = func(from, _ string) bool {
		if from == leaf && lost == 0 {
			lost++
			return true
		}
		return false
	}
	for range 40 {
		s.play(loadRelayInterval, refusing)
		least, most := s.extremes()
		is.Equal(least, float64(n))
		is.Equal(most, float64(n))
	}
	is.Equal(lost, 1)
	s.lose = func(from, _ string) bool { return from == leaf }
	s.play(customerSumsTTL+4*time.Second, refusing)
	for _, m := range s.members {
		if m.Name != leaf {
			is.Equal(s.held(m.Name), float64(n-1))
		}
	}
}

// TestCustomerSumsOfRestartedInstance guards against sums of the process before, and against an instance that just
// started and judges by a part of the sums.
func TestCustomerSumsOfRestartedInstance(t *testing.T) {
	is := is.New(t)
	const n = 79
	s := newSharesSim(n, 3)
	leaf, refusing := s.leafOf(), s.rootOf()
	s.play(10*time.Second, refusing)
	i := slices.IndexFunc(s.members, func(m member.Member) bool { return m.Name == leaf })
	node := s.add(s.members[i]) // its reports begin at 1 again
	node.g.customerShares.hold("s", "a", simHold)
	s.rebuildTrees()
	for range int(time.Second / loadRelayInterval) {
		s.play(loadRelayInterval, refusing)
		is.True(!node.g.overFairShare("s", "a"))
	}
	s.play(3*time.Second, refusing)
	least, most := s.extremes()
	is.Equal(least, float64(n+1)) // the restarted one now holds twice as much
	is.Equal(most, float64(n+1))
}

// TestCustomerSumsByTwoPaths guards against an instance whose sums are counted twice once its reports come by another
// path: through its former parent and the new one, for as long as the former one's report counts. It also guards
// against an instance that judges before its new neighbours have reported.
func TestCustomerSumsByTwoPaths(t *testing.T) {
	is := is.New(t)
	s := newSharesSim(300, 3)
	refusing := s.rootOf()
	s.play(10*time.Second, refusing)
	tree := s.nodes[s.leafOf()].tree
	parent := tree.parent().Name
	children := s.nodes[parent].tree.children()
	is.True(len(children) > 0)
	s.remove(parent)
	s.play(loadRelayInterval, refusing)
	for _, child := range children { // they know their own sums alone
		scarcity := s.nodes[child.Name].g.customerShares.scarcity[loadreport.KeyOf("s")]
		is.True(!scarcity.Settled(s.now))
	}
	most := 0.0
	for range int(5 * time.Second / loadRelayInterval) {
		s.play(loadRelayInterval, refusing)
		for _, m := range s.members {
			scarcity := s.nodes[m.Name].g.customerShares.scarcity[loadreport.KeyOf("s")]
			if scarcity.Settled(s.now) {
				most = max(most, s.held(m.Name))
			}
		}
	}
	t.Logf("at most %.0f instances' sums are counted while %d change their path", most, len(children))
	is.True(most <= 300+float64(2*len(children)))
	least, most := s.extremes()
	is.Equal(least, 299.0)
	is.Equal(most, 299.0)

	// A former neighbour's report does not count, though it has not expired.
	leaf := s.leafOf()
	s.nodes[leaf].g.customerShares.peers.Apply(parent, 1000, []loadreport.ServiceSums{{Service: loadreport.KeyOf("s"),
		Customers: []loadreport.CustomerSum{{Customer: loadreport.KeyOf("a"), Held: 7 * simHold}}}}, s.now)
	s.play(loadRelayInterval, refusing)
	is.Equal(s.held(leaf), 299.0)
}

// TestNobodyAboveShare guards against customers above their share while capacity is not scarce, without a customer's
// name, without customers in the configuration, or by the first sums that are known.
func TestNobodyAboveShare(t *testing.T) {
	is := is.New(t)
	s := newSharesSim(1, 1)
	g := s.nodes["e-0"].g
	shares := &g.customerShares
	shares.hold("s", "a", 100_000)
	shares.hold("s", "", 100_000)
	shares.hold("other", "a", 100_000)
	shares.hold("other", "b", 1000)
	s.play(2*time.Second, "")
	is.True(!g.overFairShare("s", "a"))
	shares.refused("s", "b", 50_000)
	s.round()
	is.True(!g.overFairShare("s", "a")) // the sums of others have not come yet
	s.play(time.Second, "")
	shares.refused("s", "b", 50_000)
	s.play(sharesInterval, "")
	is.True(g.overFairShare("s", "a")) // hears of no other instance: judges by its own sums
	is.Equal(shares.countAbove(), 1)
	is.True(!g.overFairShare("s", "b"))
	is.True(!g.overFairShare("s", ""))
	is.True(!g.overFairShare("s", "unknown"))
	is.True(!g.overFairShare("other", "a")) // its capacity is not scarce
	is.Equal(testing.AllocsPerRun(100, func() { g.overFairShare("s", "a") }), 0.0)
	s.now = s.now.Add(fairshare.ScarceTime)
	is.True(!g.overFairShare("s", "a")) // also if nothing was compared since
	is.Equal(shares.countAbove(), 0)

	g.view.Store(&View{Config: catalog.NewConfig(catalog.ConfigSpec{})})
	shares.hold("s", "a", -100_000-simHold)
	shares.hold("other", "a", -100_000)
	shares.hold("other", "b", -1000)
	s.play(time.Minute, "")
	is.Equal(len(shares.own), 0) // what has ended is forgotten
	shares.refused("s", "", 50_000)
	is.Equal(len(shares.own), 0)
}

// BenchmarkOverFairShare measures what one request costs.
func BenchmarkOverFairShare(b *testing.B) {
	s := newSharesSim(1, 1)
	g := s.nodes["e-0"].g
	g.customerShares.hold("s", "a", 100_000)
	for range 40 {
		g.customerShares.refused("s", "b", 5000)
		s.round()
	}
	if !g.overFairShare("s", "a") {
		b.Fatal("the customer is not above its share")
	}
	for b.Loop() {
		g.overFairShare("s", "a")
	}
}

// sharesCodec is the Codec of a fleet whose targets have a memory, and which several customers use.
type sharesCodec struct{ trafficCodec }

// Properties of the targets and customers of a sharesCodec.
const (
	sharesMemory   = 10_000 // tokens of a target's memory
	sharesPrompt   = 1000   // tokens of a request
	sharesModel    = "m"
	sharesLarge    = "large"
	sharesSmall    = "small-"
	sharesSmalls   = 5
	sharesTargets  = 3
	sharesWork     = time.Second
	sharesDuration = 12 * time.Second
)

// DecodeConfig implements Codec.
func (sharesCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	var d storedConfig
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	spec := catalog.ConfigSpec{Version: d.Version, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{CacheTokens: sharesMemory}}},
		Routes: []catalog.Route{{Name: "once", Host: anyHost, PathPrefix: pathOnce, Kind: catalog.AtMostOnce, MaxAttempts: 1, Timeout: 4 * time.Second,
			LatencyObjective: 500 * time.Millisecond, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}}}
	names := []string{sharesLarge}
	for i := range sharesSmalls {
		names = append(names, fmt.Sprint(sharesSmall, i))
	}
	for _, name := range names {
		spec.Customers = append(spec.Customers, catalog.CustomerKeys{Customer: catalog.Customer{Name: name}, Keys: []string{name}})
	}
	return catalog.NewConfig(spec), nil
}

// ParseRequest implements Codec.
func (c sharesCodec) ParseRequest(h http.Header) (CallerRequest, error) {
	call, err := c.trafficCodec.ParseRequest(h)
	call.Prompt = &Prompt{Model: sharesModel, Tokens: sharesPrompt, Parts: []Part{{ID: call.ID, Tokens: sharesPrompt}}}
	return call, err
}

// sharesFleet is a fleet with a sharesCodec.
type sharesFleet struct {
	*trafficFleet
	log *memoryLog
}

func newSharesFleet(t *testing.T, n int) *sharesFleet {
	f := &sharesFleet{log: &memoryLog{}}
	f.trafficFleet = newFleetWith(t, n, 3, 0, fleetOptions{codec: sharesCodec{}, log: f.log, serve: func(_ *memoryTarget, w http.ResponseWriter, r *http.Request) bool {
		time.Sleep(sharesWork)
		w.Header().Set(trafficID, r.Header.Get(trafficID))
		return true
	}})
	for i := range sharesTargets {
		m := &memoryTarget{f: f.trafficFleet, name: fmt.Sprintf("t-%02d", i), zone: fmt.Sprintf("z%d", i%f.zones), models: []catalog.ModelVersion{{Model: sharesModel, Version: 1}}}
		f.targets = append(f.targets, m)
		m.start()
	}
	time.Sleep(time.Second)
	return f
}

// send sends a customer's requests at a constant rate, to one instance after the other, and returns how many were
// served.
func (f *sharesFleet) send(customer string, perSecond int) (served, sent int) {
	var mu sync.Mutex
	var requests sync.WaitGroup
	for end := time.Now().Add(sharesDuration); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		id, address := customer+"-"+strconv.Itoa(sent), f.gateways[sent%len(f.gateways)].CallerAddr()
		sent++
		requests.Go(func() {
			conn, err := f.net.dialFrom("caller")(f.t.Context(), "memory", address)
			if err != nil {
				return
			}
			defer conn.Close()
			r := roundTrip(conn, fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 1\r\n\r\nx", pathOnce, anyHost, trafficID, id, trafficKey, customer))
			mu.Lock()
			defer mu.Unlock()
			if r.status == http.StatusOK {
				served++
			}
		})
	}
	requests.Wait()
	return served, sent
}

// TestSharesInFleet guards against instances that don't find the customer which takes the others' shares, or that
// blame one of the others: one asks for ten times its share at all instances, five ask for two thirds of theirs.
func TestSharesInFleet(t *testing.T) {
	for _, n := range []int{1, 4, 20} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSharesFleet(t, n)
				defer f.stop()
				const share = sharesTargets * sharesMemory / sharesPrompt / (sharesSmalls + 1) // requests in progress
				var customers sync.WaitGroup
				customers.Go(func() {
					served, sent := f.send(sharesLarge, 10*share)
					t.Logf("%s: %d of %d served", sharesLarge, served, sent)
				})
				for i := range sharesSmalls {
					customers.Go(func() {
						served, sent := f.send(fmt.Sprint(sharesSmall, i), share*2/3)
						t.Logf("%s%d: %d of %d served", sharesSmall, i, served, sent)
					})
				}
				marked, rounds := 0, 0
				time.Sleep(sharesDuration / 3)
				for range 20 {
					for _, g := range f.gateways {
						rounds++
						if g.overFairShare("s", sharesLarge) {
							marked++
						}
						for i := range sharesSmalls {
							if g.overFairShare("s", fmt.Sprint(sharesSmall, i)) {
								t.Errorf("%s: %s%d is above its share", g.settings().Name, sharesSmall, i)
							}
						}
					}
					time.Sleep(sharesDuration / 40)
				}
				t.Logf("%s was above its share in %d of %d looks", sharesLarge, marked, rounds)
				if marked < rounds/2 {
					t.Errorf("%s was above its share in %d of %d looks", sharesLarge, marked, rounds)
				}
				customers.Wait()
				f.checkLog(t)
				time.Sleep(time.Minute)
				for _, g := range f.gateways {
					if g.overFairShare("s", sharesLarge) || g.customerShares.countAbove() > 0 {
						t.Errorf("%s: a customer is above its share although capacity is not scarce", g.settings().Name)
					}
					g.customerShares.mu.Lock()
					if len(g.customerShares.own) > 0 {
						t.Errorf("%s: sums are left after all requests have ended", g.settings().Name)
					}
					g.customerShares.mu.Unlock()
				}
			})
		})
	}
}

// checkLog checks that the lines of refusals say whether the customer was above its share.
func (f *sharesFleet) checkLog(t *testing.T) {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	lines := map[bool]int{}
	for _, e := range f.log.entries {
		if e.Message != "request" || e.Fields["full_targets"] == nil {
			continue
		}
		over, known := e.Fields["over_fair_share"].(bool)
		if !known || over && e.Fields["customer"] != sharesLarge {
			t.Errorf("refused with fields %v", e.Fields)
		}
		lines[over]++
	}
	t.Logf("%d refusals above the share, %d others", lines[true], lines[false])
	if lines[true] == 0 || lines[false] == 0 {
		t.Errorf("refusals by over_fair_share: %v", lines)
	}
}
