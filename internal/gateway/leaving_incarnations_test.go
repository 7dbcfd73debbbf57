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

// TestWhenNoticePrecedesEntry guards against the word of a life whose entry had not come yet being lost
// when that comes, and against a life that has said nothing being left out for the one before.
func TestWhenNoticePrecedesEntry(t *testing.T) {
	cases := []struct {
		name        string
		before, new bool          // what the life before says, and the new one
		wait        time.Duration // between the ends of requests and the life before, and from there to the new one
		lapses      bool          // the entry lapses before the new one is written
	}{
		{name: "the new life says it", new: true, wait: 100 * time.Millisecond},
		{name: "the new life says it, and the entry lapsed", new: true, wait: 100 * time.Millisecond, lapses: true},
		{name: "the life before said it", before: true, wait: 100 * time.Millisecond},
		{name: "the life before said it, and the entry lapsed", before: true, wait: time.Second, lapses: true},
		{name: "nobody says it", wait: 100 * time.Millisecond},
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
				if c.lapses {
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
					t.Errorf("requests were sent to it after it had said that it leaves: %v", lateSenders)
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

// TestRequestedBackoffBeforeEntry guards against the rest that a life asked for before its entry came being
// cut short when that comes, and against one that the life before asked for.
func TestRequestedBackoffBeforeEntry(t *testing.T) {
	const (
		every   = 20 * time.Millisecond
		backoff = 20 * time.Second
	)
	requestBackoff := func(time.Duration, int, string) scriptedResponse {
		return scriptedResponse{status: http.StatusServiceUnavailable, notExecuted: true, backoff: backoff}
	}
	for name, scripts := range map[string][2]responseScript{ // of the life before, and of the new one
		"the new life asks for it":     {serve, requestBackoff},
		"the life before asked for it": {requestBackoff, serve},
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
					is.True(len(m.receivedAll()) > 50) // it is used as before
				}
			})
		})
	}
}

// TestRequestedBackoffOfRespondingIncarnation guards against a rest being noted of a life that is over where its
// next one, which has just been listed, gave the answer.
func TestRequestedBackoffOfRespondingIncarnation(t *testing.T) {
	const before, next = 10_000, 20_000 // starts, Unix ms
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

// TestOwnNoticeAfterInherited guards against a life's own word that it leaves being taken for the one it
// has inherited, which ends by itself.
func TestOwnNoticeAfterInherited(t *testing.T) {
	for name, own := range map[string]func(sent time.Time) registry.Source{
		"in a report": func(time.Time) registry.Source { return registry.Source{Channel: string(fromReport)} },
		"in an answer": func(sent time.Time) registry.Source {
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

// TestInheritedBackoffEnds guards against a healthy life that rests for long since clocks have it inherit
// the rest of the life before.
func TestInheritedBackoffEnds(t *testing.T) {
	const before, next = 10_000, 20_000 // starts, Unix ms
	is := is.New(t)
	clock := func() time.Time { return time.UnixMilli(30_000) }
	g := &Gateway{now: clock, breaker: breaker.New(clock), log: &log.Logger{Handler: discard.Default}}
	addressed := catalog.Target{Name: "i-1", Start: before}.WithID()
	listed := catalog.Target{Name: "i-1", Start: next}.WithID()
	g.view.Store(&View{Targets: map[string]*catalog.Target{listed.ID: &listed}})
	g.applyNotice(&addressed, Notice{Backoff: time.Hour}, registry.Source{Channel: string(fromAnswer), RequestSent: time.UnixMilli(25_000)})
	is.Equal(g.breaker.Backoffs(), map[string]time.Time{listed.ID: clock().Add(registry.InheritedNoticeTTL)})
}
