// Package placement selects the target of a service that a request is sent to, or refuses
// the request. The inputs are what this instance has observed of each target and what its
// peers report: requests in flight, the target memory that they occupy, and recent response
// times. The package does no I/O and reads no clock.
package placement

import (
	"math"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/policy"
	"github.com/shedhoist/shedhoist/internal/core/slots"
)

// Target is the state of one candidate target.
type Target struct {
	ID              string
	Zone            string
	InFlight        int     // requests of this instance in flight at the target
	FirstResponseMS float64 // predicted time to the first response, without network latency
	LinkOccupancyMS float64 // time for which the request's cache fetch occupies a shared link
	Excluded        bool    // already tried by this request
	Ejected         bool    // ejected by the circuit breaker after recent failures
	LacksModel      bool    // does not serve the request's model
	ZoneUnreachable bool    // its zone is unreachable: a last resort, like an ejected target
	Incompatible    bool    // its software can't go on with the request's stream
	WarmupLimited   bool    // warming up, and this instance may send it no request now
	RateLimited     bool    // names a limit, and there is no permit to send it a request now
	InBackoff       bool    // has asked this instance to back off, and gets no requests
	Closing         bool    // is about to load weights, see Query.LostIfCutOff
	// Weight is the target's weight in the choice of homes. A target that is warming up gets
	// requests from few instances, so each of these gives it a larger weight. 0 means 1.
	Weight float64
	// OutdatedFor is the time since weights newer than the target's were announced; 0 if it
	// has the newest ones or the request names no model.
	OutdatedFor time.Duration
	// CapacityTokens is the size of the target's memory; 0 if it is not known or the target
	// is not a model server.
	CapacityTokens int
	// UsedTokens is the part of the memory that the running requests of all instances occupy.
	UsedTokens int
	// QueuedTokens is the prefill work of all instances' requests that wait for their first
	// response there.
	QueuedTokens int
	// Slots is how many requests the target runs at once; 0 if it is not known or the target is a
	// model server.
	Slots int
	// Requests is the estimated number of requests of all instances at the target, if Slots is set.
	// It includes InFlight.
	Requests float64
}

// Query describes the request to place.
type Query struct {
	Zone                 string         // zone of this instance
	RolloutTimeout       time.Duration  // time that a rollout of new weights may take
	ConcurrencyPenaltyMS float64        // delay that each request in flight at a target adds to another one
	RequestBytes         int            // size of the request
	Rand                 func() float64 // uniform in [0, 1)
	Policy               policy.Policy

	// PrefixKey identifies the last shared part of the prompt, which determines the home
	// target; "" if there is none.
	PrefixKey string
	// StoreZone is the zone of the cache store that holds this part; "" if none does.
	StoreZone string
	// SharedPrefillMS is the prefill time of the prompt's shared parts.
	SharedPrefillMS float64
	// NeededTokens is the target memory that the request will occupy.
	NeededTokens int
	// RunTime is the predicted time from the request's first response to its last, on a model server.
	RunTime time.Duration
	// ServiceMS is the learned time that a request occupies one of a target's slots; 0: not known,
	// and the targets' slots are ignored.
	ServiceMS float64
	// TimeLeftMS is the time until the request's deadline, if ServiceMS is set.
	TimeLeftMS float64
	// Started is true once a target has worked on the request or the caller has received a
	// part of the response. Such a request is no longer refused for lack of memory or slots, and
	// MemoryShare and MaxQueuedTokens do not apply to it.
	Started bool
	// MemoryShare is the share of a target's memory that the request may fill, see package
	// admission. 0 counts as 1.
	MemoryShare float64
	// RequestShare is the share of a target's memory that the request counts as against
	// MemoryShare; 0: NeededTokens. It must fit into the whole memory in any case.
	RequestShare float64
	// MaxQueuedTokens is the prefill work that may be queued at a target before the request; 0: no
	// limit.
	MaxQueuedTokens int
	// LostIfCutOff is true if the request must not run twice, or has no further attempt. A load of
	// weights may cut off its response, so it is sent to a closing target only if no other can
	// take it.
	LostIfCutOff bool
}

// Action is the outcome of a placement.
type Action uint8

// The actions.
const (
	Send     Action = iota // send the request to the target at Decision.Index
	Refuse                 // refuse the request at once: all eligible targets are full, or too late
	NoTarget               // no target may be used
)

// Decision is the outcome for a request, with the counts that explain it.
type Decision struct {
	Action        Action
	Index         int // index of the selected target, or -1
	FullTargets   int // eligible targets without enough free memory, or with too much queued work
	LongQueues    int // those of them with more queued work than MaxQueuedTokens
	WarmupLimited int // targets skipped because they are warming up
	RateLimited   int // eligible targets skipped because they name limits, and there is no permit now
	InBackoff     int // eligible targets skipped because they have asked for backoff
	FreeTokens    int // largest free memory among the full targets
	// LateTargets counts the eligible targets whose queue for a slot is so long that the response
	// would come after the deadline.
	LateTargets int
	// ExcessMS is by how much the response would be late at the best of these, which has
	// LateRequests requests for LateSlots slots and a predicted wait of LateWaitMS.
	ExcessMS     float64
	LateRequests float64
	LateSlots    int
	LateWaitMS   float64
}

// Penalties added to a target's score, in ms, and factors applied to it.
const (
	// crossZonePenaltyMS and crossZonePenaltyMSPerKB penalize a target in another zone: the
	// network adds two milliseconds, and traffic between zones is billed by the byte.
	crossZonePenaltyMS      = 4.0
	crossZonePenaltyMSPerKB = 1.0
	// linkOccupancyFactor is the penalty for each millisecond that a shared link is not
	// available to other requests.
	linkOccupancyFactor = 1.5
	// nonHomeFactor, times the prefill time of the shared parts, penalizes all targets but
	// the prompt's home, where these parts are most likely cached.
	nonHomeFactor = 1.5
	// outdatedWeightsFactor multiplies the score of a target that serves an older version
	// than the newest announced one, once outdatedGrace is over.
	outdatedWeightsFactor = 1.5
	// fullTargetFactor ranks full targets behind all others except ejected or unreachable ones.
	fullTargetFactor = 100.0
	// scoreJitter randomly increases scores by up to this fraction, so that instances with
	// the same view do not all select the same target.
	scoreJitter = 0.25
	// nearlyIdleShare is the used share of a target's memory up to which MemoryShare does not
	// apply. Otherwise a request that needs more than that share would never be admitted.
	nearlyIdleShare = 0.25
	// outdatedGrace is the time after the announcement of a version in which an older one is
	// not penalized.
	outdatedGrace = time.Second
)

// Select chooses the eligible target with the lowest score.
//
// A target whose memory is full gets no new requests. A request sent there nevertheless
// evicts running requests and cached parts, which then need another prefill. Prefill delays
// every running request, slower requests occupy memory for longer, and this overload lasts
// tens of seconds longer than its cause (docs/DECIDING.md). Therefore a request is refused at
// once if all eligible targets are full: one request fails, and the others keep their pace.
// A request larger than a target's whole memory is left to the target to refuse. For a less urgent
// request a target is full earlier, at Query.MemoryShare of its memory or with more queued prefill
// work than Query.MaxQueuedTokens.
//
// A target with slots gets no request whose answer its queue would delay beyond the deadline. If that
// is so at all eligible targets, the request is refused at once.
//
// A target in backoff gets no requests, even if there is no other target: each request that
// it turns away costs resources that it needs to recover.
func Select(targets []Target, q Query) Decision {
	d := Decision{Action: NoTarget, Index: -1}
	home := -1
	if q.Policy.Homes && q.PrefixKey != "" {
		home = homeIndex(targets, q.PrefixKey, q.StoreZone)
	}
	meanPeers := meanPeerRequests(targets, &q)
	lowestScore, bestPreference := math.Inf(1), preferred
	for i := range targets {
		t := &targets[i]
		if t.WarmupLimited {
			d.WarmupLimited++
		}
		if !eligible(t, &q) {
			continue
		}
		if t.InBackoff {
			d.InBackoff++
			continue
		}
		if t.RateLimited {
			d.RateLimited++
			continue
		}
		if t.Excluded || t.WarmupLimited {
			continue
		}
		if excess := t.excessMS(&q); excess > 0 {
			if d.LateTargets == 0 || excess < d.ExcessMS {
				d.ExcessMS, d.LateRequests, d.LateSlots, d.LateWaitMS = excess, t.Requests, t.Slots, t.slotLoad().Wait(q.ServiceMS)
			}
			d.LateTargets++
			if !q.Started {
				continue
			}
		}
		full := q.Policy.Admission && t.isFullFor(&q)
		if full && !t.lastResort() {
			d.FullTargets++
			if t.hasLongQueueFor(&q) {
				d.LongQueues++
			}
			d.FreeTokens = max(d.FreeTokens, t.CapacityTokens-t.UsedTokens)
		}
		if full && !q.Started {
			continue
		}
		targetScore := score(t, &q, meanPeers, i != home && home >= 0)
		if full {
			targetScore *= fullTargetFactor
		}
		p := t.preferenceFor(&q)
		if d.Index < 0 || p < bestPreference || p == bestPreference && targetScore < lowestScore {
			d.Action, d.Index, lowestScore, bestPreference = Send, i, targetScore, p
		}
	}
	if d.FullTargets > 0 && !q.Started && (d.Index < 0 || bestPreference == lastResort) {
		d.Action, d.Index = Refuse, -1
	}
	if d.LateTargets > 0 && !q.Started && d.Index < 0 {
		d.Action = Refuse
	}
	return d
}

// slotLoad returns the target's load in the form that package slots uses.
func (t *Target) slotLoad() slots.Load {
	return slots.Load{Slots: t.Slots, Own: t.InFlight, Peers: math.Max(t.Requests-float64(t.InFlight), 0)}
}

// HasFreeSlot reports whether a slot of the target is free, as far as is known.
func (t *Target) HasFreeSlot() bool { return t.slotLoad().HasFree() }

// excessMS returns by how much the response would come after the deadline because of the queue for
// the target's slots; 0 if it would not, or nothing is known of the slots.
func (t *Target) excessMS(q *Query) float64 {
	if t.Slots <= 0 || !q.Policy.Slots {
		return 0
	}
	return t.slotLoad().Excess(q.ServiceMS, q.TimeLeftMS)
}

// meanPeerRequests returns the mean number of the other instances' requests at the targets with slots.
func meanPeerRequests(targets []Target, q *Query) float64 {
	if q.ServiceMS <= 0 || !q.Policy.Slots {
		return 0
	}
	sum, n := 0.0, 0.0
	for i := range targets {
		if t := &targets[i]; t.Slots > 0 && !t.Excluded {
			sum, n = sum+t.slotLoad().Peers, n+1
		}
	}
	return sum / max(n, 1)
}

// slotWaitMS returns the mean wait for one of the target's slots with which targets are compared; 0
// if the slots or the service time are not known.
func (t *Target) slotWaitMS(q *Query, meanPeers float64) float64 {
	if t.Slots <= 0 || q.ServiceMS <= 0 || !q.Policy.Slots {
		return 0
	}
	return t.slotLoad().Damped(meanPeers, q.ServiceMS).MeanWait(q.ServiceMS)
}

// preference ranks targets before their score does: one is used only if no target with a lower
// preference can take the request.
type preference uint8

// The preferences.
const (
	preferred  preference = iota
	closing               // the request would be lost if cut off, and the target is about to load weights
	lastResort            // ejected or unreachable
)

func (t *Target) preferenceFor(q *Query) preference {
	switch {
	case t.lastResort():
		return lastResort
	case t.Closing && q.LostIfCutOff:
		return closing
	}
	return preferred
}

// lastResort reports whether the target is used only if there is no other.
func (t *Target) lastResort() bool { return t.Ejected || t.ZoneUnreachable }

// unavailable reports whether this instance may send the target no request at all now.
func (t *Target) unavailable() bool { return t.WarmupLimited || t.RateLimited || t.InBackoff }

// isFullFor reports whether the request needs more memory than the target has free for it, or
// would find too much work queued there. A target that runs no requests counts as not full: it
// refuses a request larger than its memory itself.
func (t *Target) isFullFor(q *Query) bool {
	if t.CapacityTokens <= 0 || t.UsedTokens <= 0 {
		return t.hasLongQueueFor(q)
	}
	if t.UsedTokens+q.NeededTokens > t.CapacityTokens || t.hasLongQueueFor(q) {
		return true
	}
	if q.MemoryShare <= 0 || q.Started {
		return false
	}
	used, needed := float64(t.UsedTokens)/float64(t.CapacityTokens), q.RequestShare
	if needed <= 0 {
		needed = float64(q.NeededTokens) / float64(t.CapacityTokens)
	}
	return used+needed > q.MemoryShare && used > nearlyIdleShare
}

// hasLongQueueFor reports whether more prefill work is queued at the target than the request allows.
func (t *Target) hasLongQueueFor(q *Query) bool {
	return q.MaxQueuedTokens > 0 && t.QueuedTokens > q.MaxQueuedTokens && !q.Started
}

// eligible reports whether the target serves the request's model, on weights that are not replaced for too long.
func eligible(t *Target, q *Query) bool {
	return !t.LacksModel && !t.Incompatible && t.startsInTime(q)
}

// score returns the predicted time to the first response, in ms, plus the penalties of the
// choice. Lower is better.
func score(t *Target, q *Query, meanPeers float64, notHome bool) float64 {
	s := math.Max(t.FirstResponseMS, 1) + q.ConcurrencyPenaltyMS*float64(t.InFlight) + t.slotWaitMS(q, meanPeers)
	if q.Policy.LinkWeight {
		s += linkOccupancyFactor * t.LinkOccupancyMS
	}
	if notHome {
		s += nonHomeFactor * q.SharedPrefillMS
	}
	if t.Zone != q.Zone {
		s += crossZonePenaltyMS + crossZonePenaltyMSPerKB*float64(q.RequestBytes)/1024
	}
	if q.Policy.OldWeightsPenalty && t.OutdatedFor >= outdatedGrace {
		s *= outdatedWeightsFactor
	}
	if !q.Policy.ScoreJitter {
		return s
	}
	return s * (1 + scoreJitter*q.Rand())
}
