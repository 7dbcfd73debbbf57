package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// TestSilencesAreRelayed guards against silent targets that only the instances next to their teller
// hear of in a large fleet, and against words that return to their teller.
func TestSilencesAreRelayed(t *testing.T) {
	is := is.New(t)
	n := neighbour{relayedFrom: map[string]bool{"child": true}}
	others := map[string][]loadreport.TargetAge{
		"child":  {{Target: 1, AgeMS: 700}, {Target: 2, AgeMS: 600}},
		"parent": {{Target: 3, AgeMS: 900}},
	}
	got := map[loadreport.Key]int64{}
	for _, s := range n.silencesToReport([]loadreport.TargetAge{{Target: 1, AgeMS: 500}, {Target: 4, AgeMS: 800}}, others) {
		got[s.Target] = s.AgeMS
	}
	is.Equal(got, map[loadreport.Key]int64{1: 700, 2: 600, 4: 800})
}

// TestHealthyResponseOverridesSilence guards against saves that are kept back because another instance
// waits at a target from which this one has an answer since.
func TestHealthyResponseOverridesSilence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	var s inflight.ResponseTracker
	is.Equal(s.UnresponsiveForWithPeers(ago(time.Second), now), time.Second) // it has heard nothing at all
	s.RecordActivity(ago(2 * time.Second))
	is.Equal(s.UnresponsiveForWithPeers(ago(time.Second), now), time.Second)
	is.Equal(s.UnresponsiveForWithPeers(time.Time{}, now), time.Duration(0))
	s.RecordActivity(ago(500 * time.Millisecond))
	is.Equal(s.UnresponsiveForWithPeers(ago(time.Second), now), time.Duration(0))
	s.RecordRequest(ago(300 * time.Millisecond))
	is.Equal(s.UnresponsiveForWithPeers(ago(400*time.Millisecond), now), 400*time.Millisecond)
	is.Equal(s.UnresponsiveForWithPeers(ago(200*time.Millisecond), now), 300*time.Millisecond)
}

// TestOwnSilencesAreReported guards against a silence that is not told, and one that is told though
// its answer is not due yet.
func TestOwnSilencesAreReported(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := &Gateway{now: func() time.Time { return now }, upstream: newUpstream()}
	g.upstream.inflight.Get("silent").Responses.RecordRequest(now.Add(-silenceThreshold))
	g.upstream.inflight.Get("busy").Responses.RecordRequest(now.Add(-silenceThreshold + time.Millisecond))
	is.Equal(g.ownSilentTargets(), []loadreport.TargetAge{{Target: loadreport.KeyOf("silent"), AgeMS: silenceThreshold.Milliseconds()}})
}

// TestLongPendingSavesAreRelayed guards against late saves that only the instances next to their teller
// hear of in a large fleet, and against words that return to their teller.
func TestLongPendingSavesAreRelayed(t *testing.T) {
	is := is.New(t)
	n := neighbour{relayedFrom: map[string]bool{"child": true}}
	got := n.pendingSavesToReport([]loadreport.Key{1, 4}, map[string][]loadreport.Key{"child": {1, 2}, "parent": {3}})
	slices.Sort(got)
	is.Equal(got, []loadreport.Key{1, 2, 4})
}

// TestQueuedRequestsAreNoSilence guards against saves that all instances keep back at a busy target: some
// have waited in its queue for long, while it answers others.
func TestQueuedRequestsAreNoSilence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	key := loadreport.KeyOf("t")
	waits := []loadreport.TargetAge{{Target: key, AgeMS: 2000}}
	hears := &Gateway{now: func() time.Time { return now }, upstream: newUpstream()}
	hears.upstream.inflight.Get("t").Responses.RecordActivity(now.Add(-time.Second))
	heard := hears.ownAnswered(map[string][]loadreport.TargetAge{"waits": waits})
	is.Equal(heard, []loadreport.TargetAge{{Target: key, AgeMS: 1000}})
	is.Equal(len(hears.ownAnswered(map[string][]loadreport.TargetAge{"waits": {{Target: key, AgeMS: 900}}})), 0) // silent since

	s := loadreport.NewUnresponsiveTargets(loadReportTTL)
	s.Apply("waits", 1, waits, now)
	is.Equal(s.Since(key, now), now.Add(-2*time.Second))
	s.ApplyResponses("hears", 1, heard, now)
	is.True(s.Since(key, now).IsZero())
	s.ApplyResponses("hears", 2, nil, now)
	is.True(!s.Since(key, now).IsZero())

	n := neighbour{relayedFrom: map[string]bool{"hears": true}}
	is.Equal(n.answeredToReport([]loadreport.TargetAge{{Target: key, AgeMS: 1500}}, map[string][]loadreport.TargetAge{"hears": heard, "elsewhere": {{Target: key}}}), heard)
}
