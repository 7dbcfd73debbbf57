package staleness

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var at0 = time.Unix(1000, 0)

func at(ms int) time.Time { return at0.Add(time.Duration(ms) * time.Millisecond) }

// TestAge: a copy is as old as the last time at which it was known to lack nothing.
func TestAge(t *testing.T) {
	is := is.New(t)
	var b Tracker
	_, known := b.Age(Config, at(0))
	is.True(!known)
	is.True(b.Reports(at(0)) == nil)

	b.Confirm(Config, 7, at(0))
	_, known = b.Age(Config, at(0))
	is.True(!known) // 7 is heard of, and not here
	b.SetCopyRevision(Config, 7)
	age, known := b.Age(Config, at(100))
	is.True(known)
	is.Equal(age, 100*time.Millisecond)

	b.Merge([]Report{{NewestRevision: 7, AgeMS: 20}}, at(200))
	age, _ = b.Age(Config, at(200))
	is.Equal(age, 20*time.Millisecond)

	b.Merge([]Report{{NewestRevision: 6, AgeMS: 0}}, at(300)) // by one that is behind
	age, _ = b.Age(Config, at(300))
	is.Equal(age, 120*time.Millisecond)

	b.Merge([]Report{{NewestRevision: 9, AgeMS: 0}}, at(400)) // newer: what is here was complete until 180
	age, _ = b.Age(Config, at(400))
	is.Equal(age, 220*time.Millisecond)
	b.SetCopyRevision(Config, 9)
	age, _ = b.Age(Config, at(400))
	is.Equal(age, time.Duration(0))

	b.Merge([]Report{{AgeMS: unknownAge}, {}, {}, {NewestRevision: 5}}, at(500)) // a kind that is not known here
	_, known = b.Age(Versions, at(500))
	is.True(known) // that there is none
}

// TestNeverTooYoung mixes changes of an object store, instances that ask it, and instances
// that ask one another and get their answers late: none ever calls its copy complete as of a
// moment at which the store had more.
func TestNeverTooYoung(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances, way = 4, 50
		books, have := make([]Tracker, instances), make([]uint64, instances)
		changed := []int{0} // when each change was made, by its number
		type answer struct {
			to    int
			words []Report
			asked int
		}
		var under []answer
		now := 0
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				changed = append(changed, now)
			case 1:
				have[i] = uint64(len(changed) - 1)
				books[i].Confirm(Targets, have[i], at(now))
				books[i].SetCopyRevision(Targets, have[i])
			case 2:
				asked := now
				now += rapid.IntRange(0, way).Draw(t, "there")
				under = append(under, answer{i, books[rapid.IntRange(0, instances-1).Draw(t, "of")].Reports(at(now)), asked})
			case 3:
				have[i] = max(have[i], have[rapid.IntRange(0, instances-1).Draw(t, "from")])
				books[i].SetCopyRevision(Targets, have[i])
			}
			now += rapid.IntRange(1, way).Draw(t, "ms")
			for len(under) > 0 && rapid.Bool().Draw(t, "arrives") {
				books[under[0].to].Merge(under[0].words, at(under[0].asked))
				under = under[1:]
			}
			for i := range books {
				age, known := books[i].Age(Targets, at(now))
				if !known || int(have[i])+1 >= len(changed) {
					continue
				}
				if missed := now - changed[have[i]+1]; int(age.Milliseconds()) < missed {
					t.Fatalf("a copy that lacks a change of %d ms ago is called complete as of %s ago", missed, age)
				}
			}
		}
	})
}
