package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/limit"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// retryBudgets holds this instance's part of each service's retry budget.
type retryBudgets struct {
	g         *Gateway
	mu        sync.Mutex
	byService map[string]*limit.FleetBudget
	fleet     fleetSize
}

const (
	// minAssumedFleet is the least number of instances assumed: instances that start together know
	// few others at first.
	minAssumedFleet = 10
	// fleetSizeMemory is how long a number of instances is remembered after fewer are known: a part of
	// a fleet that is split must not take the place of the whole.
	fleetSizeMemory = time.Hour
)

// fleetSize is the largest number of instances known within fleetSizeMemory.
type fleetSize struct {
	largest int
	until   time.Time
}

// observe takes note of the number of instances known now and returns the largest recent one.
func (s *fleetSize) observe(instances int, now time.Time) int {
	if instances >= s.largest || now.After(s.until) {
		s.largest, s.until = instances, now.Add(fleetSizeMemory)
	}
	return s.largest
}

// instances returns the number of instances among which the slack is divided; 0: not known, since this
// instance has not heard of any other although there are some. b.mu is held.
func (b *retryBudgets) instances() int {
	known := b.fleet.observe(b.g.view.Load().InstanceCount, b.g.now())
	switch {
	case known >= minAssumedFleet || !b.g.hasOtherSeeds():
		return known
	case known <= 1:
		return 0
	}
	return minAssumedFleet
}

// hasOtherSeeds reports whether this instance is to join others.
func (g *Gateway) hasOtherSeeds() bool {
	for _, seed := range g.seeds() {
		if seed != g.PeerAddr() {
			return true
		}
	}
	return false
}

// budgetOf returns a service's budget, for the present settings and number of instances. b.mu is held.
func (b *retryBudgets) budgetOf(service string) *limit.FleetBudget {
	instances := b.instances()
	if b.byService == nil {
		b.byService = map[string]*limit.FleetBudget{}
	}
	set := b.g.settings().Retry
	config := limit.FleetBudgetConfig{Ratio: set.Share, Slack: set.Slack, Window: set.Window}
	budget := b.byService[service]
	if budget == nil {
		budget = limit.NewFleetBudget(config, instances, b.g.startedAt)
		b.byService[service] = budget
	}
	budget.Update(config, instances)
	return budget
}

// creditRequest adds one request to a service's budget, which allows retries in proportion.
func (b *retryBudgets) creditRequest(service string) {
	metric.BudgetedRequests(service).Inc()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service).Deposit(b.g.now())
}

// spendRetry takes one retry from a service's budget and reports whether there was one.
func (b *retryBudgets) spendRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.budgetOf(service).TryWithdraw(b.g.now(), rand.Float64())
	if !ok {
		metric.RetryBudgetRefusals.Inc()
	}
	return ok
}

// state returns the retries left for a service, and the number of instances among which its slack is divided.
func (b *retryBudgets) state(service string) (balance float64, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetOf(service).Balance(b.g.now()), b.instances()
}

// setGauges sets the gauges of the retries left, by service.
func (b *retryBudgets) setGauges() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, budget := range b.byService {
		metric.SetGauge(metric.RetryBalanceGauge(service), budget.Balance(b.g.now()))
	}
}

// budgetUse says what the end of an attempt meant for the retry budget. It is logged, and a label of metrics.
type budgetUse string

// Values of budgetUse.
const (
	budgetNotAsked  budgetUse = "not-asked" // another attempt is ruled out, whatever the budget
	budgetFree      budgetUse = "free"      // the attempt reached no target, so that the next one is no repeat
	budgetCharged   budgetUse = "charged"
	budgetExhausted budgetUse = "exhausted"
)
