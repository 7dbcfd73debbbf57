package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/quarantine"
)

var at0 = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return at0.Add(d) }

func keyOf(body string) quarantine.Key {
	return quarantine.KeyOf(quarantine.Request{Customer: "c", Method: "POST", Host: "h", URI: "/p", Body: []byte(body)})
}

// crash notes crashes of so many targets, one a second.
func crash(b *quarantine.Tracker, k quarantine.Key, n int) {
	for i := range n {
		b.RecordCrash(k, quarantine.Label{Customer: "c"}, quarantine.Incarnation(i+1), at(time.Duration(i)*time.Second))
	}
}

func rejects(b *quarantine.Tracker, k quarantine.Key, now time.Time) bool {
	s, known := b.Lookup(k, now)
	return known && s.Rejected
}

// TestKeys: requests are alike if all is the same, however it is cut into parts.
func TestKeys(t *testing.T) {
	is := is.New(t)
	r := quarantine.Request{Customer: "c", Method: "POST", Host: "h", URI: "/p", Body: []byte("b")}
	is.Equal(quarantine.KeyOf(r), quarantine.KeyOf(r))
	for _, other := range []quarantine.Request{
		{Customer: "d", Method: "POST", Host: "h", URI: "/p", Body: []byte("b")},
		{Customer: "c", Method: "PUT", Host: "h", URI: "/p", Body: []byte("b")},
		{Customer: "c", Method: "POST", Host: "h2", URI: "/p", Body: []byte("b")},
		{Customer: "c", Method: "POST", Host: "h", URI: "/pb"},
		{Customer: "c", Method: "POST", Host: "h/", URI: "p", Body: []byte("b")},
		{Customer: "c", Method: "POST", Host: "h", URI: "/p", Body: []byte("b2")},
	} {
		is.True(quarantine.KeyOf(r) != quarantine.KeyOf(other))
	}
}

// TestThird: a request is rejected from its third crash on, once others had time to object,
// until crashes are forgotten; one target that crashes three times is three lives.
func TestThird(t *testing.T) {
	is := is.New(t)
	b, k := quarantine.NewTracker(), keyOf("x")
	crash(b, k, 2)
	is.True(!rejects(b, k, at(time.Minute)))
	b.RecordCrash(k, quarantine.Label{}, 2, at(2*time.Second)) // the same one again
	is.True(!rejects(b, k, at(time.Minute)))
	b.RecordCrash(k, quarantine.Label{}, 3, at(2*time.Second))
	is.True(!rejects(b, k, at(2*time.Second)))
	is.True(rejects(b, k, at(2500*time.Millisecond)))
	is.True(!rejects(b, keyOf("y"), at(2500*time.Millisecond)))
	is.True(rejects(b, k, at(2*time.Second+quarantine.Retention-time.Second)))
	is.True(!rejects(b, k, at(2*time.Second+quarantine.Retention)))
	b.Expire(at(2*time.Second + quarantine.Retention))
	is.True(b.Empty())
}

// TestAnswered: a whole answer, shortly before the crashes or after them, here or at another
// instance, speaks for a request; one of long ago does not.
func TestAnswered(t *testing.T) {
	cases := []struct {
		name      string
		answered  time.Duration // the first crash is at 0, the third at 2 s
		elsewhere bool
		want      bool // rejected
	}{
		{"before", -10 * time.Second, false, false},
		{"before, elsewhere", -10 * time.Second, true, false},
		{"between", 1500 * time.Millisecond, false, false},
		{"after", 5 * time.Second, false, false},
		{"after, elsewhere", 5 * time.Second, true, false},
		{"long before", -5 * time.Minute, false, true},
		{"long before, elsewhere", -5 * time.Minute, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			here, there, k := quarantine.NewTracker(), quarantine.NewTracker(), keyOf("x")
			b := here
			if c.elsewhere {
				b = there
			}
			if c.answered < 0 {
				b.RecordAnswer(k, at(c.answered))
			}
			crash(here, k, 3)
			now := at(2 * time.Second)
			if c.answered >= 0 {
				there.Merge(here.Reports(now), now)
				now = at(c.answered)
				b.RecordAnswer(k, now)
			}
			_, objections := there.Merge(here.Reports(now), now)
			here.Merge(objections, now)
			here.Merge(there.Reports(now), now)
			is.Equal(rejects(here, k, now.Add(time.Second)), c.want)
			is.Equal(here.Digest(now) != 0, c.want)
		})
	}
}

// TestTrials: two requests in all are let through, long after one another; one that reached
// no target does not count.
func TestTrials(t *testing.T) {
	is := is.New(t)
	b, k := quarantine.NewTracker(), keyOf("x")
	crash(b, k, 3)
	sent, void := 0, 0
	for now := at(2 * time.Second); now.Before(at(2*time.Second + quarantine.Retention)); now = now.Add(100 * time.Millisecond) {
		_, due := b.StartTrial(k, now)
		switch {
		case due && void < 3:
			void++
			b.VoidTrial(k, now)
		case due:
			sent++
		}
	}
	is.Equal(void, 3)
	is.Equal(sent, 2)
	_, more := b.VoidTrial(keyOf("y"), at0)
	is.True(!more)
}

// TestBounded: what is known against many requests never pushes out a request that crashes
// targets, and ends by itself; a request that is answered often is remembered among many
// that are answered once.
func TestBounded(t *testing.T) {
	is := is.New(t)
	b, k, popular := quarantine.NewTracker(), keyOf("x"), keyOf("popular")
	crash(b, k, 3)
	for i := range 20_000 {
		one := keyOf(fmt.Sprint(i))
		now := at(3*time.Second + time.Duration(i)*time.Millisecond)
		b.RecordCrash(one, quarantine.Label{}, 7, now)
		b.RecordAnswer(keyOf(fmt.Sprint("answered ", i)), now)
		if i%100 == 0 {
			b.RecordAnswer(popular, now)
		}
	}
	now := at(23 * time.Second)
	is.True(rejects(b, k, now))
	is.True(len(b.Reports(now)) <= 128)
	for i := range 3 {
		_, against := b.RecordCrash(popular, quarantine.Label{}, quarantine.Incarnation(i), now)
		is.True(!against)
	}
	b.Expire(now.Add(quarantine.Retention))
	is.True(b.Empty())
}

// TestMerge: instances that hear the same, in any order and any number of times, believe the
// same, and then have nothing more to tell.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		books := []*quarantine.Tracker{quarantine.NewTracker(), quarantine.NewTracker(), quarantine.NewTracker()}
		now := at0
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			b := rapid.SampledFrom(books).Draw(t, "book")
			k := keyOf(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				b.RecordCrash(k, quarantine.Label{}, quarantine.Incarnation(rapid.IntRange(1, 5).Draw(t, "life")), now)
			case 2:
				if rapid.IntRange(0, 4).Draw(t, "whole") == 0 {
					b.RecordAnswer(k, now)
				}
			case 3:
				b.StartTrial(k, now)
			}
		}
		for range 2 {
			for _, a := range books {
				for _, b := range books {
					b.Merge(a.Reports(now), now)
				}
			}
		}
		for _, k := range []quarantine.Key{keyOf("x"), keyOf("y")} {
			want := rejects(books[0], k, now.Add(time.Second))
			for _, b := range books[1:] {
				if words := b.Reports(now); len(words) > 0 {
					is.Equal(rejects(b, k, now.Add(time.Second)), want)
				}
			}
		}
		for _, b := range books[1:] {
			is.Equal(b.Digest(now), books[0].Digest(now))
			news, _ := b.Merge(books[0].Reports(now), now)
			is.Equal(len(news), 0)
		}
	})
}
