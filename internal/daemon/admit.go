package daemon

import (
	"errors"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/limit"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/view"
)

// admission holds customers to their limits on this instance.
type admission struct {
	mu        sync.Mutex
	now       func() time.Time
	customers map[string]*limit.Customer
	shares    *limit.Shares
}

func newAdmission(now func() time.Time) *admission {
	return &admission{now: now, customers: map[string]*limit.Customer{}, shares: limit.NewShares()}
}

// Admit implements caller.Admission.
func (a *admission) Admit(c *view.Customer, promptTokens, instances int) (func(int), error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.customers[c.Name]
	if state == nil {
		state = limit.NewCustomer(c.Name)
		a.customers[c.Name] = state
	}
	now := a.now()
	a.shares.RecordRequest(c.Name, now)
	err := state.Admit(c.Rates, promptTokens, a.shares.Share(c.Name, instances, now), now)
	var refused *limit.RefusedError
	if errors.As(err, &refused) {
		metric.LimitRefusals(c.Name, string(refused.Reason)).Inc()
		p := problem.New(problem.LimitExceeded, "customer "+c.Name+" is over its limit of "+string(refused.Reason))
		p.RetryAfter = refused.RetryAfter
		return nil, p
	}
	var once sync.Once
	return func(generated int) {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			state.ChargeGenerated(generated)
			state.Release()
		})
	}, nil
}

// Demands are the customers who ask most here, for peers.
func (a *admission) Demands() []limit.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shares.TopDemands(maxDemands, a.now())
}

// maxDemands bounds the demands on one message.
const maxDemands = 6

// Told takes a peer's demands.
func (a *admission) Told(instance string, demands []limit.Demand) {
	if len(demands) > maxDemands {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shares.SetPeerDemands(instance, demands, a.now())
}

// Running returns the requests in hand by customer.
func (a *admission) Running() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]int{}
	for name, c := range a.customers {
		if n := c.InFlight(); n > 0 {
			out[name] = n
		}
	}
	return out
}
