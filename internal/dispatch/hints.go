package dispatch

import "github.com/shedhoist/shedhoist/internal/core/prefix"

// hints joins the residency hints and the own load for core/route.
type hints struct{ d *Dispatcher }

// Resident implements route.Hints.
func (h hints) Resident(target string, keys []prefix.Key) int {
	return h.d.Hints.ResidentPrefix(target, keys)
}

// Inflight implements route.Hints.
func (h hints) Inflight(target string) (runs, tokens int) {
	e := h.d.load.Get(target)
	return int(e.Requests.Load()), int(e.PrefillTokens.Load())
}
