package staleness

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var at0 = time.Unix(1000, 0)

func at(ms int) time.Time { return at0.Add(time.Duration(ms) * time.Millisecond) }

// TestAge checks that the age is the time since the copy was last known to be complete.
func TestAge(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	_, known := tracker.Age(Config, at(0))
	is.True(!known)
	is.True(tracker.Reports(at(0)) == nil)

	tracker.Confirm(Config, 7, at(0))
	_, known = tracker.Age(Config, at(0))
	is.True(!known) // the copy lacks revision 7
	tracker.SetCopyRevision(Config, 7)
	age, known := tracker.Age(Config, at(100))
	is.True(known)
	is.Equal(age, 100*time.Millisecond)

	tracker.Merge([]Report{{NewestRevision: 7, AgeMS: 20}}, at(200))
	age, _ = tracker.Age(Config, at(200))
	is.Equal(age, 20*time.Millisecond)

	tracker.Merge([]Report{{NewestRevision: 6, AgeMS: 0}}, at(300)) // the peer is behind
	age, _ = tracker.Age(Config, at(300))
	is.Equal(age, 120*time.Millisecond)

	tracker.Merge([]Report{{NewestRevision: 9, AgeMS: 0}}, at(400)) // a newer revision: the copy was complete until 180 ms
	age, _ = tracker.Age(Config, at(400))
	is.Equal(age, 220*time.Millisecond)
	tracker.SetCopyRevision(Config, 9)
	age, _ = tracker.Age(Config, at(400))
	is.Equal(age, time.Duration(0))

	tracker.Merge([]Report{{AgeMS: unknownAge}, {}, {}, {NewestRevision: 5}}, at(500)) // the peer does not know the age of Config, and Versions has no revisions
	_, known = tracker.Age(Versions, at(500))
	is.True(known) // an empty copy is complete
}

// TestAgeIsNeverUnderstated guards against an instance that takes its copy as complete at a time
// at which the object store had a newer revision. Changes of the store, requests to it, and
// requests among peers with delayed responses happen in random order.
func TestAgeIsNeverUnderstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances, maxDelayMS = 4, 50
		trackers, copyRevisions := make([]Tracker, instances), make([]uint64, instances)
		changedAt := []int{0} // time of each change, by revision
		type response struct {
			to          int
			reports     []Report
			requestedAt int
		}
		var inTransit []response
		now := 0
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				changedAt = append(changedAt, now)
			case 1:
				copyRevisions[i] = uint64(len(changedAt) - 1)
				trackers[i].Confirm(Targets, copyRevisions[i], at(now))
				trackers[i].SetCopyRevision(Targets, copyRevisions[i])
			case 2:
				requestedAt := now
				now += rapid.IntRange(0, maxDelayMS).Draw(t, "request delay")
				inTransit = append(inTransit, response{i, trackers[rapid.IntRange(0, instances-1).Draw(t, "peer")].Reports(at(now)), requestedAt})
			case 3:
				copyRevisions[i] = max(copyRevisions[i], copyRevisions[rapid.IntRange(0, instances-1).Draw(t, "from")])
				trackers[i].SetCopyRevision(Targets, copyRevisions[i])
			}
			now += rapid.IntRange(1, maxDelayMS).Draw(t, "ms")
			for len(inTransit) > 0 && rapid.Bool().Draw(t, "response received") {
				trackers[inTransit[0].to].Merge(inTransit[0].reports, at(inTransit[0].requestedAt))
				inTransit = inTransit[1:]
			}
			for i := range trackers {
				age, known := trackers[i].Age(Targets, at(now))
				if !known || int(copyRevisions[i])+1 >= len(changedAt) {
					continue
				}
				if missingFor := now - changedAt[copyRevisions[i]+1]; int(age.Milliseconds()) < missingFor {
					t.Fatalf("a copy that lacks a change of %d ms ago has an age of %s", missingFor, age)
				}
			}
		}
	})
}
