package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/quarantine"
)

// BenchmarkAnswered is what each answered request costs: its key, and its place among the
// answers that speak for it.
func BenchmarkAnswered(b *testing.B) {
	book := quarantine.NewTracker()
	body := make([]byte, 1024)
	b.ReportAllocs()
	for i := range b.N {
		body[0], body[1], body[2] = byte(i), byte(i>>8), byte(i>>16)
		k := quarantine.KeyOf(quarantine.Request{Customer: "customer", Method: "POST", Host: "a.example", URI: "/route/1/2", Body: body})
		book.RecordAnswer(k, at0)
	}
}

// BenchmarkDigest is what each probe of a peer costs while a book is full.
func BenchmarkDigest(b *testing.B) {
	book := quarantine.NewTracker()
	for i := range 1000 {
		book.RecordCrash(keyOf(fmt.Sprint(i)), quarantine.Label{}, quarantine.Incarnation(i%7), at0.Add(time.Duration(i)*time.Millisecond))
	}
	crash(book, keyOf("x"), 3)
	b.ReportAllocs()
	for b.Loop() {
		book.Digest(at0.Add(time.Minute))
	}
}
