package dispatch

import "github.com/shedhoist/shedhoist/internal/core/prefix"

// localHints provides core/route with the residency hints and this instance's own load.
type localHints struct{ d *Dispatcher }

// Resident implements route.Hints.
func (h localHints) Resident(target string, keys []prefix.Key) int {
	return h.d.Hints.ResidentPrefix(target, keys)
}

// Inflight implements route.Hints.
func (h localHints) Inflight(target string) (runs, tokens int) {
	e := h.d.loads.Get(target)
	return int(e.Requests.Load()), int(e.PrefillTokens.Load())
}
