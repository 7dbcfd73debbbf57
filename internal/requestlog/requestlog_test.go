package requestlog_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/requestlog"
)

// logLine returns one log line, stamped the given number of milliseconds after the epoch.
func logLine(ms int, instance, message, fields string) string {
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"fields":{"instance":%q%s},"level":"info","timestamp":%q,"message":%q}`, instance, fields, logTime(ms), message)
}

// logTime returns a point in time, ms after an arbitrary one, as logs write it.
func logTime(ms int) string { return time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339Nano) }

func readLines(t *testing.T, lines ...string) []requestlog.Line {
	out, err := requestlog.Read(strings.NewReader(strings.Join(lines, "\n")))
	is.New(t).NoErr(err)
	return out
}

// TestFindings checks which findings a request has, and that it has no others.
func TestFindings(t *testing.T) {
	cut := logLine(5000, "a", "attempt failed", `"request":"r","target":"t1","ended":"broke within the answer","next":"end"`)
	cutEnd := logLine(5001, "a", "request", `"request":"r","targets":["t1"],"outcome":"cut","config":13`)
	others := make([]string, 3)
	for i := range others {
		others[i] = logLine(5100, "b", "attempt failed", fmt.Sprintf(`"request":"o%d","target":"t1"`, i))
	}
	late := logLine(5000, "a", "request", `"request":"r","targets":["t1"],"outcome":"done","link":"s:1","first_ms":700,"predicted_ms":90,"config":13`)
	refused := logLine(5000, "a", "request", `"request":"r","outcome":"unauthorized","status":401,"config":13,"store_age_ms":40`)
	cases := []struct {
		name  string
		lines []string
		want  []string // a part of each finding, in order
	}{
		{"a correct refusal", []string{logLine(100, "a", "configuration in force", `"version":13`), refused}, []string{"the configuration was not stale"}},
		{"a refusal by stale configuration", []string{logLine(100, "a", "configuration in force", `"version":13`), logLine(3000, "b", "configuration in force", `"version":15`), refused},
			[]string{"had 15 in force 2s before: the configuration was stale; a had not received notice of it"}},
		{"a refusal by an instance with notice of the newer configuration", []string{logLine(100, "a", "configuration in force", `"version":13`),
			logLine(3000, "b", "configuration in force", `"version":15`), logLine(3100, "a", "newer configuration heard of", `"version":15,"bytes":583151`),
			logLine(3200, "c", "newer configuration heard of", `"version":15,"bytes":583151`), refused},
			[]string{"a had received notice of it 1.9s before (583151 bytes) but had not fetched it yet"}},
		{"a newer configuration that came later", []string{logLine(100, "a", "configuration in force", `"version":13`), logLine(5500, "b", "configuration in force", `"version":15`), refused},
			[]string{"the configuration was not stale"}},
		{"a stream cut by a load", []string{logLine(4800, "b", "load ordered", `"target":"t1","version":2`), cut, cutEnd}, []string{"version 2 200ms before"}},
		{"a load at another target", []string{logLine(4800, "b", "load ordered", `"target":"t2","version":2`), cut, cutEnd}, nil},
		{"a crash", append([]string{cut, cutEnd, logLine(7000, "c", "target gone", `"target":"t1"`)}, others...), []string{"was removed from the target list", "3 other requests failed"}},
		{"two other failures on the target", append([]string{cut, cutEnd}, others[:2]...), nil},
		{"a slow link", []string{late, logLine(5100, "b", "request", `"request":"x","link":"s:1","first_ms":600,"predicted_ms":80`),
			logLine(5200, "b", "request", `"request":"y","link":"s:1","first_ms":90,"predicted_ms":80`)}, []string{"predicted 90 ms", "1 of 2 other requests"}},
		{"an instance that has just started", []string{logLine(4000, "a", "started", ""), refused}, []string{"the configuration was not stale", "a had started 1s before"}},
		{"an object store outage", []string{logLine(1000, "a", "object store lost", ""), refused}, []string{"the configuration was not stale", "did not answer a"}},
		{"an object store outage that is over", []string{logLine(1000, "a", "object store lost", ""), logLine(2000, "a", "object store reached", ""), refused}, []string{"the configuration was not stale"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			timeline := requestlog.Build(readLines(t, c.lines...), "r")
			is.Equal(len(timeline.Findings), len(c.want))
			for i, want := range c.want {
				if !strings.Contains(timeline.Findings[i], want) {
					t.Errorf("finding %q lacks %q", timeline.Findings[i], want)
				}
			}
		})
	}
}

// TestMergeDuplicates checks that the same change of a target reported by several
// instances becomes one line of the timeline.
func TestMergeDuplicates(t *testing.T) {
	is := is.New(t)
	lines := []string{logLine(5000, "a", "request", `"request":"r","targets":["t1"],"outcome":"cut"`)}
	for i, instance := range []string{"c", "b", "a", "d"} {
		lines = append(lines, logLine(4000+i, instance, "target changed", `"target":"t1","leaving":true,"models":[{"Model":"m"}]`))
	}
	lines = append(lines, logLine(4500, "b", "target changed", `"target":"t1","leaving":false`))
	timeline := requestlog.Build(readLines(t, lines...), "r")
	is.Equal(len(timeline.Related), 2)
	is.Equal(timeline.Related[0].Instance, "a")
	is.Equal(timeline.Related[0].OtherInstances, 3)
}

// TestRead checks that the reader skips collectors' prefixes and foreign lines, that an
// unknown request has no timeline, and that an overlong line is an error.
func TestRead(t *testing.T) {
	is := is.New(t)
	lines := readLines(t, "   0.02 front-1 "+logLine(1, "a", "started", ""), "panic: not JSON", `{"other":1}`, "{broken", logLine(2, "a", "request", `"request":"r","outcome":"done"`))
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Instance, "a")
	is.Equal(requestlog.Build(lines, "none"), nil)
	is.Equal(len(requestlog.Build(lines, "r").Lines), 1)
	_, err := requestlog.Read(strings.NewReader(strings.Repeat("x", 5<<20)))
	is.True(err != nil)
}

// FuzzRead checks that no input makes the reader or the timeline builder panic.
func FuzzRead(f *testing.F) {
	f.Add(logLine(1, "a", "request", `"request":"r","targets":["t",3],"config":"x"`))
	f.Add(`{"fields":null,"message":"request"}`)
	f.Fuzz(func(t *testing.T, text string) {
		if lines, err := requestlog.Read(strings.NewReader(text)); err == nil {
			requestlog.Build(lines, "r")
		}
	})
}

// findingsOn returns the findings on request r that contain one of some texts.
func findingsOn(t *testing.T, lines []string, texts ...string) []string {
	var out []string
	for _, f := range requestlog.Build(readLines(t, lines...), "r").Findings {
		if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(f, text) }) {
			out = append(out, f)
		}
	}
	return out
}
