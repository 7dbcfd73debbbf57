package logstory_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/logstory"
)

// under is the line of a request that was under way at a target when it crashed.
func under(ms int, instance, target string) string {
	return at(ms, instance, "target crashed under a request", fmt.Sprintf(`"request":"u%d","key":"k","customer":"c","route":"x","target":%q`, ms, target))
}

// TestCrashFindings is a table of requests that met crashes, and of what their story must,
// and must not, say.
func TestCrashFindings(t *testing.T) {
	crash := at(4999, "a", "target crashed", `"target":"t1"`)
	cut := at(5000, "a", "attempt failed", `"request":"r","target":"t1","ended":"broke within the answer","next":"end"`)
	cutEnd := at(5001, "a", "request", `"request":"r","targets":["t1"],"outcome":"cut","config":13`)
	rejected := at(5000, "a", "request", `"request":"r","outcome":"quarantined","status":503,"key":"k","crashes":3,"quarantined_ms":1750`)
	cases := []struct {
		name  string
		lines []string
		want  []string // one piece of each finding, in order
	}{
		{"a request beside one that crashes targets", []string{under(4000, "b", "t2"), under(4500, "c", "t3"), crash, under(4999, "b", "t1"), cut, cutEnd},
			[]string{"t1 crashed", "key k (customer c, route x) were under way at it, and at 2 other targets"}},
		{"a crash that no request explains", []string{under(4000, "b", "t2"), crash, under(4999, "b", "t1"), cut, cutEnd}, []string{"t1 crashed"}},
		{"a broken answer of a target that lives", []string{cut, cutEnd}, nil},
		{"a quarantine", []string{under(1000, "b", "t2"), under(2000, "c", "t3"), under(2000, "b", "t3"), under(3000, "b", "t1"), rejected},
			[]string{"kept from targets for 1.75s: 3 crashed under requests like it, of customer, path and body (key k; in these logs: t2, t3, t1)"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := logstory.Tell(read(t, c.lines...), "r")
			is.Equal(len(s.Findings), len(c.want))
			for i, want := range c.want {
				is.True(strings.Contains(s.Findings[i], want))
			}
		})
	}
}
