package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/peer"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/view"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// watchWait is how long one watch of the platform waits for a change.
const watchWait = 30 * time.Second

// follow keeps this instance at the newest generation: it reads the head, then
// waits for its change; a failed call is repeated after a jittered pause that
// grows, so that the end of an outage meets no crowd.
func (d *Daemon) follow(ctx context.Context) {
	var version platform.Version
	failures := 0
	for ctx.Err() == nil {
		next, err := d.followOnce(ctx, version)
		d.platformSaid(err)
		if err == nil {
			version, failures = next, 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failures++
		metric.PlatformErrors.Inc()
		d.log.WithError(err).WithField("failures", failures).Warn("platform not reached for configuration")
		delay := min(settings.Duration(d.set.Timing.ConfigPollMS)<<min(failures-1, 4), maxPlatformPause)
		if !wait.For(ctx, wait.Jitter(delay)) {
			return
		}
	}
}

// maxPlatformPause bounds the pause between calls to a platform that is down.
const maxPlatformPause = 30 * time.Second

func (d *Daemon) followOnce(ctx context.Context, seen platform.Version) (platform.Version, error) {
	if seen > 0 {
		if _, err := d.store.Watch(ctx, config.HeadKey, seen, watchWait); err != nil {
			return seen, err
		}
	}
	h, version, err := d.repo.Head(ctx)
	if err != nil {
		return seen, err
	}
	if version == 0 { // nothing was ever applied: look again soon
		wait.For(ctx, wait.Jitter(settings.Duration(d.set.Timing.ConfigPollMS)/4))
		return 0, nil
	}
	if h.Generation > d.generation() {
		if err := d.adopt(ctx, h, nil); err != nil {
			return seen, err
		}
	}
	return version, nil
}

// generation is the generation in force here; 0 is none.
func (d *Daemon) generation() uint64 {
	if v := d.view.Load(); v.Config != nil {
		return v.Head.Generation
	}
	return 0
}

// adopt brings a generation in force here: buckets it lacks are taken from
// given, then from the platform; all are checked against their hashes.
func (d *Daemon) adopt(ctx context.Context, h config.Head, given map[string][]byte) error {
	have := map[string][]byte{}
	d.query(func(c *control) { have = c.parts })
	parts, byHash := config.EncodedBuckets{}, map[string][]byte{}
	for id, hash := range h.Buckets {
		data, ok := have[hash]
		if !ok {
			if data, ok = given[hash]; ok && config.Hash(data) != hash {
				return &config.CorruptError{Key: hash}
			}
		}
		if !ok {
			var err error
			if data, err = d.repo.Fetch(ctx, hash); err != nil {
				return err
			}
		}
		parts[id], byHash[hash] = data, data
	}
	b, err := config.Join(parts)
	if err != nil {
		return err
	}
	cfg, err := view.NewConfig(h, b)
	if err != nil {
		metric.ConfigErrors.Inc()
		return err
	}
	d.send(ctx, configAccepted{cfg: cfg, parts: byHash})
	d.query(func(*control) {}) // the event before has been applied when this returns
	d.log.WithField("generation", h.Generation).WithField("author", h.Author).Info("configuration in force")
	return nil
}

// pull takes a newer generation from a peer that told of it. The peer's word
// is proved by hashes only as far as the head's own buckets; the head itself
// is believed, since peers have proved who they are.
func (d *Daemon) pull(ctx context.Context, address string) {
	if !d.pulling.CompareAndSwap(false, true) {
		return
	}
	defer d.pulling.Store(false)
	req := peer.ConfigRequest{}
	d.query(func(c *control) {
		for hash := range c.parts {
			req.KnownBuckets = append(req.KnownBuckets, hash)
		}
	})
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply peer.ConfigReply
	if err := d.pool.Call(ctx, address, "Peer.Config", &req, &reply); err != nil || len(reply.Head) == 0 {
		return
	}
	h, err := config.DecodeHead(reply.Head)
	if err != nil || h.Generation <= d.generation() {
		return
	}
	if err := d.adopt(ctx, h, reply.Buckets); err != nil {
		d.log.WithError(err).WithField("generation", h.Generation).Warn("configuration from a peer not adopted")
	}
}

// pullTimeout bounds one transfer of a generation between peers.
const pullTimeout = 5 * time.Second

// Config implements peer.Handler.
func (d *Daemon) Config(req peer.ConfigRequest) (peer.ConfigReply, error) {
	v := d.view.Load()
	if v.Config == nil {
		return peer.ConfigReply{}, nil
	}
	head, err := json.Marshal(v.Head)
	if err != nil {
		return peer.ConfigReply{}, &config.EncodeError{Cause: err}
	}
	out := peer.ConfigReply{Head: head, Buckets: map[string][]byte{}}
	has := map[string]bool{}
	for _, hash := range req.KnownBuckets {
		has[hash] = true
	}
	d.query(func(c *control) {
		for hash, data := range c.parts {
			if !has[hash] {
				out.Buckets[hash] = data
			}
		}
	})
	return out, nil
}

// followMachines keeps the lagging list in the control state.
func (d *Daemon) followMachines(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := d.store.Machines(ctx)
		if err == nil {
			d.listed(ctx, list)
		}
		if !wait.For(ctx, wait.Jitter(settings.Duration(d.set.Timing.ConfigPollMS))) {
			return
		}
	}
}

func (d *Daemon) listed(ctx context.Context, list []platform.Machine) {
	leaving := map[string]bool{}
	for _, m := range list {
		if m.State == platform.StateLeaving {
			leaving[m.Name] = true
		}
		if m.Kind == machineInstance && m.State == platform.StateLive && m.Name != d.set.Name {
			d.greet(ctx, m.Address)
		}
	}
	d.send(ctx, machinesListed{leaving: leaving})
}

// machineInstance is the list's kind of the system's own instances.
const machineInstance = "instance"
