package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/breaker"
	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// TestWhenNoticePrecedesEntry guards against losing the notice of a new incarnation when its entry arrives
// after the notice, and against leaving out an incarnation without a notice because of the previous one.
func TestWhenNoticePrecedesEntry(t *testing.T) {
	cases := []struct {
		name        string
		before, new bool          // whether the previous and the new incarnation announce that they leave
		wait        time.Duration // from the last request to the end of the previous incarnation, and from there to the new one
		expires     bool          // the entry expires before the new one is written
	}{
		{name: "notice of the new incarnation", new: true, wait: 100 * time.Millisecond},
		{name: "notice of the new incarnation, and the entry expired", new: true, wait: 100 * time.Millisecond, expires: true},
		{name: "notice of the previous incarnation", before: true, wait: 100 * time.Millisecond},
		{name: "notice of the previous incarnation, and the entry expired", before: true, wait: time.Second, expires: true},
		{name: "no notice", wait: 100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLeavingFleet(t, 3, 3)
				defer f.end()
				f.silenceStore(true)
				s := f.leavingTargets[0]
				if c.before {
					s.startLeaving()
				}
				f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, time.Second)
				is.True(s.requestsExceptFrom("") > 0)
				time.Sleep(c.wait)
				s.stop()
				time.Sleep(c.wait)
				if c.expires {
					f.store.remove(memoryTargets, s.name)
				}
				s.start()
				if c.new {
					s.startLeaving()
				}
				f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, 2*time.Second)
				s.mu.Lock()
				is.Equal(len(s.firstLeavingResponse) > 0, c.new)
				s.mu.Unlock()
				f.silenceStore(false)
				f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, 3*leavingBound)
				if lateSenders := s.lateSenders(leavingBound, true); len(lateSenders) > 0 {
					t.Errorf("requests sent too late after the first leaving notice: %v", lateSenders)
				}
				if !c.new {
					s.resetCounts()
					f.sendLoad(f.allInstances(), pathSafe, 5*time.Millisecond, time.Second)
					for _, g := range f.gateways {
						is.True(s.requestsFrom(g.settings().Name) > 0)
					}
				}
			})
		})
	}
}

// TestRequestedBackoffBeforeEntry guards against ending the backoff of a new incarnation early when its
// entry arrives, and against applying the backoff of the previous incarnation to the new one.
func TestRequestedBackoffBeforeEntry(t *testing.T) {
	const (
		every   = 20 * time.Millisecond
		backoff = 20 * time.Second
	)
	requestBackoff := func(time.Duration, int, string) scriptedResponse {
		return scriptedResponse{status: http.StatusServiceUnavailable, notExecuted: true, backoff: backoff}
	}
	for name, scripts := range map[string][2]responseScript{ // of the previous incarnation, and of the new one
		"requested by the new incarnation":      {serve, requestBackoff},
		"requested by the previous incarnation": {requestBackoff, serve},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newBackoffFleet(t, 1, scripts[0], serve)
				defer f.end()
				f.silenceStore(true)
				m := f.backoffTargets[0]
				f.sendLoad(pathSafe, every, time.Second)
				is.True(len(m.receivedAll()) > 0)
				time.Sleep(100 * time.Millisecond)
				m.stop()
				time.Sleep(100 * time.Millisecond)
				m.script = scripts[1]
				m.start()
				f.sendLoad(pathSafe, every, 2*time.Second)
				f.silenceStore(false)
				f.sendLoad(pathSafe, every, backoff/2)
				f.checkBackoffs()
				if len(m.backoffPeriods()) == 0 {
					is.True(len(m.receivedAll()) > 50) // the new incarnation is used normally
				}
			})
		})
	}
}

// TestRequestedBackoffOfRespondingIncarnation guards against applying a backoff to the incarnation that the
// request was addressed to if a later one, which has just been listed, gave the response.
func TestRequestedBackoffOfRespondingIncarnation(t *testing.T) {
	const before, next = 10_000, 20_000 // start times, Unix ms
	for sent, want := range map[int64]string{15_000: "i-1@10000", 25_000: "i-1@20000"} {
		is := is.New(t)
		clock := func() time.Time { return time.UnixMilli(30_000) }
		g := &Gateway{now: clock, breaker: breaker.New(clock), log: &log.Logger{Handler: discard.Default}}
		addressed := catalog.Target{Name: "i-1", Start: before}.WithID()
		listed := catalog.Target{Name: "i-1", Start: next}.WithID()
		g.view.Store(&View{Targets: map[string]*catalog.Target{listed.ID: &listed}})
		g.applyNotice(&addressed, Notice{Backoff: time.Second}, registry.Source{Channel: string(fromAnswer), RequestSent: time.UnixMilli(sent)})
		is.Equal(g.breaker.Backoffs(), map[string]time.Time{want: time.UnixMilli(31_000)})
	}
}

// TestOwnNoticeAfterInherited guards against taking an incarnation's own leaving notice for the one that it
// has inherited, which expires.
func TestOwnNoticeAfterInherited(t *testing.T) {
	for name, own := range map[string]func(sent time.Time) registry.Source{
		"in a report": func(time.Time) registry.Source { return registry.Source{Channel: string(fromReport)} },
		"in a response": func(sent time.Time) registry.Source {
			return registry.Source{Channel: string(fromAnswer), RequestSent: sent.Add(leavingRefreshInterval / 4)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newLeavingFleet(t, 1, 1)
				defer f.end()
				g, s := f.gateways[0], f.leavingTargets[0]
				next := catalog.Target{Name: s.name, Start: s.startedAt}.WithID()
				before := catalog.Target{Name: s.name, Start: s.startedAt - 1000}.WithID()
				sent := time.Now()
				g.applyNotice(&before, Notice{Leaving: true}, registry.Source{Channel: string(fromAnswer), RequestSent: sent})
				synctest.Wait()
				is.True(g.view.Load().Targets[next.ID].NoticeInherited)
				g.applyNotice(&next, Notice{Leaving: true}, own(sent))
				time.Sleep(registry.InheritedNoticeTTL + 5*time.Second)
				is.True(g.view.Load().Targets[next.ID].LeavingNotice)
			})
		})
	}
}

// TestInheritedBackoffEnds guards against a healthy incarnation that stays unused for long because it has
// inherited the backoff of the previous incarnation due to clock differences.
func TestInheritedBackoffEnds(t *testing.T) {
	const before, next = 10_000, 20_000 // start times, Unix ms
	is := is.New(t)
	clock := func() time.Time { return time.UnixMilli(30_000) }
	g := &Gateway{now: clock, breaker: breaker.New(clock), log: &log.Logger{Handler: discard.Default}}
	addressed := catalog.Target{Name: "i-1", Start: before}.WithID()
	listed := catalog.Target{Name: "i-1", Start: next}.WithID()
	g.view.Store(&View{Targets: map[string]*catalog.Target{listed.ID: &listed}})
	g.applyNotice(&addressed, Notice{Backoff: time.Hour}, registry.Source{Channel: string(fromAnswer), RequestSent: time.UnixMilli(25_000)})
	is.Equal(g.breaker.Backoffs(), map[string]time.Time{listed.ID: clock().Add(registry.InheritedNoticeTTL)})
}
