package zonehealth_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/zonehealth"
)

// TestOneProbeAtATime checks that only one probe of a zone runs at a time, however many
// connection attempts time out, and that the next one waits for minProbeInterval after a
// probe that found the zone reachable.
func TestOneProbeAtATime(t *testing.T) {
	is := is.New(t)
	var tracker zonehealth.Tracker
	now := time.Unix(1000, 0)
	is.True(tracker.BeginProbe("a", now))
	is.True(!tracker.BeginProbe("a", now))
	is.True(tracker.BeginProbe("b", now)) // zones are probed independently
	is.True(!tracker.EndProbe("a", true))
	is.True(!tracker.BeginProbe("a", now.Add(900*time.Millisecond)))
	is.True(tracker.BeginProbe("a", now.Add(time.Second)))
}

// TestUnreachableUntilAnswer checks that a zone stays unreachable until a target there answers.
func TestUnreachableUntilAnswer(t *testing.T) {
	is := is.New(t)
	var tracker zonehealth.Tracker
	now := time.Unix(1000, 0)
	is.Equal(tracker.Unreachable(), nil)
	is.True(tracker.BeginProbe("a", now))
	is.True(tracker.EndProbe("a", false))
	is.Equal(tracker.Unreachable(), map[string]bool{"a": true})
	is.True(!tracker.BeginProbe("a", now.Add(time.Hour))) // the caller that found it unreachable keeps probing it
	is.True(tracker.EndProbe("a", true))
	is.Equal(tracker.Unreachable(), nil)
	is.True(tracker.BeginProbe("a", now.Add(time.Hour)))
}
