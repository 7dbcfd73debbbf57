package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// TestSilencesAreRelayed guards against reports of silent targets that reach only the neighbours of
// the reporting instance in a large fleet, and against reports that return to their sender.
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

// TestHealthyResponseOverridesSilence guards against saves that are withheld because a peer waits for
// a target that has responded to this instance since.
func TestHealthyResponseOverridesSilence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	var responses inflight.ResponseTracker
	is.Equal(responses.UnresponsiveForWithPeers(ago(time.Second), now), time.Second) // no response at all so far
	responses.RecordActivity(ago(2 * time.Second))
	is.Equal(responses.UnresponsiveForWithPeers(ago(time.Second), now), time.Second)
	is.Equal(responses.UnresponsiveForWithPeers(time.Time{}, now), time.Duration(0))
	responses.RecordActivity(ago(500 * time.Millisecond))
	is.Equal(responses.UnresponsiveForWithPeers(ago(time.Second), now), time.Duration(0))
	responses.RecordRequest(ago(300 * time.Millisecond))
	is.Equal(responses.UnresponsiveForWithPeers(ago(400*time.Millisecond), now), 400*time.Millisecond)
	is.Equal(responses.UnresponsiveForWithPeers(ago(200*time.Millisecond), now), 300*time.Millisecond)
}

// TestOwnSilencesAreReported guards against a silent target that is not reported, and one that is
// reported before silenceThreshold has passed.
func TestOwnSilencesAreReported(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := &Gateway{now: func() time.Time { return now }, upstream: newUpstream()}
	g.upstream.inflight.Get("silent").Responses.RecordRequest(now.Add(-silenceThreshold))
	g.upstream.inflight.Get("busy").Responses.RecordRequest(now.Add(-silenceThreshold + time.Millisecond))
	is.Equal(g.ownSilentTargets(), []loadreport.TargetAge{{Target: loadreport.KeyOf("silent"), AgeMS: silenceThreshold.Milliseconds()}})
}

// TestLongPendingSavesAreRelayed guards against reports of pending saves that reach only the neighbours
// of the reporting instance in a large fleet, and against reports that return to their sender.
func TestLongPendingSavesAreRelayed(t *testing.T) {
	is := is.New(t)
	n := neighbour{relayedFrom: map[string]bool{"child": true}}
	got := n.keysToReport([]loadreport.Key{1, 4}, map[string][]loadreport.Key{"child": {1, 2}, "parent": {3}})
	slices.Sort(got)
	is.Equal(got, []loadreport.Key{1, 2, 4})
}

// TestQueuedRequestsAreNoSilence guards against saves that all instances withhold from a busy target:
// some requests have waited long in its queue while it responds to others.
func TestQueuedRequestsAreNoSilence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	key := loadreport.KeyOf("t")
	silences := []loadreport.TargetAge{{Target: key, AgeMS: 2000}}
	receiver := &Gateway{now: func() time.Time { return now }, upstream: newUpstream()}
	receiver.upstream.inflight.Get("t").Responses.RecordActivity(now.Add(-time.Second))
	answered := receiver.ownAnswered(map[string][]loadreport.TargetAge{"waiting": silences})
	is.Equal(answered, []loadreport.TargetAge{{Target: key, AgeMS: 1000}})
	is.Equal(len(receiver.ownAnswered(map[string][]loadreport.TargetAge{"waiting": {{Target: key, AgeMS: 900}}})), 0) // no response since the silence began

	tracker := loadreport.NewUnresponsiveTargets(loadReportTTL)
	tracker.Apply("waiting", 1, silences, now)
	is.Equal(tracker.Since(key, now), now.Add(-2*time.Second))
	tracker.ApplyResponses("answered", 1, answered, now)
	is.True(tracker.Since(key, now).IsZero())
	tracker.ApplyResponses("answered", 2, nil, now)
	is.True(!tracker.Since(key, now).IsZero())

	n := neighbour{relayedFrom: map[string]bool{"answered": true}}
	is.Equal(n.answeredToReport([]loadreport.TargetAge{{Target: key, AgeMS: 1500}}, map[string][]loadreport.TargetAge{"answered": answered, "elsewhere": {{Target: key}}}), answered)
}
