package rollout

import (
	"cmp"
	"slices"
	"time"
)

// NamedVersions holds the weight versions named for a model, and when an instance learned of each. The zero
// value holds none. Values are immutable.
//
// Invariant: what is taken as the time at which a version was replaced never gets later, but for an assumed
// time that a peer knows.
type NamedVersions struct {
	Newest  uint64         // the newest version named; 0 if there is none
	history []namedVersion // ascending, at most maxNamedHistory; may hold versions newer than Newest
	// unknownSince is when versions count as replaced of which history doesn't tell it: newer ones were named
	// before the instance started, or are no longer held. Zero: there are none.
	unknownSince time.Time
}

type namedVersion struct {
	version   uint64
	learnedAt time.Time // when an instance learned of the version
	assumed   bool      // the version was found at startup: learnedAt is an estimate
}

// VersionAge is how long ago a weight version was named.
type VersionAge struct {
	Version uint64
	Age     time.Duration
}

// maxNamedHistory bounds the versions kept per model: no more are rolled out at a time.
const maxNamedHistory = 8

// WithNamed returns a copy with a newer version, named at now.
func (n NamedVersions) WithNamed(version uint64, now time.Time) NamedVersions {
	n.Newest = version
	return n.with(namedVersion{version: version, learnedAt: now})
}

// WithFound returns a copy with the version that an instance finds when it starts, and that is assumed to
// have been named some time ago. Older versions may have been replaced at any time before.
func (n NamedVersions) WithFound(version uint64, assumedAge time.Duration, now time.Time) NamedVersions {
	n.Newest = version
	return n.with(namedVersion{version: version, learnedAt: now.Add(-assumedAge), assumed: true}).WithUnknownAge(assumedAge, now)
}

// WithAge returns a copy that takes into account how long a peer has known of a version. It replaces an assumed
// age, and a younger one.
func (n NamedVersions) WithAge(a VersionAge, now time.Time) NamedVersions {
	return n.with(namedVersion{version: a.Version, learnedAt: now.Add(-a.Age)})
}

// WithUnknownAge returns a copy in which versions of which it is not known when they were replaced count as
// replaced no later than age ago.
func (n NamedVersions) WithUnknownAge(age time.Duration, now time.Time) NamedVersions {
	if since := now.Add(-age); n.unknownSince.IsZero() || since.Before(n.unknownSince) {
		n.unknownSince = since
	}
	return n
}

// with adds a version, or what is learned of one.
func (n NamedVersions) with(added namedVersion) NamedVersions {
	history := slices.Clone(n.history)
	i, exists := slices.BinarySearchFunc(history, added.version, func(h namedVersion, version uint64) int { return cmp.Compare(h.version, version) })
	switch {
	case !exists:
		history = slices.Insert(history, i, added)
	case history[i].assumed || !added.assumed && added.learnedAt.Before(history[i].learnedAt):
		history[i] = added
	}
	if len(history) > maxNamedHistory {
		if dropped := history[0].learnedAt; n.unknownSince.IsZero() || dropped.Before(n.unknownSince) {
			n.unknownSince = dropped
		}
		history = history[1:]
	}
	n.history = history
	return n
}

// OutdatedFor returns how long a version has been known to be older than the newest one: the time since the
// first newer version was named. It returns 0 for the newest version.
func (n NamedVersions) OutdatedFor(version uint64, now time.Time) time.Duration {
	if version >= n.Newest {
		return 0
	}
	i := n.indexAfter(version)
	if i < 0 {
		return 0
	}
	since := n.history[i].learnedAt
	mayMissNewer := i == 0 && n.history[0].version != version+1
	if (mayMissNewer || n.history[i].assumed) && !n.unknownSince.IsZero() && n.unknownSince.Before(since) {
		since = n.unknownSince
	}
	return max(now.Sub(since), 1)
}

// indexAfter returns the index in history of the first version newer than version; -1: there is none.
func (n NamedVersions) indexAfter(version uint64) int {
	return slices.IndexFunc(n.history, func(h namedVersion) bool { return h.version > version })
}

// Assumed reports whether it is only assumed when the newest version was named.
func (n NamedVersions) Assumed() bool {
	i := n.indexAfter(n.Newest - 1)
	return n.Newest > 0 && i >= 0 && n.history[i].assumed
}

// Ages returns the ages of the versions that are known, not assumed.
func (n NamedVersions) Ages(now time.Time) []VersionAge {
	var out []VersionAge
	for _, h := range n.history {
		if !h.assumed {
			out = append(out, VersionAge{Version: h.version, Age: now.Sub(h.learnedAt)})
		}
	}
	return out
}

// UnknownAge returns for how long versions count as replaced of which it is not known when they were; 0: there
// are none.
func (n NamedVersions) UnknownAge(now time.Time) time.Duration {
	if n.unknownSince.IsZero() {
		return 0
	}
	return now.Sub(n.unknownSince)
}
