package loadreport_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/fairshare"
	"github.com/shedhoist/shedhoist/internal/loadreport"
)

const (
	sumsAge      = 3 * time.Second
	sumsDisorder = 360 * time.Millisecond
)

// sumsOf returns the reported sums of one customer of service 1.
func sumsOf(held, unmet int) []loadreport.ServiceSums {
	return []loadreport.ServiceSums{{Service: 1, RefusedMS: 100, Customers: []loadreport.CustomerSum{{Customer: 7, Held: held, Unmet: unmet}}}}
}

// TestPeerCustomers guards against sums that are lost with the load reports that have none, that count after
// they expired, that an older report replaces, or that a restarted peer can't replace.
func TestPeerCustomers(t *testing.T) {
	is := is.New(t)
	p := loadreport.NewPeerCustomers(sumsAge, sumsDisorder)
	now := time.Unix(0, 0)
	sum := func(at time.Time) fairshare.Use {
		total := loadreport.UseByService{}
		for _, use := range p.Reports(at) {
			total.AddAll(use)
		}
		return total[1].Customers[7]
	}
	p.Apply("a", 20, sumsOf(1000, 10), now)
	p.Apply("a", 19, sumsOf(9000, 0), now) // arrives late
	p.Apply("b", 5, sumsOf(500, 0), now)
	is.Equal(sum(now), fairshare.Use{Held: 1500, Unmet: 10})

	now = now.Add(time.Second)
	p.Apply("a", 40, nil, now) // a load report between two with sums
	is.Equal(sum(now), fairshare.Use{Held: 1500, Unmet: 10})
	is.Equal(p.Reports(now)["a"][1].RefusedAge, 1100*time.Millisecond)

	p.Apply("a", 1, sumsOf(30, 0), now) // restarted
	is.Equal(sum(now), fairshare.Use{Held: 530})
	now = now.Add(2 * time.Second)
	is.Equal(sum(now), fairshare.Use{Held: 30}) // the report of b, lost since, has expired
	is.Equal(sum(now.Add(time.Second)), fairshare.Use{})

	p.Apply("c", 1, sumsOf(-5, -5), now) // nonsense counts nothing
	is.Equal(sum(now.Add(time.Second)), fairshare.Use{})
}

// TestCustomerReport guards against reports that name more customers than they may, or not the largest, and
// against a scarce service that is not reported because its customers are small.
func TestCustomerReport(t *testing.T) {
	is := is.New(t)
	use, small := loadreport.UseByService{}, map[loadreport.Key]fairshare.Use{100: {Held: 1}, 101: {}}
	large := map[loadreport.Key]fairshare.Use{}
	for i := range loadreport.Key(loadreport.MaxReportedCustomers + 4) {
		large[i] = fairshare.Use{Held: 1000, Unmet: int(i)}
	}
	use.Add(1, time.Minute, large)
	use.Add(2, time.Second, small)
	report := use.Report()
	is.Equal(len(report), 2)
	is.Equal(report[0].RefusedMS, fairshare.ScarceTime.Milliseconds())
	is.Equal(len(report[0].Customers), loadreport.MaxReportedCustomers)
	is.Equal(report[0].Customers[0], loadreport.CustomerSum{Customer: loadreport.MaxReportedCustomers + 3, Held: 1000, Unmet: loadreport.MaxReportedCustomers + 3})
	is.Equal(report[1], loadreport.ServiceSums{Service: 2, RefusedMS: 1000})
}

// TestReportKeepsShares guards against customers that come above their share because a report leaves out others: one
// that asks for at most an equal part must not.
func TestReportKeepsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		customers, capacity := map[loadreport.Key]fairshare.Use{}, 0
		for i := range rapid.IntRange(1, 2*loadreport.MaxReportedCustomers).Draw(t, "customers") {
			size := rapid.SampledFrom([]int{10, 1000, 100_000}).Draw(t, "size")
			u := fairshare.Use{Held: rapid.IntRange(0, size).Draw(t, "held"), Unmet: rapid.IntRange(0, size).Draw(t, "unmet")}
			customers[loadreport.Key(i)] = u
			capacity += u.Held
		}
		use := loadreport.UseByService{}
		use.Add(1, 0, customers)
		p := loadreport.NewPeerCustomers(sumsAge, sumsDisorder)
		now := time.Unix(0, 0)
		p.Apply("a", 1, use.Report(), now)
		for k := range fairshare.Above(p.Reports(now)["a"][1].Customers) {
			if customers[k].Demand()*len(customers) <= capacity {
				t.Fatalf("customer %d of %v is above its share", k, customers)
			}
		}
	})
}

// TestCustomerReportSize guards against a report that grows by more than a few hundred bytes.
func TestCustomerReportSize(t *testing.T) {
	is := is.New(t)
	use, customers := loadreport.UseByService{}, map[loadreport.Key]fairshare.Use{}
	for i := range 24 {
		customers[loadreport.KeyOf(fmt.Sprint("customer-", i))] = fairshare.Use{Held: 1_000_000, Unmet: 100_000}
	}
	use.Add(loadreport.KeyOf("service"), time.Second, customers)
	data, err := cbor.Marshal(use.Report())
	is.NoErr(err)
	t.Logf("%d bytes", len(data))
	is.True(len(data) <= 300)
}
