package requestlog_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/requestlog"
)

// crashedDuringRequest returns the log line of a request that was running on a target when it crashed.
func crashedDuringRequest(ms int, instance, target string) string {
	return logLine(ms, instance, "target crashed under a request", fmt.Sprintf(`"request":"u%d","key":"k","customer":"c","route":"x","target":%q`, ms, target))
}

// TestCrashFindings checks the findings for requests affected by crashes, and that a
// crash is attributed to other requests only if enough targets crashed.
func TestCrashFindings(t *testing.T) {
	crash := logLine(4999, "a", "target crashed", `"target":"t1"`)
	cut := logLine(5000, "a", "attempt failed", `"request":"r","target":"t1","ended":"broke within the answer","next":"end"`)
	cutEnd := logLine(5001, "a", "request", `"request":"r","targets":["t1"],"outcome":"cut","config":13`)
	rejected := logLine(5000, "a", "request", `"request":"r","outcome":"quarantined","status":503,"key":"k","crashes":3,"quarantined_ms":1750`)
	rejectedPart := logLine(5000, "a", "request", `"request":"r","outcome":"quarantined","status":503,"key":"other","part":"p","part_key":"k","crashes":4,"quarantined_ms":1750`)
	underPart := logLine(4999, "b", "target crashed under a request", `"request":"u","key":"k","part":"p","customer":"c","route":"x","target":"t1"`)
	cases := []struct {
		name  string
		lines []string
		want  []string // a part of each finding, in order
	}{
		{"a request running next to one that crashes targets", []string{crashedDuringRequest(4000, "b", "t2"), crashedDuringRequest(4500, "c", "t3"), crash, crashedDuringRequest(4999, "b", "t1"), cut, cutEnd},
			[]string{"t1 crashed", "key k (customer c, route x) were running on it and on 2 other targets"}},
		{"a crash that no request explains", []string{crashedDuringRequest(4000, "b", "t2"), crash, crashedDuringRequest(4999, "b", "t1"), cut, cutEnd}, []string{"t1 crashed"}},
		{"a broken response of a target that did not crash", []string{cut, cutEnd}, nil},
		{"a quarantine", []string{crashedDuringRequest(1000, "b", "t2"), crashedDuringRequest(2000, "c", "t3"), crashedDuringRequest(2000, "b", "t3"), crashedDuringRequest(3000, "b", "t1"), rejected},
			[]string{"quarantined for 1.75s: 3 targets crashed while running requests with the same customer, path and body (key k; in these logs: t2, t3, t1)"}},
		{"a quarantine of a part", []string{crashedDuringRequest(1000, "b", "t2"), crashedDuringRequest(2000, "c", "t3"), rejectedPart},
			[]string{"quarantined for 1.75s: 4 targets crashed while running requests with part p in their prompts (key k; in these logs: t2, t3)"}},
		{"a request running next to one with a part that crashes targets", []string{crashedDuringRequest(4000, "b", "t2"), crashedDuringRequest(4500, "c", "t3"), crash, underPart, cut, cutEnd},
			[]string{"t1 crashed", "requests with part p (key k) (customer c, route x) were running on it and on 2 other targets"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			timeline := requestlog.Build(readLines(t, c.lines...), "r")
			is.Equal(len(timeline.Findings), len(c.want))
			for i, want := range c.want {
				is.True(strings.Contains(timeline.Findings[i], want))
			}
		})
	}
}
