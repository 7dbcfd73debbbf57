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

// A configuration may take a megabyte. So the word of a new version travels apart from the
// document: the word goes from peer to peer at once, and each instance then reads a long
// document from the object store, whose link carries what a hundred peers' links do. Only an
// instance that can't reach the store takes it from a peer, in pieces.

const (
	// maxInlineConfig is the size from which a configuration is no part of a peer's news, in
	// bytes: over 10 Mbit/s an instance hands one of this size to the treeFanout others that
	// ask it in 0.3 s, half of peerTimeout.
	maxInlineConfig = 32 << 10
	// configGrace is how long an instance waits for a version that should come by itself,
	// by news or by its own watch, before it reads it from the object store: the news were
	// asked for once, and that failed.
	configGrace = catchUpDelay + peerTimeout + controlTick
	// configChunkSize is how much of a configuration one exchange brings, in bytes: 13 ms of
	// a link of 10 Mbit/s, so that probes on the same connection are not held up.
	configChunkSize = 16 << 10
	// maxConfigReceivers is how many instances take a configuration from this one at a time.
	// Each has one piece under way: together 52 ms of a link of 10 Mbit/s, a tenth of
	// peerTimeout. Whoever has it whole serves as many again.
	maxConfigReceivers = 4
	// configRetryPause is the pause after a try to get a configuration that failed.
	configRetryPause = 150 * time.Millisecond
	// maxConfigHolders is how many peers with a version are remembered.
	maxConfigHolders = 8
)

// ConfigRef names a configuration. It travels ahead of the document.
type ConfigRef struct {
	Version uint64 `cbor:"1,keyasint"`
	Bytes   int    `cbor:"2,keyasint"` // size of the document as stored
}

// isLarge says whether the document is no part of a peer's news.
func (w ConfigRef) isLarge() bool { return w.Bytes > maxInlineConfig }

// reportedConfig is the newest configuration that a peer spoke of.
type reportedConfig struct {
	ConfigRef
	since   time.Time       // since when some version has been heard of that is not in force here
	holders []member.Member // peers that have it in force
}

// configInForce is the word of the configuration that is in force here.
func (c *controlState) configInForce() ConfigRef {
	if c.cfg == nil {
		return ConfigRef{}
	}
	return ConfigRef{Version: c.cfg.Version, Bytes: len(c.rawConfig)}
}

// newestConfig is what peers are told: the word of a long document that is still to come,
// else the configuration in force.
func (c *controlState) newestConfig() ConfigRef {
	in := c.configInForce()
	if c.reportedConfig.Version > in.Version && c.reportedConfig.isLarge() {
		return c.reportedConfig.ConfigRef
	}
	return in
}

// receiveConfigRef notes what configuration a peer knows of, with a line for each newer one.
func (c *controlState) receiveConfigRef(have StateVersions, from member.Member) {
	in, h := c.configInForce(), &c.reportedConfig
	if have.NewestConfig.Version > max(in.Version, h.Version) {
		if h.Version <= in.Version {
			h.since = c.now()
		}
		h.ConfigRef, h.holders = have.NewestConfig, nil
		c.log.WithField("version", h.Version).WithField("bytes", h.Bytes).WithField("in_force", in.Version).WithField("peer", from.Name).Info("newer configuration heard of")
	}
	if have.Config == h.Version && h.Version > in.Version {
		h.holders = append(h.holders, from)
		h.holders = h.holders[max(len(h.holders)-maxConfigHolders, 0):]
	}
}

// pendingConfig is a configuration that was heard of and is not in force here; nil: none.
func (g *Gateway) pendingConfig() *reportedConfig {
	var out *reportedConfig
	g.queryControl(func(c *controlState) {
		if c.reportedConfig.Version > c.configInForce().Version {
			h := c.reportedConfig
			h.holders = slices.Clone(h.holders)
			out = &h
		}
	})
	return out
}

// fetchConfigs gets configurations that were heard of and do not come by themselves.
func (g *Gateway) fetchConfigs(ctx context.Context) {
	var part partialConfig
	pause := updatePoll
	for ctx.Err() == nil {
		g.configDue.Wait(ctx, pause)
		pause = updatePoll
		if g.view.Load().NewestReportedConfig <= g.configVersion() {
			continue
		}
		if p := g.pendingConfig(); p != nil && g.fetchConfig(ctx, p, &part) {
			pause = wait.Jitter(configRetryPause)
		}
	}
}

// fetchConfig takes a pending configuration from where it can be had. It returns false if it
// is left to come by itself.
func (g *Gateway) fetchConfig(ctx context.Context, p *reportedConfig, part *partialConfig) bool {
	stored := g.storeReachable.Load()
	switch {
	case p.isLarge() && !stored:
		g.configFromPeer(ctx, p, part)
	case p.isLarge() && g.reliesOnPeers(), stored && g.now().Sub(p.since) >= configGrace:
		g.configFromStore(ctx, p.ConfigRef)
	default:
		return false
	}
	return true
}

// configFromStore lists the configuration instead of taking its changes: of several
// versions that came since only the newest is of use.
func (g *Gateway) configFromStore(ctx context.Context, word ConfigRef) {
	kind, _, _ := g.codec.Kinds()
	asked := g.now()
	s, err := g.store.List(ctx, kind)
	if ctx.Err() != nil {
		return
	}
	g.noteContact(kind, err)
	entry := g.log.WithField("heard_of", word.Version).WithField("bytes", word.Bytes).WithField("took_ms", g.now().Sub(asked).Milliseconds())
	if err != nil {
		metric.PlatformErrors.Inc()
		entry.WithError(err).Warn("configuration not read from the object store")
		return
	}
	entry.Info("configuration read from the object store")
	g.applyConfigs(s.Objects)
	g.confirmComplete(staleness.Config, asked)
}

// ConfigRequest asks a peer for a piece of a configuration.
type ConfigRequest struct {
	From    string `cbor:"1,keyasint"` // name of the asker
	Version uint64 `cbor:"2,keyasint"` // of the pieces that it has; 0: none
	Offset  int    `cbor:"3,keyasint"` // up to where it has them
}

// ConfigReply is the answer.
type ConfigReply struct {
	Ref   ConfigRef `cbor:"1,keyasint"` // what is in force at the teller
	Chunk []byte    `cbor:"2,keyasint"` // from the asker's offset on, if the version is the asker's; else from the start
	Busy  bool      `cbor:"3,keyasint,omitempty"`
}

// Config hands out a piece of the configuration in force.
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

// partialConfig is what was brought of a configuration so far. It outlasts a peer's failure:
// another one goes on behind it.
type partialConfig struct {
	ref ConfigRef
	raw []byte
}

// configFromPeer takes the configuration from a peer that has it, piece by piece.
func (g *Gateway) configFromPeer(ctx context.Context, p *reportedConfig, part *partialConfig) {
	if len(p.holders) == 0 {
		return // none is known yet
	}
	holder := p.holders[rand.IntN(len(p.holders))]
	entry := g.log.WithField("peer", holder.Name).WithField("heard_of", p.Version)
	for ctx.Err() == nil {
		piece, err := g.requestChunk(ctx, holder.Address, part)
		if err != nil {
			metric.UpdatesFailed.Inc()
			entry.WithError(err).WithField("had_bytes", len(part.raw)).Warn("configuration not had from a peer")
			return
		}
		if piece.Busy {
			return
		}
		if !part.add(piece) {
			*part = partialConfig{}
			return
		}
		if len(part.raw) == part.ref.Bytes {
			entry.WithField("version", part.ref.Version).WithField("bytes", len(part.raw)).Info("configuration had from a peer")
			g.applyConfig(part.raw, fromPeer)
			*part = partialConfig{}
			return
		}
	}
}

// add takes a further piece. It returns false if the teller has no configuration, or
// another one under the same version.
func (p *partialConfig) add(piece ConfigReply) bool {
	if piece.Ref != p.ref {
		*p = partialConfig{ref: piece.Ref}
	}
	p.raw = append(p.raw, piece.Chunk...)
	return len(piece.Chunk) > 0 && len(p.raw) <= p.ref.Bytes
}

func (g *Gateway) requestChunk(ctx context.Context, address string, part *partialConfig) (ConfigReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var out ConfigReply
	ask := &ConfigRequest{From: g.settings().Name, Version: part.ref.Version, Offset: len(part.raw)}
	err := g.pool.Call(ctx, address, peerService+".Config", ask, &out)
	return out, err
}

// configReceivers are the instances that take a configuration from this one.
type configReceivers struct {
	mu        sync.Mutex
	lastChunk map[string]time.Time // when each took its last piece
}

// admit says whether an instance may take a piece now; last says that it is the last one.
func (t *configReceivers) admit(name string, last bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, at := range t.lastChunk {
		if now.Sub(at) > peerTimeout {
			delete(t.lastChunk, other) // it gave up, or is no more
		}
	}
	if _, there := t.lastChunk[name]; !there && len(t.lastChunk) >= maxConfigReceivers {
		return false
	}
	if t.lastChunk == nil {
		t.lastChunk = map[string]time.Time{}
	}
	t.lastChunk[name] = now
	if last {
		delete(t.lastChunk, name)
	}
	return true
}
