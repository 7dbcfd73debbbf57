package inflight

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSilence: a target is silent from the first request that it does not answer, whether
// that is waited for or not, until it is heard of.
func TestSilence(t *testing.T) {
	is := is.New(t)
	const due = 500 * time.Millisecond
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var s ResponseTracker
	is.Equal(s.UnresponsiveFor(at(0)), time.Duration(0))
	s.RecordRequest(at(0))
	s.RecordRequest(at(100))
	is.Equal(s.UnresponsiveFor(at(200)), 200*time.Millisecond)
	s.RecordActivity(at(200))
	is.Equal(s.UnresponsiveFor(at(300)), time.Duration(0))

	s.RecordRequest(at(400))
	s.RecordAbandoned(at(400), at(420), due) // its caller left at once
	is.Equal(s.UnresponsiveFor(at(5000)), time.Duration(0))

	s.RecordRequest(at(5000))
	s.RecordRequest(at(5100))
	s.RecordAbandoned(at(5100), at(5110), due)
	s.RecordAbandoned(at(5000), at(6500), due) // it was waited for in vain
	is.Equal(s.UnresponsiveFor(at(7000)), 2*time.Second)
	s.RecordActivity(at(7000))
	is.Equal(s.UnresponsiveFor(at(7000)), time.Duration(0))
}
