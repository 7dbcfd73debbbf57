package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// TestStorePositionsOfAll guards against a part that is fetched without delay although an instance has
// not reported that it knows the part, has not reported recently, or knows another epoch of the store.
func TestStorePositionsOfAll(t *testing.T) {
	is := is.New(t)
	var tracker positionTracker
	store := loadreport.KeyOf("10.0.0.1:1")
	report := func(from string, seq, epoch, event uint64, at time.Time) {
		tracker.record(from, seq, []StorePosition{{Store: store, Epoch: epoch, Event: event}}, at)
	}
	reached := func(event uint64, at time.Time) bool {
		return tracker.allReached([]string{"a", "b"}, StorePosition{Store: store, Epoch: 7, Event: event}, at)
	}
	report("a", 1, 7, 5, at0)
	is.True(!reached(5, at0))
	report("b", 1, 7, 5, at0)
	is.True(reached(5, at0))
	is.True(!reached(6, at0))
	is.True(!reached(5, at0.Add(loadReportTTL)))
	report("b", 2, 8, 9, at0)
	is.True(!reached(5, at0))
	report("b", 1, 7, 9, at0) // arrives late, out of order
	is.True(!reached(5, at0))
	tracker.record("b", 3, nil, at0)
	is.True(!reached(5, at0))
}
