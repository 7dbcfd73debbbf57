package gateway

import (
	"sync"

	"github.com/shedhoist/shedhoist/internal/core/limit"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// budgets holds this instance's part of each service's retry budget.
type budgets struct {
	g  *Gateway
	mu sync.Mutex
	m  map[string]*limit.FleetBudget
}

const (
	// budgetShare is the part of the allowed retries that is used: instances that
	// do not know of one another yet hold parts that add up to more.
	budgetShare = 0.8
	// leastFleet is the number of instances assumed until more are known of: one
	// that just started knows of none.
	leastFleet = 10
)

// of returns a service's budget, resized to the fleet; b.mu is held.
func (b *budgets) of(service string) *limit.FleetBudget {
	instances := max(b.g.view.Load().Instances, leastFleet)
	if b.m == nil {
		b.m = map[string]*limit.FleetBudget{}
	}
	e := b.m[service]
	if e == nil {
		set := b.g.settings().Retry
		e = limit.NewFleetBudget(set.Share*budgetShare, set.Slack*budgetShare, instances)
		b.m[service] = e
	}
	e.Resize(instances)
	return e
}

// request credits a service's budget with one request.
func (b *budgets) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Deposit()
}

// retry spends one retry from a service's budget, if there is one.
func (b *budgets) retry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.of(service).TryWithdraw()
	if !ok {
		metric.RetryBudgetRefusals.Inc()
	}
	return ok
}
