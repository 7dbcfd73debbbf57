package buffer

import "sync/atomic"

const (
	// smallHolder is how many bytes a holder may hold and still count as small: some times what a
	// connection with a usual request costs.
	smallHolder = 128 << 10
	// largeShare is the share of the limit beyond which only small holders get more, so that a few large
	// requests leave room for usual ones.
	largeShare = 0.75
)

// Holder is the part of a budget that one connection holds, with the request on it. Only NewHolder returns valid
// ones.
type Holder struct {
	budget *Budget
	held   atomic.Int64
}

// NewHolder returns a holder that holds nothing.
func NewHolder(b *Budget) *Holder { return &Holder{budget: b} }

// Reserve counts n bytes as held and returns true, or returns false if that would exceed what the holder may use of
// the budget's limit.
func (h *Holder) Reserve(n int64) bool {
	if !h.budget.all.reserveWithin(n, h.budget.limitFor(h.held.Load()+n)) {
		return false
	}
	h.held.Add(n)
	return true
}

// Add counts n bytes that are held already, whether there is room for them or not.
func (h *Holder) Add(n int64) {
	h.budget.all.held.Add(n)
	h.held.Add(n)
}

// Release ends the holding of n bytes.
func (h *Holder) Release(n int64) {
	h.budget.all.release(n)
	h.held.Add(-n)
}

// Held returns the bytes that the holder holds now.
func (h *Holder) Held() int64 { return h.held.Load() }

// Lacks returns how many bytes have to be released by others before the holder may reserve n.
func (h *Holder) Lacks(n int64) int64 {
	limit := h.budget.limitFor(h.held.Load() + n)
	if limit <= 0 {
		return 0
	}
	return max(0, h.budget.Held()+n-limit)
}

// Possible reports whether the holder could reserve n bytes if no other held any.
func (h *Holder) Possible(n int64) bool {
	total := h.held.Load() + n
	limit := h.budget.limitFor(total)
	return limit <= 0 || total <= limit
}

// Small reports whether the holder counts as small with n bytes more.
func (h *Holder) Small(n int64) bool { return h.held.Load()+n <= smallHolder }

// limitFor returns how many bytes all holders may hold when one of them gets a total of so many; 0 is no limit.
func (b *Budget) limitFor(total int64) int64 {
	if b.all.limit <= 0 || total <= smallHolder {
		return b.all.limit
	}
	return int64(largeShare * float64(b.all.limit))
}
