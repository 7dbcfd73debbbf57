package registry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/platform"
)

var fromResponse = Source{Channel: "answer", Reporter: "r-1"}

// TestLeavingNotice guards against an incarnation that has announced that it leaves being used
// again because of its entry, and against the next incarnation being left out.
func TestLeavingNotice(t *testing.T) {
	draining := newTarget("a", 100, 6)
	draining.Leaving = true
	unreadable := catalog.Target{Name: "a", Revision: 6, Unusable: true}.WithID()
	cases := []struct {
		name   string
		after  func(tt *Table)
		listed bool // at the end
		leaves bool
	}{
		{"nothing", func(*Table) {}, true, true},
		{"its entry is written again", func(tt *Table) { tt.ApplyChanges(6, []catalog.Target{newTarget("a", 100, 6)}, nil, baseTime) }, true, true},
		{"an older state of its entry comes late", func(tt *Table) { tt.ApplyChanges(6, []catalog.Target{newTarget("a", 100, 0)}, nil, baseTime) }, true, true},
		{"its entry says so, then no longer", func(tt *Table) {
			tt.ApplyChanges(6, []catalog.Target{draining}, nil, baseTime)
			tt.ApplyChanges(7, []catalog.Target{newTarget("a", 100, 7)}, nil, baseTime)
		}, true, true},
		{"a list", func(tt *Table) {
			tt.ApplyList(9, []catalog.Target{newTarget("a", 100, 1), newTarget("b", 100, 2)}, nil, baseTime)
		}, true, true},
		{"its entry vanishes", func(tt *Table) { tt.ApplyChanges(6, nil, []string{"a"}, baseTime) }, false, false},
		{"its entry vanishes as the store returns", func(tt *Table) {
			tt.StoreReconnected(baseTime)
			tt.ApplyChanges(6, nil, []string{"a"}, baseTime)
		}, false, false},
		{"its entry vanishes and returns", func(tt *Table) {
			tt.ApplyChanges(6, nil, []string{"a"}, baseTime)
			tt.Expire(baseTime.Add(noticeRetention / 2))
			tt.ApplyChanges(8, []catalog.Target{newTarget("a", 100, 8)}, nil, baseTime.Add(noticeRetention/2))
		}, true, true},
		{"its entry can't be read for a while", func(tt *Table) {
			tt.ApplyChanges(6, []catalog.Target{unreadable}, nil, baseTime)
			tt.ApplyChanges(7, []catalog.Target{newTarget("a", 100, 7)}, nil, baseTime)
		}, true, true},
		{"an earlier incarnation writes late", func(tt *Table) { tt.ApplyChanges(6, []catalog.Target{newTarget("a", 50, 6)}, nil, baseTime) }, true, true},
		{"the next incarnation", func(tt *Table) { tt.ApplyChanges(6, []catalog.Target{newTarget("a", 200, 6)}, nil, baseTime) }, true, false},
		{"the next incarnation, then a late write of this one", func(tt *Table) {
			tt.ApplyChanges(6, []catalog.Target{newTarget("a", 200, 6)}, nil, baseTime)
			tt.ApplyChanges(7, []catalog.Target{newTarget("a", 100, 7)}, nil, baseTime)
		}, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tt := newTable()
			tt.ApplyList(5, []catalog.Target{newTarget("a", 100, 1), newTarget("b", 100, 2)}, nil, baseTime)
			edits := tt.Edits()
			is.True(tt.ApplyLeavingNotice(Incarnation{"a", 100}, fromResponse, baseTime))
			is.True(tt.Edits() > edits)
			is.True(!tt.ApplyLeavingNotice(Incarnation{"a", 100}, fromResponse, baseTime)) // nothing new
			c.after(tt)
			entry := tt.Entry("a")
			is.Equal(entry != nil, c.listed)
			is.Equal(entry != nil && entry.IsLeaving(), c.leaves)
			is.True(!tt.Entry("b").IsLeaving())
		})
	}
}

// TestLeavingNoticeWithoutStart guards against an incarnation whose start is not known being used
// again when its entry returns, and against a later one of its name being left out.
func TestLeavingNoticeWithoutStart(t *testing.T) {
	for pause, leaves := range map[time.Duration]bool{ReregistrationTimeout: true, 2 * noStartNoticeRetention: false} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			tt := newTable()
			tt.ApplyList(5, []catalog.Target{newTargetWithoutStart("a", 1)}, nil, baseTime)
			is.True(tt.ApplyLeavingNotice(Incarnation{Name: "a"}, fromResponse, baseTime))
			tt.Expire(baseTime.Add(time.Hour)) // the notice is kept as long as the entry stands
			is.True(tt.Entry("a").IsLeaving())
			tt.ApplyChanges(6, nil, []string{"a"}, baseTime.Add(time.Hour))
			back := baseTime.Add(time.Hour + pause)
			tt.Expire(back)
			tt.ApplyChanges(7, []catalog.Target{newTargetWithoutStart("a", 7)}, nil, back)
			is.Equal(tt.Entry("a").IsLeaving(), leaves)
		})
	}
}

// TestLeavingNoticeBeforeEntry guards against losing a peer's notice that arrives before the list,
// and against keeping notices of incarnations that are over.
func TestLeavingNoticeBeforeEntry(t *testing.T) {
	is := is.New(t)
	tt := newTable()
	is.True(!tt.ApplyLeavingNotice(Incarnation{"a", 100}, Source{Channel: "peer", Reporter: "e-1"}, baseTime)) // not listed yet, so not reported on
	is.Equal(len(tt.LeavingByNotice()), 0)
	tt.ApplyList(5, []catalog.Target{newTarget("a", 100, 1), newTarget("b", 300, 2), newTarget("c", 300, 3)}, nil, baseTime)
	is.True(tt.Entry("a").IsLeaving())
	is.Equal(tt.LeavingByNotice(), []Incarnation{{"a", 100}})

	tt.ApplyLeavingNotice(Incarnation{"b", 200}, fromResponse, baseTime)
	tt.ApplyChanges(6, nil, []string{"c"}, baseTime)
	tt.ApplyLeavingNotice(Incarnation{"c", 200}, fromResponse, baseTime)
	is.Equal(len(tt.notices), 1) // both incarnations are over
	tt.ApplyLeavingNotice(Incarnation{"c", 300}, fromResponse, baseTime)
	is.Equal(len(tt.notices), 2) // its entry may return
}

// TestLeavingByNotice guards against telling peers for ever what the entries say, and against the
// latest notice queuing behind others.
func TestLeavingByNotice(t *testing.T) {
	is := is.New(t)
	tt := newTable()
	tt.ApplyList(5, []catalog.Target{newTarget("a", 1, 1), newTarget("b", 1, 2), newTarget("c", 1, 3)}, nil, baseTime)
	for _, name := range []string{"b", "a", "c"} {
		tt.ApplyLeavingNotice(Incarnation{name, 1}, fromResponse, baseTime)
	}
	is.Equal(tt.LeavingByNotice(), []Incarnation{{"c", 1}, {"a", 1}, {"b", 1}})
	draining := newTarget("a", 1, 6)
	draining.Leaving = true
	tt.ApplyChanges(7, []catalog.Target{draining}, []string{"b"}, baseTime)
	is.Equal(tt.LeavingByNotice(), []Incarnation{{"c", 1}})
	is.True(!tt.ApplyLeavingNotice(Incarnation{"a", 1}, fromResponse, baseTime))

	entries, _, _ := tt.ChangesSince(0) // peers get the entries as the store has them
	for _, target := range entries {
		is.Equal(target.Leaving, target.Name == "a")
	}
}

// TestLeavingNoticesBounded guards against memory that grows with notices of unknown incarnations.
func TestLeavingNoticesBounded(t *testing.T) {
	is := is.New(t)
	tt := newTable()
	tt.ApplyList(5, []catalog.Target{newTarget("listed", 1, 1)}, nil, baseTime)
	tt.ApplyLeavingNotice(Incarnation{strings.Repeat("x", maxNameBytes+1), 1}, fromResponse, baseTime)
	is.Equal(len(tt.notices), 0)
	for i := range maxNotices + 100 {
		tt.ApplyLeavingNotice(Incarnation{fmt.Sprint("unknown-", i), 1}, fromResponse, baseTime)
	}
	is.Equal(len(tt.notices), maxNotices)
	is.True(tt.ApplyLeavingNotice(Incarnation{"listed", 1}, fromResponse, baseTime)) // the notice of a listed target is always stored
	tt.Expire(baseTime.Add(noticeRetention + time.Millisecond))
	is.Equal(len(tt.notices), 1)
	is.True(tt.Entry("listed").IsLeaving())
}

// TestLeavingIsPermanent mixes at random: entries of several incarnations, ready, draining or
// unreadable, that come, change and go, lists, and leaving notices. An incarnation that has
// announced that it leaves while it was in the table must never be usable there again.
func TestLeavingIsPermanent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tt := newTable()
		now, revision := baseTime, uint64(5)
		tt.ApplyList(5, nil, nil, now)
		announced := map[Incarnation]bool{}
		nextEntry := func() catalog.Target {
			revision++
			entry := newTarget(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), rapid.Int64Range(1, 3).Draw(t, "start"), revision)
			entry.Leaving, entry.Unusable = rapid.Bool().Draw(t, "leaving"), rapid.IntRange(0, 4).Draw(t, "unusable") == 0
			return entry
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) {
				entry := nextEntry()
				tt.ApplyChanges(platform.Version(revision), []catalog.Target{entry}, nil, now)
			},
			"list": func(*rapid.T) {
				entry := nextEntry()
				tt.ApplyList(platform.Version(revision), []catalog.Target{entry}, nil, now)
			},
			"gone": func(t *rapid.T) {
				revision++
				tt.ApplyChanges(platform.Version(revision), nil, []string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")}, now)
			},
			"reconnected": func(*rapid.T) { tt.StoreReconnected(now) },
			"withdrawal notice": func(t *rapid.T) {
				inc := Incarnation{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), rapid.Int64Range(1, 3).Draw(t, "start")}
				if entry := tt.Entry(inc.Name); entry != nil && IncarnationOf(&entry.Target) == inc {
					announced[inc] = true
				}
				tt.ApplyLeavingNotice(inc, fromResponse, now)
			},
			"time": func(*rapid.T) {
				now = now.Add(ReregistrationTimeout / 2)
				tt.Expire(now)
			},
			"": func(t *rapid.T) {
				for _, entry := range tt.Entries() {
					if announced[IncarnationOf(&entry.Target)] && !entry.IsLeaving() {
						t.Fatalf("%s is used again", entry.ID)
					}
				}
			},
		})
	})
}
