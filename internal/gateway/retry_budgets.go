package gateway

import (
	"sync"

	"github.com/shedhoist/shedhoist/internal/core/limit"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// retryBudgets holds this instance's part of each service's retry budget.
type retryBudgets struct {
	g         *Gateway
	mu        sync.Mutex
	byService map[string]*limit.FleetBudget
}

const (
	// budgetUtilization is the part of the allowed retries that is used: instances that
	// do not know of one another yet hold parts that add up to more.
	budgetUtilization = 0.8
	// minAssumedFleet is the number of instances assumed until more are known of: one
	// that just started knows of none.
	minAssumedFleet = 10
)

// budgetOf returns a service's budget, resized to the fleet; b.mu is held.
func (b *retryBudgets) budgetOf(service string) *limit.FleetBudget {
	instances := max(b.g.view.Load().InstanceCount, minAssumedFleet)
	if b.byService == nil {
		b.byService = map[string]*limit.FleetBudget{}
	}
	e := b.byService[service]
	if e == nil {
		set := b.g.settings().Retry
		e = limit.NewFleetBudget(set.Share*budgetUtilization, set.Slack*budgetUtilization, instances)
		b.byService[service] = e
	}
	e.Resize(instances)
	return e
}

// creditRequest credits a service's budget with one request.
func (b *retryBudgets) creditRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service).Deposit()
}

// spendRetry spends one retry from a service's budget, if there is one.
func (b *retryBudgets) spendRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.budgetOf(service).TryWithdraw()
	if !ok {
		metric.RetryBudgetRefusals.Inc()
	}
	return ok
}
