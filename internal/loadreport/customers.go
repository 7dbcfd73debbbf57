package loadreport

import (
	"cmp"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/fairshare"
)

// MaxReportedCustomers bounds the customers in a report, of all services together.
const MaxReportedCustomers = 16

// ServiceSums are the sums of a service's customers, as encoded in a report.
type ServiceSums struct {
	_       struct{} `cbor:",toarray"`
	Service Key      // KeyOf its name
	// RefusedMS is the time since a request was last refused for lack of capacity, as far as the receiver
	// learns of it only through the sender. It is fairshare.ScarceTime if there was none in that time.
	RefusedMS int64
	Customers []CustomerSum
}

// CustomerSum is one customer's use of a service, as encoded in a report. Names are replaced by hashes: two
// of 450 customers share one with a probability of 1 in 42,000, and are then judged as one.
type CustomerSum struct {
	_        struct{} `cbor:",toarray"`
	Customer Key      // KeyOf its name
	Held     int
	Unmet    int
}

// ServiceUse is the use of a service by its customers.
type ServiceUse struct {
	RefusedAge time.Duration // time since the last refusal; at least fairshare.ScarceTime if there was none
	Customers  map[Key]fairshare.Use
}

// UseByService is the use of the services whose capacity is scarce.
type UseByService map[Key]ServiceUse

// Add adds the use of one service.
func (s UseByService) Add(service Key, refusedAge time.Duration, customers map[Key]fairshare.Use) {
	sum, ok := s[service]
	if !ok {
		sum = ServiceUse{RefusedAge: refusedAge, Customers: make(map[Key]fairshare.Use, len(customers))}
	}
	sum.RefusedAge = min(sum.RefusedAge, refusedAge)
	for k, u := range customers {
		sum.Customers[k] = sum.Customers[k].Plus(u)
	}
	s[service] = sum
}

// AddAll adds the use in other.
func (s UseByService) AddAll(other UseByService) {
	for service, use := range other {
		s.Add(service, use.RefusedAge, use.Customers)
	}
}

// Demands returns what all customers of each service ask for.
func (s UseByService) Demands() map[Key]int {
	out := make(map[Key]int, len(s))
	for service, use := range s {
		out[service] = 0
		for _, u := range use.Customers {
			out[service] += u.Demand()
		}
	}
	return out
}

// Report returns the entries of a report: all services, and the customers with the largest demands. Those left
// out hold less than an equal part if anybody who is named asks for less than that. So a customer that asks for
// at most an equal part does not come above its share because of them.
func (s UseByService) Report() []ServiceSums {
	type entry struct {
		service Key
		sum     CustomerSum
	}
	var entries []entry
	var out []ServiceSums
	for service, use := range s {
		out = append(out, ServiceSums{Service: service, RefusedMS: min(use.RefusedAge, fairshare.ScarceTime).Milliseconds()})
		for k, u := range use.Customers {
			if u.Demand() > 0 {
				entries = append(entries, entry{service, CustomerSum{Customer: k, Held: u.Held, Unmet: u.Unmet}})
			}
		}
	}
	slices.SortFunc(out, func(a, b ServiceSums) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.sum.Held+b.sum.Unmet, a.sum.Held+a.sum.Unmet), cmp.Compare(a.service, b.service), cmp.Compare(a.sum.Customer, b.sum.Customer))
	})
	for _, e := range entries[:min(len(entries), MaxReportedCustomers)] {
		i := slices.IndexFunc(out, func(r ServiceSums) bool { return r.Service == e.service })
		out[i].Customers = append(out[i].Customers, e.sum)
	}
	return out
}

// PeerCustomers holds the peers' latest reports of their customers' sums. It is safe for use by several
// goroutines. Use NewPeerCustomers.
type PeerCustomers struct{ reports *latestReports[UseByService] }

// NewPeerCustomers returns an empty table. A report expires after maxAge, and replaces one with a higher
// number that is older than maxDisorder.
func NewPeerCustomers(maxAge, maxDisorder time.Duration) *PeerCustomers {
	p := &PeerCustomers{reports: newLatestReports[UseByService](maxAge)}
	p.reports.maxDisorder = maxDisorder
	return p
}

// Apply keeps a peer's report, unless a newer one is known or it is from an earlier process of the peer. A
// report without sums changes nothing: most load reports have none.
func (p *PeerCustomers) Apply(from string, seq uint64, reported []ServiceSums, now time.Time) {
	if len(reported) == 0 {
		return
	}
	use := make(UseByService, len(reported))
	for _, r := range reported {
		customers := make(map[Key]fairshare.Use, len(r.Customers))
		for _, c := range r.Customers {
			customers[c.Customer] = customers[c.Customer].Plus(fairshare.Use{Held: max(c.Held, 0), Unmet: max(c.Unmet, 0)})
		}
		use.Add(r.Service, time.Duration(max(r.RefusedMS, 0))*time.Millisecond, customers)
	}
	p.reports.apply(from, seq, use, now)
}

// Reports returns each peer's report that has not expired. The times of refusals are as of now.
func (p *PeerCustomers) Reports(now time.Time) map[string]UseByService {
	out := map[string]UseByService{}
	p.reports.each(now, func(from string, reported UseByService, age time.Duration) {
		use := make(UseByService, len(reported))
		for service, u := range reported {
			use[service] = ServiceUse{RefusedAge: u.RefusedAge + age, Customers: u.Customers}
		}
		out[from] = use
	})
	return out
}
