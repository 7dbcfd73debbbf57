package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/quarantine"
)

// TestSuspectsSurviveFloats guards against a crash that counts twice since a store keeps numbers as floats.
func TestSuspectsSurviveFloats(t *testing.T) {
	is := is.New(t)
	now := time.Unix(2000, 0)
	b, k := quarantine.NewTracker(), quarantine.KeyOf(quarantine.Request{URI: "/x"})
	for i := range 2 {
		b.RecordCrash(k, quarantine.Label{}, quarantine.Incarnation(1<<63+12345+uint64(i)), now)
	}
	value, err := encodeSuspects(b.Reports(now), now)
	is.NoErr(err)
	var loose any
	is.NoErr(json.Unmarshal(value, &loose))
	value, err = json.Marshal(loose)
	is.NoErr(err)
	words, unreadable, err := decodeSuspects(value, now)
	is.NoErr(err)
	is.Equal(unreadable, 0)
	b.Merge(words, now)
	s, known := b.Lookup(k, now)
	is.True(known)
	is.Equal(s.Crashes, 2)
}
