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

// watchTimeout is how long one watch call to the platform waits for a change.
const watchTimeout = 30 * time.Second

// followConfig keeps this instance at the newest generation: it reads the head and
// then watches it for changes. Failed calls are repeated with growing, jittered
// backoff, so that instances do not all return at once when an outage ends.
func (d *Daemon) followConfig(ctx context.Context) {
	var version platform.Version
	failures := 0
	for ctx.Err() == nil {
		next, err := d.followConfigOnce(ctx, version)
		d.recordPlatformResult(err)
		if err == nil {
			version, failures = next, 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failures++
		metric.PlatformErrors.Inc()
		d.log.WithError(err).WithField("failures", failures).Warn("cannot read the configuration from the platform")
		delay := min(settings.Duration(d.set.Timing.ConfigPollMS)<<min(failures-1, 4), maxPlatformBackoff)
		if !wait.For(ctx, wait.Jitter(delay)) {
			return
		}
	}
}

// maxPlatformBackoff is the longest pause between calls to a platform that fails.
const maxPlatformBackoff = 30 * time.Second

// followConfigOnce waits until the head differs from seenVersion and applies it if
// its generation is newer. It returns the version of the head that it read.
func (d *Daemon) followConfigOnce(ctx context.Context, seenVersion platform.Version) (platform.Version, error) {
	if seenVersion > 0 {
		if _, err := d.store.Watch(ctx, config.HeadKey, seenVersion, watchTimeout); err != nil {
			return seenVersion, err
		}
	}
	h, version, err := d.repo.Head(ctx)
	if err != nil {
		return seenVersion, err
	}
	if version == 0 { // no configuration exists yet: read again soon
		wait.For(ctx, wait.Jitter(settings.Duration(d.set.Timing.ConfigPollMS)/4))
		return 0, nil
	}
	if h.Generation > d.generation() {
		if err := d.adoptConfig(ctx, h, nil); err != nil {
			return seenVersion, err
		}
	}
	return version, nil
}

// generation returns the generation in force on this instance; 0 means none.
func (d *Daemon) generation() uint64 {
	if v := d.view.Load(); v.Config != nil {
		return v.Head.Generation
	}
	return 0
}

// adoptConfig puts a generation in force on this instance. Buckets that it does not
// hold come from offered, then from the platform; all are verified by their hashes.
func (d *Daemon) adoptConfig(ctx context.Context, h config.Head, offered map[string][]byte) error {
	current := map[string][]byte{}
	d.query(func(c *control) { current = c.buckets })
	parts, byHash := config.EncodedBuckets{}, map[string][]byte{}
	for id, hash := range h.Buckets {
		data, ok := current[hash]
		if !ok {
			if data, ok = offered[hash]; ok && config.Hash(data) != hash {
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
	d.send(ctx, configAccepted{cfg: cfg, buckets: byHash})
	d.query(func(*control) {}) // returns after the event sent above has been applied
	d.log.WithField("generation", h.Generation).WithField("author", h.Author).Info("configuration in force")
	return nil
}

// fetchConfig fetches a newer generation from the peer that reported it. Hashes
// verify the buckets against the head; the head itself is trusted, since peers are
// authenticated.
func (d *Daemon) fetchConfig(ctx context.Context, address string) {
	if !d.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	defer d.fetchingConfig.Store(false)
	req := peer.ConfigRequest{}
	d.query(func(c *control) {
		for hash := range c.buckets {
			req.KnownBuckets = append(req.KnownBuckets, hash)
		}
	})
	ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	var reply peer.ConfigReply
	if err := d.pool.Call(ctx, address, "Peer.Config", &req, &reply); err != nil || len(reply.Head) == 0 {
		return
	}
	h, err := config.DecodeHead(reply.Head)
	if err != nil || h.Generation <= d.generation() {
		return
	}
	if err := d.adoptConfig(ctx, h, reply.Buckets); err != nil {
		d.log.WithError(err).WithField("generation", h.Generation).Warn("cannot apply the configuration from a peer")
	}
}

// configFetchTimeout is the deadline for one transfer of a generation between peers.
const configFetchTimeout = 5 * time.Second

// Config implements peer.Handler. The reply leaves out the buckets that the request
// lists as known.
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
	known := map[string]bool{}
	for _, hash := range req.KnownBuckets {
		known[hash] = true
	}
	d.query(func(c *control) {
		for hash, data := range c.buckets {
			if !known[hash] {
				out.Buckets[hash] = data
			}
		}
	})
	return out, nil
}

// followMachines polls the platform's list of machines, which may lag behind, and
// passes it to the control goroutine.
func (d *Daemon) followMachines(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := d.store.Machines(ctx)
		if err == nil {
			d.applyMachineList(ctx, list)
		}
		if !wait.For(ctx, wait.Jitter(settings.Duration(d.set.Timing.ConfigPollMS))) {
			return
		}
	}
}

// applyMachineList records which machines are leaving and joins live instances that
// are not members yet.
func (d *Daemon) applyMachineList(ctx context.Context, machines []platform.Machine) {
	leaving := map[string]bool{}
	for _, m := range machines {
		if m.State == platform.StateLeaving {
			leaving[m.Name] = true
		}
		if m.Kind == machineKindInstance && m.State == platform.StateLive && m.Name != d.set.Name {
			d.join(ctx, m.Address)
		}
	}
	d.send(ctx, machinesListed{leaving: leaving})
}

// machineKindInstance is the kind of the system's own instances in the platform's
// list of machines.
const machineKindInstance = "instance"
