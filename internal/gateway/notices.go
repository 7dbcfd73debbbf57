package gateway

import (
	"errors"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// applyNotice applies the notice that a target attached to a response.
func (g *Gateway) applyNotice(t *catalog.Target, notice Notice, source registry.Source) {
	if notice.Leaving {
		metric.LeavingNotices.Inc()
		g.noteLeaving(t, source)
	}
	if notice.Limit.Named {
		g.limits.observe(t, notice.Limit, source.RequestSent)
	}
	if notice.Backoff > 0 {
		metric.BackoffRequests.Inc()
		g.applyBackoff(t, notice.Backoff, source)
	}
}

// applyBackoff stops sending callers' requests to a target for as long as the target requested. Each instance
// applies only the backoffs that were requested of it, since a target requests them from the instances that
// send it too much. If a later incarnation than the addressed one is assumed to have responded, the backoff is
// limited to InheritedNoticeTTL.
func (g *Gateway) applyBackoff(t *catalog.Target, backoff time.Duration, source registry.Source) {
	if next := g.respondingIncarnation(t, source); next != t {
		t, backoff = next, min(backoff, registry.InheritedNoticeTTL)
	}
	until, changed := g.breaker.RequestBackoffInResponse(t.ID, backoff, source.RequestSent)
	if !changed {
		return
	}
	g.log.WithField("target", t.ID).WithField("rest_ms", backoff.Milliseconds()).WithField("until", until.UTC().Format(time.RFC3339Nano)).
		WithField("from", source.Channel).WithField("by", source.Reporter).Info("target asks for rest")
}

// respondingIncarnation returns the incarnation of a target that gave a response: the addressed one,
// unless a later one has been listed meanwhile that had started before the request was sent.
func (g *Gateway) respondingIncarnation(addressed *catalog.Target, source registry.Source) *catalog.Target {
	if source.RequestSent.IsZero() {
		return addressed
	}
	v := g.view.Load()
	if v.Targets[addressed.ID] != nil {
		return addressed
	}
	for _, t := range v.Targets {
		if t.Name == addressed.Name && t.Start > addressed.Start && registry.StartedBeforeRequest(t.Start, source.RequestSent, g.now()) {
			return t
		}
	}
	return addressed
}

// reportingIncarnation returns the incarnation of a target that gave a report: the addressed one, unless
// the report states another start time.
func reportingIncarnation(addressed *catalog.Target, report Report) *catalog.Target {
	if report.Start == 0 || addressed.Start == 0 || report.Start == addressed.Start {
		return addressed
	}
	other := catalog.Target{Name: addressed.Name, Start: report.Start}.WithID()
	return &other
}

// noticeOf returns the notice that came with the response to a call: notice, or that of the error if the call
// was refused.
func noticeOf(notice Notice, err error) Notice {
	var callErr *CallError
	if errors.As(err, &callErr) {
		return callErr.Notice
	}
	return notice
}
