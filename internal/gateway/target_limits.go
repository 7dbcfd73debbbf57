package gateway

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
	"github.com/shedhoist/shedhoist/internal/core/targetlimit"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// A target in need names in its responses how many requests a second it takes from all instances together.
// Instances tell one another of it along the relay tree, and in replies to probes. For each such target one live
// instance, the first by rendezvous hashing, is the keeper: whoever wants to send the target a request asks
// it for a permit. A request without a permit goes to another target at once, or is refused.

const (
	// keeperRole is the prefix of the rendezvous keys that rank instances as keepers of targets.
	keeperRole = "limit/"
	// permitTimeout bounds the call for a permit: a round trip between zones takes 3 ms.
	permitTimeout = 100 * time.Millisecond
	// keeperRetryTime is how long a target gets no requests from an instance that could get no answer for a permit.
	keeperRetryTime = 250 * time.Millisecond
	// maxPermitCalls is the number of targets for which one attempt asks for permits.
	maxPermitCalls = 8
	// limitReportTimeout bounds the sending of reports to a peer.
	limitReportTimeout = 300 * time.Millisecond
	// maxLimitReports bounds the reports in one message.
	maxLimitReports = 64
	// maxLimitReportsInReply bounds those in the reply to a probe; each reply has others.
	maxLimitReportsInReply = 16
)

// LimitReport tells a peer of a target's limit, or of its end.
type LimitReport struct {
	Target    string  `cbor:"1,keyasint"` // id of the incarnation
	Named     bool    `cbor:"2,keyasint"`
	PerSecond float64 `cbor:"3,keyasint"`
	AgeMS     int64   `cbor:"4,keyasint"` // see targetlimit.Report.At
}

// LimitReports tells a peer of limits that have changed.
type LimitReports struct {
	From    string        `cbor:"1,keyasint"` // instance that sent this copy
	Reports []LimitReport `cbor:"2,keyasint"`
}

// PermitRequest asks a target's keeper for a permit to send it one request.
type PermitRequest struct {
	Report LimitReport `cbor:"1,keyasint"` // what the asking instance knows of the limit
}

// PermitReply is the reply to a PermitRequest.
type PermitReply struct {
	Granted bool  `cbor:"1,keyasint"`
	WaitMS  int64 `cbor:"2,keyasint"` // until there may be a permit, if none was granted
	// Report is what the keeper knows of the limit.
	Report LimitReport `cbor:"3,keyasint"`
}

// targetLimits holds the limits that targets name, and asks for permits and gives them out.
type targetLimits struct {
	g       *Gateway
	known   targetlimit.Limits
	permits targetlimit.Permits // given out by this instance as a keeper
	outbox  *treeOutbox[string, limitChange]

	mu          sync.Mutex
	deniedUntil map[string]time.Time // by id of the target: there is no permit before
}

// limitChange is a report that changed what this instance knows of a target's limit.
type limitChange struct {
	target string
	targetlimit.Report
}

// laterChange returns the one of two changes of a target's limit that holds.
func laterChange(older, newer limitChange) limitChange {
	if newer.At.Before(older.At) {
		return older
	}
	return newer
}

// observe takes note of the limit that a target names in a response to a request that was sent at a time, or
// names no more.
func (l *targetLimits) observe(t *catalog.Target, limit RateLimit, sent time.Time) {
	w := targetlimit.Report{At: sent}
	if limit.Named {
		w = targetlimit.Report{Named: true, PerSecond: limit.PerSecond, At: l.g.now()}
	}
	if l.learn(t.ID, w, fromAnswer, "") {
		l.outbox.add("", t.ID, limitChange{t.ID, w})
	}
}

// learn takes note of a report and reports whether it changes the limit.
func (l *targetLimits) learn(target string, w targetlimit.Report, from source, by string) (changed bool) {
	if !l.known.Learn(target, w) {
		return false
	}
	l.mu.Lock()
	delete(l.deniedUntil, target)
	l.mu.Unlock()
	e := l.g.log.WithField("target", target).WithField("from", string(from)).WithField("by", by)
	if w.Named {
		metric.LimitsNamed.Inc()
		e.WithField("per_second", w.PerSecond).Info("target names a limit")
	} else {
		e.Info("target's limit ended")
	}
	return true
}

// receive takes note of a peer's reports and returns those that change a limit.
func (l *targetLimits) receive(reports []LimitReport, by string) (changes []limitChange) {
	for _, report := range reports[:min(len(reports), maxLimitReports)] {
		w := report.decode(l.g.now())
		if report.isValid() && l.learn(report.Target, w, fromPeer, by) {
			changes = append(changes, limitChange{report.Target, w})
		}
	}
	return changes
}

// isValid reports whether a report that was received makes sense.
func (w LimitReport) isValid() bool {
	return w.Target != "" && w.AgeMS >= 0 && w.PerSecond >= 0 && !math.IsInf(w.PerSecond, 0) // and no NaN
}

func (w LimitReport) decode(now time.Time) targetlimit.Report {
	return targetlimit.Report{Named: w.Named, PerSecond: w.PerSecond, At: now.Add(-time.Duration(w.AgeMS) * time.Millisecond)}
}

// encodeLimit returns a report on a target as it is told at a time. Its age is rounded up, so that a report that
// comes back is not taken for a later one.
func encodeLimit(target string, w targetlimit.Report, now time.Time) LimitReport {
	age := max(now.Sub(w.At)+time.Millisecond-1, 0)
	return LimitReport{Target: target, Named: w.Named, PerSecond: w.PerSecond, AgeMS: age.Milliseconds()}
}

// sample returns reports on random targets, for the reply to a probe.
func (l *targetLimits) sample() []LimitReport {
	now := l.g.now()
	var out []LimitReport
	for target, w := range l.known.All() {
		out = append(out, encodeLimit(target, w, now))
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxLimitReportsInReply)]
}

// run tells the neighbours of changed limits, until ctx ends.
func (l *targetLimits) run(ctx context.Context) {
	l.outbox.run(ctx, l.g, func(n neighbour, changes []limitChange) {
		now := l.g.now()
		var out []LimitReport
		for _, c := range changes {
			out = append(out, encodeLimit(c.target, c.Report, now))
		}
		for chunk := range slices.Chunk(out, maxLimitReports) {
			l.g.spawn(func() { l.send(ctx, n, chunk) })
		}
	})
}

func (l *targetLimits) send(ctx context.Context, n neighbour, reports []LimitReport) {
	ctx, cancel := context.WithTimeout(ctx, limitReportTimeout)
	defer cancel()
	err := l.g.pool.Call(ctx, n.Address, peerService+".TargetLimits", &LimitReports{From: l.g.settings().Name, Reports: reports}, &Ack{})
	if err != nil {
		l.g.log.WithError(err).WithField("peer", n.Name).WithField("targets", len(reports)).Info("limits of targets not told")
	}
}

// TargetLimits handles a peer's reports, and passes on those that change a limit.
func (h *peerHandler) TargetLimits(req *LimitReports, _ *Ack) error {
	for _, c := range h.g.limits.receive(req.Reports, req.From) {
		h.g.limits.outbox.add(req.From, c.target, c)
	}
	return nil
}

// limitOf returns what a target takes, and whether it names a limit.
func (l *targetLimits) limitOf(id string) (targetlimit.Report, bool) {
	w, known := l.known.Of(id)
	return w, known && w.Named
}

// waits returns, by id of the target, the time until there may be a permit for those for which there is none now.
// It is usually empty.
func (l *targetLimits) waits(now time.Time) map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.deniedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	if len(l.deniedUntil) == 0 {
		return nil
	}
	out := make(map[string]time.Duration, len(l.deniedUntil))
	for id, until := range l.deniedUntil {
		if _, limited := l.limitOf(id); limited {
			out[id] = until.Sub(now)
		}
	}
	return out
}

// acquire reports whether a request may be sent to a target now. If the target names a limit, it asks the keeper for
// a permit.
func (l *targetLimits) acquire(ctx context.Context, t *catalog.Target) bool {
	w, limited := l.limitOf(t.ID)
	if !limited {
		return true
	}
	reply, err := l.ask(ctx, t, encodeLimit(t.ID, w, l.g.now()))
	if ctx.Err() != nil {
		return false // the request has ended meanwhile
	}
	if err != nil {
		metric.Permits("unanswered").Inc()
		l.g.log.WithError(err).WithField("target", t.ID).Info("no answer for a permit")
		l.deny(t.ID, keeperRetryTime)
		return false
	}
	if reply.Report.Target == t.ID {
		l.receive([]LimitReport{reply.Report}, "keeper")
	}
	if reply.Granted {
		metric.Permits("granted").Inc()
		return true
	}
	metric.Permits("denied").Inc()
	l.deny(t.ID, time.Duration(reply.WaitMS)*time.Millisecond)
	return false
}

// deny notes that there is no permit for a target for about a time. The instances don't all ask again at its end.
func (l *targetLimits) deny(id string, d time.Duration) {
	d = max(d, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deniedUntil == nil {
		l.deniedUntil = map[string]time.Time{}
	}
	l.deniedUntil[id] = l.g.now().Add(d + rand.N(d/4+1))
}

// ask asks the keeper of a target for a permit.
func (l *targetLimits) ask(ctx context.Context, t *catalog.Target, report LimitReport) (PermitReply, error) {
	v := l.g.view.Load()
	keeper := keeperOf(v, t.ID)
	if keeper == v.Self {
		return l.grant(report), nil
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var reply PermitReply
	err := l.g.pool.Call(ctx, addressOf(v.Peers, keeper), peerService+".Permit", &PermitRequest{Report: report}, &reply)
	return reply, err
}

// keeperOf returns the name of the instance that gives out the permits for a target.
func keeperOf(v *View, target string) string {
	keeper, highest := v.Self, uint64(0)
	for _, name := range v.Alive {
		if score := rendezvous.Score(name, keeperRole+target); score > highest {
			keeper, highest = name, score
		}
	}
	return keeper
}

func addressOf(members []member.Member, name string) string {
	for _, m := range members {
		if m.Name == name {
			return m.Address
		}
	}
	return ""
}

// Permit handles a peer's request for a permit.
func (h *peerHandler) Permit(req *PermitRequest, out *PermitReply) error {
	if req.Report.isValid() {
		*out = h.g.limits.grant(req.Report)
	}
	return nil
}

// grant decides on a request for a permit, by what the asking instance and this one know of the limit.
func (l *targetLimits) grant(report LimitReport) PermitReply {
	for _, c := range l.receive([]LimitReport{report}, "asking") {
		l.outbox.add("", c.target, c)
	}
	now, v := l.g.now(), l.g.view.Load()
	w, limited := l.limitOf(report.Target)
	reply := PermitReply{Granted: true, Report: encodeLimit(report.Target, w, now)}
	if !limited {
		return reply
	}
	share := l.share(v, now)
	if share <= 0 || keeperOf(v, report.Target) != v.Self {
		reply.Granted, reply.WaitMS = false, keeperRetryTime.Milliseconds()
		return reply
	}
	granted, wait := l.permits.Take(report.Target, w.PerSecond*share, now)
	reply.Granted, reply.WaitMS = granted, wait.Milliseconds()+1
	return reply
}

// share returns the part of the limits that this instance may give out as a keeper. It is that of the instances
// that it reaches: in the other parts of a fleet that is split there are other keepers. An instance that has
// just started doesn't know yet who is the keeper for the others.
func (l *targetLimits) share(v *View, now time.Time) float64 {
	if now.Before(v.WarmupAllowedAt) {
		return 0
	}
	known := max(v.InstanceCount, 1)
	if known == 1 && l.g.hasOtherSeeds() {
		known = minAssumedFleet
	}
	return float64(len(v.Alive)) / float64(known)
}

// retain forgets the targets for which keep returns false.
func (l *targetLimits) retain(keep func(id string) bool) {
	l.known.Retain(keep, l.g.now())
	l.permits.Retain(keep)
}

// retryAfterLimited returns when a request that no limited target may take should come again: in 1 to 1.5 times
// the time until the first permit is due.
func (x *exchange) retryAfterLimited() time.Duration {
	first, waits := maxRetryAfterLimited, x.g.limits.waits(x.g.now())
	for _, t := range x.view.Serving[x.service] {
		if wait, denied := waits[t.ID]; denied {
			first = min(first, wait)
		}
	}
	first = max(first, retryAfterShort)
	return first + rand.N(first/2)
}

// maxRetryAfterLimited bounds what callers are told to wait: the limit may have ended by then.
const maxRetryAfterLimited = 5 * time.Second

// refuseLimited refuses a request that has not run because the targets that could take it name limits, which
// others use up.
func (x *exchange) refuseLimited() {
	metric.TargetLimitRefusals.Inc()
	x.refuse(retryLater(problem.Overloaded, "the targets take no more requests a second", x.retryAfterLimited()))
}
