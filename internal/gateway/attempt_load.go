package gateway

import (
	"sync"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/inflight"
)

// countWork counts the request as in progress at a target, for placement and the load reports. The
// returned function ends this; only its first call has an effect.
func (x *exchange) countWork(t *catalog.Target, load *inflight.Load) func() {
	memoryTokens := x.call.memoryTokens()
	load.Requests.Add(1)
	load.MemoryTokens.Add(int64(memoryTokens))
	x.g.customerShares.hold(x.service, x.customerName(), memoryTokens)
	isOnce := x.isAtMostOncePrompt()
	if isOnce {
		load.AtMostOncePrompts.Add(1)
	}
	endSlot := x.countSlot(t, load)
	return sync.OnceFunc(func() {
		load.Requests.Add(-1)
		load.MemoryTokens.Add(-int64(memoryTokens))
		x.g.customerShares.hold(x.service, x.customerName(), -memoryTokens)
		if isOnce {
			load.AtMostOncePrompts.Add(-1)
		}
		endSlot()
	})
}
