// Package limit holds customers to their limits: requests, prompt tokens and
// generated tokens a second, and requests at once. It is pure: the caller
// passes in the time and the share of the fleet's limit that this instance may
// give out.
package limit

import (
	"math"
	"time"
)

// Rates are one customer's limits over the whole fleet. 0 is no limit.
type Rates struct {
	Requests        float64 // a second
	PromptTokens    float64 // tokens a second
	GeneratedTokens float64 // tokens a second
	Concurrency     int
}

// Reason names the limit that was met.
type Reason string

// Reasons of a refusal.
const (
	RequestRate        Reason = "requests per second"
	PromptTokenRate    Reason = "prompt tokens per second"
	GeneratedTokenRate Reason = "generated tokens per second"
	Concurrency        Reason = "concurrent requests"
)

// RefusedError says which limit was met and when to come back.
type RefusedError struct {
	Customer   string
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "limit: customer " + e.Customer + " is over its " + string(e.Reason)
}

// burstSeconds is how many seconds of a rate may be used at once.
const burstSeconds = 2.0

// bucket is a token bucket that may go into debt: what a request cost is known
// only when it has been served.
type bucket struct {
	level float64
	at    time.Time
}

// fill brings the bucket to now and returns its level.
func (b *bucket) fill(rate float64, now time.Time) float64 {
	full := math.Max(rate*burstSeconds, 1)
	if b.at.IsZero() {
		b.level, b.at = full, now
		return b.level
	}
	b.level = math.Min(full, b.level+rate*now.Sub(b.at).Seconds())
	b.at = now
	return b.level
}

// wait is how long until the bucket holds need.
func (b *bucket) wait(need, rate float64) time.Duration {
	if rate <= 0 {
		return time.Minute
	}
	return time.Duration((need - b.level) / rate * float64(time.Second))
}

// Customer is the state of one customer on one instance.
type Customer struct {
	name                        string
	requests, prompt, generated bucket
	running                     int
}

// NewCustomer returns a customer that has used nothing.
func NewCustomer(name string) *Customer { return &Customer{name: name} }

// Admit takes one request of so many prompt tokens, or refuses it. share, in
// (0, 1], is this instance's part of the fleet's limits.
func (c *Customer) Admit(r Rates, promptTokens int, share float64, now time.Time) error {
	refuse := func(reason Reason, wait time.Duration) error {
		return &RefusedError{Customer: c.name, Reason: reason, RetryAfter: max(wait, time.Second)}
	}
	if r.Concurrency > 0 && c.running >= max(1, int(math.Ceil(float64(r.Concurrency)*share))) {
		return refuse(Concurrency, time.Second)
	}
	if r.Requests > 0 && c.requests.fill(r.Requests*share, now) < 1 {
		return refuse(RequestRate, c.requests.wait(1, r.Requests*share))
	}
	// A prompt may be longer than a whole burst: it passes when the bucket is
	// not in debt, and its debt keeps the next ones waiting.
	if r.PromptTokens > 0 && c.prompt.fill(r.PromptTokens*share, now) <= 0 {
		return refuse(PromptTokenRate, c.prompt.wait(0, r.PromptTokens*share))
	}
	if r.GeneratedTokens > 0 && c.generated.fill(r.GeneratedTokens*share, now) <= 0 {
		return refuse(GeneratedTokenRate, c.generated.wait(0, r.GeneratedTokens*share))
	}
	c.requests.level--
	c.prompt.level -= float64(promptTokens)
	c.running++
	return nil
}

// GeneratedTokens charges tokens as they are generated.
func (c *Customer) ChargeGenerated(tokens int) { c.generated.level -= float64(tokens) }

// Release ends one admitted request.
func (c *Customer) Release() { c.running-- }

// InFlight is the number of requests admitted and not released.
func (c *Customer) InFlight() int { return c.running }

// Budget is a retry budget: a share of the requests of late may be retried,
// so that retries never multiply the load of a sick fleet (Google SRE book,
// "Addressing Cascading Failures"; the paper's section 3.5 names it too).
type Budget struct {
	share  float64
	tokens float64
}

// Bounds of a budget's balance: the least lets a quiet fleet retry at all.
const (
	budgetStart = 10
	budgetMax   = 100
)

// NewBudget returns a budget that allows share retries a request.
func NewBudget(share float64) *Budget { return &Budget{share: share, tokens: budgetStart} }

// SetRatio changes the share.
func (b *Budget) SetRatio(share float64) { b.share = share }

// Deposit earns the share of one retry.
func (b *Budget) Deposit() { b.tokens = math.Min(budgetMax, b.tokens+b.share) }

// TryWithdraw spends one retry if there is one.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
