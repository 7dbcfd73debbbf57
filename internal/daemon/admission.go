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

// admission enforces the customers' limits on this instance.
type admission struct {
	mu        sync.Mutex
	now       func() time.Time
	customers map[string]*limit.Customer
	shares    *limit.Shares
}

func newAdmission(now func() time.Time) *admission {
	return &admission{now: now, customers: map[string]*limit.Customer{}, shares: limit.NewShares()}
}

// Admit implements caller.Admission. The function that it returns charges the
// tokens generated and ends the request; only its first call counts.
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
	return func(generatedTokens int) {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			state.ChargeGenerated(generatedTokens)
			state.Release()
		})
	}, nil
}

// TopDemands returns the customers with the highest demand on this instance, to
// be sent to peers.
func (a *admission) TopDemands() []limit.Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shares.TopDemands(maxDemands, a.now())
}

// maxDemands is the largest number of demands in one message.
const maxDemands = 6

// SetPeerDemands records a peer's demands. A list longer than maxDemands is ignored.
func (a *admission) SetPeerDemands(instance string, demands []limit.Demand) {
	if len(demands) > maxDemands {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shares.SetPeerDemands(instance, demands, a.now())
}

// InFlight returns the number of in-flight requests by customer.
func (a *admission) InFlight() map[string]int {
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
