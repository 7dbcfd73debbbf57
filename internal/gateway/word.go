package gateway

import (
	"errors"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// hearWord takes what a target says of itself in an answer to a request, or to one for its
// report: "".
func (g *Gateway) hearWord(t *catalog.Target, w Word, request string) {
	if w.Leaving {
		metric.LeavingWords.Inc()
	}
	if w.Rest > 0 {
		metric.RestWords.Inc()
		g.giveRest(t, w.Rest, request)
	}
}

// giveRest keeps callers' requests from a target that wants none for some time. Each instance
// goes by what it was told itself: a target asks those of which it gets too much.
func (g *Gateway) giveRest(t *catalog.Target, rest time.Duration, request string) {
	until, news := g.ejected.Ask(t.ID, rest)
	if !news {
		return
	}
	e := g.log.WithField("target", t.ID).WithField("rest_ms", rest.Milliseconds()).WithField("until", until.UTC().Format(time.RFC3339Nano))
	if request == "" {
		e = e.WithField("told_by", "report")
	} else {
		e = e.WithField("told_by", "request").WithField("request", request)
	}
	e.Info("target asks for rest")
}

// wordOf is the word that came with a report, or with the refusal of one.
func wordOf(r Report, err error) Word {
	var call *CallError
	if errors.As(err, &call) {
		return call.Word
	}
	return r.Word
}
