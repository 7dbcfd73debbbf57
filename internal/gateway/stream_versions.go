package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/core/streamversion"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// A stream may go on only at the version of the targets' software that began it: within one response, and
// over its caller's tries at any instance. The instance that sends the first event binds the stream to the
// version. While a service has several versions, or may have had some, it tells a few peers, found by
// rendezvous hashing of the stream; whoever a caller takes the stream up at asks them. A stream that nobody
// knows goes on only if a single version can have begun it.

const (
	// takeUpTime is how long after a stream's deadline its caller may take it up.
	takeUpTime = 15 * time.Second
	// maxHistoryAge is the age of the list of targets from which on changes of it may be missed.
	maxHistoryAge = watcherTimeout + otherStaleMargin + maxStaleDelay
)

// streamVersions knows which version of the software began each stream.
type streamVersions struct {
	g       *Gateway
	records streamversion.Records
	history streamversion.History
	// contacts holds the instances that did not answer probes.
	contacts streamversion.Contacts
	reading  chan struct{} // holds an element while the list of targets is read for a stream
	due      wait.Signal
	begun    wait.Signal // a stream has begun

	mu      sync.Mutex
	pending map[streamversion.ID]streamversion.Record // to be told
}

// observe records the versions of the listed targets, and tells of the streams of services that have
// got a second one. It is called by the control goroutine.
func (s *streamVersions) observe(targets map[string]*catalog.Target) {
	listed := map[string][]string{}
	for _, t := range targets {
		if !slices.Contains(listed[t.Service], t.Software) {
			listed[t.Service] = append(listed[t.Service], t.Software)
		}
	}
	now := s.g.now()
	for _, service := range s.history.Observe(listed, now) {
		own := s.records.Own(service, now)
		s.g.log.WithField("service", service).WithField("versions", listed[service]).WithField("streams", len(own)).Info("targets of several versions serve")
		s.tell(own...)
	}
}

// checkHistory records that changes of the targets may be missed, if so. It is called by the control
// goroutine in each tick.
func (s *streamVersions) checkHistory(paused bool) {
	if now := s.g.now(); paused || s.listAge(now) > maxHistoryAge {
		s.history.Interrupt(now)
	}
}

// listAge returns the age of this instance's list of targets.
func (s *streamVersions) listAge(now time.Time) time.Duration {
	age, known := s.g.staleness.Age(staleness.Targets, now)
	if !known {
		return maxHistoryAge + 1
	}
	return age
}

// versionsWithin returns the versions of a service's targets within a window, and whether these are all.
func (s *streamVersions) versionsWithin(service string, window time.Duration) (versions []string, complete bool) {
	now := s.g.now()
	versions, complete = s.history.Within(service, window, now)
	return versions, complete && s.listAge(now) <= maxHistoryAge
}

// begin binds a stream to the version that sends its first event, or notes that it goes on there. It began
// within window.
func (s *streamVersions) begin(record streamversion.Record, window time.Duration) {
	s.begun.Raise()
	if !s.records.Bind(record, true, s.g.now()) {
		metric.StreamsForgotten.Inc()
		return
	}
	if versions, complete := s.versionsWithin(record.Binding.Service, window); !complete || len(versions) > 1 {
		s.tell(record)
	}
}
