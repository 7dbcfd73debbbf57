package requestlog_test

import (
	"testing"

	"github.com/matryer/is"
)

// TestBackoffs guards against findings that omit targets in backoff, both for a request
// that was refused because of it and for one that was retried on another target.
func TestBackoffs(t *testing.T) {
	requested := logLine(4000, "a", "target asks for rest", `"target":"t1","rest_ms":3000,"from":"report"`)
	refused := logLine(5000, "a", "request", `"request":"r","outcome":"overloaded","status":503,"config":13,"resting_targets":2,"rest_left_ms":2000`)
	failed := logLine(5000, "a", "request", `"request":"r","outcome":"target-failure","status":500,"config":13`)
	cases := []struct {
		name  string
		lines []string
		want  []string
	}{
		{"refused", []string{requested, refused}, []string{"2 eligible targets had asked a to back off, the first for another 2000 ms", "target t1 was in backoff for requests from a for another 2s"}},
		{"failed elsewhere", []string{requested, failed}, []string{"target t1 was in backoff for requests from a for another 2s"}},
		{"expired", []string{logLine(1000, "a", "target asks for rest", `"target":"t1","rest_ms":3000`), failed}, nil},
		{"requested from another instance", []string{logLine(4000, "b", "target asks for rest", `"target":"t1","rest_ms":3000`), failed}, nil},
		{"retried elsewhere", []string{logLine(4900, "a", "attempt failed", `"request":"r","target":"t1","ended":"refused","next":"retry","rest_ms":3000`),
			logLine(5000, "a", "request", `"request":"r","outcome":"done","status":200,"config":13`)}, []string{"target t1 rejected it and asked a to back off for 3000 ms"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := findingsOn(t, c.lines, "back off", "backoff")
			is.Equal(got, c.want)
		})
	}
}
