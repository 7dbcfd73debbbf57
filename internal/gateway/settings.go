package gateway

import (
	"time"

	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// Settings are one entry instance's own settings, as an adapter has read them.
type Settings struct {
	Name            string
	Zone            string
	CallerListen    string   // host:port that callers reach
	ReadyListen     string   // host:port that the balancer asks for readiness
	PeerListen      string   // host:port that other instances reach; told to them as it is
	MetricsListen   string   // host:port of the metrics; "": none
	Seeds           []string // peer addresses to begin with; any may be stale
	PlatformAddress string   // host:port of the object store
	MemoryBytes     int64    // limit of the process; 0: none
	StopWithin      time.Duration
	LeaseGap        time.Duration // time in which no two instances may give orders in turn
	RolloutWithin   time.Duration // time in which new weights must be in place everywhere
	ConfigWithin    time.Duration // time in which a configuration must be in force everywhere
	// EvacuateWithin is the time after which no request may reach a zone that operators
	// evacuate; 0: they evacuate none.
	EvacuateWithin time.Duration
	// A cold target may get as many requests a second as its service bears, times
	// WarmupOverage, plus WarmupSlack, from all instances together.
	WarmupOverage float64
	WarmupSlack   float64
	Retry         RetryBudget
	Policy        policy.Policy // how requests are placed; all mechanisms but in experiments
}

// RetryBudget bounds the retries of the whole fleet to one service: in any
// window, Share of the service's requests plus Slack.
type RetryBudget struct {
	Share  float64
	Slack  float64
	Window time.Duration
}

// Defaults where the settings give nothing.
const (
	defaultStopWithin    = 8 * time.Second  // between SIGTERM and SIGKILL, usual for supervisors
	defaultLeaseGap      = 3 * time.Second  // as the object stores known so far judge it
	defaultRolloutWithin = 10 * time.Second // docs/ROLLOUT.md
	defaultConfigWithin  = 10 * time.Second // the aim, see docs/CAPACITY.md
	defaultRetryShare    = 0.1              // Google SRE book, "Addressing Cascading Failures"
)

// WithDefaults fills in what is zero.
func (s *Settings) WithDefaults() *Settings {
	out := *s
	out.Policy = policy.Default()
	if out.StopWithin <= 0 {
		out.StopWithin = defaultStopWithin
	}
	if out.LeaseGap <= 0 {
		out.LeaseGap = defaultLeaseGap
	}
	if out.RolloutWithin <= 0 {
		out.RolloutWithin = defaultRolloutWithin
	}
	if out.ConfigWithin <= 0 {
		out.ConfigWithin = defaultConfigWithin
	}
	if out.Retry.Share <= 0 && out.Retry.Slack <= 0 {
		out.Retry.Share = defaultRetryShare
	}
	return &out
}
