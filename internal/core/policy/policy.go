// Package policy defines the mechanisms of request placement, each of which can be
// switched off in experiments to measure its effect.
package policy

import (
	"slices"
	"strings"
)

// Policy holds which mechanisms are in use.
type Policy struct {
	Admission         bool // requests are refused while the targets' memory is full
	Homes             bool // prompts are preferably sent to the home target of their last shared part
	ScoreJitter       bool // random jitter on the scores prevents all instances from selecting the same target
	LinkWeight        bool // transfer time on a shared link has a higher weight than other time
	OldWeightsPenalty bool // targets that serve an outdated weight version get a cost penalty
	PeerLoads         bool // requests that peers have waiting at targets count as load
	LearnedLatency    bool // predictions include the learned delays of slow targets and links
	DeprioritizeLate  bool // in large fleets, requests predicted to be late queue behind others
	StreamConnReuse   bool // streams that must not run twice are also sent on kept-alive connections
	StoreZoneHomes    bool // prompts have their home target in the zone of the store that holds their parts
	WarmupSenders     bool // a few instances send a target that is warming up what it can take; if off, no instance does
	HeadsInFastStores bool // parts with which prompts begin are saved in the fastest stores
	RolloutStages     bool // targets close, and their runs are waited for, before they load weights
}

// switches maps the names of the mechanisms, as used in settings, to their fields.
var switches = map[string]func(*Policy) *bool{
	"admission":    func(p *Policy) *bool { return &p.Admission },
	"homes":        func(p *Policy) *bool { return &p.Homes },
	"spread":       func(p *Policy) *bool { return &p.ScoreJitter },
	"link-weight":  func(p *Policy) *bool { return &p.LinkWeight },
	"old-weights":  func(p *Policy) *bool { return &p.OldWeightsPenalty },
	"peer-loads":   func(p *Policy) *bool { return &p.PeerLoads },
	"overdue":      func(p *Policy) *bool { return &p.LearnedLatency },
	"late-behind":  func(p *Policy) *bool { return &p.DeprioritizeLate },
	"kept-streams": func(p *Policy) *bool { return &p.StreamConnReuse },
	"store-zones":  func(p *Policy) *bool { return &p.StoreZoneHomes },
	"cold-senders": func(p *Policy) *bool { return &p.WarmupSenders },
	"heads-apart":  func(p *Policy) *bool { return &p.HeadsInFastStores },

	"rollout-stages": func(p *Policy) *bool { return &p.RolloutStages },
}

// Default returns the policy with all mechanisms in use.
func Default() Policy {
	var p Policy
	for _, field := range switches {
		*field(&p) = true
	}
	return p
}

// Names returns the sorted names of the mechanisms that can be switched off.
func Names() []string {
	var out []string
	for name := range switches {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// UnknownMechanismError reports a name that is not the name of a mechanism.
type UnknownMechanismError struct{ Name string }

// Error implements error.
func (e *UnknownMechanismError) Error() string {
	return "policy: unknown mechanism " + e.Name + "; known mechanisms: " + strings.Join(Names(), ", ")
}

// Without returns p with the named mechanisms switched off.
func (p Policy) Without(names ...string) (Policy, error) {
	for _, name := range names {
		field, ok := switches[name]
		if !ok {
			return p, &UnknownMechanismError{Name: name}
		}
		*field(&p) = false
	}
	return p, nil
}
