package zonehealth_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/zonehealth"
)

// TestOneLook: however often silence is met, one look is under way at a time, and none follows
// at once on another that found the zone well.
func TestOneLook(t *testing.T) {
	is := is.New(t)
	var z zonehealth.Tracker
	now := time.Unix(1000, 0)
	is.True(z.BeginProbe("a", now))
	is.True(!z.BeginProbe("a", now))
	is.True(z.BeginProbe("b", now)) // another zone is another question
	is.True(!z.EndProbe("a", true))
	is.True(!z.BeginProbe("a", now.Add(900*time.Millisecond)))
	is.True(z.BeginProbe("a", now.Add(time.Second)))
}

// TestDarkUntilItAnswers: a zone is dark until something answers there.
func TestDarkUntilItAnswers(t *testing.T) {
	is := is.New(t)
	var z zonehealth.Tracker
	now := time.Unix(1000, 0)
	is.Equal(z.Unreachable(), nil)
	is.True(z.BeginProbe("a", now))
	is.True(z.EndProbe("a", false))
	is.Equal(z.Unreachable(), map[string]bool{"a": true})
	is.True(!z.BeginProbe("a", now.Add(time.Hour))) // whoever found it dark looks on
	is.True(z.EndProbe("a", true))
	is.Equal(z.Unreachable(), nil)
	is.True(z.BeginProbe("a", now.Add(time.Hour)))
}
