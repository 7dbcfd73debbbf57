package loads_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/loads"
)

// TestLateSavesOfOthers guards against a late save that is forgotten while it is told, or remembered
// when it no longer is.
func TestLateSavesOfOthers(t *testing.T) {
	is := is.New(t)
	l := loads.NewLateSaves(age)
	now := time.Unix(0, 0)
	l.Take("a", 2, []loads.Key{1, 2}, now)
	l.Take("b", 1, []loads.Key{2}, now)
	l.Take("a", 1, nil, now) // overtaken
	is.True(l.Has(1, now) && l.Has(2, now) && !l.Has(3, now))
	l.Take("a", 3, nil, now)
	is.True(!l.Has(1, now) && l.Has(2, now))
	is.Equal(len(l.Words(now)["b"]), 1)
	is.True(!l.Has(2, now.Add(age)))
}
