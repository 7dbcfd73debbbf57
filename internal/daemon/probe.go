package daemon

import (
	"context"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/observe"
	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// probeTargets runs a prober for each target that this instance observes, and
// follows changes of the configuration and of the members.
func (d *Daemon) probeTargets(ctx context.Context) {
	type running struct {
		address string
		stop    context.CancelFunc
	}
	probers := map[string]running{}
	var seen assignment
	for wait.For(ctx, settings.Duration(d.set.Timing.ProbeMS)/2) {
		v := d.view.Load()
		now := assignmentOf(v)
		if now == seen {
			continue
		}
		seen = now
		want := d.observed(v)
		d.observing.Store(int64(len(want)))
		for name, p := range probers {
			if t, ok := want[name]; !ok || t.Address != p.address {
				p.stop()
				delete(probers, name)
			}
		}
		for name, t := range want {
			if _, ok := probers[name]; ok {
				continue
			}
			pctx, stop := context.WithCancel(ctx)
			probers[name] = running{address: t.Address, stop: stop}
			go d.probe(pctx, t)
		}
	}
}

// assignment is what the choice of observers depends on. To work it out again
// costs targets times members, so it is done only when one of them changed.
type assignment struct{ generation, members uint64 }

func assignmentOf(v *view.View) assignment {
	if v.Config == nil {
		return assignment{}
	}
	var h xxhash.Digest
	h.Reset()
	for _, o := range v.Observers {
		_, _ = h.WriteString(o.Name + "/" + o.Zone + "\x00")
	}
	return assignment{generation: v.Head.Generation, members: h.Sum64()}
}

// probeShare of the probe period is the least time between two probes of one
// instance on the average: what it spends on probes does not grow with the
// targets it observes. At the default period that is 8 probes a second.
const probeShare = 2

// probePeriod is the time between two probes of one target. One that has just
// failed is looked at again soon, so that it is known sooner.
func (d *Daemon) probePeriod(failures int) time.Duration {
	least := settings.Duration(d.set.Timing.ProbeMS)
	if failures > 0 && failures < observe.DefaultParams.FailureThreshold {
		return least
	}
	return max(least, time.Duration(d.observing.Load())*least/probeShare)
}

// observed are the targets that fall to this instance.
func (d *Daemon) observed(v *view.View) map[string]config.Target {
	out := map[string]config.Target{}
	if v.Config == nil {
		return out
	}
	for _, t := range v.Bundle.Targets {
		if slices.Contains(observe.Observers(t.Name, v.Observers), d.set.Name) {
			out[t.Name] = t
		}
	}
	return out
}

// probe asks one target for its report until ctx ends.
func (d *Daemon) probe(ctx context.Context, t config.Target) {
	period := settings.Duration(d.set.Timing.ProbeMS)
	var seq uint64
	var version string
	failures := 0
	for {
		st, rtt, err := d.askTarget(ctx, t, period)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			d.send(ctx, targetFailed{name: t.Name})
		} else {
			failures = 0
			d.send(ctx, targetHeard{name: t.Name, report: reportOf(st, rtt)})
			if version != st.Version && version != "" {
				d.hints.RemoveTarget(t.Name) // other weights: all of its cache is gone
			}
			version = st.Version
			seq = d.readEvents(ctx, t, seq, st.EventSeq)
		}
		if !wait.For(ctx, wait.Jitter(d.probePeriod(failures))) {
			return
		}
	}
}

func (d *Daemon) askTarget(ctx context.Context, t config.Target, period time.Duration) (target.Status, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, max(4*period, time.Second))
	defer cancel()
	metric.TargetProbes.Inc()
	start := d.now()
	st, err := d.engines.Status(ctx, t.Address)
	return st, d.now().Sub(start), err
}

func reportOf(st target.Status, rtt time.Duration) observe.Report {
	return observe.Report{Version: st.Version, Adapters: st.Adapters, Leaving: st.Leaving, Loading: st.Loading,
		Running: st.Running + st.Waiting, QueuedTokens: st.QueuedTokens, Age: time.Duration(st.AgeMS * float64(time.Millisecond)), RTT: rtt}
}

// readEvents applies the target's cache events behind seq. An engine whose
// sequence went down has restarted: all that was believed of it is dropped.
func (d *Daemon) readEvents(ctx context.Context, t config.Target, seq, at uint64) uint64 {
	if at < seq {
		d.hints.RemoveTarget(t.Name)
		seq = 0
	}
	if at == seq {
		return seq
	}
	page, err := d.engines.Events(ctx, t.Address, seq)
	if err != nil {
		return seq
	}
	for _, e := range page.Events {
		var k prefix.Key
		if n, err := hex.Decode(k[:], []byte(e.Key)); err != nil || n != len(k) {
			continue
		}
		d.hints.ApplyEvent(t.Name, e.Seq, k, e.Removed)
	}
	return page.Next
}
