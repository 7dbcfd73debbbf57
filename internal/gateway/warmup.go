package gateway

import (
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/warmup"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// A cold target crashes if it gets many more requests than it bears: after its start, after
// the evacuation of its zone, and whenever its entry says so.

const (
	// coldSettle is how long an instance that started, or stood still, sends nothing to cold
	// targets: until then not all know it, nor does it know all.
	coldSettle = 3 * time.Second
	// stoodStill is the pause between two ticks of the control goroutine from which on the
	// instance counts as one that stood still.
	stoodStill = time.Second
)

// coldChoice is for which targets an instance is chosen, by what it knows of the others. It is
// worked out for a target when it is first asked for.
type coldChoice struct {
	self  string
	known []string
	m     sync.Map // bool, by the target's name
}

// quota is how many requests a second this instance may send to a target that bears limit
// from all.
func (c *coldChoice) quota(target string, limit float64) int {
	if c == nil {
		return 0
	}
	share := warmup.Allocate(limit, len(c.known))
	yes, known := c.m.Load(target)
	if !known {
		yes = share.IsSender(target, c.self, c.known)
		c.m.Store(target, yes)
	}
	if !yes.(bool) {
		return 0
	}
	return share.Quota
}

func (c *coldChoice) pull(limit float64) float64 {
	if c == nil {
		return 1
	}
	return warmup.Allocate(limit, len(c.known)).Weight(len(c.known))
}

// isCold says whether a target is cold, as far as is known.
func (v *View) isCold(t *catalog.Target, now time.Time) bool {
	if now.Before(t.WarmupUntil) {
		return true
	}
	released, ok := v.Released[t.Zone]
	if !ok || v.Config == nil {
		return false
	}
	svc := v.Config.Services[t.Service]
	return svc != nil && now.Before(released.Add(svc.Warmup))
}

// coldQuota is how many requests a second this instance may send to a target now; limited
// is false if there is no bound, since it is not cold.
func (x *exchange) coldQuota(t *catalog.Target, now time.Time) (quota int, limited bool) {
	if !x.view.isCold(t, now) {
		return 0, false
	}
	svc, set := x.view.Config.Services[t.Service], x.g.settings()
	if svc == nil || svc.WarmupRate <= 0 {
		return 0, false
	}
	if !set.Policy.WarmupSenders || now.Before(x.view.SettledAt) {
		return 0, true
	}
	return x.view.coldChoice.quota(t.Name, x.coldLimit(t)), true
}

// closed says that a target is cold and bears nothing from this instance now. pull is by how
// much it is to be preferred as a home else, see place.Target.
func (x *exchange) closed(t *catalog.Target, now time.Time) (closed bool, pull float64) {
	quota, limited := x.coldQuota(t, now)
	if !limited {
		return false, 1
	}
	return !x.g.cold.Available(t.ID, quota, now), x.view.coldChoice.pull(x.coldLimit(t))
}

// coldLimit is how many requests a second a target may get from all while it is cold.
func (x *exchange) coldLimit(t *catalog.Target) float64 {
	set := x.g.settings()
	return x.view.Config.Services[t.Service].WarmupRate*max(set.ColdOverage, 1) + set.ColdSlack
}

// enter takes a place at the target of the next attempt, if it is cold; false if there is
// none any more.
func (x *exchange) enter(t *catalog.Target, now time.Time) bool {
	x.entered = false
	quota, limited := x.coldQuota(t, now)
	if !limited {
		return true
	}
	x.entered = x.g.cold.Acquire(t.ID, quota, now)
	if x.entered {
		metric.WarmupRequests.Inc()
	}
	return x.entered
}

// leavePlace returns what gives the place back, once, when the request was written or never
// will be.
func (x *exchange) leavePlace(t *catalog.Target) func() {
	if !x.entered {
		return func() {}
	}
	x.entered = false
	return sync.OnceFunc(func() { x.g.cold.Release(t.ID, x.g.now()) })
}
