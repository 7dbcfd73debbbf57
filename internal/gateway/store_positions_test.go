package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// TestStorePositionsOfAll guards against a part that is fetched at once though an instance has not said that it knows
// of it, or has not been heard of lately, or knows of another life of the store.
func TestStorePositionsOfAll(t *testing.T) {
	is := is.New(t)
	var b positionTracker
	store := loadreport.KeyOf("10.0.0.1:1")
	tell := func(from string, seq, epoch, event uint64, at time.Time) {
		b.record(from, seq, []StorePosition{{Store: store, Epoch: epoch, Event: event}}, at)
	}
	all := func(event uint64, at time.Time) bool {
		return b.allReached([]string{"a", "b"}, StorePosition{Store: store, Epoch: 7, Event: event}, at)
	}
	tell("a", 1, 7, 5, at0)
	is.True(!all(5, at0))
	tell("b", 1, 7, 5, at0)
	is.True(all(5, at0))
	is.True(!all(6, at0))
	is.True(!all(5, at0.Add(loadReportTTL)))
	tell("b", 2, 8, 9, at0)
	is.True(!all(5, at0))
	tell("b", 1, 7, 9, at0) // overtaken
	is.True(!all(5, at0))
	b.record("b", 3, nil, at0)
	is.True(!all(5, at0))
}
