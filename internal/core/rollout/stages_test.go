package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/rollout"
)

// stagedRollout simulates the rollouts of versions to targets. Times are since the first naming.
type stagedRollout struct {
	r        *rand.Rand
	within   time.Duration   // rollout deadline, from each naming
	named    []time.Duration // when versions 2, 3, ... are named
	loadTime time.Duration   // until a load's end is observed
	start    time.Duration   // when the first holder begins
	longest  time.Duration   // remaining time of the longest run at a target as it is cordoned

	targets []stagedTarget
	closing rollout.Closing
	planner *rollout.Planner
	assumed time.Duration // duration of a load
	longestClosing, sumClosing,
	longestWaiting, sumWaiting time.Duration
	finished, loads int // loads that let runs finish, and all loads
	maxLoading, maxCordoned,
	maxClosing int
}

type stagedTarget struct {
	version, loads       int
	stage                rollout.Stage
	since, runsEnd, ends time.Duration
	cordonedAt           time.Duration
	outdatedAt           time.Duration // when a newer version than its own was named
	doneAt               []time.Duration
}

const stagedTick = 50 * time.Millisecond

var stagedStart = time.Unix(0, 0)

// run simulates until all targets serve the newest version, and returns when that was.
func (s *stagedRollout) run(t *testing.T, n int) time.Duration {
	s.r = rand.New(rand.NewPCG(1, 2))
	s.targets, s.closing, s.planner, s.assumed = make([]stagedTarget, n), rollout.Closing{}, rollout.NewPlanner(15*time.Second), rollout.InitialLoadTime
	for i := range s.targets {
		s.targets[i].version = 1
	}
	newest := 1
	for now := time.Duration(0); now < 5*time.Minute; now += stagedTick {
		for newest-1 < len(s.named) && now >= s.named[newest-1] {
			newest++
			for i := range s.targets {
				if s.targets[i].version == newest-1 {
					s.targets[i].outdatedAt = now
				}
			}
		}
		if now >= s.start {
			s.step(now, newest)
		}
		if newest == len(s.named)+1 && !slices.ContainsFunc(s.targets, func(x stagedTarget) bool { return x.version < newest }) {
			return now
		}
	}
	t.Fatal("the rollout does not end")
	return 0
}

// outdatedSince returns when the first version newer than a target's was named.
func (s *stagedRollout) outdatedSince(x *stagedTarget) time.Duration { return s.named[x.version-1] }

func (s *stagedRollout) step(now time.Duration, newest int) {
	maxLoads := rollout.MaxConcurrentLoads(len(s.targets))
	maxClosing := rollout.MaxClosingTargets(len(s.targets), maxLoads)
	progress := rollout.Progress{MaxLoads: maxLoads, Closing: maxClosing, Ahead: maxLoads / 3, LoadTime: s.assumed}
	loading, cordoned := 0, 0
	var targets []rollout.Target
	for i := range s.targets {
		x := &s.targets[i]
		if x.stage == rollout.StageOrdered && x.ends > 0 && now >= x.ends {
			s.assumed = rollout.SmoothLoadTime(s.assumed, x.ends-x.since)
			x.version, x.stage, x.ends = x.loads, rollout.StageServing, 0
			x.doneAt = append(x.doneAt, now)
			s.planner.LoadEnded(rollout.Load{Target: strconv.Itoa(i)}, false)
		}
		if x.version < newest {
			progress.TimeLeft = append(progress.TimeLeft, s.outdatedSince(x)+s.within-now)
		}
		if x.ends > 0 {
			loading++
			progress.Passed += rollout.CordonTime + min(now-x.since, s.assumed)
		} else if x.stage >= rollout.StageCordoned {
			progress.Passed += min(now-x.cordonedAt, rollout.CordonTime)
		}
		if x.stage >= rollout.StageCordoned {
			cordoned++
		}
		targets = append(targets, rollout.Target{Name: strconv.Itoa(i), Model: "m", Version: strconv.Itoa(x.version), Ready: true, Loading: x.stage >= rollout.StageCordoned})
	}
	slices.Sort(progress.TimeLeft)
	slices.SortStableFunc(targets, func(a, b rollout.Target) int { return compareText(a.Version, b.Version) })
	progress.Started = cordoned > 0
	pace := rollout.PaceOf(progress)
	s.planner.SetLimits(maxLoads, maxLoads/3)
	for i := range targets {
		stage, in := rollout.StageServing, time.Duration(0)
		if since, ok := s.closing[targets[i].Name]; ok {
			stage, in = rollout.StageClosing, stagedStart.Add(now).Sub(since)
		}
		targets[i].Held = pace.Next(stage, in, 0) < rollout.StageCordoned
	}
	desired := map[string]rollout.DesiredVersion{"m": {Version: strconv.Itoa(newest)}}
	for _, l := range s.planner.Plan(targets, desired, stagedStart.Add(now)) {
		i, _ := strconv.Atoi(l.Target)
		x := &s.targets[i]
		x.stage, x.since, x.cordonedAt = rollout.StageCordoned, now, now
		x.runsEnd = now + time.Duration(s.r.Float64()*float64(s.longest))
		closed := time.Duration(0)
		if since, ok := s.closing[l.Target]; ok {
			closed = stagedStart.Add(now).Sub(since)
		}
		s.longestClosing, s.sumClosing = max(s.longestClosing, closed), s.sumClosing+closed
		cordoned++
	}
	s.closing.Update(s.planner.Upcoming(targets, desired, max(maxClosing, maxLoads+maxLoads/3-cordoned)), stagedStart.Add(now))
	for i := range s.targets {
		x := &s.targets[i]
		if x.stage < rollout.StageCordoned || x.ends > 0 {
			continue
		}
		runs := 0
		if x.runsEnd > now {
			runs = 1
		}
		old := x.stage
		if x.stage = pace.Next(x.stage, now-x.since, runs); x.stage != old {
			if old == rollout.StageWaiting {
				s.longestWaiting, s.sumWaiting = max(s.longestWaiting, now-x.since), s.sumWaiting+now-x.since
			}
			x.since = now
		}
		if x.stage == rollout.StageOrdered && loading < maxLoads {
			x.loads, x.since, x.ends = newest, now, now+s.loadTime
			s.loads++
			if pace.Finish && runs > 0 {
				s.finished++
				x.ends += x.runsEnd - now
			}
			loading++
		}
	}
	s.maxLoading, s.maxCordoned, s.maxClosing = max(s.maxLoading, loading), max(s.maxCordoned, cordoned), max(s.maxClosing, len(s.closing))
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (s *stagedRollout) String() string {
	mean := func(sum time.Duration) time.Duration { return (sum / time.Duration(s.loads)).Round(time.Millisecond) }
	return fmt.Sprintf("%d loads, %d of which let runs finish; closing %v on average, waiting %v, %v at most; at most %d load, %d cordoned, %d closing",
		s.loads, s.finished, mean(s.sumClosing), mean(s.sumWaiting), s.longestWaiting, s.maxLoading, s.maxCordoned, s.maxClosing)
}

// TestStagesKeepRolloutDeadline guards against closing and waiting that make a rollout late, and
// against more targets in a stage than allowed.
func TestStagesKeepRolloutDeadline(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name     string
		targets  int
		within   time.Duration
		named    []time.Duration
		start    time.Duration
		loadTime time.Duration
		closing  time.Duration // at least, for the first targets
		noStages bool          // there is no time for them
	}{
		{name: "60 targets in 12 s", targets: 60, within: 12 * second, named: []time.Duration{0}, loadTime: 1200 * time.Millisecond, closing: time.Second},
		{name: "two versions 4 s apart", targets: 60, within: 12 * second, named: []time.Duration{0, 4 * second}, loadTime: 1200 * time.Millisecond, closing: time.Second},
		{name: "three versions 2 s apart", targets: 60, within: 12 * second, named: []time.Duration{0, 2 * second, 4 * second}, loadTime: 1200 * time.Millisecond, closing: time.Second},
		{name: "the holder begins 4 s late", targets: 60, within: 12 * second, named: []time.Duration{0}, start: 4 * second, loadTime: 1200 * time.Millisecond, noStages: true},
		{name: "loads slower than assumed", targets: 60, within: 12 * second, named: []time.Duration{0}, loadTime: 1600 * time.Millisecond},
		{name: "60 targets in 10 s", targets: 60, within: 10 * second, named: []time.Duration{0}, loadTime: 1200 * time.Millisecond},
		{name: "9 targets in 12 s", targets: 9, within: 12 * second, named: []time.Duration{0}, loadTime: 1200 * time.Millisecond},
		{name: "600 targets in 12 s", targets: 600, within: 12 * second, named: []time.Duration{0}, loadTime: 1200 * time.Millisecond, closing: time.Second},
		{name: "60 targets in a minute", targets: 60, within: time.Minute, named: []time.Duration{0}, loadTime: 1200 * time.Millisecond, closing: time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &stagedRollout{within: c.within, named: c.named, start: c.start, loadTime: c.loadTime, longest: 4 * second}
			end := s.run(t, c.targets)
			t.Logf("ended after %v; %v", end, s)
			maxLoads := rollout.MaxConcurrentLoads(c.targets)
			is.True(s.maxLoading <= maxLoads)
			is.True(s.maxCordoned <= maxLoads+maxLoads/3)
			is.True(s.maxClosing <= max(rollout.MaxClosingTargets(c.targets, maxLoads), maxLoads+maxLoads/3))
			is.True(s.longestWaiting <= rollout.MaxWaiting+stagedTick)
			is.True(s.longestClosing >= c.closing)
			is.True(end <= c.named[len(c.named)-1]+c.within)
			for _, x := range s.targets {
				is.True(x.doneAt[0] <= c.within) // no target serves version 1 after its rollout deadline
			}
			if c.noStages {
				is.Equal(s.longestWaiting, time.Duration(0))
			}
		})
	}
}
