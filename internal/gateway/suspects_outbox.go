package gateway

import (
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/quarantine"
)

// outboxDelay is how long crash reports wait to be batched, on each hop through the fleet:
// when the targets of a zone fail, hundreds arrive at once, which a neighbour gets in one
// message.
const outboxDelay = 25 * time.Millisecond

// outbox holds crash reports until they are sent. The zero value is empty.
type outbox struct {
	mu      sync.Mutex
	reports map[string]map[quarantine.Key]quarantine.Report // by the neighbour that sent them; "": this instance's own
}

// add queues reports from a neighbour, or with from "" this instance's own. A later report on
// a key replaces the one before.
func (o *outbox) add(reports []quarantine.Report, from string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reports == nil {
		o.reports = map[string]map[quarantine.Key]quarantine.Report{}
	}
	if o.reports[from] == nil {
		o.reports[from] = map[quarantine.Key]quarantine.Report{}
	}
	for _, report := range reports {
		o.reports[from][report.Key] = report
	}
}

// drain empties the outbox and returns the reports for each neighbour, by its name.
func (o *outbox) drain(neighbours []neighbour) map[string][]quarantine.Report {
	o.mu.Lock()
	bySource := o.reports
	o.reports = nil
	o.mu.Unlock()
	out := map[string][]quarantine.Report{}
	for _, n := range neighbours {
		for from, byKey := range bySource {
			if from != "" && !n.relayedFrom[from] {
				continue
			}
			for _, report := range byKey {
				out[n.Name] = append(out[n.Name], report)
			}
		}
	}
	for name, reports := range out {
		out[name] = quarantine.TopReports(reports)
	}
	return out
}
