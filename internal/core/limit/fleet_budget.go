package limit

import (
	"math"
	"time"
)

// FleetBudget is one instance's part of a retry budget of the whole fleet: in any window, the
// retries of all instances are at most Ratio times the requests, plus Slack. The instances exchange
// no messages about it. It is not safe for concurrent use.
//
// Invariant: in a window, an instance spends at most what its own requests of the window and of the
// horizon before it have earned, plus its part of the slack. The first holds for the sum over any
// instances, however many there are, know one another, start or end: an instance that ends loses what
// it has earned, and one that starts has earned nothing. The second holds since an instance gets its
// part only once it has been up for a window: in no window do it and its predecessor both have one.
// What instances may spend of the slack before that is reserved for it.
//
// Less than one retry is not lost, or else no instance of a large fleet would ever make one: an instance
// may make a retry once its balance reaches a random threshold of at most one, and goes into debt for the
// rest. So each rounds up or down by less than one, and the sum stays the same on average.
type FleetBudget struct {
	config   FleetBudgetConfig
	requests recentCount

	balance    float64
	threshold  float64   // balance at which the next retry may be made, in (0, 1]; 0: not drawn
	drawnAt    time.Time // when it was drawn
	instances  int       // among which the slack is divided; 0: not known
	slackAt    time.Time // when this instance gets its part of the slack
	slackTaken bool      // it has got it
}

// FleetBudgetConfig is the retry budget of a fleet for one service.
type FleetBudgetConfig struct {
	Ratio  float64       // retries for each request
	Slack  float64       // retries in a window beyond those
	Window time.Duration // any span of this length counts
}

// horizon returns how long requests count for what they have earned.
func (c FleetBudgetConfig) horizon() time.Duration {
	return time.Duration(horizonShare * float64(c.Window))
}

const (
	// earnedShare is the part of Ratio that requests earn. The requests of the horizon before a window
	// may be spent in it too, and both together may not exceed the whole.
	earnedShare = 1 / (1 + horizonShare)
	// horizonShare is the length of the horizon in windows.
	horizonShare = 0.25
	// slackShare is the part of the slack that is divided among the instances that have been up for a
	// window. What this and startShare leave is for uneven traffic, and for instances that round up.
	slackShare = 0.5
	// startShare is the part of the slack that is reserved for instances that start, and maxStarts how
	// often all instances may start in a window until it is used up.
	startShare = 0.45
	maxStarts  = 3
)

// NewFleetBudget returns the budget of an instance that started at the given time, in a fleet of a given
// size; 0: not known.
func NewFleetBudget(config FleetBudgetConfig, instances int, started time.Time) *FleetBudget {
	b := &FleetBudget{config: config, instances: instances, slackAt: started.Add(config.Window),
		requests: recentCount{span: config.horizon()}}
	b.balance = b.slackPart(startShare / maxStarts)
	return b
}

// slackPart returns this instance's part of a share of the slack.
func (b *FleetBudget) slackPart(share float64) float64 {
	if b.instances == 0 {
		return 0
	}
	return b.config.Slack * share / float64(b.instances)
}

// Update sets the budget of the fleet, and the number of instances among which the slack is divided; 0: not
// known, so that there is no part of it. It may reduce the balance but never raises it.
func (b *FleetBudget) Update(config FleetBudgetConfig, instances int) {
	b.config, b.instances = config, instances
	b.requests.span = config.horizon()
}

// Balance returns the retries that are left.
func (b *FleetBudget) Balance(now time.Time) float64 {
	part := b.slackPart(startShare / maxStarts)
	if !now.Before(b.slackAt) {
		part = b.slackPart(slackShare)
		if !b.slackTaken {
			b.slackTaken = true
			b.balance += part
		}
	}
	b.balance = math.Min(b.balance, part+b.earned(b.requests.at(now)))
	return b.balance
}

// earned returns what a number of requests earns.
func (b *FleetBudget) earned(requests float64) float64 {
	return b.config.Ratio * earnedShare * requests
}

// Deposit adds what one request earns.
func (b *FleetBudget) Deposit(now time.Time) {
	b.requests.add(now)
	b.balance += b.earned(1)
	b.Balance(now)
}

// TryWithdraw takes one retry from the balance, and reports whether there was one. draw is uniform in
// [0, 1) and gives the next threshold, if one is due.
func (b *FleetBudget) TryWithdraw(now time.Time, draw float64) bool {
	if b.threshold == 0 || now.Sub(b.drawnAt) >= b.config.Window {
		b.threshold, b.drawnAt = 1-draw, now
	}
	if b.Balance(now) < b.threshold {
		return false
	}
	b.balance--
	b.threshold = 0
	return true
}

// recentCount counts events of the last span, or of at least its second half. A zero start is one
// without events.
type recentCount struct {
	span              time.Duration
	start             time.Time // of the current half of the span
	current, previous float64
}

// add counts an event.
func (c *recentCount) add(now time.Time) {
	c.advance(now)
	c.current++
}

// at returns the number of recent events.
func (c *recentCount) at(now time.Time) float64 {
	c.advance(now)
	return c.previous + c.current
}

// advance begins a new half of the span once the current one is over.
func (c *recentCount) advance(now time.Time) {
	half := c.span / 2
	switch age := now.Sub(c.start); {
	case age < half:
	case age < c.span:
		c.start, c.previous, c.current = c.start.Add(half), c.current, 0
	default:
		c.start, c.previous, c.current = now, 0, 0
	}
}
