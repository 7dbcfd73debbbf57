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

// probeTargets runs one probe loop for each target assigned to this instance and
// updates the set when the configuration or the members change.
func (d *Daemon) probeTargets(ctx context.Context) {
	type running struct {
		address string
		stop    context.CancelFunc
	}
	probers := map[string]running{}
	var previous observerInputs
	for wait.For(ctx, settings.Duration(d.set.Timing.ProbeMS)/2) {
		v := d.view.Load()
		current := observerInputsOf(v)
		if current == previous {
			continue
		}
		previous = current
		assigned := d.assignedTargets(v)
		d.observedCount.Store(int64(len(assigned)))
		for name, p := range probers {
			if t, ok := assigned[name]; !ok || t.Address != p.address {
				p.stop()
				delete(probers, name)
			}
		}
		for name, t := range assigned {
			if _, ok := probers[name]; ok {
				continue
			}
			pctx, stop := context.WithCancel(ctx)
			probers[name] = running{address: t.Address, stop: stop}
			go d.probe(pctx, t)
		}
	}
}

// observerInputs identifies the inputs of the assignment of targets to observers.
// Computing the assignment costs targets times members, so it is repeated only when
// an input has changed.
type observerInputs struct{ generation, members uint64 }

func observerInputsOf(v *view.View) observerInputs {
	if v.Config == nil {
		return observerInputs{}
	}
	var h xxhash.Digest
	h.Reset()
	for _, o := range v.Observers {
		_, _ = h.WriteString(o.Name + "/" + o.Zone + "\x00")
	}
	return observerInputs{generation: v.Head.Generation, members: h.Sum64()}
}

// probesPerPeriod is the largest mean number of probes that one instance sends per
// probe period, so that the cost of probing does not grow with the number of targets
// assigned to it. With the default period that is 8 probes per second.
const probesPerPeriod = 2

// probeInterval returns the time between two probes of one target. A target that has
// just failed is probed again after the shortest interval, so that its failure is
// confirmed sooner.
func (d *Daemon) probeInterval(failures int) time.Duration {
	minInterval := settings.Duration(d.set.Timing.ProbeMS)
	if failures > 0 && failures < observe.DefaultParams.FailureThreshold {
		return minInterval
	}
	return max(minInterval, time.Duration(d.observedCount.Load())*minInterval/probesPerPeriod)
}

// assignedTargets returns the targets that this instance observes, by name.
func (d *Daemon) assignedTargets(v *view.View) map[string]config.Target {
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

// probe polls the status and cache events of one target until ctx ends.
func (d *Daemon) probe(ctx context.Context, t config.Target) {
	period := settings.Duration(d.set.Timing.ProbeMS)
	var seq uint64
	var version string
	failures := 0
	for {
		st, rtt, err := d.fetchStatus(ctx, t, period)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			d.send(ctx, targetProbeFailed{name: t.Name})
		} else {
			failures = 0
			d.send(ctx, targetReported{name: t.Name, report: reportOf(st, rtt)})
			if version != st.Version && version != "" {
				d.hints.RemoveTarget(t.Name) // a change of weights empties the cache
			}
			version = st.Version
			seq = d.readEvents(ctx, t, seq, st.EventSeq)
		}
		if !wait.For(ctx, wait.Jitter(d.probeInterval(failures))) {
			return
		}
	}
}

func (d *Daemon) fetchStatus(ctx context.Context, t config.Target, period time.Duration) (target.Status, time.Duration, error) {
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

// readEvents applies the target's cache events after seq and returns the sequence
// number reached. If the engine's sequence number has gone down, the engine has
// restarted, and everything known about its cache is removed.
func (d *Daemon) readEvents(ctx context.Context, t config.Target, seq, latest uint64) uint64 {
	if latest < seq {
		d.hints.RemoveTarget(t.Name)
		seq = 0
	}
	if latest == seq {
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
