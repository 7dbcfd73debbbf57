package gateway

import (
	"time"

	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// Settings are the settings of one entry instance, as read by an adapter.
type Settings struct {
	Name            string
	Zone            string
	CallerListen    string        // host:port of the callers' listener
	ReadyListen     string        // host:port of the readiness listener, polled by the balancer
	PeerListen      string        // host:port of the peers' listener; announced to other instances verbatim
	MetricsListen   string        // host:port of the metrics; "": none
	Seeds           []string      // peer addresses to join by; any may be stale
	PlatformAddress string        // host:port of the object store
	MemoryBytes     int64         // memory limit of the process; 0: none
	Descriptors     int           // file descriptors that the process may use for connections; 0: as many as the system allows
	StopWithin      time.Duration // time for a graceful stop
	LeaseGap        time.Duration // minimum time between orders of two instances, see handoverGuard
	RolloutWithin   time.Duration // time in which new weights must be loaded everywhere
	ConfigWithin    time.Duration // time in which a configuration must be in force everywhere
	// EvacuateWithin is the time after which no request may reach a zone that operators
	// have evacuated; 0: operators evacuate no zones.
	EvacuateWithin time.Duration
	// A target that is warming up may get, from all instances together, the requests per second
	// that its service allows, times WarmupOverage, plus WarmupSlack.
	WarmupOverage float64
	WarmupSlack   float64
	Retry         RetryBudget
	Policy        policy.Policy // how requests are placed; only experiments disable mechanisms
}

// RetryBudget limits the retries of the whole fleet to one service: in any
// window, Share of the service's requests plus Slack.
type RetryBudget struct {
	Share  float64
	Slack  float64
	Window time.Duration
}

// Defaults of settings that are not set.
const (
	defaultStopWithin    = 8 * time.Second  // usual time between SIGTERM and SIGKILL of supervisors
	defaultLeaseGap      = 3 * time.Second  // required by the known object stores
	defaultRolloutWithin = 10 * time.Second // docs/ROLLOUT.md
	defaultConfigWithin  = 10 * time.Second // objective, see docs/CAPACITY.md
	defaultRetryShare    = 0.1              // Google SRE book, "Addressing Cascading Failures"
	defaultRetryWindow   = 10 * time.Second
)

// WithDefaults returns a copy with the default policy, and with defaults for settings that are zero.
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
	if out.Retry.Window <= 0 {
		out.Retry.Window = defaultRetryWindow
	}
	return &out
}
