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

// Limits of a target in warm-up.
const (
	warmupDuration    = 3 * time.Second
	warmupRate        = 11.0
	warmupOverage     = 1.5
	warmupSlack       = 5.0
	maxWarmupRequests = warmupRate*warmupOverage + warmupSlack // per second, at any time
)

// warmupCodec is the codec of a platform whose targets warm up after their start.
type warmupCodec struct{ evacuationCodec }

// DecodeConfig implements Codec.
func (c warmupCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	cfg, err := c.evacuationCodec.DecodeConfig(value)
	if err == nil {
		cfg.Services["s"].Warmup, cfg.Services["s"].WarmupRate = warmupDuration, warmupRate
	}
	return cfg, err
}

// requestCounter counts the requests that reach targets in warm-up, in sliding windows of a second.
type requestCounter struct {
	mu             sync.Mutex
	recent         map[string][]time.Time // by target: arrivals in the last second
	maxPerSecond   int                    // at one target
	warmingUpUntil map[string]time.Time   // by target
	total          int
}

func (s *requestCounter) note(m *memoryTarget, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !now.Before(s.warmingUpUntil[m.name]) {
		return
	}
	recent := append(s.recent[m.name], now)
	for now.Sub(recent[0]) >= time.Second {
		recent = recent[1:]
	}
	s.recent[m.name] = recent
	s.maxPerSecond = max(s.maxPerSecond, len(recent))
	s.total++
}

// markWarmingUp counts a target as warming up for a time from now on.
func (s *requestCounter) markWarmingUp(m *memoryTarget, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmingUpUntil[m.name] = time.Now().Add(left)
}

// setWarmingUp stores an entry by which a target has been warming up for some time, and counts it as
// such for the rest of its warm-up.
func (s *requestCounter) setWarmingUp(m *memoryTarget, since time.Duration) {
	s.markWarmingUp(m, warmupDuration-since)
	m.mu.Lock()
	startedAt := m.startedAt
	m.mu.Unlock()
	m.f.store.set(memoryTargets, m.name, catalog.Target{Service: "s", Address: m.name + ":1", Zone: m.zone, Start: startedAt, WarmupMS: (warmupDuration - since).Milliseconds()})
}

// TestCapsRequestsToWarmingUpTargets guards against more requests per second than a target in warm-up
// can handle, and against requests that fail although other targets could serve them.
func TestCapsRequestsToWarmingUpTargets(t *testing.T) {
	const zone = "z1"
	startWarmup := func(f *evacuatedFleet, s *requestCounter) {
		for _, m := range f.targets {
			if m.zone == zone {
				s.setWarmingUp(m, 0)
			}
		}
	}
	cases := []struct {
		name         string
		instances    int
		propagation  time.Duration // not counted: instances learn of the warm-up during it
		start        func(f *evacuatedFleet, s *requestCounter)
		mayInterrupt bool // targets or instances end, and their requests fail
	}{
		{"their entries say so", 9, 300 * time.Millisecond, startWarmup, false},
		{"in a large fleet", 60, 300 * time.Millisecond, startWarmup, false},
		{"they restart", 9, 0, func(f *evacuatedFleet, s *requestCounter) {
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
			time.Sleep(maxEvacuationTimeDegraded)
			for _, m := range f.targets {
				if m.zone == zone {
					s.markWarmingUp(m, warmupDuration)
				}
			}
			f.release(zone)
		}, false},
		{"instances have just started", 9, 300 * time.Millisecond, func(f *evacuatedFleet, s *requestCounter) {
			for range 6 {
				f.addInstance()
			}
			time.Sleep(200 * time.Millisecond)
			startWarmup(f, s)
		}, false},
		{"instances were isolated", 9, 300 * time.Millisecond, func(f *evacuatedFleet, s *requestCounter) {
			f.isolate([]int{1, 2, 3, 4}, true)
			time.Sleep(4 * time.Second)
			f.isolate([]int{1, 2, 3, 4}, false)
			startWarmup(f, s)
		}, true},
		{"all instances restart", 9, 0, func(f *evacuatedFleet, s *requestCounter) {
			startWarmup(f, s)
			f.restartAll()
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &requestCounter{recent: map[string][]time.Time{}, warmingUpUntil: map[string]time.Time{}}
				f := newWarmupFleet(t, c.instances, s)
				defer f.end()
				for range 4 {
					f.sendLoad()
				}
				time.Sleep(6 * time.Second)
				c.start(f, s)
				time.Sleep(c.propagation)
				s.reset()
				time.Sleep(warmupDuration + time.Second)
				all, worst := s.totals()
				if float64(worst) > maxWarmupRequests {
					t.Errorf("%d requests in a second at a target in warm-up, %v allowed", worst, maxWarmupRequests)
				}
				t.Logf("%d requests reached targets in warm-up, at most %d in a second at one target", all, worst)
				if !c.mayInterrupt {
					is.Equal(f.failures(), 0) // the other targets serve the rest
				}
			})
		})
	}
}

// totals returns how many requests reached targets in warm-up, and the most that reached one of them
// within a second.
func (s *requestCounter) totals() (all, worst int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.maxPerSecond
}

// reset discards the counts so far.
func (s *requestCounter) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent, s.maxPerSecond, s.total = map[string][]time.Time{}, 0, 0
}

// newWarmupFleet starts a fleet of n instances whose codec sets a warm-up for targets.
func newWarmupFleet(t *testing.T, n int, s *requestCounter) *evacuatedFleet {
	f := &evacuatedFleet{arrivals: &arrivalLog{last: map[string]time.Time{}, seen: map[string]int{}}, stopped: make(chan struct{})}
	f.trafficFleet = newFleetWith(t, n, 3, 9, fleetOptions{codec: warmupCodec{}, onArrival: s.note, editSettings: func(set *Settings) {
		set.EvacuateWithin = maxEvacuationTimeDegraded
		set.WarmupOverage, set.WarmupSlack = warmupOverage, warmupSlack
	}})
	f.knownInstances.Store(int32(n))
	return f
}

// TestAllTargetsWarmingUp guards against requests beyond the limit of the targets that are sent, or
// that wait, while all targets are warming up. They are refused at once, as not executed.
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
