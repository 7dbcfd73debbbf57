package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// TestStartedBeforeRequest guards against taking a healthy incarnation for the previous one where
// clocks differ or the time of day jumps, and against ascribing its own response to the previous
// one.
func TestStartedBeforeRequest(t *testing.T) {
	const start = 1_000_000 // Unix ms
	cases := []struct {
		name      string
		start     int64
		sent, now time.Time
		want      bool
	}{
		{"sent later", start, time.UnixMilli(start + 1000), time.UnixMilli(start + 2000), true},
		{"sent as it started", start, time.UnixMilli(start), time.UnixMilli(start + 2000), true},
		{"sent earlier, by less than clocks differ", start, time.UnixMilli(start).Add(-maxClockSkew), time.UnixMilli(start + 2000), true},
		{"sent earlier", start, time.UnixMilli(start - 1).Add(-maxClockSkew), time.UnixMilli(start + 2000), false},
		{"start not known", 0, time.UnixMilli(start + 1000), time.UnixMilli(start + 2000), false},
		{"time of the request not known", start, time.Time{}, time.UnixMilli(start + 2000), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(StartedBeforeRequest(c.start, c.sent, c.now), c.want)
		})
	}
}

// TestEarlierTimestamp guards against a jump of the time of day that makes a request seem to be
// sent after the start of an incarnation that never got it.
func TestEarlierTimestamp(t *testing.T) {
	is := is.New(t)
	is.Equal(earlierTimestamp(1000, 6000, 5*time.Second), int64(1000))
	is.Equal(earlierTimestamp(1000, 9000, 5*time.Second), int64(1000)) // the clock jumped forward since
	is.Equal(earlierTimestamp(4000, 6000, 5*time.Second), int64(1000)) // the clock had jumped forward, and is back
}

// TestRestartInheritsNotice guards against losing the notice of an incarnation that answered before
// its entry arrived, whichever way that entry arrives, and against an incarnation without a notice
// inheriting one.
func TestRestartInheritsNotice(t *testing.T) {
	const first, next = 900_000, 950_000 // starts, Unix ms
	ways := map[string]func(tt *Table){
		"a change": func(tt *Table) { tt.ApplyChanges(6, []catalog.Target{newTarget("a", next, 6)}, nil, baseTime) },
		"a list":   func(tt *Table) { tt.ApplyList(6, []catalog.Target{newTarget("a", next, 6)}, nil, baseTime) },
		"it vanishes and returns": func(tt *Table) {
			tt.ApplyChanges(6, nil, []string{"a"}, baseTime)
			tt.ApplyChanges(7, []catalog.Target{newTarget("a", next, 7)}, nil, baseTime)
		},
		"it can't be read at first": func(tt *Table) {
			tt.ApplyChanges(6, []catalog.Target{catalog.Target{Name: "a", Revision: 6, Unusable: true}.WithID()}, nil, baseTime)
			tt.ApplyChanges(7, []catalog.Target{newTarget("a", next, 7)}, nil, baseTime)
		},
	}
	notices := []struct {
		name   string
		sent   []int64 // when requests were sent whose responses gave the notice, Unix ms
		leaves bool
	}{
		{"by the previous incarnation", []int64{first + 1000}, false},
		{"by the new one", []int64{next + 1000}, true},
		{"by both", []int64{first + 1000, next + 1000}, true},
		{"by both, the previous one's received last", []int64{next + 1000, first + 1000}, true},
	}
	for how, apply := range ways {
		for _, notice := range notices {
			t.Run(notice.name+", "+how, func(t *testing.T) {
				is := is.New(t)
				tt := newTable()
				var restarts []Restart
				tt.OnRestart(func(n Restart) { restarts = append(restarts, n) })
				tt.ApplyList(5, []catalog.Target{newTarget("a", first, 1)}, nil, baseTime)
				is.Equal(len(restarts), 0)
				for _, ms := range notice.sent {
					tt.ApplyLeavingNotice(Incarnation{"a", first}, Source{Channel: "answer", RequestSent: time.UnixMilli(ms)}, baseTime)
				}
				apply(tt)
				is.Equal(tt.Entry("a").IsLeaving(), notice.leaves)
				is.Equal(restarts, []Restart{{PreviousID: "a@900000", ID: "a@950000", Start: next}})
				is.Equal(len(tt.LeavingByNotice()), 0) // peers rely on the responses that they get
			})
		}
	}
}

// TestNoticeForPreviousIncarnation guards against losing a notice that arrives just after the entry
// of its incarnation, in the response to a request that was meant for the previous one.
func TestNoticeForPreviousIncarnation(t *testing.T) {
	for sent, leaves := range map[int64]bool{910_000: false, 960_000: true} {
		is := is.New(t)
		tt := newTable()
		tt.ApplyList(5, []catalog.Target{newTarget("a", 950_000, 1)}, nil, baseTime)
		is.True(!tt.ApplyLeavingNotice(Incarnation{"a", 900_000}, Source{Channel: "answer", RequestSent: time.UnixMilli(sent)}, baseTime)) // peers rely on the responses that they get
		is.Equal(tt.Entry("a").IsLeaving(), leaves)
	}
}

// TestNoticeFromPeerFirst guards against ignoring a notice in a response to this instance because a
// peer reported the same notice before.
func TestNoticeFromPeerFirst(t *testing.T) {
	is := is.New(t)
	tt := newTable()
	tt.ApplyList(5, []catalog.Target{newTarget("a", 900_000, 1)}, nil, baseTime)
	tt.ApplyLeavingNotice(Incarnation{"a", 900_000}, Source{Channel: "peer", Reporter: "e-1"}, baseTime)
	is.True(tt.Entry("a").NoticeRequestSent.IsZero())
	edits, sent := tt.Edits(), time.UnixMilli(960_000)
	is.True(!tt.ApplyLeavingNotice(Incarnation{"a", 900_000}, Source{Channel: "answer", RequestSent: sent}, baseTime))
	is.True(tt.Entry("a").NoticeRequestSent.Equal(sent))
	is.True(tt.Edits() > edits) // readers see it
}

// TestInheritedNoticeExpires guards against a healthy incarnation being left out for good, or by
// all instances, where it inherits the previous one's notice because of clock skew, and against its
// own notice expiring as well.
func TestInheritedNoticeExpires(t *testing.T) {
	for name, own := range map[string]bool{"no notice of its own": false, "a notice of its own": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tt := newTable()
			tt.ApplyList(5, []catalog.Target{newTarget("a", 900_000, 1)}, nil, baseTime)
			tt.ApplyLeavingNotice(Incarnation{"a", 900_000}, Source{Channel: "answer", RequestSent: time.UnixMilli(960_000)}, baseTime)
			tt.ApplyChanges(6, []catalog.Target{newTarget("a", 950_000, 6)}, nil, baseTime)
			if own {
				is.True(tt.ApplyLeavingNotice(Incarnation{"a", 950_000}, Source{Channel: "report"}, baseTime))
			}
			is.Equal(len(tt.LeavingByNotice()) > 0, own) // reported to peers
			tt.Expire(baseTime.Add(InheritedNoticeTTL))
			is.True(tt.Entry("a").IsLeaving())
			is.Equal(tt.Expire(baseTime.Add(InheritedNoticeTTL+2*noticeSweepInterval)), !own) // readers see it
			is.Equal(tt.Entry("a").IsLeaving(), own)
		})
	}
}
