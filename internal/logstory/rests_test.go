package logstory_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/logstory"
)

// TestRestsAsked guards against a story that is silent about targets that asked for rest: where
// a request was refused for that, and where it was moved.
func TestRestsAsked(t *testing.T) {
	asks := at(4000, "a", "target asks for rest", `"target":"t1","rest_ms":3000,"from":"report"`)
	refused := at(5000, "a", "request", `"request":"r","outcome":"overloaded","status":503,"config":13,"resting_targets":2,"rest_left_ms":2000`)
	failed := at(5000, "a", "request", `"request":"r","outcome":"target-failure","status":500,"config":13`)
	cases := []struct {
		name  string
		lines []string
		want  []string
	}{
		{"refused", []string{asks, refused}, []string{"2 targets that could take it had asked a for rest, the first for another 2000 ms", "target t1 wanted no requests from a for another 2s"}},
		{"failed elsewhere", []string{asks, failed}, []string{"target t1 wanted no requests from a for another 2s"}},
		{"it was over", []string{at(1000, "a", "target asks for rest", `"target":"t1","rest_ms":3000`), failed}, nil},
		{"another instance was asked", []string{at(4000, "b", "target asks for rest", `"target":"t1","rest_ms":3000`), failed}, nil},
		{"moved", []string{at(4900, "a", "attempt failed", `"request":"r","target":"t1","ended":"refused","next":"retry","rest_ms":3000`),
			at(5000, "a", "request", `"request":"r","outcome":"done","status":200,"config":13`)}, []string{"target t1 turned it away and asked a for rest of 3000 ms"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := logstory.Tell(read(t, c.lines...), "r")
			var got []string
			for _, f := range s.Findings {
				if strings.Contains(f, "rest") || strings.Contains(f, "wanted no requests") {
					got = append(got, f)
				}
			}
			is.Equal(got, c.want)
		})
	}
}
