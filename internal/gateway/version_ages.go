package gateway

import (
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rollout"
)

// The object store holds the newest named version of each model alone, without a time. An instance that
// starts learns from its peers when versions were named, and makes an assumption until then.

const (
	// startupVersionGrace is how long a new process still uses weights older than the version it
	// found named, unless a peer reports that version's age. It is enough for the first targets to load.
	startupVersionGrace = 3 * time.Second
	// versionAgesWait is the time after its start in which an instance doesn't rely on the assumption: it
	// covers the replies of all seeds.
	versionAgesWait = 250 * time.Millisecond
)

// assumedVersionAge is the assumed age of a named version that this process finds at its start:
// most of the rollout's time may have passed already.
func (c *controlState) assumedVersionAge() time.Duration {
	return max(c.rolloutWithin-startupVersionGrace, 0)
}

// versionsListed reports whether the named versions have been received.
func (c *controlState) versionsListed() bool { return !c.versionsListedAt.IsZero() }

// assumesVersionAges reports whether the age of some model's newest version is only assumed.
func (c *controlState) assumesVersionAges() bool {
	for _, n := range c.named {
		if n.Assumed() {
			return true
		}
	}
	return false
}

// lacksVersionAges reports whether it is only assumed when the newest version of some outdated target's model was
// named.
func (c *controlState) lacksVersionAges(outdated []*catalog.Target) bool {
	for _, t := range outdated {
		for _, m := range t.Models {
			if n := c.named[m.Model]; m.Version < n.Newest && n.Assumed() {
				return true
			}
		}
	}
	return false
}

// wantsVersionAges reports whether peers are asked for the ages of versions: until all are known, or the
// assumption excludes all older weights.
func (c *controlState) wantsVersionAges() bool {
	return !c.versionsListed() || c.now().Sub(c.versionsListedAt) < startupVersionGrace && c.assumesVersionAges()
}

// versionAgesReceived delivers a peer's report of how long ago versions were named.
type versionAgesReceived struct {
	ages    []VersionAge
	unknown []UnknownVersions
	from    member.Member
}

func (e versionAgesReceived) apply(c *controlState) {
	now, wanted := c.now(), c.wantsVersionAges()
	for _, a := range e.ages {
		age := rollout.VersionAge{Version: a.Version, Age: time.Duration(a.AgeMS) * time.Millisecond}
		c.named[a.Model] = c.named[a.Model].WithAge(age, now)
	}
	for _, u := range e.unknown {
		c.named[u.Model] = c.named[u.Model].WithUnknownAge(time.Duration(u.AgeMS)*time.Millisecond, now)
	}
	if wanted && len(e.ages) > 0 {
		c.log.WithField("peer", e.from.Name).WithField("versions", len(e.ages)).WithField("bounds", len(e.unknown)).
			WithField("all_known", !c.wantsVersionAges()).Info("ages of weight versions received")
	}
}

// versionAges returns for a peer how long ago versions were named, and how long ago others were replaced. Ages
// that are only assumed are left out.
func (c *controlState) versionAges() (ages []VersionAge, unknown []UnknownVersions) {
	now := c.now()
	for model, n := range c.named {
		for _, a := range n.Ages(now) {
			ages = append(ages, VersionAge{Model: model, Version: a.Version, AgeMS: a.Age.Milliseconds()})
		}
		if age := n.UnknownAge(now); age > 0 {
			unknown = append(unknown, UnknownVersions{Model: model, AgeMS: age.Milliseconds()})
		}
	}
	return ages, unknown
}
