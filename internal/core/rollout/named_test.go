package rollout_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/rollout"
)

const assumedAge = 7 * time.Second

var named0 = time.Unix(1000, 0)

// sec returns a time some seconds after named0.
func sec(s int) time.Time { return named0.Add(time.Duration(s) * time.Second) }

func age(version uint64, s int) rollout.VersionAge {
	return rollout.VersionAge{Version: version, Age: time.Duration(s) * time.Second}
}

// TestOutdatedSinceFirstNewer checks that a version counts as outdated from when the first newer one was named.
func TestOutdatedSinceFirstNewer(t *testing.T) {
	is := is.New(t)
	var n rollout.NamedVersions
	n = n.WithNamed(2, sec(0)).WithNamed(3, sec(4))
	is.Equal(n.OutdatedFor(1, sec(5)), 5*time.Second)
	is.Equal(n.OutdatedFor(2, sec(5)), time.Second)
	is.Equal(n.OutdatedFor(3, sec(5)), time.Duration(0))
}

// TestStartForgetsNoVersion guards against an instance that starts while versions are named faster than they
// are put in place, and takes one that was replaced long ago for one replaced by the newest.
func TestStartForgetsNoVersion(t *testing.T) {
	var old rollout.NamedVersions // of an instance that was there all the time
	for version := uint64(2); version <= 5; version++ {
		old = old.WithNamed(version, sec(4*int(version)-8)) // 2 at 0 s, 3 at 4 s, 4 at 8 s, 5 at 12 s
	}
	found := rollout.NamedVersions{}.WithFound(5, assumedAge, sec(13))
	join := func(n, peer rollout.NamedVersions, now time.Time) rollout.NamedVersions {
		for _, a := range peer.Ages(now) {
			n = n.WithAge(a, now)
		}
		if unknown := peer.UnknownAge(now); unknown > 0 {
			n = n.WithUnknownAge(unknown, now)
		}
		return n
	}
	late := rollout.NamedVersions{}.WithFound(4, assumedAge, sec(10)).WithNamed(5, sec(12)) // an instance that started at 10 s, alone
	for _, c := range []struct {
		name string
		n    rollout.NamedVersions
		want [6]int // by version from 1 on, in s at 14 s
	}{
		{"an instance that was there", old, [6]int{0, 14, 10, 6, 2, 0}},
		{"started, nobody tells", found, [6]int{0, 8, 8, 8, 8, 0}},
		{"started, a peer tells", join(found, old, sec(13)), [6]int{0, 14, 10, 6, 2, 0}},
		{"a peer tells before the list", join(rollout.NamedVersions{}, old, sec(13)).WithFound(5, assumedAge, sec(13)), [6]int{0, 14, 10, 6, 2, 0}},
		{"a peer tells that started of late", join(found, late, sec(13)), [6]int{0, 11, 11, 11, 2, 0}},
		{"two peers tell, in turn", join(join(found, late, sec(13)), old, sec(13)), [6]int{0, 14, 10, 6, 2, 0}},
		{"two peers tell, in the other turn", join(join(found, old, sec(13)), late, sec(13)), [6]int{0, 14, 10, 6, 2, 0}},
		{"a peer tells that assumes itself", join(found, rollout.NamedVersions{}.WithFound(5, assumedAge, sec(12)), sec(13)), [6]int{0, 9, 9, 9, 9, 0}},
		{"started again and again", join(found, join(rollout.NamedVersions{}.WithFound(5, assumedAge, sec(12)), late, sec(12)), sec(13)), [6]int{0, 11, 11, 11, 2, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for version := 1; version <= 5; version++ {
				is.Equal(c.n.OutdatedFor(uint64(version), sec(14)), time.Duration(c.want[version])*time.Second)
			}
		})
	}
}

// TestAssumedUntilTold guards against an instance that stops asking for the age of the newest version before it is
// told, or never stops.
func TestAssumedUntilTold(t *testing.T) {
	is := is.New(t)
	is.True(!rollout.NamedVersions{}.Assumed())
	n := rollout.NamedVersions{}.WithFound(5, assumedAge, sec(13))
	is.True(n.Assumed())
	is.True(n.WithAge(age(4, 2), sec(13)).Assumed())          // of another version
	is.True(n.WithUnknownAge(time.Minute, sec(13)).Assumed()) // a bound
	is.True(!n.WithAge(age(5, 1), sec(13)).Assumed())
	is.True(!n.WithNamed(6, sec(14)).Assumed())
}

// TestAgesNeverGetYounger guards against a version that counts as replaced later than before, because a peer
// learned of it late, or the history is full.
func TestAgesNeverGetYounger(t *testing.T) {
	is := is.New(t)
	n := rollout.NamedVersions{}.WithNamed(2, sec(0)).WithAge(age(2, 1), sec(5))
	is.Equal(n.OutdatedFor(1, sec(5)), 5*time.Second)
	n = n.WithAge(age(2, 9), sec(5))
	is.Equal(n.OutdatedFor(1, sec(5)), 9*time.Second)
	for version := uint64(3); version <= 20; version++ {
		n = n.WithNamed(version, sec(int(version)+3))
	}
	is.True(n.OutdatedFor(1, sec(30)) >= 34*time.Second)
	is.True(n.OutdatedFor(3, sec(30)) >= 23*time.Second)
	is.Equal(n.OutdatedFor(19, sec(30)), 7*time.Second)
}
