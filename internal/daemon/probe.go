package daemon

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/observe"
	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/target"
)

// probeTargets runs one prober for each configured target and follows changes
// of the configuration.
func (d *Daemon) probeTargets(ctx context.Context) {
	type running struct {
		address string
		stop    context.CancelFunc
	}
	probers := map[string]running{}
	var seen uint64
	for pause(ctx, settings.Duration(d.set.Timing.ProbeMS)/2) {
		v := d.view.Load()
		if v.Config == nil || v.Head.Generation == seen {
			continue
		}
		seen = v.Head.Generation
		want := map[string]config.Target{}
		for _, t := range v.Bundle.Targets {
			want[t.Name] = t
		}
		for name, p := range probers {
			if t, ok := want[name]; !ok || t.Address != p.address {
				p.stop()
				delete(probers, name)
				d.hints.Drop(name)
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

// probe asks one target for its report until ctx ends.
func (d *Daemon) probe(ctx context.Context, t config.Target) {
	period := settings.Duration(d.set.Timing.ProbeMS)
	var seq uint64
	var version string
	for {
		st, rtt, err := d.askTarget(ctx, t, period)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			d.send(ctx, targetFailed{name: t.Name})
		} else {
			d.send(ctx, targetHeard{name: t.Name, report: reportOf(st, rtt)})
			if version != st.Version && version != "" {
				d.hints.Drop(t.Name) // other weights: all of its cache is gone
			}
			version = st.Version
			seq = d.readEvents(ctx, t, seq, st.EventSeq)
		}
		if !pause(ctx, jitter(period)) {
			return
		}
	}
}

func (d *Daemon) askTarget(ctx context.Context, t config.Target, period time.Duration) (target.Status, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, max(4*period, time.Second))
	defer cancel()
	start := d.now()
	st, err := d.engines.Status(ctx, t.Address)
	return st, d.now().Sub(start), err
}

func reportOf(st target.Status, rtt time.Duration) observe.Report {
	return observe.Report{Version: st.Version, Adapters: st.Adapters, Leaving: st.Leaving, Loading: st.Loading,
		Running: st.Running + st.Waiting, Queued: st.QueuedTokens, Age: time.Duration(st.AgeMS * float64(time.Millisecond)), RTT: rtt}
}

// readEvents applies the target's cache events behind seq. An engine whose
// sequence went down has restarted: all that was believed of it is dropped.
func (d *Daemon) readEvents(ctx context.Context, t config.Target, seq, at uint64) uint64 {
	if at < seq {
		d.hints.Drop(t.Name)
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
		d.hints.Event(t.Name, e.Seq, k, e.Removed)
	}
	return page.Next
}
