package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/quarantine"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func keyOf(body string) quarantine.Key {
	return quarantine.KeyOf(quarantine.Request{Customer: "c", Method: "POST", Host: "h", URI: "/p", Body: [][]byte{[]byte(body)}})
}

// recordCrashes records crashes of n targets, one per second from start on.
func recordCrashes(tracker *quarantine.Tracker, k quarantine.Key, n int) {
	for i := range n {
		tracker.RecordCrash(k, quarantine.Label{Customer: "c"}, quarantine.Incarnation(i+1), at(time.Duration(i)*time.Second))
	}
}

func isRejected(tracker *quarantine.Tracker, k quarantine.Key, now time.Time) bool {
	s, known := tracker.Lookup(k, now)
	return known && s.Rejected
}

// TestKeyCoversWholeRequest: the key is equal for equal requests and differs if any part differs,
// also if bytes move from one part to its neighbour.
func TestKeyCoversWholeRequest(t *testing.T) {
	is := is.New(t)
	r := quarantine.Request{Customer: "c", Method: "POST", Host: "h", URI: "/p", Body: [][]byte{[]byte("b")}}
	is.Equal(quarantine.KeyOf(r), quarantine.KeyOf(r))
	for _, other := range []quarantine.Request{
		{Customer: "d", Method: "POST", Host: "h", URI: "/p", Body: [][]byte{[]byte("b")}},
		{Customer: "c", Method: "PUT", Host: "h", URI: "/p", Body: [][]byte{[]byte("b")}},
		{Customer: "c", Method: "POST", Host: "h2", URI: "/p", Body: [][]byte{[]byte("b")}},
		{Customer: "c", Method: "POST", Host: "h", URI: "/pb"},
		{Customer: "c", Method: "POST", Host: "h/", URI: "p", Body: [][]byte{[]byte("b")}},
		{Customer: "c", Method: "POST", Host: "h", URI: "/p", Body: [][]byte{[]byte("b2")}},
	} {
		is.True(quarantine.KeyOf(r) != quarantine.KeyOf(other))
	}
}

// TestRejectedFromThirdCrash: a request is rejected from its third crash on, after the window for
// objections and until the crashes expire. Crashes count once per incarnation of a target.
func TestRejectedFromThirdCrash(t *testing.T) {
	is := is.New(t)
	tracker, k := quarantine.NewTracker(), keyOf("x")
	recordCrashes(tracker, k, 2)
	is.True(!isRejected(tracker, k, at(time.Minute)))
	tracker.RecordCrash(k, quarantine.Label{}, 2, at(2*time.Second)) // the same incarnation again
	is.True(!isRejected(tracker, k, at(time.Minute)))
	tracker.RecordCrash(k, quarantine.Label{}, 3, at(2*time.Second))
	is.True(!isRejected(tracker, k, at(2*time.Second)))
	is.True(isRejected(tracker, k, at(2500*time.Millisecond)))
	is.True(!isRejected(tracker, keyOf("y"), at(2500*time.Millisecond)))
	is.True(isRejected(tracker, k, at(2*time.Second+quarantine.Retention-time.Second)))
	is.True(!isRejected(tracker, k, at(2*time.Second+quarantine.Retention)))
	tracker.Expire(at(2*time.Second + quarantine.Retention))
	is.True(tracker.Empty())
}

// TestCompleteResponseClearsRequest: a complete response after the crashes or shortly before them,
// at this instance or another one, clears a request; one long before them does not.
func TestCompleteResponseClearsRequest(t *testing.T) {
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
			local, remote, k := quarantine.NewTracker(), quarantine.NewTracker(), keyOf("x")
			answering := local
			if c.elsewhere {
				answering = remote
			}
			if c.answered < 0 {
				answering.RecordAnswer(k, at(c.answered))
			}
			recordCrashes(local, k, 3)
			now := at(2 * time.Second)
			if c.answered >= 0 {
				remote.Merge(local.Reports(now), now)
				now = at(c.answered)
				answering.RecordAnswer(k, now)
			}
			_, objections := remote.Merge(local.Reports(now), now)
			local.Merge(objections, now)
			local.Merge(remote.Reports(now), now)
			is.Equal(isRejected(local, k, now.Add(time.Second)), c.want)
			is.Equal(local.Digest(now) != 0, c.want)
		})
	}
}

// TestTrialsAreLimited: a quarantine lets two trials through in all. Trials that reached no target
// do not count.
func TestTrialsAreLimited(t *testing.T) {
	is := is.New(t)
	tracker, k := quarantine.NewTracker(), keyOf("x")
	recordCrashes(tracker, k, 3)
	executed, voided := 0, 0
	for now := at(2 * time.Second); now.Before(at(2*time.Second + quarantine.Retention)); now = now.Add(100 * time.Millisecond) {
		_, due := tracker.StartTrial(k, now)
		switch {
		case due && voided < 3:
			voided++
			tracker.VoidTrial(k, now)
		case due:
			executed++
		}
	}
	is.Equal(voided, 3)
	is.Equal(executed, 2)
	_, ok := tracker.VoidTrial(keyOf("y"), start)
	is.True(!ok)
}

// TestTrackerIsBounded: crashes of many other requests do not evict a rejected request, and all
// entries expire. Responses to many other requests do not evict the response to a request that
// is answered often.
func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	tracker, k, popular := quarantine.NewTracker(), keyOf("x"), keyOf("popular")
	recordCrashes(tracker, k, 3)
	for i := range 20_000 {
		crashed := keyOf(fmt.Sprint(i))
		now := at(3*time.Second + time.Duration(i)*time.Millisecond)
		tracker.RecordCrash(crashed, quarantine.Label{}, 7, now)
		tracker.RecordAnswer(keyOf(fmt.Sprint("answered ", i)), now)
		if i%100 == 0 {
			tracker.RecordAnswer(popular, now)
		}
	}
	now := at(23 * time.Second)
	is.True(isRejected(tracker, k, now))
	is.True(len(tracker.Reports(now)) <= 128)
	for i := range 3 {
		_, counted := tracker.RecordCrash(popular, quarantine.Label{}, quarantine.Incarnation(i), now)
		is.True(!counted)
	}
	tracker.Expire(now.Add(quarantine.Retention))
	is.True(tracker.Empty())
}

// TestMergeConverges: instances that have received the same reports, in any order and any number of
// times, reach the same verdicts and then have nothing left to forward.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		trackers := []*quarantine.Tracker{quarantine.NewTracker(), quarantine.NewTracker(), quarantine.NewTracker()}
		now := start
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			b := rapid.SampledFrom(trackers).Draw(t, "tracker")
			k := keyOf(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				b.RecordCrash(k, quarantine.Label{}, quarantine.Incarnation(rapid.IntRange(1, 5).Draw(t, "incarnation")), now)
			case 2:
				if rapid.IntRange(0, 4).Draw(t, "answered") == 0 {
					b.RecordAnswer(k, now)
				}
			case 3:
				b.StartTrial(k, now)
			}
		}
		for range 2 {
			for _, a := range trackers {
				for _, b := range trackers {
					b.Merge(a.Reports(now), now)
				}
			}
		}
		for _, k := range []quarantine.Key{keyOf("x"), keyOf("y")} {
			want := isRejected(trackers[0], k, now.Add(time.Second))
			for _, b := range trackers[1:] {
				if reports := b.Reports(now); len(reports) > 0 {
					is.Equal(isRejected(b, k, now.Add(time.Second)), want)
				}
			}
		}
		for _, b := range trackers[1:] {
			is.Equal(b.Digest(now), trackers[0].Digest(now))
			updates, _ := b.Merge(trackers[0].Reports(now), now)
			is.Equal(len(updates), 0)
		}
	})
}
