package quarantine_test

import (
	"fmt"
	"strconv"
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
		k := quarantine.KeyOf(quarantine.Request{Customer: "customer", Method: "POST", Host: "a.example", URI: "/route/1/2", Body: [][]byte{body}})
		tracker.RecordAnswer(k, start)
	}
}

// BenchmarkRecordPart is BenchmarkRecordAnswer for one part of a prompt; one in eight was not answered lately.
func BenchmarkRecordPart(b *testing.B) {
	tracker := quarantine.NewTracker()
	b.ReportAllocs()
	for i := range b.N {
		k := quarantine.KeyOfPart(quarantine.Part{Customer: "customer", Model: "model", ID: strconv.Itoa(i % 1000 * (1 + i%8))})
		tracker.RecordAnswer(k, start)
	}
}

// BenchmarkDigest measures the cost of the digest sent with each probe of a peer, with a nearly
// full Tracker.
func BenchmarkDigest(b *testing.B) {
	tracker := quarantine.NewTracker()
	for i := range 4000 {
		tracker.RecordCrash(keyOf(fmt.Sprint(i)), quarantine.Label{}, quarantine.Incarnation(i%7), start.Add(time.Duration(i)*time.Millisecond))
	}
	recordCrashes(tracker, keyOf("x"), 3)
	b.ReportAllocs()
	for b.Loop() {
		tracker.Digest(start.Add(time.Minute))
	}
}
