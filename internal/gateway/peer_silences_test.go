package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/loads"
)

// TestSilencesAreRelayed guards against silent targets that only the instances next to their teller
// hear of in a large fleet, and against words that return to their teller.
func TestSilencesAreRelayed(t *testing.T) {
	is := is.New(t)
	n := neighbour{relayedFrom: map[string]bool{"child": true}}
	others := map[string][]loads.Silent{
		"child":  {{Target: 1, MS: 700}, {Target: 2, MS: 600}},
		"parent": {{Target: 3, MS: 900}},
	}
	got := map[loads.Key]int64{}
	for _, s := range n.silencesToReport([]loads.Silent{{Target: 1, MS: 500}, {Target: 4, MS: 800}}, others) {
		got[s.Target] = s.MS
	}
	is.Equal(got, map[loads.Key]int64{1: 700, 2: 600, 4: 800})
}

// TestHealthyResponseOverridesSilence guards against saves that are kept back because another instance
// waits at a target from which this one has an answer since.
func TestHealthyResponseOverridesSilence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	var s inflight.Silence
	is.Equal(s.Among(ago(time.Second), now), time.Second) // it has heard nothing at all
	s.Answered(ago(2 * time.Second))
	is.Equal(s.Among(ago(time.Second), now), time.Second)
	is.Equal(s.Among(time.Time{}, now), time.Duration(0))
	s.Answered(ago(500 * time.Millisecond))
	is.Equal(s.Among(ago(time.Second), now), time.Duration(0))
	s.Asked(ago(300 * time.Millisecond))
	is.Equal(s.Among(ago(400*time.Millisecond), now), 400*time.Millisecond)
	is.Equal(s.Among(ago(200*time.Millisecond), now), 300*time.Millisecond)
}

// TestOwnSilencesAreReported guards against a silence that is not told, and one that is told though
// its answer is not due yet.
func TestOwnSilencesAreReported(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := &Gateway{now: func() time.Time { return now }, upstream: newUpstream()}
	g.upstream.inflight.Of("silent").Silence.Asked(now.Add(-silenceThreshold))
	g.upstream.inflight.Of("busy").Silence.Asked(now.Add(-silenceThreshold + time.Millisecond))
	is.Equal(g.ownSilentTargets(), []loads.Silent{{Target: loads.KeyOf("silent"), MS: silenceThreshold.Milliseconds()}})
}

// TestLongPendingSavesAreRelayed guards against late saves that only the instances next to their teller
// hear of in a large fleet, and against words that return to their teller.
func TestLongPendingSavesAreRelayed(t *testing.T) {
	is := is.New(t)
	n := neighbour{relayedFrom: map[string]bool{"child": true}}
	got := n.pendingSavesToReport([]loads.Key{1, 4}, map[string][]loads.Key{"child": {1, 2}, "parent": {3}})
	slices.Sort(got)
	is.Equal(got, []loads.Key{1, 2, 4})
}

// TestQueuedRequestsAreNoSilence guards against saves that all instances keep back at a busy target: some
// have waited in its queue for long, while it answers others.
func TestQueuedRequestsAreNoSilence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	key := loads.KeyOf("t")
	waits := []loads.Silent{{Target: key, MS: 2000}}
	hears := &Gateway{now: func() time.Time { return now }, upstream: newUpstream()}
	hears.upstream.inflight.Of("t").Silence.Answered(now.Add(-time.Second))
	heard := hears.ownAnswered(map[string][]loads.Silent{"waits": waits})
	is.Equal(heard, []loads.Silent{{Target: key, MS: 1000}})
	is.Equal(len(hears.ownAnswered(map[string][]loads.Silent{"waits": {{Target: key, MS: 900}}})), 0) // silent since

	s := loads.NewSilences(loadReportTTL)
	s.Take("waits", 1, waits, now)
	is.Equal(s.Since(key, now), now.Add(-2*time.Second))
	s.TakeHeard("hears", 1, heard, now)
	is.True(s.Since(key, now).IsZero())
	s.TakeHeard("hears", 2, nil, now)
	is.True(!s.Since(key, now).IsZero())

	n := neighbour{relayedFrom: map[string]bool{"hears": true}}
	is.Equal(n.answeredToReport([]loads.Silent{{Target: key, MS: 1500}}, map[string][]loads.Silent{"hears": heard, "elsewhere": {{Target: key}}}), heard)
}
