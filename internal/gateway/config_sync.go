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
	// longConfig is the size from which a configuration is no part of a peer's news, in
	// bytes: over 10 Mbit/s an instance hands one of this size to the treeFan others that
	// ask it in 0.3 s, half of peerTimeout.
	longConfig = 32 << 10
	// configGrace is how long an instance waits for a version that should come by itself,
	// by news or by its own watch, before it reads it from the object store: the news were
	// asked for once, and that failed.
	configGrace = catchUpDelay + peerTimeout + controlTick
	// configPiece is how much of a configuration one exchange brings, in bytes: 13 ms of
	// a link of 10 Mbit/s, so that probes on the same connection are not held up.
	configPiece = 16 << 10
	// configTakers is how many instances take a configuration from this one at a time.
	// Each has one piece under way: together 52 ms of a link of 10 Mbit/s, a tenth of
	// peerTimeout. Whoever has it whole serves as many again.
	configTakers = 4
	// configRetry is the pause after a try to get a configuration that failed.
	configRetry = 150 * time.Millisecond
	// holdersKept is how many peers with a version are remembered.
	holdersKept = 8
)

// ConfigWord names a configuration. It travels ahead of the document.
type ConfigWord struct {
	Version uint64 `cbor:"1,keyasint"`
	Bytes   int    `cbor:"2,keyasint"` // size of the document as stored
}

// long says whether the document is no part of a peer's news.
func (w ConfigWord) long() bool { return w.Bytes > longConfig }

// heardConfig is the newest configuration that a peer spoke of.
type heardConfig struct {
	ConfigWord
	since   time.Time       // since when some version has been heard of that is not in force here
	holders []member.Member // peers that have it in force
}

// configInForce is the word of the configuration that is in force here.
func (c *control) configInForce() ConfigWord {
	if c.cfg == nil {
		return ConfigWord{}
	}
	return ConfigWord{Version: c.cfg.Version, Bytes: len(c.raw)}
}

// newestConfig is what peers are told: the word of a long document that is still to come,
// else the configuration in force.
func (c *control) newestConfig() ConfigWord {
	in := c.configInForce()
	if c.heard.Version > in.Version && c.heard.long() {
		return c.heard.ConfigWord
	}
	return in
}

// hearConfig notes what configuration a peer knows of, with a line for each newer one.
func (c *control) hearConfig(have Have, from member.Member) {
	in, h := c.configInForce(), &c.heard
	if have.Newest.Version > max(in.Version, h.Version) {
		if h.Version <= in.Version {
			h.since = c.now()
		}
		h.ConfigWord, h.holders = have.Newest, nil
		c.log.WithField("version", h.Version).WithField("bytes", h.Bytes).WithField("in_force", in.Version).WithField("peer", from.Name).Info("newer configuration heard of")
	}
	if have.Config == h.Version && h.Version > in.Version {
		h.holders = append(h.holders, from)
		h.holders = h.holders[max(len(h.holders)-holdersKept, 0):]
	}
}

// pendingConfig is a configuration that was heard of and is not in force here; nil: none.
func (g *Gateway) pendingConfig() *heardConfig {
	var out *heardConfig
	g.query(func(c *control) {
		if c.heard.Version > c.configInForce().Version {
			h := c.heard
			h.holders = slices.Clone(h.holders)
			out = &h
		}
	})
	return out
}

// bringConfig gets configurations that were heard of and do not come by themselves.
func (g *Gateway) bringConfig(ctx context.Context) {
	var part configPart
	pause := newsPoll
	for ctx.Err() == nil {
		g.configDue.Wait(ctx, pause)
		pause = newsPoll
		if g.view.Load().ConfigHeard <= g.configVersion() {
			continue
		}
		if p := g.pendingConfig(); p != nil && g.tryConfig(ctx, p, &part) {
			pause = wait.Jitter(configRetry)
		}
	}
}

// tryConfig takes a pending configuration from where it can be had. It returns false if it
// is left to come by itself.
func (g *Gateway) tryConfig(ctx context.Context, p *heardConfig, part *configPart) bool {
	stored := g.storeOK.Load()
	switch {
	case p.long() && !stored:
		g.configFromPeer(ctx, p, part)
	case p.long() && g.newsComes(), stored && g.now().Sub(p.since) >= configGrace:
		g.configFromStore(ctx, p.ConfigWord)
	default:
		return false
	}
	return true
}

// configFromStore lists the configuration instead of taking its changes: of several
// versions that came since only the newest is of use.
func (g *Gateway) configFromStore(ctx context.Context, word ConfigWord) {
	kind, _, _ := g.codec.Kinds()
	asked := g.now()
	s, err := g.store.List(ctx, kind)
	if ctx.Err() != nil {
		return
	}
	g.contact(kind, err)
	entry := g.log.WithField("heard_of", word.Version).WithField("bytes", word.Bytes).WithField("took_ms", g.now().Sub(asked).Milliseconds())
	if err != nil {
		metric.PlatformErrors.Inc()
		entry.WithError(err).Warn("configuration not read from the object store")
		return
	}
	entry.Info("configuration read from the object store")
	g.readConfigs(s.Objects)
	g.confirm(staleness.Config, asked)
}

// ConfigAsk asks a peer for a piece of a configuration.
type ConfigAsk struct {
	From    string `cbor:"1,keyasint"` // name of the asker
	Version uint64 `cbor:"2,keyasint"` // of the pieces that it has; 0: none
	Offset  int    `cbor:"3,keyasint"` // up to where it has them
}

// ConfigPiece is the answer.
type ConfigPiece struct {
	Word  ConfigWord `cbor:"1,keyasint"` // what is in force at the teller
	Piece []byte     `cbor:"2,keyasint"` // from the asker's offset on, if the version is the asker's; else from the start
	Busy  bool       `cbor:"3,keyasint,omitempty"`
}

// Config hands out a piece of the configuration in force.
func (h *peerHandler) Config(req *ConfigAsk, out *ConfigPiece) error {
	var raw []byte
	h.g.query(func(c *control) { out.Word, raw = c.configInForce(), c.raw })
	from := 0
	if req.Version == out.Word.Version {
		from = min(max(req.Offset, 0), len(raw))
	}
	to := min(from+configPiece, len(raw))
	if out.Busy = !h.g.takers.admit(req.From, to == len(raw), h.g.now()); !out.Busy {
		out.Piece = raw[from:to]
	}
	return nil
}

// configPart is what was brought of a configuration so far. It outlasts a peer's failure:
// another one goes on behind it.
type configPart struct {
	word ConfigWord
	raw  []byte
}

// configFromPeer takes the configuration from a peer that has it, piece by piece.
func (g *Gateway) configFromPeer(ctx context.Context, p *heardConfig, part *configPart) {
	if len(p.holders) == 0 {
		return // none is known yet
	}
	holder := p.holders[rand.IntN(len(p.holders))]
	entry := g.log.WithField("peer", holder.Name).WithField("heard_of", p.Version)
	for ctx.Err() == nil {
		piece, err := g.askPiece(ctx, holder.Address, part)
		if err != nil {
			metric.UpdatesFailed.Inc()
			entry.WithError(err).WithField("had_bytes", len(part.raw)).Warn("configuration not had from a peer")
			return
		}
		if piece.Busy {
			return
		}
		if !part.add(piece) {
			*part = configPart{}
			return
		}
		if len(part.raw) == part.word.Bytes {
			entry.WithField("version", part.word.Version).WithField("bytes", len(part.raw)).Info("configuration had from a peer")
			g.readConfig(part.raw, fromPeer)
			*part = configPart{}
			return
		}
	}
}

// add takes a further piece. It returns false if the teller has no configuration, or
// another one under the same version.
func (p *configPart) add(piece ConfigPiece) bool {
	if piece.Word != p.word {
		*p = configPart{word: piece.Word}
	}
	p.raw = append(p.raw, piece.Piece...)
	return len(piece.Piece) > 0 && len(p.raw) <= p.word.Bytes
}

func (g *Gateway) askPiece(ctx context.Context, address string, part *configPart) (ConfigPiece, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var out ConfigPiece
	ask := &ConfigAsk{From: g.settings().Name, Version: part.word.Version, Offset: len(part.raw)}
	err := g.pool.Call(ctx, address, peerService+".Config", ask, &out)
	return out, err
}

// takers are the instances that take a configuration from this one.
type takers struct {
	mu   sync.Mutex
	last map[string]time.Time // when each took its last piece
}

// admit says whether an instance may take a piece now; last says that it is the last one.
func (t *takers) admit(name string, last bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, at := range t.last {
		if now.Sub(at) > peerTimeout {
			delete(t.last, other) // it gave up, or is no more
		}
	}
	if _, there := t.last[name]; !there && len(t.last) >= configTakers {
		return false
	}
	if t.last == nil {
		t.last = map[string]time.Time{}
	}
	t.last[name] = now
	if last {
		delete(t.last, name)
	}
	return true
}
