// Package limit enforces the limits of customers on requests, prompt tokens and generated
// tokens per second and on concurrent requests, and the budgets for retries. It does no I/O
// and reads no clock: the caller passes in the time and this instance's share of the limits.
package limit

import (
	"math"
	"time"
)

// Rates are one customer's limits over the whole fleet. 0 means no limit.
type Rates struct {
	Requests        float64 // per second
	PromptTokens    float64 // per second
	GeneratedTokens float64 // per second
	Concurrency     int     // concurrent requests
}

// Reason names the limit that caused a refusal.
type Reason string

// The reasons for a refusal.
const (
	RequestRate        Reason = "requests per second"
	PromptTokenRate    Reason = "prompt tokens per second"
	GeneratedTokenRate Reason = "generated tokens per second"
	Concurrency        Reason = "concurrent requests"
)

// RefusedError is returned for a request that exceeds a limit. It says when to retry.
type RefusedError struct {
	Customer   string
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "limit: customer " + e.Customer + " exceeds its limit of " + string(e.Reason)
}

// burstSeconds is the capacity of a bucket, in seconds of its rate.
const burstSeconds = 2.0

// bucket is a token bucket whose level may become negative, since the cost of a request is
// known only after it was served.
type bucket struct {
	level      float64
	refilledAt time.Time
}

// refill adds what has accrued since the last call and returns the level.
func (b *bucket) refill(rate float64, now time.Time) float64 {
	capacity := math.Max(rate*burstSeconds, 1)
	if b.refilledAt.IsZero() {
		b.level, b.refilledAt = capacity, now
		return b.level
	}
	b.level = math.Min(capacity, b.level+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	return b.level
}

// timeUntil returns the time until the bucket reaches a level.
func (b *bucket) timeUntil(level, rate float64) time.Duration {
	if rate <= 0 {
		return time.Minute
	}
	return time.Duration((level - b.level) / rate * float64(time.Second))
}

// Customer is the state of one customer on one instance.
type Customer struct {
	name                        string
	requests, prompt, generated bucket
	inFlight                    int
}

// NewCustomer returns a customer with full buckets and no requests in flight.
func NewCustomer(name string) *Customer { return &Customer{name: name} }

// Admit admits a request, or returns a *RefusedError. share, in (0, 1], is this instance's part
// of the fleet's limits. Release must follow for each admitted request.
func (c *Customer) Admit(r Rates, promptTokens int, share float64, now time.Time) error {
	refuse := func(reason Reason, retryAfter time.Duration) error {
		return &RefusedError{Customer: c.name, Reason: reason, RetryAfter: max(retryAfter, time.Second)}
	}
	if r.Concurrency > 0 && c.inFlight >= max(1, int(math.Ceil(float64(r.Concurrency)*share))) {
		return refuse(Concurrency, time.Second)
	}
	if r.Requests > 0 && c.requests.refill(r.Requests*share, now) < 1 {
		return refuse(RequestRate, c.requests.timeUntil(1, r.Requests*share))
	}
	// A prompt may be longer than the bucket's capacity. It is admitted if the level is
	// positive, and may leave a negative one, which delays the next requests.
	if r.PromptTokens > 0 && c.prompt.refill(r.PromptTokens*share, now) <= 0 {
		return refuse(PromptTokenRate, c.prompt.timeUntil(0, r.PromptTokens*share))
	}
	if r.GeneratedTokens > 0 && c.generated.refill(r.GeneratedTokens*share, now) <= 0 {
		return refuse(GeneratedTokenRate, c.generated.timeUntil(0, r.GeneratedTokens*share))
	}
	c.requests.level--
	c.prompt.level -= float64(promptTokens)
	c.inFlight++
	return nil
}

// ChargeGenerated charges generated tokens.
func (c *Customer) ChargeGenerated(tokens int) { c.generated.level -= float64(tokens) }

// Release ends one admitted request.
func (c *Customer) Release() { c.inFlight-- }

// InFlight returns the number of requests that were admitted and not released.
func (c *Customer) InFlight() int { return c.inFlight }

// Budget is a retry budget: retries are limited to a ratio of the recent requests, so that they
// cannot multiply the load of a failing fleet (Google SRE book, "Addressing Cascading
// Failures"; section 3.5 of the paper).
type Budget struct {
	ratio   float64
	balance float64
}

// Bounds of a Budget's balance. The initial balance allows retries in a fleet with few requests.
const (
	initialBalance = 10
	maxBalance     = 100
)

// NewBudget returns a budget that earns ratio retries per request.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio, balance: initialBalance} }

// SetRatio changes the retries earned per request.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// Deposit adds what one request earns.
func (b *Budget) Deposit() { b.balance = math.Min(maxBalance, b.balance+b.ratio) }

// TryWithdraw takes one retry from the balance, and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
