package limit

import "math"

// FleetBudget is one instance's part of a bound that the whole fleet shares: in
// any window, retries are at most Share of the requests plus Slack. Each
// instance earns by its own requests and holds its own part of the slack, so
// that no instance needs to ask another.
type FleetBudget struct {
	Ratio float64 // retries earned by a request
	Slack float64 // retries of the whole fleet in a window beyond those earned

	level float64
	full  float64 // this instance's part of the slack
}

// NewFleetBudget returns a budget that holds its part of the slack, for a fleet
// of so many instances.
func NewFleetBudget(share, slack float64, instances int) *FleetBudget {
	b := &FleetBudget{Ratio: share, Slack: slack}
	b.Resize(instances)
	b.level = b.full
	return b
}

// Resize tells the number of instances. What is held never grows by it at once.
func (b *FleetBudget) Resize(instances int) {
	b.full = b.Slack / float64(max(instances, 1))
	b.level = math.Min(b.level, b.full)
}

// Deposit earns for one request.
func (b *FleetBudget) Deposit() { b.level = math.Min(b.full, b.level+b.Ratio) }

// TryWithdraw spends one retry if there is one.
func (b *FleetBudget) TryWithdraw() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
