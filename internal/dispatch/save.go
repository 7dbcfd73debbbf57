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

// Timeouts of calls to stores. A lookup may take a share of the time that a restore can
// save, within bounds.
const (
	minLookupTimeout = 20 * time.Millisecond
	maxLookupTimeout = 250 * time.Millisecond
	lookupTimeShare  = 0.5
	exportTimeout    = 30 * time.Second
)

// storesPerPrompt is the number of stores that may hold a prompt: its home, and the next
// store, which is used while the home does not respond.
const storesPerPrompt = 2

// homeStores returns the stores of a prompt, home first: those with the highest
// rendezvous scores for its root key among the stores that may be called. All instances
// that can call the same stores get the same result.
func (d *Dispatcher) homeStores(cfg *view.Config, root prefix.Key) []*config.Store {
	type ranked struct {
		s     *config.Store
		score uint64
	}
	var ranking []ranked
	for i := range cfg.Bundle.Stores {
		s := &cfg.Bundle.Stores[i]
		if !cfg.Drained[s.Name] && d.storeBreakers.Allow(s.Name) {
			ranking = append(ranking, ranked{s, xxhash.Sum64(append([]byte(s.Name+"\x00"), root[:]...))})
		}
	}
	slices.SortFunc(ranking, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	var out []*config.Store
	for _, candidate := range ranking[:min(len(ranking), storesPerPrompt)] {
		out = append(out, candidate.s)
	}
	return out
}

// lookupAnswer is the result of a lookup of one prompt at a store.
type lookupAnswer struct {
	store     *config.Store
	result    kvstore.LookupResult
	restoreMS float64 // predicted time to restore it at a target, ms
}

// lookupStores looks the prompt up at its stores, and returns the result that covers most
// keys, or of these the one that is restored fastest. A store that does not respond in
// time only costs a recompute. maxSavedMS is the most time that a restore can save, ms.
func (d *Dispatcher) lookupStores(ctx context.Context, cfg *view.Config, keys []prefix.Key, keyNames []string, maxSavedMS float64) lookupAnswer {
	timeout := time.Duration(maxSavedMS * lookupTimeShare * float64(time.Millisecond))
	ctx, cancel := context.WithTimeout(ctx, min(max(timeout, minLookupTimeout), maxLookupTimeout))
	defer cancel()
	stores := d.homeStores(cfg, keys[0])
	answers := make(chan lookupAnswer, len(stores))
	for _, s := range stores {
		go func() {
			result, err := d.Stores.Lookup(ctx, s.Address, keyNames)
			if !errors.Is(err, context.Canceled) { // a cancelled lookup says nothing about the store
				d.storeBreakers.RecordResult(s.Name, err == nil)
			}
			if err != nil {
				metric.StoreErrors(s.Name).Inc()
				result = kvstore.LookupResult{}
			}
			answers <- lookupAnswer{store: s, result: result, restoreMS: restoreMS(s, result)}
		}()
	}
	var best lookupAnswer
	for range stores {
		answer := <-answers
		if answer.result.Covered > best.result.Covered || (answer.result.Covered == best.result.Covered && answer.restoreMS < best.restoreMS) {
			best = answer
		}
		if best.result.Covered == len(keys) {
			break
		}
	}
	return best
}

// restoreMS predicts the time of a restore, ms: the queue of the store's link, then the
// transfer.
func restoreMS(s *config.Store, result kvstore.LookupResult) float64 {
	rate := s.MemoryMBps
	if result.Tier == kvstore.Disk {
		rate = s.DiskMBps
	}
	if rate == 0 {
		return result.QueueMS
	}
	const bytesPerMS = 1e6 / 1e3
	return result.QueueMS + float64(result.Bytes)/(float64(rate)*bytesPerMS)
}

func hexKeys(keys []prefix.Key) []string {
	out := make([]string, len(keys))
	for i, k := range keys {
		out[i] = k.String()
	}
	return out
}

// saveCache has the target export the cache of a finished prompt to the prompt's home
// store. It does not wait. If too many exports are in progress, the save is skipped; it
// is offered again when the prompt returns.
func (d *Dispatcher) saveCache(r *Run) {
	stores := d.homeStores(r.view.Config, r.keys[0])
	if len(stores) == 0 {
		return
	}
	s := stores[0]
	select {
	case d.saveSlots <- struct{}{}:
	default:
		metric.SavesSkipped.Inc()
		return
	}
	r.rec.SavedIn = s.Name
	export := target.Export{Store: s.Address, Version: r.version, Adapter: r.req.Adapter, Salt: r.salt, Keys: r.keyNames}
	address, name := r.target.Address, r.target.Name
	d.saves.Go(func() {
		defer func() { <-d.saveSlots }()
		d.exportCache(name, address, s.Name, export)
	})
}

func (d *Dispatcher) exportCache(name, address, store string, export target.Export) {
	ctx, cancel := context.WithTimeout(d.savesCtx, exportTimeout)
	defer cancel()
	res, err := d.Targets.Export(ctx, address, export)
	var callErr *target.CallError
	if errors.As(err, &callErr) && callErr.Status != 0 {
		d.storeBreakers.RecordResult(store, false) // the engine responded, so the store has failed
	}
	if err != nil {
		metric.StoreErrors(store).Inc()
		d.Log.WithField("target", name).WithField("store", store).WithError(err).Warn("cache save failed")
		return
	}
	metric.SavedBytes.Add(int(res.Bytes))
}
