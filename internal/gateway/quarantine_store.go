package gateway

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/quarantine"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Name of the object in which suspected requests outlive all instances.
const (
	quarantineKind = "shedhoist-quarantine"
	quarantineName = "requests"
)

// storedSuspect is one request in the object. Times are Unix ms by the writer's clock: they
// bound minutes.
type storedSuspect struct {
	Key         string           `json:"key"` // hexadecimal
	Label       quarantine.Label `json:"label"`
	Crashes     []storedCrash    `json:"crashes"`
	Trials      int              `json:"trials,omitempty"`
	VoidTrials  int              `json:"void,omitempty"`
	LastTrial   int64            `json:"lastTry,omitempty"`
	SucceededAt int64            `json:"answered,omitempty"` // whole, the last time; 0: never
}

// storedCrash is one crash. The target's life is in hexadecimal: a store may hold numbers as
// floats, and a crash that comes back under another number would count twice.
type storedCrash struct {
	Target string `json:"target"`
	At     int64  `json:"at"`
}

// storedSuspects is the object's value.
type storedSuspects struct {
	Requests []storedSuspect `json:"requests"`
}

// encodeSuspects is the object's value at a moment.
func encodeSuspects(words []quarantine.Report, now time.Time) ([]byte, error) {
	v := storedSuspects{Requests: make([]storedSuspect, 0, len(words))}
	ago := func(ms int64) int64 { return now.UnixMilli() - ms }
	for _, w := range words {
		s := storedSuspect{Key: w.Key.String(), Label: w.Label, Trials: w.Trials, VoidTrials: w.VoidTrials}
		for _, c := range w.Crashes {
			s.Crashes = append(s.Crashes, storedCrash{Target: strconv.FormatUint(uint64(c.Incarnation), 16), At: ago(c.Age)})
		}
		if w.Trials > 0 {
			s.LastTrial = ago(w.LastTrialAge)
		}
		if w.AnsweredAge >= 0 {
			s.SucceededAt = ago(w.AnsweredAge)
		}
		v.Requests = append(v.Requests, s)
	}
	return json.Marshal(v)
}

// decodeSuspects reads the object's value. An entry that can't be read is left out, and counted.
func decodeSuspects(value []byte, now time.Time) (words []quarantine.Report, unreadable int, err error) {
	var v storedSuspects
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, 0, err
	}
	age := func(at int64) int64 { return max(now.UnixMilli()-at, 0) }
	for _, s := range v.Requests {
		w, ok := s.report(age)
		if !ok {
			unreadable++
			continue
		}
		words = append(words, w)
	}
	return words, unreadable, nil
}

// report is the entry as instances tell it; false: it can't be read.
func (s storedSuspect) report(age func(at int64) int64) (quarantine.Report, bool) {
	w := quarantine.Report{Label: s.Label, Trials: s.Trials, VoidTrials: s.VoidTrials, LastTrialAge: age(s.LastTrial), AnsweredAge: -1}
	if len(s.Key) != hex.EncodedLen(len(w.Key)) {
		return w, false
	}
	if _, err := hex.Decode(w.Key[:], []byte(s.Key)); err != nil {
		return w, false
	}
	for _, c := range s.Crashes {
		life, err := strconv.ParseUint(c.Target, 16, 64)
		if err != nil {
			return w, false
		}
		w.Crashes = append(w.Crashes, quarantine.Crash{Incarnation: quarantine.Incarnation(life), Age: age(c.At)})
	}
	if s.SucceededAt > 0 {
		w.AnsweredAge = age(s.SucceededAt)
	}
	return w, true
}

// readSuspects takes what the object holds, and returns its version.
func (g *Gateway) readSuspects(ctx context.Context) (platform.Version, error) {
	o, err := g.store.Get(ctx, quarantineKind, quarantineName)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	words, unreadable, err := decodeSuspects(o.Value, g.now())
	if err != nil {
		// It is written anew with what is known here: an object that nobody can read is of no use.
		g.log.WithError(err).Error("suspected requests not readable")
		return o.Version, nil
	}
	g.countUnreadable(quarantineKind, unreadable)
	g.mergeSuspects(words, "")
	return o.Version, nil
}

// writeSuspects adds what is known here to what the object holds.
func (g *Gateway) writeSuspects(ctx context.Context) error {
	version, err := g.readSuspects(ctx)
	if err != nil {
		return err
	}
	return g.putSuspects(ctx, version)
}

// putSuspects writes all that is known here, if the object still is at a version.
func (g *Gateway) putSuspects(ctx context.Context, want platform.Version) error {
	now := g.now()
	value, err := encodeSuspects(g.quarantine.Reports(now), now)
	if err != nil {
		return err
	}
	_, err = g.store.Put(ctx, quarantineKind, quarantineName, value, want)
	return err
}

// claimTimeout bounds the claim of a trial: the request that is to be the trial waits for it.
const claimTimeout = 300 * time.Millisecond

// claimTrial claims the right to let one request through. The conditional write makes it one
// in the whole fleet; without the object store there is none.
func (g *Gateway) claimTrial(ctx context.Context, k quarantine.Key) bool {
	if !g.storeReachable.Load() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	version, err := g.readSuspects(ctx)
	if err != nil {
		g.log.WithError(err).WithField("key", k.String()).Info("trial of a quarantined request not claimed")
		return false
	}
	w, due := g.quarantine.StartTrial(k, g.now())
	if !due {
		return false
	}
	if err := g.putSuspects(ctx, version); err != nil {
		g.log.WithError(err).WithField("key", k.String()).Info("trial of a quarantined request not claimed")
		return false
	}
	g.spreadSuspects([]quarantine.Report{w}, "")
	return true
}

// scheduleSuspectsWrite has what is known here written to the object store.
func (g *Gateway) scheduleSuspectsWrite() {
	g.suspectsUnsaved.Store(true)
	g.suspectsDue.Raise()
}

// quarantineInterval is how often quarantines are looked after while there may be any.
const quarantineInterval = time.Second

// maintainQuarantine reads the object once, keeps it up to date, and tells operators what begins
// and ends.
func (g *Gateway) maintainQuarantine(ctx context.Context) {
	g.spawn(func() { g.loadSuspects(ctx) })
	shown := map[quarantine.Key]quarantine.State{}
	failures := 0
	for ctx.Err() == nil {
		pace := quarantine.Retention
		if !g.quarantine.Empty() {
			pace = quarantineInterval
		}
		g.suspectsDue.Wait(ctx, pace)
		g.quarantine.Expire(g.now())
		g.logQuarantines(shown)
		if !g.suspectsUnsaved.Load() || len(g.quarantine.Reports(g.now())) == 0 {
			continue
		}
		g.suspectsUnsaved.Store(false)
		if err := g.writeSuspects(ctx); err != nil && ctx.Err() == nil {
			g.suspectsUnsaved.Store(true)
			failures++
			g.log.WithError(err).WithField("failures", failures).Info("suspected requests not written")
			wait.For(ctx, retryPause(failures))
			continue
		}
		failures = 0
	}
}

// loadSuspects reads the object at the start. In a large fleet the watchers do, and tell.
func (g *Gateway) loadSuspects(ctx context.Context) {
	for g.isJoining() {
		if !wait.For(ctx, minWatchInterval) {
			return
		}
	}
	for failures := 0; ctx.Err() == nil; {
		if v := g.view.Load(); len(v.Alive) > maxSmallFleet && !v.IsWatcher {
			return
		}
		_, err := g.readSuspects(ctx)
		if err == nil {
			return
		}
		failures++
		g.log.WithError(err).Info("suspected requests not read")
		wait.For(ctx, retryPause(failures))
	}
}

// logQuarantines writes a line on each quarantine that has begun or ended since shown.
func (g *Gateway) logQuarantines(shown map[quarantine.Key]quarantine.State) {
	now := g.now()
	suspects, held := g.quarantine.Suspects(now), map[quarantine.Key]bool{}
	for _, s := range suspects {
		if !s.Rejected {
			continue
		}
		held[s.Key] = true
		if _, known := shown[s.Key]; !known {
			g.log.WithField("key", s.Key.String()).WithField("customer", s.Label.Customer).WithField("route", s.Label.Route).WithField("crashes", s.Crashes).
				WithField("left_ms", s.Remaining.Milliseconds()).Warn("requests quarantined")
		}
		shown[s.Key] = s
	}
	for k, s := range shown {
		if held[k] {
			continue
		}
		why := "answered"
		if s.Remaining <= 2*quarantineInterval {
			why = "over"
		}
		g.log.WithField("key", k.String()).WithField("customer", s.Label.Customer).WithField("route", s.Label.Route).WithField("why", why).Info("quarantine ended")
		delete(shown, k)
	}
	metric.SetGauge("shedhoist_quarantined_requests", float64(len(held)))
	metric.SetGauge("shedhoist_suspected_requests", float64(len(suspects)))
}
