package dispatch

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/kvstore"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
)

// Time bounds of store work. A lookup may take a share of the time that it can
// save, within bounds.
const (
	lookupLeast   = 20 * time.Millisecond
	lookupMost    = 250 * time.Millisecond
	lookupShare   = 0.5
	exportTimeout = 30 * time.Second
)

// storeCopies is how many stores may hold a prompt: its home, and the next one
// that keeps it while the home does not answer.
const storeCopies = 2

// homeStores returns the stores of a prompt, home first: the highest rendezvous
// scores of its root key among the stores that may be called. Any instance
// computes the same ones while the same stores answer.
func (d *Dispatcher) homeStores(c *view.Config, root prefix.Key) []*config.Store {
	type ranked struct {
		s     *config.Store
		score uint64
	}
	var all []ranked
	for i := range c.Bundle.Stores {
		s := &c.Bundle.Stores[i]
		if !c.Drained[s.Name] && d.stores.Allow(s.Name) {
			all = append(all, ranked{s, xxhash.Sum64(append([]byte(s.Name+"\x00"), root[:]...))})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	var out []*config.Store
	for _, r := range all[:min(len(all), storeCopies)] {
		out = append(out, r.s)
	}
	return out
}

// kept is a store's answer about one prompt.
type kept struct {
	store *config.Store
	found kvstore.LookupResult
	ms    float64 // predicted time to bring it to a target
}

// lookup asks the prompt's stores what they keep, and returns the answer that
// covers most. A store that does not answer in time costs a recompute, nothing
// else. saveMS is the time that a restore can save at most.
func (d *Dispatcher) lookup(ctx context.Context, c *view.Config, keys []prefix.Key, names []string, saveMS float64) kept {
	patience := time.Duration(saveMS * lookupShare * float64(time.Millisecond))
	ctx, cancel := context.WithTimeout(ctx, min(max(patience, lookupLeast), lookupMost))
	defer cancel()
	stores := d.homeStores(c, keys[0])
	answers := make(chan kept, len(stores))
	for _, s := range stores {
		go func() {
			found, err := d.Stores.Lookup(ctx, s.Address, names)
			if !errors.Is(err, context.Canceled) { // a caller that left says nothing of the store
				d.stores.RecordResult(s.Name, err == nil)
			}
			if err != nil {
				metric.StoreErrors(s.Name).Inc()
				found = kvstore.LookupResult{}
			}
			answers <- kept{store: s, found: found, ms: restoreMS(s, found)}
		}()
	}
	var best kept
	for range stores {
		k := <-answers
		if k.found.Covered > best.found.Covered || (k.found.Covered == best.found.Covered && k.ms < best.ms) {
			best = k
		}
		if best.found.Covered == len(keys) {
			break
		}
	}
	return best
}

// restoreMS predicts the time on the store's link: its queue, then the bytes.
func restoreMS(s *config.Store, f kvstore.LookupResult) float64 {
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
	stores := d.homeStores(l.view.Config, l.keys[0])
	if len(stores) == 0 {
		return
	}
	s := stores[0]
	select {
	case d.keeps <- struct{}{}:
	default:
		metric.SavesSkipped.Inc()
		return
	}
	l.rec.SavedIn = s.Name
	order := target.Export{Store: s.Address, Version: l.version, Adapter: l.req.Adapter, Salt: l.salt, Keys: l.names}
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
		d.stores.RecordResult(store, false) // the engine answered: it is the store that failed
	}
	if err != nil {
		metric.StoreErrors(store).Inc()
		d.Log.WithField("target", name).WithField("store", store).WithError(err).Warn("keep failed")
		return
	}
	metric.SavedBytes.Add(int(res.Bytes))
}
