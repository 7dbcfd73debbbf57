// Package policy names the mechanisms by which requests are placed, so that experiments
// can switch them off one at a time and measure what each is worth. It is pure.
package policy

import (
	"slices"
	"strings"
)

// Policy says which mechanisms are in use.
type Policy struct {
	Admission         bool // requests are refused while targets' memory is full
	Homes             bool // prompts go to the home of their last shared part by preference
	ScoreJitter       bool // scores are shaken, so that instances do not all pick the same target
	LinkWeight        bool // time on a shared link counts more than other time
	OldWeightsPenalty bool // targets with old weights count less
	PeerLoads         bool // what peers have waiting at targets counts
	LearnedLatency    bool // what is learned of slow targets and links counts
	DeprioritizeLate  bool // in large fleets, requests that are predicted late wait behind others
	StreamConnReuse   bool // streams that may not run twice use kept connections too
	StoreZoneHomes    bool // prompts have their homes in the zone of the store that keeps them
	WarmupSenders     bool // a few instances send to a cold target what it bears; else none does
	HeadsInFastStores bool // parts with which prompts begin are kept in the fastest stores
}

// switches are the mechanisms by the names under which experiments know them.
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
}

// Default returns the policy with all mechanisms in use.
func Default() Policy {
	var p Policy
	for _, at := range switches {
		*at(&p) = true
	}
	return p
}

// Names are the mechanisms that can be switched off, sorted.
func Names() []string {
	var out []string
	for name := range switches {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// UnknownMechanismError says that there is no mechanism of a name.
type UnknownMechanismError struct{ Name string }

// Error implements error.
func (e *UnknownMechanismError) Error() string {
	return "policy: no mechanism " + e.Name + "; there are " + strings.Join(Names(), ", ")
}

// Without returns p without the mechanisms named.
func (p Policy) Without(names ...string) (Policy, error) {
	for _, name := range names {
		at, ok := switches[name]
		if !ok {
			return p, &UnknownMechanismError{Name: name}
		}
		*at(&p) = false
	}
	return p, nil
}
