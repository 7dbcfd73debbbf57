package requestlog_test

import (
	"testing"

	"github.com/matryer/is"
)

// TestLimitedTargets guards against a refusal for used-up limits that is not explained, and against one that is blamed
// on limits of others.
func TestLimitedTargets(t *testing.T) {
	cases := []struct {
		name, line string
		want       []string
	}{
		{"refused", logLine(5000, "a", "request", `"request":"r","outcome":"overloaded","status":503,"limited_targets":3`),
			[]string{"3 eligible targets had named limits of requests a second, which were used up by all instances together"}},
		{"served elsewhere", logLine(5000, "a", "request", `"request":"r","outcome":"done","status":200,"limited_targets":3`), nil},
		{"refused for another reason", logLine(5000, "a", "request", `"request":"r","outcome":"overloaded","status":503`), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(findingsOn(t, []string{c.line}, "limits of requests"), c.want)
		})
	}
}
