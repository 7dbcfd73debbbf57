package gateway

import (
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/quarantine"
)

// outboxDelay is how long words on crashes wait for others, on each step through the fleet: when
// a zone's targets go, hundreds come within a moment, of which a neighbour gets one message.
const outboxDelay = 25 * time.Millisecond

// outbox holds words on crashes until they are told. The zero value is empty.
type outbox struct {
	mu      sync.Mutex
	reports map[string]map[quarantine.Key]quarantine.Report // by the neighbour they came from; "": this instance's own
}

// add takes words to be told; a later word on a key replaces the one before.
func (o *outbox) add(words []quarantine.Report, from string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reports == nil {
		o.reports = map[string]map[quarantine.Key]quarantine.Report{}
	}
	if o.reports[from] == nil {
		o.reports[from] = map[quarantine.Key]quarantine.Report{}
	}
	for _, w := range words {
		o.reports[from][w.Key] = w
	}
}

// drain empties the outbox, and returns what each neighbour is to be told.
func (o *outbox) drain(neighbours []neighbour) map[string][]quarantine.Report {
	o.mu.Lock()
	words := o.reports
	o.reports = nil
	o.mu.Unlock()
	out := map[string][]quarantine.Report{}
	for _, n := range neighbours {
		for from, byKey := range words {
			if from != "" && !n.relayedFrom[from] {
				continue
			}
			for _, w := range byKey {
				out[n.Name] = append(out[n.Name], w)
			}
		}
	}
	for name, told := range out {
		out[name] = quarantine.TopReports(told)
	}
	return out
}
