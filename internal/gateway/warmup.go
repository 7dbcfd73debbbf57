package gateway

import (
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/warmup"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// A target that is warming up crashes if it gets many more requests than it can handle. A target
// warms up after its start, after the evacuation of its zone, and whenever its entry says so.

const (
	// warmupSettleTime is how long an instance sends nothing to targets in warm-up after its start
	// or a pause: until then not all other instances know it, nor does it know all of them.
	warmupSettleTime = 3 * time.Second
	// pauseThreshold is the time between two ticks of the control goroutine above which the process
	// is taken to have been paused.
	pauseThreshold = time.Second
)

// warmupShares holds the targets in warm-up for which an instance is a sender, given the instances
// that it knows. The result for a target is computed on first use.
type warmupShares struct {
	self      string
	instances []string // names, including self
	chosen    sync.Map // by target name: bool, whether self is a sender
}

// quota returns how many requests per second this instance may send to a target whose limit, for
// the requests of all instances, is limit per second.
func (s *warmupShares) quota(target string, limit float64) int {
	if s == nil {
		return 0
	}
	allocation := warmup.Allocate(limit, len(s.instances))
	isSender, known := s.chosen.Load(target)
	if !known {
		isSender = allocation.IsSender(target, s.self, s.instances)
		s.chosen.Store(target, isSender)
	}
	if !isSender.(bool) {
		return 0
	}
	return allocation.Quota
}

// weight returns the factor by which a sender raises its share of requests to a target with that
// limit, see warmup.Allocation.Weight.
func (s *warmupShares) weight(limit float64) float64 {
	if s == nil {
		return 1
	}
	return warmup.Allocate(limit, len(s.instances)).Weight(len(s.instances))
}

// isWarmingUp reports whether a target is warming up: by its own entry, or because its zone was
// released from an evacuation.
func (v *View) isWarmingUp(t *catalog.Target, now time.Time) bool {
	if now.Before(t.WarmupUntil) {
		return true
	}
	released, ok := v.ReleasedAt[t.Zone]
	if !ok || v.Config == nil {
		return false
	}
	svc := v.Config.Services[t.Service]
	return svc != nil && now.Before(released.Add(svc.Warmup))
}

// warmupQuota returns how many requests per second this instance may send to a target now. limited
// is false if no limit applies: the target is not warming up, or its service sets no rate.
func (x *exchange) warmupQuota(t *catalog.Target, now time.Time) (quota int, limited bool) {
	if !x.view.isWarmingUp(t, now) {
		return 0, false
	}
	svc, settings := x.view.Config.Services[t.Service], x.g.settings()
	if svc == nil || svc.WarmupRate <= 0 {
		return 0, false
	}
	if !settings.Policy.WarmupSenders || now.Before(x.view.WarmupAllowedAt) {
		return 0, true
	}
	return x.view.warmupShares.quota(t.Name, x.warmupLimit(t)), true
}

// warmupBlocked reports whether a target is warming up and may get no request of this instance now.
// weight is the factor by which the target is preferred as a home otherwise, see placement.Target.
func (x *exchange) warmupBlocked(t *catalog.Target, now time.Time) (blocked bool, weight float64) {
	quota, limited := x.warmupQuota(t, now)
	if !limited {
		return false, 1
	}
	return !x.g.warmup.Available(t.ID, quota, now), x.view.warmupShares.weight(x.warmupLimit(t))
}

// warmupLimit returns how many requests per second a target may get from all instances together
// while it is warming up.
func (x *exchange) warmupLimit(t *catalog.Target) float64 {
	settings := x.g.settings()
	return x.view.Config.Services[t.Service].WarmupRate*max(settings.WarmupOverage, 1) + settings.WarmupSlack
}

// takeWarmupSlot takes a slot at the target of the next attempt if that target is warming up. It
// returns false if no slot is free any more.
func (x *exchange) takeWarmupSlot(t *catalog.Target, now time.Time) bool {
	x.warmupSlotHeld = false
	quota, limited := x.warmupQuota(t, now)
	if !limited {
		return true
	}
	x.warmupSlotHeld = x.g.warmup.Acquire(t.ID, quota, now)
	if x.warmupSlotHeld {
		metric.WarmupRequests.Inc()
	}
	return x.warmupSlotHeld
}

// releaseWarmupSlot returns a function that releases the slot, to be called when the request has
// been written or will not be written. Only its first call has an effect.
func (x *exchange) releaseWarmupSlot(t *catalog.Target) func() {
	if !x.warmupSlotHeld {
		return func() {}
	}
	x.warmupSlotHeld = false
	return sync.OnceFunc(func() { x.g.warmup.Release(t.ID, x.g.now()) })
}
