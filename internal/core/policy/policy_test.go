package policy_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// TestWithout checks that every mechanism is in use unless it is switched off by name, and that
// an unknown name is refused.
func TestWithout(t *testing.T) {
	is := is.New(t)
	all := policy.Default()
	seen := map[policy.Policy]bool{all: true}
	for _, name := range policy.Names() {
		p, err := all.Without(name)
		is.NoErr(err)
		is.True(!seen[p]) // each name switches off a different mechanism
		seen[p] = true
	}
	none, err := all.Without(policy.Names()...)
	is.NoErr(err)
	is.Equal(none, policy.Policy{})
	_, err = all.Without("admission", "magic")
	var unknown *policy.UnknownMechanismError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.Name, "magic")
}
