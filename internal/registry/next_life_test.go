package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// TestAnswered guards against a healthy life being taken for the one before where clocks differ or
// the time of day jumps, and against an answer of its own being taken for that of the other.
func TestAnswered(t *testing.T) {
	const start = 1_000_000 // Unix ms
	cases := []struct {
		name      string
		start     int64
		sent, now time.Time
		want      bool
	}{
		{"sent later", start, time.UnixMilli(start + 1000), time.UnixMilli(start + 2000), true},
		{"sent as it started", start, time.UnixMilli(start), time.UnixMilli(start + 2000), true},
		{"sent earlier, by less than clocks differ", start, time.UnixMilli(start).Add(-clockDoubt), time.UnixMilli(start + 2000), true},
		{"sent earlier", start, time.UnixMilli(start - 1).Add(-clockDoubt), time.UnixMilli(start + 2000), false},
		{"its start is not told", 0, time.UnixMilli(start + 1000), time.UnixMilli(start + 2000), false},
		{"when it was sent is not told", start, time.Time{}, time.UnixMilli(start + 2000), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(StartedBeforeRequest(c.start, c.sent, c.now), c.want)
		})
	}
}

// TestEarlierReading guards against a jump of the time of day making a request younger than a life
// that has not seen it.
func TestEarlierReading(t *testing.T) {
	is := is.New(t)
	is.Equal(earlierReading(1000, 6000, 5*time.Second), int64(1000))
	is.Equal(earlierReading(1000, 9000, 5*time.Second), int64(1000)) // it jumped forward since
	is.Equal(earlierReading(4000, 6000, 5*time.Second), int64(1000)) // it had jumped forward, and is back
}

// TestNextLife guards against the word of a life that answered before its entry came being lost,
// on each way by which that entry may come, and against a life that said nothing inheriting one.
func TestNextLife(t *testing.T) {
	const first, next = 900_000, 950_000 // starts, Unix ms
	ways := map[string]func(tt *Table){
		"a change": func(tt *Table) { tt.ApplyChanges(6, []catalog.Target{life("a", next, 6)}, nil, at0) },
		"a list":   func(tt *Table) { tt.ApplyList(6, []catalog.Target{life("a", next, 6)}, nil, at0) },
		"it vanishes and returns": func(tt *Table) {
			tt.ApplyChanges(6, nil, []string{"a"}, at0)
			tt.ApplyChanges(7, []catalog.Target{life("a", next, 7)}, nil, at0)
		},
		"it can't be read at first": func(tt *Table) {
			tt.ApplyChanges(6, []catalog.Target{catalog.Target{Name: "a", Revision: 6, Unusable: true}.WithID()}, nil, at0)
			tt.ApplyChanges(7, []catalog.Target{life("a", next, 7)}, nil, at0)
		},
	}
	words := []struct {
		name   string
		sent   []int64 // when requests were sent whose answers said so, Unix ms
		leaves bool
	}{
		{"said by the life before", []int64{first + 1000}, false},
		{"said by the new one", []int64{next + 1000}, true},
		{"said by both", []int64{first + 1000, next + 1000}, true},
		{"said by both, the life before heard last", []int64{next + 1000, first + 1000}, true},
	}
	for how, come := range ways {
		for _, w := range words {
			t.Run(w.name+", "+how, func(t *testing.T) {
				is := is.New(t)
				tt := table()
				var told []Restart
				tt.OnRestart(func(n Restart) { told = append(told, n) })
				tt.ApplyList(5, []catalog.Target{life("a", first, 1)}, nil, at0)
				is.Equal(len(told), 0)
				for _, ms := range w.sent {
					tt.ApplyLeavingNotice(Incarnation{"a", first}, Source{Channel: "answer", RequestSent: time.UnixMilli(ms)}, at0)
				}
				come(tt)
				is.Equal(tt.Entry("a").IsLeaving(), w.leaves)
				is.Equal(told, []Restart{{PreviousID: "a@900000", ID: "a@950000", Start: next}})
				is.Equal(len(tt.LeavingByNotice()), 0) // peers go by what they hear
			})
		}
	}
}

// TestNextLifeAnswersLate guards against the word of a life being lost that comes when its entry
// has just come, in the answer to a request that was meant for the life before.
func TestNextLifeAnswersLate(t *testing.T) {
	for sent, leaves := range map[int64]bool{910_000: false, 960_000: true} {
		is := is.New(t)
		tt := table()
		tt.ApplyList(5, []catalog.Target{life("a", 950_000, 1)}, nil, at0)
		is.True(!tt.ApplyLeavingNotice(Incarnation{"a", 900_000}, Source{Channel: "answer", RequestSent: time.UnixMilli(sent)}, at0)) // peers go by what they hear
		is.Equal(tt.Entry("a").IsLeaving(), leaves)
	}
}

// TestSaidByPeersFirst guards against an instance's own hearing being passed over since a peer had
// told it the same.
func TestSaidByPeersFirst(t *testing.T) {
	is := is.New(t)
	tt := table()
	tt.ApplyList(5, []catalog.Target{life("a", 900_000, 1)}, nil, at0)
	tt.ApplyLeavingNotice(Incarnation{"a", 900_000}, Source{Channel: "peer", Reporter: "e-1"}, at0)
	is.True(tt.Entry("a").NoticeRequestSent.IsZero())
	edits, sent := tt.Edits(), time.UnixMilli(960_000)
	is.True(!tt.ApplyLeavingNotice(Incarnation{"a", 900_000}, Source{Channel: "answer", RequestSent: sent}, at0))
	is.True(tt.Entry("a").NoticeRequestSent.Equal(sent))
	is.True(tt.Edits() > edits) // readers see it
}

// TestInheritedWordEnds guards against a healthy life being left out for good, or by all, where
// clocks have it inherit the word of the life before, and against its own word ending as well.
func TestInheritedWordEnds(t *testing.T) {
	for name, own := range map[string]bool{"it says nothing": false, "it says so itself": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tt := table()
			tt.ApplyList(5, []catalog.Target{life("a", 900_000, 1)}, nil, at0)
			tt.ApplyLeavingNotice(Incarnation{"a", 900_000}, Source{Channel: "answer", RequestSent: time.UnixMilli(960_000)}, at0)
			tt.ApplyChanges(6, []catalog.Target{life("a", 950_000, 6)}, nil, at0)
			if own {
				is.True(tt.ApplyLeavingNotice(Incarnation{"a", 950_000}, Source{Channel: "report"}, at0))
			}
			is.Equal(len(tt.LeavingByNotice()) > 0, own) // peers are told
			tt.Expire(at0.Add(InheritedNoticeTTL))
			is.True(tt.Entry("a").IsLeaving())
			is.Equal(tt.Expire(at0.Add(InheritedNoticeTTL+2*saidSweep)), !own) // readers see it
			is.Equal(tt.Entry("a").IsLeaving(), own)
		})
	}
}
