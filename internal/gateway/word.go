package gateway

import (
	"errors"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// hearWord takes what a target says of itself in an answer.
func (g *Gateway) hearWord(_ *catalog.Target, w Word) {
	if w.Leaving {
		metric.LeavingWords.Inc()
	}
	if w.Rest > 0 {
		metric.RestWords.Inc()
	}
}

// wordOf is the word that came with a report, or with the refusal of one.
func wordOf(r Report, err error) Word {
	var call *CallError
	if errors.As(err, &call) {
		return call.Word
	}
	return r.Word
}
