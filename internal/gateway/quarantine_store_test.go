package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/quarantine"
)

// TestSuspectsSurviveFloats guards against a crash that counts twice because the object store keeps
// numbers as floats.
func TestSuspectsSurviveFloats(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2000, 0)
	tracker, key := quarantine.NewTracker(), quarantine.KeyOf(quarantine.Request{URI: "/x"})
	for i := range 2 {
		tracker.RecordCrash(key, quarantine.Label{}, quarantine.Incarnation(1<<63+12345+uint64(i)), now)
	}
	value, err := encodeSuspects(tracker.Reports(now), now)
	is.NoErr(err)
	var decoded any
	is.NoErr(json.Unmarshal(value, &decoded))
	value, err = json.Marshal(decoded)
	is.NoErr(err)
	reports, unreadable, err := decodeSuspects(value, now)
	is.NoErr(err)
	is.Equal(unreadable, 0)
	tracker.Merge(reports, now)
	s, known := tracker.Lookup(key, now)
	is.True(known)
	is.Equal(s.Crashes, 2)
}
