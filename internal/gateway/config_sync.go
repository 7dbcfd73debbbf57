package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// A configuration may take a megabyte, so a reference to a new version travels separately
// from the document. The reference spreads from peer to peer immediately, and each instance
// then reads a large document from the object store, whose link carries as much as those of
// a hundred peers. Only an instance that can't reach the store fetches it from a peer, in
// chunks.

const (
	// maxInlineConfig is the size in bytes above which a configuration is not included in
	// updates between peers. Over 10 Mbit/s an instance sends one of this size to the
	// treeFanout others that request it in 0.3 s, half of peerTimeout.
	maxInlineConfig = 32 << 10
	// configGrace is how long an instance waits for a version to arrive with updates or its
	// own watch before it reads the version from the object store. It covers one request for
	// updates that failed.
	configGrace = catchUpDelay + peerTimeout + controlTick
	// configChunkSize is the size in bytes of the part of a configuration that one call
	// transfers. It takes 13 ms over 10 Mbit/s, so that probes on the same connection are not
	// delayed.
	configChunkSize = 16 << 10
	// maxConfigReceivers is how many instances fetch a configuration from this one at a time.
	// Each has one chunk in transit, together 52 ms over 10 Mbit/s, a tenth of peerTimeout.
	// An instance that has the complete document serves as many others.
	maxConfigReceivers = 4
	// configRetryPause is the pause after an attempt to fetch a configuration.
	configRetryPause = 150 * time.Millisecond
	// maxConfigHolders is how many peers that hold a version are remembered.
	maxConfigHolders = 8
)

// ConfigRef identifies a configuration. It may be sent ahead of the document.
type ConfigRef struct {
	Version uint64 `cbor:"1,keyasint"`
	Bytes   int    `cbor:"2,keyasint"` // size of the document as stored
}

// isLarge reports whether the document is too large to be included in updates between peers.
func (r ConfigRef) isLarge() bool { return r.Bytes > maxInlineConfig }

// reportedConfig is the newest configuration that a peer reported.
type reportedConfig struct {
	ConfigRef
	since   time.Time       // when a version that is not in force here was first reported
	holders []member.Member // peers that have it in force
}

// configInForce returns the reference of the configuration that is in force here.
func (c *controlState) configInForce() ConfigRef {
	if c.cfg == nil {
		return ConfigRef{}
	}
	return ConfigRef{Version: c.cfg.Version, Bytes: len(c.rawConfig)}
}

// newestConfig returns the reference that peers are sent: that of a large document that has
// not arrived yet, otherwise that of the configuration in force.
func (c *controlState) newestConfig() ConfigRef {
	inForce := c.configInForce()
	if c.reportedConfig.Version > inForce.Version && c.reportedConfig.isLarge() {
		return c.reportedConfig.ConfigRef
	}
	return inForce
}

// receiveConfigRef records which configuration a peer reports, and logs each newer one.
func (c *controlState) receiveConfigRef(versions StateVersions, from member.Member) {
	inForce, reported := c.configInForce(), &c.reportedConfig
	if versions.NewestConfig.Version > max(inForce.Version, reported.Version) {
		if reported.Version <= inForce.Version {
			reported.since = c.now()
		}
		reported.ConfigRef, reported.holders = versions.NewestConfig, nil
		c.log.WithField("version", reported.Version).WithField("bytes", reported.Bytes).WithField("in_force", inForce.Version).WithField("peer", from.Name).Info("newer configuration heard of")
	}
	if versions.Config == reported.Version && reported.Version > inForce.Version {
		reported.holders = append(reported.holders, from)
		reported.holders = reported.holders[max(len(reported.holders)-maxConfigHolders, 0):]
	}
}

// pendingConfig returns the newest reported configuration if it is not in force here yet,
// otherwise nil.
func (g *Gateway) pendingConfig() *reportedConfig {
	var result *reportedConfig
	g.queryControl(func(c *controlState) {
		if c.reportedConfig.Version > c.configInForce().Version {
			pending := c.reportedConfig
			pending.holders = slices.Clone(pending.holders)
			result = &pending
		}
	})
	return result
}

// fetchConfigs runs until ctx ends and fetches reported configurations that do not arrive
// with updates or the instance's own watch.
func (g *Gateway) fetchConfigs(ctx context.Context) {
	var partial partialConfig
	pause := updatePoll
	for ctx.Err() == nil {
		g.configDue.Wait(ctx, pause)
		pause = updatePoll
		if g.view.Load().NewestReportedConfig <= g.configVersion() {
			continue
		}
		if pending := g.pendingConfig(); pending != nil && g.fetchConfig(ctx, pending, &partial) {
			pause = wait.Jitter(configRetryPause)
		}
	}
}

// fetchConfig fetches a pending configuration from the store or a peer. It returns false if
// the configuration is still expected to arrive without that.
func (g *Gateway) fetchConfig(ctx context.Context, pending *reportedConfig, partial *partialConfig) bool {
	storeReachable := g.storeReachable.Load()
	switch {
	case pending.isLarge() && !storeReachable:
		g.configFromPeer(ctx, pending, partial)
	case pending.isLarge() && g.reliesOnPeers(), storeReachable && g.now().Sub(pending.since) >= configGrace:
		g.configFromStore(ctx, pending.ConfigRef)
	default:
		return false
	}
	return true
}

// configFromStore lists the configuration instead of watching its changes: of several
// versions since the last one only the newest is needed.
func (g *Gateway) configFromStore(ctx context.Context, ref ConfigRef) {
	kind, _, _ := g.codec.Kinds()
	requestedAt := g.now()
	s, err := g.store.List(ctx, kind)
	if ctx.Err() != nil {
		return
	}
	g.noteContact(kind, err)
	entry := g.log.WithField("heard_of", ref.Version).WithField("bytes", ref.Bytes).WithField("took_ms", g.now().Sub(requestedAt).Milliseconds())
	if err != nil {
		metric.PlatformErrors.Inc()
		entry.WithError(err).Warn("configuration not read from the object store")
		return
	}
	entry.Info("configuration read from the object store")
	g.applyConfigs(s.Objects)
	g.confirmComplete(staleness.Config, requestedAt)
}

// ConfigRequest requests a chunk of a configuration from a peer.
type ConfigRequest struct {
	From    string `cbor:"1,keyasint"` // name of the requester
	Version uint64 `cbor:"2,keyasint"` // version of the chunks that it has; 0: none
	Offset  int    `cbor:"3,keyasint"` // number of bytes that it has
}

// ConfigReply is the reply to a ConfigRequest. Busy means that the peer currently serves
// maxConfigReceivers others.
type ConfigReply struct {
	Ref   ConfigRef `cbor:"1,keyasint"` // configuration in force at the sender
	Chunk []byte    `cbor:"2,keyasint"` // starts at the requested offset if the version is the requested one, otherwise at 0
	Busy  bool      `cbor:"3,keyasint,omitempty"`
}

// Config returns a chunk of the configuration in force.
func (h *peerHandler) Config(req *ConfigRequest, out *ConfigReply) error {
	var raw []byte
	h.g.queryControl(func(c *controlState) { out.Ref, raw = c.configInForce(), c.rawConfig })
	from := 0
	if req.Version == out.Ref.Version {
		from = min(max(req.Offset, 0), len(raw))
	}
	to := min(from+configChunkSize, len(raw))
	if out.Busy = !h.g.configReceivers.admit(req.From, to == len(raw), h.g.now()); !out.Busy {
		out.Chunk = raw[from:to]
	}
	return nil
}

// partialConfig is the part of a configuration received so far. It is retained if a peer
// fails, so that the transfer can resume from another peer.
type partialConfig struct {
	ref ConfigRef
	raw []byte
}

// configFromPeer fetches the configuration in chunks from a peer that holds it.
func (g *Gateway) configFromPeer(ctx context.Context, pending *reportedConfig, partial *partialConfig) {
	if len(pending.holders) == 0 {
		return // no holder is known yet
	}
	holder := pending.holders[rand.IntN(len(pending.holders))]
	entry := g.log.WithField("peer", holder.Name).WithField("heard_of", pending.Version)
	for ctx.Err() == nil {
		reply, err := g.requestChunk(ctx, holder.Address, partial)
		if err != nil {
			metric.UpdatesFailed.Inc()
			entry.WithError(err).WithField("had_bytes", len(partial.raw)).Warn("configuration not received from a peer")
			return
		}
		if reply.Busy {
			return
		}
		if !partial.add(reply) {
			*partial = partialConfig{}
			return
		}
		if len(partial.raw) == partial.ref.Bytes {
			entry.WithField("version", partial.ref.Version).WithField("bytes", len(partial.raw)).Info("configuration received from a peer")
			g.applyConfig(partial.raw, fromPeer)
			*partial = partialConfig{}
			return
		}
	}
}

// add appends a chunk, and starts over if it belongs to another version. It returns false if
// the sender has no configuration, or a different one under the same version.
func (p *partialConfig) add(reply ConfigReply) bool {
	if reply.Ref != p.ref {
		*p = partialConfig{ref: reply.Ref}
	}
	p.raw = append(p.raw, reply.Chunk...)
	return len(reply.Chunk) > 0 && len(p.raw) <= p.ref.Bytes
}

// requestChunk requests the chunk that follows those received so far.
func (g *Gateway) requestChunk(ctx context.Context, address string, partial *partialConfig) (ConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var out ConfigReply
	req := &ConfigRequest{From: g.settings().Name, Version: partial.ref.Version, Offset: len(partial.raw)}
	err := g.pool.Call(ctx, address, peerService+".Config", req, &out)
	return out, err
}

// configReceivers tracks the instances that are fetching a configuration from this one.
type configReceivers struct {
	mu        sync.Mutex
	lastChunk map[string]time.Time // when each was sent its latest chunk
}

// admit reports whether an instance may be sent a chunk now, and if so records it as a
// receiver until peerTimeout after its latest chunk. last means that the chunk completes the
// document, which ends the record at once.
func (r *configReceivers) admit(name string, last bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, at := range r.lastChunk {
		if now.Sub(at) > peerTimeout {
			delete(r.lastChunk, other) // it gave up or is gone
		}
	}
	if _, receiving := r.lastChunk[name]; !receiving && len(r.lastChunk) >= maxConfigReceivers {
		return false
	}
	if r.lastChunk == nil {
		r.lastChunk = map[string]time.Time{}
	}
	r.lastChunk[name] = now
	if last {
		delete(r.lastChunk, name)
	}
	return true
}
