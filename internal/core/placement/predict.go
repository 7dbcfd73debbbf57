package placement

import (
	"math"
	"time"
)

// PrefillWork is the work that a target does for a request before its first response.
type PrefillWork struct {
	PrefillTokens int     // prompt tokens to prefill
	QueuedTokens  int     // tokens of other requests to prefill before
	FetchMS       float64 // nominal time to fetch cached parts at the link's full speed; 0: nothing is fetched
	Link          string  // source of the fetch
}

// Predictor predicts the time to the first response of a request, and from there to its last. It learns the
// speeds of prefill and of output and, for each target and each link, the recent delay beyond the nominal
// time. A request that is overdue raises the delay before its response arrives. It is not safe for concurrent use.
type Predictor struct {
	prefillMSPerToken float64 // on an idle target
	outputMSPerToken  float64 // by the maximum output, of which most requests use a part; 0: not known
	targetDelays      map[string]*delayEstimate
	linkDelays        map[string]*delayEstimate
	pendingByTarget   pendingRequests
	pendingByLink     pendingRequests // requests with a fetch only
}

// pendingRequests are the requests without a response so far, by target or link.
type pendingRequests map[string]map[*PendingRequest]struct{}

func (m pendingRequests) add(name string, r *PendingRequest) {
	if m[name] == nil {
		m[name] = map[*PendingRequest]struct{}{}
	}
	m[name][r] = struct{}{}
}

func (m pendingRequests) remove(name string, r *PendingRequest) {
	delete(m[name], r)
	if len(m[name]) == 0 {
		delete(m, name)
	}
}

// delayEstimate is an estimated delay beyond the nominal time, which decays over time.
type delayEstimate struct {
	ms        float64
	updatedAt time.Time
}

// PendingRequest is a request that waits for its first response.
type PendingRequest struct {
	target      string
	work        PrefillWork
	startedAt   time.Time
	predictedMS float64
}

// Constants of the estimates.
const (
	// initialPrefillMSPerToken is the prefill speed assumed before the first observation.
	initialPrefillMSPerToken = 0.02
	// prefillGainDown and prefillGainUp are the gains for samples below and above the estimate.
	// Their ratio makes it follow the fastest twentieth of the samples: the others include
	// time in a queue.
	prefillGainDown = 0.2
	prefillGainUp   = 0.01
	// unknownRunTime is assumed before the first observation: longer than any response takes.
	unknownRunTime = time.Hour
	// outputGainUp and outputGainDown are the gains for samples above and below the estimate, so that most
	// requests take no longer than predicted.
	outputGainUp   = 0.1
	outputGainDown = 0.02
	// minPrefillSample is the size of the smallest prompt used to learn the prefill speed, in
	// tokens: a shorter one says nothing about it.
	minPrefillSample = 1000
	// delayGainUp and delayGainDown are the gains for a growing and a shrinking delay. A slow
	// target or link loses requests quickly and regains them slowly.
	delayGainUp   = 0.35
	delayGainDown = 0.12
	// delayHalfLife is the half-life of a delay without new observations.
	delayHalfLife = 3 * time.Second
	// linkErrorShare is the part of a prediction error that is attributed to the link, if the
	// request used one; the rest is attributed to the target.
	linkErrorShare = 0.6
)

// NewPredictor returns a predictor without observations.
func NewPredictor() *Predictor {
	return &Predictor{prefillMSPerToken: initialPrefillMSPerToken, targetDelays: map[string]*delayEstimate{}, linkDelays: map[string]*delayEstimate{}, pendingByTarget: pendingRequests{}, pendingByLink: pendingRequests{}}
}

// decayed returns the delay in ms at a point in time. A nil estimate is 0.
func (d *delayEstimate) decayed(now time.Time) float64 {
	if d == nil {
		return 0
	}
	return d.ms * math.Exp2(-float64(now.Sub(d.updatedAt))/float64(delayHalfLife))
}

// TargetDelay returns the delay expected at a target beyond the nominal time, in ms.
func (p *Predictor) TargetDelay(id string, now time.Time) float64 {
	delayMS := p.targetDelays[id].decayed(now)
	for r := range p.pendingByTarget[id] {
		delayMS = math.Max(delayMS, r.overdueMS(now)*r.targetErrorShare())
	}
	return delayMS
}

// overdueMS returns by how much the request's wait exceeds the prediction; it is negative
// before the predicted time.
func (r *PendingRequest) overdueMS(now time.Time) float64 {
	return float64(now.Sub(r.startedAt))/float64(time.Millisecond) - r.predictedMS
}

// targetErrorShare returns the part of a prediction error that is attributed to the target.
func (r *PendingRequest) targetErrorShare() float64 {
	if r.work.FetchMS > 0 {
		return 1 - linkErrorShare
	}
	return 1
}

// FetchTime returns the time expected for a request's fetch, in ms.
func (p *Predictor) FetchTime(w PrefillWork, now time.Time) float64 {
	if w.FetchMS <= 0 {
		return 0
	}
	delayMS := p.linkDelays[w.Link].decayed(now)
	for r := range p.pendingByLink[w.Link] {
		delayMS = math.Max(delayMS, r.overdueMS(now)*linkErrorShare)
	}
	return w.FetchMS + delayMS
}

// PrefillTime returns the time expected for the prefill of tokens on an idle target, in ms.
func (p *Predictor) PrefillTime(tokens int) float64 { return float64(tokens) * p.prefillMSPerToken }

// PrefillTokens returns how many tokens an idle target is expected to prefill in a time.
func (p *Predictor) PrefillTokens(d time.Duration) int {
	return int(float64(d) / float64(time.Millisecond) / p.prefillMSPerToken)
}

// FirstResponseTime returns the time expected from sending a request to its first response, in ms.
func (p *Predictor) FirstResponseTime(id string, w PrefillWork, now time.Time) float64 {
	return p.TargetDelay(id, now) + p.FetchTime(w, now) + p.PrefillTime(w.PrefillTokens+w.QueuedTokens)
}

// NominalTime returns FirstResponseTime for a target and a link without delay, in ms.
func (p *Predictor) NominalTime(w PrefillWork) float64 {
	return w.FetchMS + p.PrefillTime(w.PrefillTokens+w.QueuedTokens)
}

// Start records a request that is sent now. Observe or Remove must follow.
func (p *Predictor) Start(id string, w PrefillWork, now time.Time) *PendingRequest {
	r := &PendingRequest{target: id, work: w, startedAt: now, predictedMS: p.FirstResponseTime(id, w, now)}
	p.pendingByTarget.add(id, r)
	if w.FetchMS > 0 {
		p.pendingByLink.add(w.Link, r)
	}
	return r
}

// Remove drops a request that ended without a response, or whose response was observed.
func (p *Predictor) Remove(r *PendingRequest) {
	p.pendingByTarget.remove(r.target, r)
	p.pendingByLink.remove(r.work.Link, r)
}

// Observe updates the estimates with a request's first response, and returns the prediction
// error in ms: positive if the response took longer than predicted.
func (p *Predictor) Observe(r *PendingRequest, now time.Time) (errorMS float64) {
	p.Remove(r)
	w, id := r.work, r.target
	errorMS = r.overdueMS(now)
	elapsedMS := errorMS + r.predictedMS
	if w.PrefillTokens >= minPrefillSample && w.FetchMS <= 0 && w.QueuedTokens == 0 {
		p.updatePrefillSpeed(elapsedMS / float64(w.PrefillTokens))
	}
	if w.FetchMS > 0 {
		p.linkDelays[w.Link] = p.linkDelays[w.Link].corrected(errorMS*linkErrorShare, now)
	}
	p.targetDelays[id] = p.targetDelays[id].corrected(errorMS*r.targetErrorShare(), now)
	return errorMS
}

// RunTime returns the time expected from a request's first response to its last.
func (p *Predictor) RunTime(maxOutput int) time.Duration {
	if p.outputMSPerToken == 0 {
		return unknownRunTime
	}
	return time.Duration(float64(maxOutput) * p.outputMSPerToken * float64(time.Millisecond))
}

// ObserveRun updates the speed of output with a complete response.
func (p *Predictor) ObserveRun(maxOutput int, elapsed time.Duration) {
	if maxOutput <= 0 {
		return
	}
	sample := float64(elapsed) / float64(time.Millisecond) / float64(maxOutput)
	if p.outputMSPerToken == 0 {
		p.outputMSPerToken = sample
		return
	}
	gain := outputGainDown
	if sample > p.outputMSPerToken {
		gain = outputGainUp
	}
	p.outputMSPerToken += gain * (sample - p.outputMSPerToken)
}

// updatePrefillSpeed moves the prefill speed towards a sample.
func (p *Predictor) updatePrefillSpeed(msPerToken float64) {
	gain := prefillGainUp
	if msPerToken < p.prefillMSPerToken {
		gain = prefillGainDown
	}
	p.prefillMSPerToken += gain * (msPerToken - p.prefillMSPerToken)
}

// corrected returns the delay updated by a prediction error. It is never negative.
func (d *delayEstimate) corrected(errorMS float64, now time.Time) *delayEstimate {
	gain := delayGainDown
	if errorMS > 0 {
		gain = delayGainUp
	}
	return &delayEstimate{ms: math.Max(d.decayed(now)+gain*errorMS, 0), updatedAt: now}
}

// Retain removes the delays of all targets and links that are not known.
func (p *Predictor) Retain(known func(name string) bool) {
	for _, m := range [...]map[string]*delayEstimate{p.targetDelays, p.linkDelays} {
		for name := range m {
			if !known(name) {
				delete(m, name)
			}
		}
	}
}
