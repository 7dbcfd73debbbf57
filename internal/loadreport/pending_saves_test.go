package loadreport_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// TestPendingSavesOfPeers guards against a pending save that is forgotten while a peer reports it,
// or remembered when no peer reports it any more.
func TestPendingSavesOfPeers(t *testing.T) {
	is := is.New(t)
	l := loadreport.NewPendingSaves(age, disorder)
	now := time.Unix(0, 0)
	l.Apply("a", 2, []loadreport.Key{1, 2}, now)
	l.Apply("b", 1, []loadreport.Key{2}, now)
	l.Apply("a", 1, nil, now) // arrives late
	is.True(l.Has(1, now) && l.Has(2, now) && !l.Has(3, now))
	l.Apply("a", 3, nil, now)
	is.True(!l.Has(1, now) && l.Has(2, now))
	is.Equal(len(l.Reports(now)["b"]), 1)
	is.True(l.Has(2, now.Add(age-1)))
	is.True(!l.Has(2, now.Add(age)))
}

// disorder is how long a report with a lower number is ignored in these tests.
const disorder = age / 30

// TestPendingSavesOfRestartedPeer guards against ignoring the reports of a restarted peer, which numbers
// them from 1 again, for as long as its earlier report counts.
func TestPendingSavesOfRestartedPeer(t *testing.T) {
	is := is.New(t)
	l := loadreport.NewPendingSaves(age, disorder)
	now := time.Unix(0, 0)
	l.Apply("a", 100, []loadreport.Key{1}, now)
	l.Apply("a", 1, []loadreport.Key{2}, now.Add(disorder-1))
	is.True(l.Has(1, now.Add(disorder)) && !l.Has(2, now.Add(disorder)))
	l.Apply("a", 1, []loadreport.Key{2}, now.Add(disorder))
	is.True(!l.Has(1, now.Add(disorder)) && l.Has(2, now.Add(disorder)))
}
