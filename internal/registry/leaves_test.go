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

var byAnswer = Source{Channel: "answer", Reporter: "r-1"}

// TestLeaves guards against a life that has said that it leaves being used again by what its
// entry says, and against a next life being left out.
func TestLeaves(t *testing.T) {
	draining := life("a", 100, 6)
	draining.Leaving = true
	bad := catalog.Target{Name: "a", Revision: 6, Unusable: true}.WithID()
	cases := []struct {
		name   string
		after  func(tt *Table)
		listed bool // at the end
		leaves bool
	}{
		{"nothing", func(*Table) {}, true, true},
		{"its entry is written again", func(tt *Table) { tt.ApplyChanges(6, []catalog.Target{life("a", 100, 6)}, nil, at0) }, true, true},
		{"an older word of its entry comes late", func(tt *Table) { tt.ApplyChanges(6, []catalog.Target{life("a", 100, 0)}, nil, at0) }, true, true},
		{"its entry says so, and takes it back", func(tt *Table) {
			tt.ApplyChanges(6, []catalog.Target{draining}, nil, at0)
			tt.ApplyChanges(7, []catalog.Target{life("a", 100, 7)}, nil, at0)
		}, true, true},
		{"a list", func(tt *Table) { tt.ApplyList(9, []catalog.Target{life("a", 100, 1), life("b", 100, 2)}, nil, at0) }, true, true},
		{"its entry vanishes", func(tt *Table) { tt.ApplyChanges(6, nil, []string{"a"}, at0) }, false, false},
		{"its entry vanishes as the store returns", func(tt *Table) {
			tt.StoreReconnected(at0)
			tt.ApplyChanges(6, nil, []string{"a"}, at0)
		}, false, false},
		{"its entry vanishes and returns", func(tt *Table) {
			tt.ApplyChanges(6, nil, []string{"a"}, at0)
			tt.Expire(at0.Add(saidLinger / 2))
			tt.ApplyChanges(8, []catalog.Target{life("a", 100, 8)}, nil, at0.Add(saidLinger/2))
		}, true, true},
		{"its entry can't be read for a while", func(tt *Table) {
			tt.ApplyChanges(6, []catalog.Target{bad}, nil, at0)
			tt.ApplyChanges(7, []catalog.Target{life("a", 100, 7)}, nil, at0)
		}, true, true},
		{"an earlier life writes late", func(tt *Table) { tt.ApplyChanges(6, []catalog.Target{life("a", 50, 6)}, nil, at0) }, true, true},
		{"its next life", func(tt *Table) { tt.ApplyChanges(6, []catalog.Target{life("a", 200, 6)}, nil, at0) }, true, false},
		{"its next life, and it writes late", func(tt *Table) {
			tt.ApplyChanges(6, []catalog.Target{life("a", 200, 6)}, nil, at0)
			tt.ApplyChanges(7, []catalog.Target{life("a", 100, 7)}, nil, at0)
		}, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tt := table()
			tt.ApplyList(5, []catalog.Target{life("a", 100, 1), life("b", 100, 2)}, nil, at0)
			edits := tt.Edits()
			is.True(tt.ApplyLeavingNotice(Incarnation{"a", 100}, byAnswer, at0))
			is.True(tt.Edits() > edits)
			is.True(!tt.ApplyLeavingNotice(Incarnation{"a", 100}, byAnswer, at0)) // nothing new
			c.after(tt)
			x := tt.Entry("a")
			is.Equal(x != nil, c.listed)
			is.Equal(x != nil && x.IsLeaving(), c.leaves)
			is.True(!tt.Entry("b").IsLeaving())
		})
	}
}

// TestLeavesWithoutStart guards against a life whose start is not told being used again when its
// entry returns, and against a later one of its name being left out.
func TestLeavesWithoutStart(t *testing.T) {
	for pause, leaves := range map[time.Duration]bool{ReregistrationTimeout: true, 2 * unbornLinger: false} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			tt := table()
			tt.ApplyList(5, []catalog.Target{entry("a", 1)}, nil, at0)
			is.True(tt.ApplyLeavingNotice(Incarnation{Name: "a"}, byAnswer, at0))
			tt.Expire(at0.Add(time.Hour)) // it is remembered as long as its entry stands
			is.True(tt.Entry("a").IsLeaving())
			tt.ApplyChanges(6, nil, []string{"a"}, at0.Add(time.Hour))
			back := at0.Add(time.Hour + pause)
			tt.Expire(back)
			tt.ApplyChanges(7, []catalog.Target{entry("a", 7)}, nil, back)
			is.Equal(tt.Entry("a").IsLeaving(), leaves)
		})
	}
}

// TestLeavesBeforeItsEntry guards against a peer's word of a life that comes before the list being
// lost, and against words of lives that are over being kept.
func TestLeavesBeforeItsEntry(t *testing.T) {
	is := is.New(t)
	tt := table()
	is.True(!tt.ApplyLeavingNotice(Incarnation{"a", 100}, Source{Channel: "peer", Reporter: "e-1"}, at0)) // nobody can be told more yet
	is.Equal(len(tt.LeavingByNotice()), 0)
	tt.ApplyList(5, []catalog.Target{life("a", 100, 1), life("b", 300, 2), life("c", 300, 3)}, nil, at0)
	is.True(tt.Entry("a").IsLeaving())
	is.Equal(tt.LeavingByNotice(), []Incarnation{{"a", 100}})

	tt.ApplyLeavingNotice(Incarnation{"b", 200}, byAnswer, at0)
	tt.ApplyChanges(6, nil, []string{"c"}, at0)
	tt.ApplyLeavingNotice(Incarnation{"c", 200}, byAnswer, at0)
	is.Equal(len(tt.said), 1) // both lives are over
	tt.ApplyLeavingNotice(Incarnation{"c", 300}, byAnswer, at0)
	is.Equal(len(tt.said), 2) // its entry may return
}

// TestSaidOnly guards against peers being told for ever what the entries say, and against the
// latest word waiting behind others.
func TestSaidOnly(t *testing.T) {
	is := is.New(t)
	tt := table()
	tt.ApplyList(5, []catalog.Target{life("a", 1, 1), life("b", 1, 2), life("c", 1, 3)}, nil, at0)
	for _, name := range []string{"b", "a", "c"} {
		tt.ApplyLeavingNotice(Incarnation{name, 1}, byAnswer, at0)
	}
	is.Equal(tt.LeavingByNotice(), []Incarnation{{"c", 1}, {"a", 1}, {"b", 1}})
	draining := life("a", 1, 6)
	draining.Leaving = true
	tt.ApplyChanges(7, []catalog.Target{draining}, []string{"b"}, at0)
	is.Equal(tt.LeavingByNotice(), []Incarnation{{"c", 1}})
	is.True(!tt.ApplyLeavingNotice(Incarnation{"a", 1}, byAnswer, at0))

	entries, _, _ := tt.ChangesSince(0) // entries are told as they stand in the store
	for _, x := range entries {
		is.Equal(x.Leaving, x.Name == "a")
	}
}

// TestLeavesIsBounded guards against a memory that grows with words of lives that there are not.
func TestLeavesIsBounded(t *testing.T) {
	is := is.New(t)
	tt := table()
	tt.ApplyList(5, []catalog.Target{life("listed", 1, 1)}, nil, at0)
	tt.ApplyLeavingNotice(Incarnation{strings.Repeat("x", maxName+1), 1}, byAnswer, at0)
	is.Equal(len(tt.said), 0)
	for i := range maxSaid + 100 {
		tt.ApplyLeavingNotice(Incarnation{fmt.Sprint("unknown-", i), 1}, byAnswer, at0)
	}
	is.Equal(len(tt.said), maxSaid)
	is.True(tt.ApplyLeavingNotice(Incarnation{"listed", 1}, byAnswer, at0)) // a target that there is has its place
	tt.Expire(at0.Add(saidLinger + time.Millisecond))
	is.Equal(len(tt.said), 1)
	is.True(tt.Entry("listed").IsLeaving())
}

// TestLeavesForGood mixes at random: entries of some lives, as ready, draining or unreadable,
// that come, change and go, lists, and words. A life that has said that it leaves while it was in
// the table never stands there again as one that does not.
func TestLeavesForGood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tt := table()
		now, revision := at0, uint64(5)
		tt.ApplyList(5, nil, nil, now)
		said := map[Incarnation]bool{}
		anEntry := func() catalog.Target {
			revision++
			x := life(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), rapid.Int64Range(1, 3).Draw(t, "start"), revision)
			x.Leaving, x.Unusable = rapid.Bool().Draw(t, "leaving"), rapid.IntRange(0, 4).Draw(t, "unusable") == 0
			return x
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) {
				x := anEntry()
				tt.ApplyChanges(platform.Version(revision), []catalog.Target{x}, nil, now)
			},
			"list": func(*rapid.T) {
				x := anEntry()
				tt.ApplyList(platform.Version(revision), []catalog.Target{x}, nil, now)
			},
			"gone": func(t *rapid.T) {
				revision++
				tt.ApplyChanges(platform.Version(revision), nil, []string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")}, now)
			},
			"regained": func(*rapid.T) { tt.StoreReconnected(now) },
			"word": func(t *rapid.T) {
				l := Incarnation{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), rapid.Int64Range(1, 3).Draw(t, "start")}
				if x := tt.Entry(l.Name); x != nil && IncarnationOf(&x.Target) == l {
					said[l] = true
				}
				tt.ApplyLeavingNotice(l, byAnswer, now)
			},
			"time": func(*rapid.T) {
				now = now.Add(ReregistrationTimeout / 2)
				tt.Expire(now)
			},
			"": func(t *rapid.T) {
				for _, x := range tt.Entries() {
					if said[IncarnationOf(&x.Target)] && !x.IsLeaving() {
						t.Fatalf("%s is used again", x.ID)
					}
				}
			},
		})
	})
}
