package rollout_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/rollout"
)

// TestOwnWriteObservedFirst guards against a holder that takes its own renewal for an acquisition, or for
// the write of another process, because a watch reports the write before it is answered, or the answer
// is lost.
func TestOwnWriteObservedFirst(t *testing.T) {
	start := time.Unix(0, 0)
	for _, answer := range []struct {
		name string
		end  func(l *rollout.Lease, version uint64)
	}{
		{"the answer comes later", func(l *rollout.Lease, version uint64) { l.WriteSucceeded(version) }},
		{"the answer is lost", func(l *rollout.Lease, _ uint64) { l.WriteFailed() }},
	} {
		t.Run(answer.name, func(t *testing.T) {
			is := is.New(t)
			lease := rollout.NewLease(params, process("a", 1))
			lease.Observe(rollout.LeaseValue{}, 0, start)
			for i := range uint64(5) {
				now, version := start.Add(time.Duration(i)*params.RenewInterval), 7+2*i
				value := lease.BeginWrite(now, 0)
				lease.Observe(value, version, now.Add(10*time.Millisecond))
				answer.end(lease, version)
				lease.Observe(value, version, now.Add(20*time.Millisecond))
				token, held := lease.Held(now.Add(20 * time.Millisecond))
				is.True(held)
				is.Equal(token, uint64(7))
				_, acquired := lease.TakeAcquired()
				is.Equal(acquired, i == 0)
			}
		})
	}
}

// TestLateAnswerDoesNotBringBackLease guards against a holder that takes the late answer to its write for
// the present state, though another process has written the lease since.
func TestLateAnswerDoesNotBringBackLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	lease := rollout.NewLease(params, process("a", 1))
	lease.Observe(rollout.LeaseValue{}, 0, now)
	lease.BeginWrite(now, 0)
	lease.Observe(rollout.LeaseValue{Holder: process("b", 2), Writes: 1}, 8, now)
	lease.WriteSucceeded(7)
	_, held := lease.Held(now)
	is.True(!held)
}

// TestRestartedHolderWritesAnotherValue guards against a process that writes the value that an earlier
// process of its instance wrote, which the platform takes for no change, and against one that takes the
// earlier process's lease for its own.
func TestRestartedHolderWritesAnotherValue(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	first, second := rollout.NewLease(params, process("a", 1)), rollout.NewLease(params, process("a", 2))
	value := first.BeginWrite(now, 0)
	is.True(value != second.BeginWrite(now, 0))
	second.WriteFailed()
	second.Observe(value, 7, now)
	_, held := second.Held(now)
	is.True(!held)
	step, _ := second.NextStep(now.Add(params.Term + params.Margin - 1))
	is.Equal(step, rollout.StepRead)
}

// TestOrderGuard guards against orders of a new holder, within the lease gap, to targets to which another
// machine may have sent orders: those that a former holder told of or guarded itself, or any if it told
// nothing. A guard isn't dropped when the lease is acquired once more.
func TestOrderGuard(t *testing.T) {
	const gap = 3 * time.Second
	old, self, before := process("old", 1), process("self", 2), process("self", 1)
	lastAct := time.Unix(100, 0)
	end := lastAct.Add(gap)
	report := rollout.HolderReport{Holder: "old", Process: 1, Notices: 2, Targets: []string{"a", "b"}}
	guarded := rollout.HolderReport{Holder: "old", Process: 1, Notices: 2, Targets: []string{"a"}, ReceivedAt: lastAct, Guarded: []rollout.GuardedTime{{Target: "b", For: gap - time.Second}}}
	early := report
	early.Notices = 1
	renamed := before
	renamed.Machine = "elsewhere:1"
	own := rollout.HolderReport{Holder: "self", Process: 1, Notices: 2, Targets: []string{"a"}, ReceivedAt: lastAct, Guarded: []rollout.GuardedTime{{Target: "b", For: gap}}}
	for _, c := range []struct {
		name     string
		previous []rollout.Holder // of one acquisition each
		report   rollout.HolderReport
		at       time.Time
		want     []string
	}{
		{"told", []rollout.Holder{old}, report, end.Add(-1), []string{"a", "b"}},
		{"told, over", []rollout.Holder{old}, report, end, []string{}},
		{"nothing told", []rollout.Holder{old}, rollout.HolderReport{}, end.Add(-1), []string{"a", "b", "c"}},
		{"nothing told, over", []rollout.Holder{old}, rollout.HolderReport{}, end, []string{}},
		{"another told", []rollout.Holder{process("other", 1)}, report, end.Add(-1), []string{"a", "b", "c"}},
		{"an earlier process of the former holder told", []rollout.Holder{process("old", 2)}, report, end.Add(-1), []string{"a", "b", "c"}},
		{"told before the last notice", []rollout.Holder{old}, early, end.Add(-1), []string{"a", "b", "c"}},
		{"told before the last notice, over", []rollout.Holder{old}, early, end, []string{}},
		{"acquired again by this process", []rollout.Holder{old, self, self}, report, end.Add(-1), []string{"a", "b"}},
		{"guarded by the former holder", []rollout.Holder{old}, guarded, end.Add(-time.Second - 1), []string{"a", "b"}},
		{"guarded by the former holder, over", []rollout.Holder{old}, guarded, end.Add(-time.Second), []string{"a"}},
		{"an earlier process of this machine", []rollout.Holder{before}, own, end.Add(-1), []string{"b"}},
		{"an earlier process of this machine, another told", []rollout.Holder{before}, report, end.Add(-1), []string{"a", "b", "c"}},
		{"another machine of this name", []rollout.Holder{renamed}, own, end.Add(-1), []string{"a", "b"}},
		{"the first holder of all", []rollout.Holder{{}}, rollout.HolderReport{}, lastAct, []string{}},
		{"this process before", []rollout.Holder{self}, rollout.HolderReport{}, lastAct, []string{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var g rollout.OrderGuard
			for _, p := range c.previous {
				g.LeaseAcquired(rollout.Acquisition{Previous: p, LastAct: lastAct, Notices: 2}, self, gap, c.report)
			}
			is.Equal(blocked(&g, c.at), c.want)
			// A next holder that learns of this guard keeps to it too.
			var next rollout.OrderGuard
			all, targets := g.Remaining(c.at)
			next.LeaseAcquired(rollout.Acquisition{Previous: self, LastAct: c.at.Add(-gap)}, process("next", 3), gap,
				rollout.HolderReport{Holder: "self", Process: self.Process, ReceivedAt: c.at, GuardAll: all, Guarded: targets})
			is.Equal(blocked(&next, c.at), c.want)
		})
	}
}

// blocked returns which of three targets are guarded.
func blocked(g *rollout.OrderGuard, now time.Time) []string {
	return slices.DeleteFunc([]string{"a", "b", "c"}, func(id string) bool { return !g.Blocks(id, now) })
}
