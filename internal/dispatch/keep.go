package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/kvstore"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
)

// Time bounds of store work.
const (
	lookupTimeout = 50 * time.Millisecond
	exportTimeout = 30 * time.Second
)

// homeStore returns the store that keeps a prompt: the highest rendezvous
// score of its root key among the stores that may be called. Any instance
// computes the same one while the same stores answer.
func (d *Dispatcher) homeStore(c *view.Config, root prefix.Key) *config.Store {
	var best *config.Store
	var top uint64
	for i := range c.Bundle.Stores {
		s := &c.Bundle.Stores[i]
		if c.Drained[s.Name] || !d.stores.open(s.Name) {
			continue
		}
		score := xxhash.Sum64(append([]byte(s.Name+"\x00"), root[:]...))
		if best == nil || score > top {
			best, top = s, score
		}
	}
	return best
}

// kept is a store's answer about one prompt.
type kept struct {
	store *config.Store
	found kvstore.Found
	ms    float64 // predicted time to bring it to a target
}

// lookup asks the prompt's home store what it keeps. A store that does not
// answer in time costs a recompute, nothing else.
func (d *Dispatcher) lookup(ctx context.Context, c *view.Config, keys []prefix.Key) kept {
	s := d.homeStore(c, keys[0])
	if s == nil {
		return kept{}
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	found, err := d.Stores.Lookup(ctx, s.Address, hexKeys(keys))
	d.stores.result(s.Name, err == nil)
	if err != nil {
		metric.StoreErrors(s.Name).Inc()
		return kept{}
	}
	return kept{store: s, found: found, ms: restoreMS(s, found)}
}

// restoreMS predicts the time on the store's link: its queue, then the bytes.
func restoreMS(s *config.Store, f kvstore.Found) float64 {
	rate := s.MemoryMBps
	if f.Tier == kvstore.Disk {
		rate = s.DiskMBps
	}
	if rate == 0 {
		return f.QueueMS
	}
	const bytesPerMS = 1e6 / 1e3
	return f.QueueMS + float64(f.Bytes)/(float64(rate)*bytesPerMS)
}

func hexKeys(keys []prefix.Key) []string {
	out := make([]string, len(keys))
	for i, k := range keys {
		out[i] = k.String()
	}
	return out
}

// keep orders the target to export a finished prompt's chain to its home
// store. It does not wait; an instance with too many exports under way lets
// this one go: the prompt will be offered again when it returns.
func (d *Dispatcher) keep(l *Live) {
	s := d.homeStore(l.view.Config, l.keys[0])
	if s == nil {
		return
	}
	select {
	case d.keeps <- struct{}{}:
	default:
		metric.KeepsSkipped.Inc()
		return
	}
	l.rec.Kept = s.Name
	order := target.Export{Store: s.Address, Version: l.version, Adapter: l.req.Adapter, Salt: l.salt, Keys: hexKeys(l.keys)}
	address, name := l.target.Address, l.target.Name
	d.keepsWG.Add(1)
	go func() {
		defer d.keepsWG.Done()
		defer func() { <-d.keeps }()
		d.export(name, address, s.Name, order)
	}()
}

func (d *Dispatcher) export(name, address, store string, order target.Export) {
	ctx, cancel := context.WithTimeout(d.keepsCtx, exportTimeout)
	defer cancel()
	res, err := d.Targets.Export(ctx, address, order)
	var call *target.CallError
	if errors.As(err, &call) && call.Status != 0 {
		d.stores.result(store, false) // the engine answered: it is the store that failed
	}
	if err != nil {
		metric.StoreErrors(store).Inc()
		d.Log.WithField("target", name).WithField("store", store).WithError(err).Warn("keep failed")
		return
	}
	metric.KeptBytes.Add(int(res.Bytes))
}
