package gateway

import (
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/targetlimit"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// A target in need names in its responses how many requests a second it takes from all instances together.

// targetLimits holds the limits that targets name.
type targetLimits struct {
	g     *Gateway
	known targetlimit.Limits
}

// observe takes note of the limit that a target names in a response to a request that was sent at a time, or
// names no more.
func (l *targetLimits) observe(t *catalog.Target, limit RateLimit, sent time.Time) {
	w := targetlimit.Word{At: sent}
	if limit.Named {
		w = targetlimit.Word{Named: true, PerSecond: limit.PerSecond, At: l.g.now()}
	}
	l.learn(t.ID, w, fromAnswer, "")
}

// learn takes note of a word and reports whether it changes the limit.
func (l *targetLimits) learn(target string, w targetlimit.Word, from source, by string) (changed bool) {
	if !l.known.Learn(target, w) {
		return false
	}
	e := l.g.log.WithField("target", target).WithField("from", string(from)).WithField("by", by)
	if w.Named {
		metric.LimitsNamed.Inc()
		e.WithField("per_second", w.PerSecond).Info("target names a limit")
	} else {
		e.Info("target's limit ended")
	}
	return true
}

// retain forgets the targets for which keep returns false.
func (l *targetLimits) retain(keep func(id string) bool) { l.known.Retain(keep, l.g.now()) }
