package reach_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/reach"
)

const manyTargets = 10

// TestPartitionNeedsSeveralTargetsAndProbe checks that one failing target, or failures with a
// success in between, begin no probe, and that only a failed probe begins a partition.
func TestPartitionNeedsSeveralTargetsAndProbe(t *testing.T) {
	is := is.New(t)
	var links reach.Tracker
	now := time.Unix(1000, 0)
	is.True(!links.ConnectFailed("a", manyTargets, now))
	is.True(!links.ConnectFailed("a", manyTargets, now)) // the same target again
	links.Connected()
	is.True(!links.ConnectFailed("b", manyTargets, now)) // one since the success
	is.True(links.ConnectFailed("c", manyTargets, now))
	is.True(!links.ConnectFailed("d", manyTargets, now)) // one probe at a time
	is.True(!links.Partitioned())
	is.True(links.EndProbe(false))
	is.True(links.Partitioned())
	is.True(!links.ConnectFailed("e", manyTargets, now)) // known already
	links.Connected()
	is.True(!links.Reached(1, 3)) // the links to most are still lost
	is.True(links.Partitioned())
	is.True(links.Reached(2, 3))
	is.True(!links.Partitioned())
	is.True(!links.Reached(3, 3)) // there is no partition to end
}

// TestProbeThatReachesTarget checks that a probe which reaches a target begins no partition, and
// that the next probe waits for new failures and for minProbeInterval.
func TestProbeThatReachesTarget(t *testing.T) {
	is := is.New(t)
	var links reach.Tracker
	now := time.Unix(1000, 0)
	links.ConnectFailed("a", manyTargets, now)
	is.True(links.ConnectFailed("b", manyTargets, now))
	is.True(!links.EndProbe(true))
	is.True(!links.ConnectFailed("a", manyTargets, now))
	is.True(!links.ConnectFailed("b", manyTargets, now.Add(499*time.Millisecond)))
	is.True(links.ConnectFailed("b", manyTargets, now.Add(500*time.Millisecond)))
}

// TestConnectedDuringProbe checks that a connect that succeeds while a probe runs outweighs the
// probe's failure.
func TestConnectedDuringProbe(t *testing.T) {
	is := is.New(t)
	var links reach.Tracker
	now := time.Unix(1000, 0)
	links.ConnectFailed("a", manyTargets, now)
	is.True(links.ConnectFailed("b", manyTargets, now))
	links.Connected()
	is.True(!links.EndProbe(false))
	is.True(!links.Partitioned())
}

// TestOnlyTarget checks that a single known target suffices to begin a probe.
func TestOnlyTarget(t *testing.T) {
	is := is.New(t)
	var links reach.Tracker
	is.True(links.ConnectFailed("a", 1, time.Unix(1000, 0)))
	is.True(links.EndProbe(false))
}

// TestProbeForOtherService checks that a probe which other links have caused begins a partition by
// itself, unless a target is reached meanwhile.
func TestProbeForOtherService(t *testing.T) {
	is := is.New(t)
	var links reach.Tracker
	now := time.Unix(1000, 0)
	is.True(links.BeginProbe(now))
	is.True(!links.BeginProbe(now))
	links.Connected()
	is.True(!links.EndProbe(false))
	is.True(!links.BeginProbe(now.Add(499 * time.Millisecond)))
	is.True(links.BeginProbe(now.Add(500 * time.Millisecond)))
	is.True(links.EndProbe(false))
	is.True(links.Partitioned())
	is.True(!links.BeginProbe(now.Add(time.Hour)))
}
