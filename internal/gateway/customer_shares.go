package gateway

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/fairshare"
	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// Customers that use more than their fair share of a service's capacity while that is scarce. Instances report
// their customers' sums to one another with the load reports, and each judges by all sums that it knows.

const (
	// customerSumsInterval is the time between two reports of customers' sums to a neighbour. Capacity is
	// scarce for seconds, and bytes between zones are expensive.
	customerSumsInterval = time.Second
	// customerSumsTTL is how long a peer's sums count. It bridges two reports that get lost.
	customerSumsTTL = 3 * time.Second
	// earlyGrowth is the factor of growth at which sums are reported before customerSumsInterval has
	// passed. It is small enough that the sums of all instances have arrived when customers are first
	// compared, and large enough that single requests cause no report.
	earlyGrowth = 1.25
	// sharesInterval is the time between two comparisons of all customers.
	sharesInterval = 250 * time.Millisecond
)

// customerShares tracks the customers' use of services. Its g and peers must be set.
type customerShares struct {
	g     *Gateway
	peers *loadreport.PeerCustomers
	above atomic.Pointer[map[loadreport.Key]customersAbove] // by service; nil: nobody

	mu  sync.Mutex
	own map[loadreport.Key]*ownServiceUse // by service

	// The other fields are used by reportLoads only.
	scarcity   map[loadreport.Key]*fairshare.Scarcity // by service
	neighbours map[string]bool                        // names of the neighbours as of the last round
	sent       map[string]sentSums                    // last report by neighbour
	comparedAt time.Time
}

// customersAbove are the customers above their fair share of one service.
type customersAbove struct {
	until     time.Time // when the service's capacity stops to count as scarce
	customers map[loadreport.Key]bool
}

// ownServiceUse is the use of a service by this instance's requests.
type ownServiceUse struct {
	refusedAt time.Time // last refusal for lack of capacity; zero: none
	customers map[loadreport.Key]*ownUse
}

// ownUse is the use of a service by one customer's requests to this instance.
type ownUse struct {
	held  int
	unmet fairshare.Unmet
}

// sentSums is what was last reported to a neighbour.
type sentSums struct {
	at      time.Time
	demands map[loadreport.Key]int // by service
}

// ownService returns the use of a service, which it creates if there is none. mu must be held.
func (s *customerShares) ownService(service string) *ownServiceUse {
	if s.own == nil {
		s.own = map[loadreport.Key]*ownServiceUse{}
	}
	k := loadreport.KeyOf(service)
	if s.own[k] == nil {
		s.own[k] = &ownServiceUse{customers: map[loadreport.Key]*ownUse{}}
	}
	return s.own[k]
}

// customer returns the use of one customer, which it creates if there is none.
func (u *ownServiceUse) customer(name string) *ownUse {
	k := loadreport.KeyOf(name)
	if u.customers[k] == nil {
		u.customers[k] = &ownUse{}
	}
	return u.customers[k]
}

// hold adds memory tokens that a customer's request holds at a target; a negative number removes them.
func (s *customerShares) hold(service, customer string, tokens int) {
	if customer == "" || tokens == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownService(service).customer(customer).held += tokens
}

// refused records that a request was refused for lack of capacity. customer is "" on public routes.
func (s *customerShares) refused(service, customer string, tokens int) {
	if cfg := s.g.view.Load().Config; cfg == nil || !cfg.HasCustomers() {
		return
	}
	now := s.g.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.ownService(service)
	u.refusedAt = now
	if customer != "" {
		u.customer(customer).unmet.Add(tokens, now)
	}
}

// ownUse returns the use by this instance's requests, and forgets what has ended.
func (s *customerShares) ownUse(now time.Time) loadreport.UseByService {
	out := loadreport.UseByService{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, u := range s.own {
		customers := make(map[loadreport.Key]fairshare.Use, len(u.customers))
		for k, c := range u.customers {
			use := fairshare.Use{Held: c.held, Unmet: c.unmet.At(now)}
			if use == (fairshare.Use{}) {
				delete(u.customers, k)
				continue
			}
			customers[k] = use
		}
		age := fairshare.ScarceTime
		if !u.refusedAt.IsZero() {
			age = min(age, now.Sub(u.refusedAt))
		}
		if len(customers) == 0 && age == fairshare.ScarceTime {
			delete(s.own, service)
			continue
		}
		out.Add(service, age, customers)
	}
	return out
}

// update returns the own use of the services whose capacity is scarce, and what the neighbours have reported.
// It compares the customers each sharesInterval.
func (s *customerShares) update(now time.Time, neighbours []neighbour) (own loadreport.UseByService, peers map[string]loadreport.UseByService) {
	own, peers = s.ownUse(now), s.peers.Reports(now)
	s.updateNeighbours(now, neighbours)
	// Another instance's sums come through the neighbours that it has now. What a former neighbour
	// reported would count it twice.
	maps.DeleteFunc(peers, func(from string, _ loadreport.UseByService) bool { return !s.neighbours[from] })
	known := loadreport.UseByService{}
	known.AddAll(own)
	for _, use := range peers {
		known.AddAll(use)
	}
	for service, use := range known {
		s.noteRefusal(service, use.RefusedAge, now)
	}
	maps.DeleteFunc(s.scarcity, func(_ loadreport.Key, c *fairshare.Scarcity) bool { return !c.Active(now) })
	maps.DeleteFunc(own, func(service loadreport.Key, _ loadreport.ServiceUse) bool { return s.scarcity[service] == nil })
	for service := range s.scarcity {
		own.Add(service, fairshare.ScarceTime, nil) // so that it is reported without own use too
	}
	if now.Sub(s.comparedAt) >= sharesInterval {
		s.comparedAt = now
		s.compare(known, now)
	}
	return own, peers
}

// updateNeighbours records the current neighbours. If they have changed, the known sums are incomplete until
// the new ones have reported.
func (s *customerShares) updateNeighbours(now time.Time, neighbours []neighbour) {
	same := len(neighbours) == len(s.neighbours)
	for _, n := range neighbours {
		same = same && s.neighbours[n.Name]
	}
	if same {
		return
	}
	s.neighbours = make(map[string]bool, len(neighbours))
	for _, n := range neighbours {
		s.neighbours[n.Name] = true
	}
	maps.DeleteFunc(s.sent, func(name string, _ sentSums) bool { return !s.neighbours[name] })
	for _, c := range s.scarcity {
		c.Restart(now)
	}
}

// noteRefusal records that a service's capacity was scarce some time ago.
func (s *customerShares) noteRefusal(service loadreport.Key, age time.Duration, now time.Time) {
	if age >= fairshare.ScarceTime {
		return
	}
	if s.scarcity == nil {
		s.scarcity = map[loadreport.Key]*fairshare.Scarcity{}
	}
	if s.scarcity[service] == nil {
		s.scarcity[service] = &fairshare.Scarcity{}
	}
	s.scarcity[service].Refused(age, now)
}

// compare determines the customers above their share.
func (s *customerShares) compare(known loadreport.UseByService, now time.Time) {
	var above map[loadreport.Key]customersAbove
	for service, scarcity := range s.scarcity {
		if !scarcity.Settled(now) {
			continue
		}
		if customers := fairshare.Above(known[service].Customers); len(customers) > 0 {
			if above == nil {
				above = map[loadreport.Key]customersAbove{}
			}
			above[service] = customersAbove{until: scarcity.Until(), customers: customers}
		}
	}
	if above == nil {
		s.above.Store(nil)
		return
	}
	s.above.Store(&above)
}

// takeDue reports whether sums are to be sent to a neighbour, and records that they are. They are sent each
// customerSumsInterval. At the beginning of scarcity, when the known sums grow with each hop that reports have
// made, they are also sent as soon as those of a service have grown by earlyGrowth.
func (s *customerShares) takeDue(neighbour string, use loadreport.UseByService, now time.Time) bool {
	if len(use) == 0 {
		return false
	}
	last, known := s.sent[neighbour]
	demands := use.Demands()
	due := !known || now.Sub(last.at) >= customerSumsInterval
	for service, demand := range demands {
		before, reported := last.demands[service]
		due = due || !reported || !s.scarcity[service].Settled(now) && float64(demand) > earlyGrowth*float64(before)
	}
	if !due {
		return false
	}
	if s.sent == nil {
		s.sent = map[string]sentSums{}
	}
	s.sent[neighbour] = sentSums{at: now, demands: demands}
	return true
}

// customersToReport returns the customers' use for a neighbour: all that this instance knows of scarce services,
// except what the neighbour reported itself or receives directly.
func (n neighbour) customersToReport(own loadreport.UseByService, others map[string]loadreport.UseByService) loadreport.UseByService {
	out := loadreport.UseByService{}
	out.AddAll(own)
	for from, reported := range others {
		if !n.relayedFrom[from] {
			continue
		}
		for service, use := range reported {
			if _, scarce := own[service]; scarce {
				out.Add(service, use.RefusedAge, use.Customers)
			}
		}
	}
	return out
}

// countAbove returns how many customers are above their fair share, summed over the services.
func (s *customerShares) countAbove() int {
	above := s.above.Load()
	if above == nil {
		return 0
	}
	n, now := 0, s.g.now()
	for _, a := range *above {
		if now.Before(a.until) {
			n += len(a.customers)
		}
	}
	return n
}

// overFairShare reports whether a customer uses more than its fair share of a service's capacity while that
// is scarce. It is false if the customer is "", or if nothing is known of its use.
func (g *Gateway) overFairShare(service, customer string) bool {
	above := g.customerShares.above.Load()
	if customer == "" || above == nil {
		return false
	}
	a := (*above)[loadreport.KeyOf(service)]
	return a.customers[loadreport.KeyOf(customer)] && g.now().Before(a.until)
}
