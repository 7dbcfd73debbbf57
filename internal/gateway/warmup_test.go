package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// What a cold target bears.
const (
	warmupDuration    = 3 * time.Second
	warmupRate        = 11.0
	warmupOverage     = 1.5
	warmupSlack       = 5.0
	maxWarmupRequests = warmupRate*warmupOverage + warmupSlack // requests in any second
)

// warmupCodec is the dialect of a platform whose targets are cold at first.
type warmupCodec struct{ evacuationCodec }

// DecodeConfig implements Codec.
func (c warmupCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	cfg, err := c.evacuationCodec.DecodeConfig(value)
	if err == nil {
		cfg.Services["s"].Warmup, cfg.Services["s"].WarmupRate = warmupDuration, warmupRate
	}
	return cfg, err
}

// requestCounter counts requests by target in sliding seconds.
type requestCounter struct {
	mu             sync.Mutex
	recent         map[string][]time.Time // by target
	maxPerSecond   int
	warmingUpUntil map[string]time.Time // until when
	total          int                  // that reached cold targets
}

func (s *requestCounter) note(m *memoryTarget, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !now.Before(s.warmingUpUntil[m.name]) {
		return
	}
	came := append(s.recent[m.name], now)
	for now.Sub(came[0]) >= time.Second {
		came = came[1:]
	}
	s.recent[m.name] = came
	s.maxPerSecond = max(s.maxPerSecond, len(came))
	s.total++
}

// markWarmingUp notes that a target is cold for a time from now on.
func (s *requestCounter) markWarmingUp(m *memoryTarget, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmingUpUntil[m.name] = time.Now().Add(left)
}

// setWarmingUp has a target say that it is cold, as of now or of some time ago.
func (s *requestCounter) setWarmingUp(m *memoryTarget, since time.Duration) {
	s.markWarmingUp(m, warmupDuration-since)
	m.mu.Lock()
	born := m.startedAt
	m.mu.Unlock()
	m.f.store.set(memoryTargets, m.name, catalog.Target{Service: "s", Address: m.name + ":1", Zone: m.zone, Start: born, WarmupMS: (warmupDuration - since).Milliseconds()})
}

// TestCapsRequestsToWarmingUpTargets guards against more requests in a second than a cold target bears, and against none.
func TestCapsRequestsToWarmingUpTargets(t *testing.T) {
	const zone = "z1"
	turnCold := func(f *evacuatedFleet, s *requestCounter) {
		for _, m := range f.targets {
			if m.zone == zone {
				s.setWarmingUp(m, 0)
			}
		}
	}
	cases := []struct {
		name string
		n    int
		hold time.Duration // the first moments, in which the word spreads, are not counted
		turn func(f *evacuatedFleet, s *requestCounter)
		ends bool // targets or instances end, and requests with them
	}{
		{"they say so", 9, 300 * time.Millisecond, turnCold, false},
		{"in a large fleet", 60, 300 * time.Millisecond, turnCold, false},
		{"they start again", 9, 0, func(f *evacuatedFleet, s *requestCounter) {
			for _, m := range f.targets {
				if m.zone != zone {
					continue
				}
				m.mu.Lock()
				m.warmupMS = warmupDuration.Milliseconds()
				m.mu.Unlock()
				m.crash()
				s.markWarmingUp(m, restartTime+warmupDuration)
			}
			time.Sleep(restartTime)
		}, true},
		{"their zone was evacuated", 60, 0, func(f *evacuatedFleet, s *requestCounter) {
			f.evacuate(zone)
			time.Sleep(evacuateBound)
			for _, m := range f.targets {
				if m.zone == zone {
					s.markWarmingUp(m, warmupDuration)
				}
			}
			f.release(zone)
		}, false},
		{"instances start meanwhile", 9, 300 * time.Millisecond, func(f *evacuatedFleet, s *requestCounter) {
			for range 6 {
				f.addInstance()
			}
			time.Sleep(200 * time.Millisecond)
			turnCold(f, s)
		}, false},
		{"instances are cut off", 9, 300 * time.Millisecond, func(f *evacuatedFleet, s *requestCounter) {
			f.isolate([]int{1, 2, 3, 4}, true)
			time.Sleep(4 * time.Second)
			f.isolate([]int{1, 2, 3, 4}, false)
			turnCold(f, s)
		}, true},
		{"all instances restart", 9, 0, func(f *evacuatedFleet, s *requestCounter) {
			turnCold(f, s)
			f.restartAll()
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &requestCounter{recent: map[string][]time.Time{}, warmingUpUntil: map[string]time.Time{}}
				f := newWarmupFleet(t, c.n, s)
				defer f.end()
				for range 4 {
					f.sendLoad()
				}
				time.Sleep(6 * time.Second)
				c.turn(f, s)
				time.Sleep(c.hold)
				s.reset()
				time.Sleep(warmupDuration + time.Second)
				all, worst := s.totals()
				if float64(worst) > maxWarmupRequests {
					t.Errorf("%d requests in a second at a cold target, %v allowed", worst, maxWarmupRequests)
				}
				t.Logf("%d requests reached cold targets, %d in the worst second", all, worst)
				if !c.ends {
					is.Equal(f.failures(), 0) // the others take what these can't
				}
			})
		})
	}
}

// totals are how many requests reached cold targets, and how many of them in the worst second.
func (s *requestCounter) totals() (all, worst int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.maxPerSecond
}

// reset leaves out what came so far.
func (s *requestCounter) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent, s.maxPerSecond, s.total = map[string][]time.Time{}, 0, 0
}

func newWarmupFleet(t *testing.T, n int, s *requestCounter) *evacuatedFleet {
	f := &evacuatedFleet{arrivals: &arrivalLog{last: map[string]time.Time{}, seen: map[string]int{}}, stopped: make(chan struct{})}
	f.trafficFleet = newFleetWith(t, n, 3, 9, fleetOptions{codec: warmupCodec{}, onArrival: s.note, editSettings: func(set *Settings) {
		set.EvacuateWithin = evacuateBound
		set.WarmupOverage, set.WarmupSlack = warmupOverage, warmupSlack
	}})
	f.records.Store(int32(n))
	return f
}

// TestAllTargetsWarmingUp guards against requests that wait, or run, beyond what targets bear that are all cold.
func TestAllTargetsWarmingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &requestCounter{recent: map[string][]time.Time{}, warmingUpUntil: map[string]time.Time{}}
		f := newWarmupFleet(t, 9, s)
		defer f.end()
		time.Sleep(6 * time.Second)
		for _, m := range f.targets {
			s.setWarmingUp(m, 0)
		}
		time.Sleep(300 * time.Millisecond)
		var mu sync.Mutex
		var all sync.WaitGroup
		served, refused := 0, 0
		for i := range 800 {
			all.Add(1)
			go func() {
				defer all.Done()
				began := time.Now()
				a := f.request(i%9, pathOnce, fmt.Sprint("request ", i))
				mu.Lock()
				defer mu.Unlock()
				switch a.status {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable:
					refused++
					is.True(time.Since(began) < 50*time.Millisecond)
					var p struct{ Execution string }
					is.NoErr(json.Unmarshal([]byte(a.body), &p))
					is.Equal(p.Execution, "not-run")
				default:
					t.Error(a.status)
				}
			}()
			time.Sleep(2 * time.Millisecond)
		}
		all.Wait()
		_, worst := s.totals()
		is.True(float64(worst) <= maxWarmupRequests)
		is.True(served > 0)
		t.Logf("%d served, %d refused", served, refused)
	})
}
