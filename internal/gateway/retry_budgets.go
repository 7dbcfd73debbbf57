package gateway

import (
	"sync"

	"github.com/shedhoist/shedhoist/internal/core/limit"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// retryBudgets holds this instance's share of each service's retry budget.
type retryBudgets struct {
	g         *Gateway
	mu        sync.Mutex
	byService map[string]*limit.FleetBudget
}

const (
	// budgetUtilization is the share of the allowed retries that is used: the shares of
	// instances that do not know of one another yet add up to more than the budget.
	budgetUtilization = 0.8
	// minAssumedFleet is the least number of instances assumed: an instance that has just
	// started knows of no other.
	minAssumedFleet = 10
)

// budgetOf returns a service's budget, resized to the number of instances. b.mu is held.
func (b *retryBudgets) budgetOf(service string) *limit.FleetBudget {
	instances := max(b.g.view.Load().InstanceCount, minAssumedFleet)
	if b.byService == nil {
		b.byService = map[string]*limit.FleetBudget{}
	}
	budget := b.byService[service]
	if budget == nil {
		set := b.g.settings().Retry
		budget = limit.NewFleetBudget(set.Share*budgetUtilization, set.Slack*budgetUtilization, instances)
		b.byService[service] = budget
	}
	budget.Resize(instances)
	return budget
}

// creditRequest adds one request to a service's budget, which allows retries in proportion.
func (b *retryBudgets) creditRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service).Deposit()
	metric.BudgetedRequests(service).Inc()
}

// spendRetry takes one retry from a service's budget and reports whether there was one.
func (b *retryBudgets) spendRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.budgetOf(service).TryWithdraw()
	if !ok {
		metric.RetryBudgetRefusals.Inc()
	}
	return ok
}

// state returns the retries left for a service, and the number of instances for which its budget is computed.
func (b *retryBudgets) state(service string) (balance float64, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetOf(service).Balance(), max(b.g.view.Load().InstanceCount, minAssumedFleet)
}

// setGauges sets the gauges of the retries left, by service.
func (b *retryBudgets) setGauges() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, budget := range b.byService {
		metric.SetGauge(metric.RetryBalanceGauge(service), budget.Balance())
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
