package inflight

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestResponseTracker: a target counts as unresponsive from the first unanswered request until its
// next activity, also after that request is abandoned, unless it was abandoned before a response
// was due.
func TestResponseTracker(t *testing.T) {
	is := is.New(t)
	const minWait = 500 * time.Millisecond
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var tracker ResponseTracker
	is.Equal(tracker.UnresponsiveFor(at(0)), time.Duration(0))
	tracker.RecordRequest(at(0))
	tracker.RecordRequest(at(100))
	is.Equal(tracker.UnresponsiveFor(at(200)), 200*time.Millisecond)
	tracker.RecordActivity(at(200))
	is.Equal(tracker.UnresponsiveFor(at(300)), time.Duration(0))

	tracker.RecordRequest(at(400))
	tracker.RecordAbandoned(at(400), at(420), minWait) // abandoned before a response was due
	is.Equal(tracker.UnresponsiveFor(at(5000)), time.Duration(0))

	tracker.RecordRequest(at(5000))
	tracker.RecordRequest(at(5100))
	tracker.RecordAbandoned(at(5100), at(5110), minWait)
	tracker.RecordAbandoned(at(5000), at(6500), minWait) // abandoned long after a response was due
	is.Equal(tracker.UnresponsiveFor(at(7000)), 2*time.Second)
	tracker.RecordActivity(at(7000))
	is.Equal(tracker.UnresponsiveFor(at(7000)), time.Duration(0))
}
