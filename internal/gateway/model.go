package gateway

import (
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/stock"
)

// cachePlan is where the parts of a prompt come from and where they are kept.
type cachePlan struct {
	version uint64 // weight version that the plan is for
	parts   []PartPlan
	fetches int
	saves   int
}

// lowestPriority is the least urgent value that model servers know.
const lowestPriority = 9

// modelAttempt says what a model server is told. The salt names the weights that
// the target is believed to serve, and the target refuses if it serves others:
// so cache of other weights can't be read, whatever this instance believes.
func (x *exchange) modelAttempt(t *catalog.Target) *ModelAttempt {
	p := x.call.Prompt
	version := t.VersionOf(p.Model)
	salt := stock.Salt{Wall: x.view.Config.Wall(x.customer), Model: p.Model, Version: version}.String()
	x.plan = x.g.cache.plan(x.view.Config.Stores, salt, version, p.Parts)
	return &ModelAttempt{Priority: min(x.priority(), lowestPriority), Version: version, Salt: salt, Cache: x.plan.parts,
		FetchUntilMS: x.g.cache.clockMS(x.fetchPatience())}
}

// priority is the customer's if it has one, else the route's.
func (x *exchange) priority() int {
	if x.customer != nil && x.customer.HasPriority {
		return max(x.customer.Priority, 0)
	}
	return max(x.route.Priority, 0)
}

// fetchShare is the share of the latency objective that fetching cache may take:
// what is left is enough to read a prompt of the usual size instead.
const fetchShare = 0.6

// fetchPatience is how long a fetch may take from now on. It is given up then,
// and the prompt is read.
func (x *exchange) fetchPatience() time.Duration {
	allowed := time.Duration(fetchShare * float64(x.route.Objective))
	return max(allowed-x.g.now().Sub(x.arrived), 0)
}
