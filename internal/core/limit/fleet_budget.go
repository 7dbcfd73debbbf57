package limit

import "math"

// FleetBudget is one instance's part of a retry budget of the whole fleet: in any window, the
// retries are at most Ratio times the requests, plus Slack. Each instance earns retries by its
// own requests and holds an equal part of the slack, so the instances need no messages. It
// is not safe for concurrent use.
type FleetBudget struct {
	Ratio float64 // retries earned per request
	Slack float64 // retries of the whole fleet in a window beyond the earned ones

	balance    float64
	maxBalance float64 // this instance's part of the slack
}

// NewFleetBudget returns the budget of one instance in a fleet of a given size. It starts with
// its part of the slack.
func NewFleetBudget(ratio, slack float64, instances int) *FleetBudget {
	b := &FleetBudget{Ratio: ratio, Slack: slack}
	b.Resize(instances)
	b.balance = b.maxBalance
	return b
}

// Resize sets the number of instances. It may reduce the balance but never raises it.
func (b *FleetBudget) Resize(instances int) {
	b.maxBalance = b.Slack / float64(max(instances, 1))
	b.balance = math.Min(b.balance, b.maxBalance)
}

// Balance returns the retries that are left.
func (b *FleetBudget) Balance() float64 { return b.balance }

// Deposit adds what one request earns.
func (b *FleetBudget) Deposit() { b.balance = math.Min(b.maxBalance, b.balance+b.Ratio) }

// TryWithdraw takes one retry from the balance, and reports whether there was one.
func (b *FleetBudget) TryWithdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
