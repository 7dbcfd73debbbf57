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

// Kind and name of the object that keeps suspected requests when no instance is left.
const (
	quarantineKind = "shedhoist-quarantine"
	quarantineName = "requests"
)

// storedSuspect is one request in the object. Times are Unix ms by the writer's clock; its deviation
// does not matter, as the time limits are minutes.
type storedSuspect struct {
	Key         string           `json:"key"` // hexadecimal
	Label       quarantine.Label `json:"label"`
	Crashes     []storedCrash    `json:"crashes"`
	Trials      int              `json:"trials,omitempty"`
	VoidTrials  int              `json:"void,omitempty"`
	LastTrial   int64            `json:"lastTry,omitempty"`
	SucceededAt int64            `json:"answered,omitempty"` // time of the last complete response; 0: none
}

// storedCrash is one crash. The target's incarnation is stored in hexadecimal because a store may
// keep numbers as floats: a crash read back with a rounded number would count twice.
type storedCrash struct {
	Target string `json:"target"`
	At     int64  `json:"at"`
}

// storedSuspects is the JSON value of the object.
type storedSuspects struct {
	Requests []storedSuspect `json:"requests"`
}

// encodeSuspects returns the object's value for reports made at now.
func encodeSuspects(reports []quarantine.Report, now time.Time) ([]byte, error) {
	v := storedSuspects{Requests: make([]storedSuspect, 0, len(reports))}
	timestamp := func(ms int64) int64 { return now.UnixMilli() - ms }
	for _, report := range reports {
		s := storedSuspect{Key: report.Key.String(), Label: report.Label, Trials: report.Trials, VoidTrials: report.VoidTrials}
		for _, c := range report.Crashes {
			s.Crashes = append(s.Crashes, storedCrash{Target: strconv.FormatUint(uint64(c.Incarnation), 16), At: timestamp(c.Age)})
		}
		if report.Trials > 0 {
			s.LastTrial = timestamp(report.LastTrialAge)
		}
		if report.AnsweredAge >= 0 {
			s.SucceededAt = timestamp(report.AnsweredAge)
		}
		v.Requests = append(v.Requests, s)
	}
	return json.Marshal(v)
}

// decodeSuspects decodes the object's value. Unreadable entries are left out and counted.
func decodeSuspects(value []byte, now time.Time) (reports []quarantine.Report, unreadable int, err error) {
	var v storedSuspects
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, 0, err
	}
	age := func(at int64) int64 { return max(now.UnixMilli()-at, 0) }
	for _, s := range v.Requests {
		report, ok := s.report(age)
		if !ok {
			unreadable++
			continue
		}
		reports = append(reports, report)
	}
	return reports, unreadable, nil
}

// report converts the entry to a report; false: it is unreadable. age converts its times to ages.
func (s storedSuspect) report(age func(at int64) int64) (quarantine.Report, bool) {
	report := quarantine.Report{Label: s.Label, Trials: s.Trials, VoidTrials: s.VoidTrials, LastTrialAge: age(s.LastTrial), AnsweredAge: -1}
	if len(s.Key) != hex.EncodedLen(len(report.Key)) {
		return report, false
	}
	if _, err := hex.Decode(report.Key[:], []byte(s.Key)); err != nil {
		return report, false
	}
	for _, c := range s.Crashes {
		incarnation, err := strconv.ParseUint(c.Target, 16, 64)
		if err != nil {
			return report, false
		}
		report.Crashes = append(report.Crashes, quarantine.Crash{Incarnation: quarantine.Incarnation(incarnation), Age: age(c.At)})
	}
	if s.SucceededAt > 0 {
		report.AnsweredAge = age(s.SucceededAt)
	}
	return report, true
}

// readSuspects merges the contents of the object and returns its version; 0: there is no object.
func (g *Gateway) readSuspects(ctx context.Context) (platform.Version, error) {
	object, err := g.store.Get(ctx, quarantineKind, quarantineName)
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	reports, unreadable, err := decodeSuspects(object.Value, g.now())
	if err != nil {
		// The next write replaces the object by what is known here: a value that no instance can
		// decode is of no use.
		g.log.WithError(err).Error("stored suspected requests are unreadable")
		return object.Version, nil
	}
	g.countUnreadable(quarantineKind, unreadable)
	g.mergeSuspects(reports, "")
	return object.Version, nil
}

// writeSuspects merges the contents of the object and writes the result back.
func (g *Gateway) writeSuspects(ctx context.Context) error {
	version, err := g.readSuspects(ctx)
	if err != nil {
		return err
	}
	return g.putSuspects(ctx, version)
}

// putSuspects writes all reports of this instance if the object still has version want.
func (g *Gateway) putSuspects(ctx context.Context, want platform.Version) error {
	now := g.now()
	value, err := encodeSuspects(g.quarantine.Reports(now), now)
	if err != nil {
		return err
	}
	_, err = g.store.Put(ctx, quarantineKind, quarantineName, value, want)
	return err
}

// claimTimeout limits the claim of a trial, for which the request waits.
const claimTimeout = 300 * time.Millisecond

// claimTrial claims the right to let one request through as a trial. The conditional write ensures
// that only one instance of the fleet gets it. Without the object store there are no trials.
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
	report, due := g.quarantine.StartTrial(k, g.now())
	if !due {
		return false
	}
	if err := g.putSuspects(ctx, version); err != nil {
		g.log.WithError(err).WithField("key", k.String()).Info("trial of a quarantined request not claimed")
		return false
	}
	g.spreadSuspects([]quarantine.Report{report}, "")
	return true
}

// scheduleSuspectsWrite makes maintainQuarantine write the reports to the object store.
func (g *Gateway) scheduleSuspectsWrite() {
	g.suspectsUnsaved.Store(true)
	g.suspectsDue.Raise()
}

// quarantineInterval is how often quarantines are checked while there may be any.
const quarantineInterval = time.Second

// maintainQuarantine starts loadSuspects, then expires old entries, writes unsaved reports to the
// object store, and logs the beginning and end of quarantines, until ctx ends.
func (g *Gateway) maintainQuarantine(ctx context.Context) {
	g.spawn(func() { g.loadSuspects(ctx) })
	logged := map[quarantine.Key]quarantine.State{}
	failures := 0
	for ctx.Err() == nil {
		interval := quarantine.Retention
		if !g.quarantine.Empty() {
			interval = quarantineInterval
		}
		g.suspectsDue.Wait(ctx, interval)
		g.quarantine.Expire(g.now())
		g.logQuarantines(logged)
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

// loadSuspects reads the object when the process starts. In a large fleet only the watchers read it,
// and the other instances receive the reports from them.
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

// logQuarantines logs each quarantine that has begun or ended since the last call, sets the metrics,
// and keeps in logged the quarantines whose beginning has been logged.
func (g *Gateway) logQuarantines(logged map[quarantine.Key]quarantine.State) {
	now := g.now()
	suspects, rejected := g.quarantine.Suspects(now), map[quarantine.Key]bool{}
	for _, s := range suspects {
		if !s.Rejected {
			continue
		}
		rejected[s.Key] = true
		if _, known := logged[s.Key]; !known {
			suspect{key: s.Key, label: s.Label}.log(g.log).WithField("crashes", s.Crashes).
				WithField("left_ms", s.Remaining.Milliseconds()).Warn("requests quarantined")
		}
		logged[s.Key] = s
	}
	for k, s := range logged {
		if rejected[k] {
			continue
		}
		reason := "answered"
		if s.Remaining <= 2*quarantineInterval {
			reason = "over"
		}
		suspect{key: k, label: s.Label}.log(g.log).WithField("why", reason).Info("quarantine ended")
		delete(logged, k)
	}
	metric.SetGauge("shedhoist_quarantined_requests", float64(len(rejected)))
	metric.SetGauge("shedhoist_suspected_requests", float64(len(suspects)))
}
