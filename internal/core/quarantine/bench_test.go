package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/quarantine"
)

// BenchmarkRecordAnswer measures the cost of one answered request: computing its key and recording
// the time of its response.
func BenchmarkRecordAnswer(b *testing.B) {
	tracker := quarantine.NewTracker()
	body := make([]byte, 1024)
	b.ReportAllocs()
	for i := range b.N {
		body[0], body[1], body[2] = byte(i), byte(i>>8), byte(i>>16)
		k := quarantine.KeyOf(quarantine.Request{Customer: "customer", Method: "POST", Host: "a.example", URI: "/route/1/2", Body: body})
		tracker.RecordAnswer(k, start)
	}
}

// BenchmarkDigest measures the cost of the digest sent with each probe of a peer, with a nearly
// full Tracker.
func BenchmarkDigest(b *testing.B) {
	tracker := quarantine.NewTracker()
	for i := range 1000 {
		tracker.RecordCrash(keyOf(fmt.Sprint(i)), quarantine.Label{}, quarantine.Incarnation(i%7), start.Add(time.Duration(i)*time.Millisecond))
	}
	recordCrashes(tracker, keyOf("x"), 3)
	b.ReportAllocs()
	for b.Loop() {
		tracker.Digest(start.Add(time.Minute))
	}
}
