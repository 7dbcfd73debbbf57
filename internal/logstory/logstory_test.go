package logstory_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/logstory"
)

// at writes one log line, so many ms after midnight.
func at(ms int, instance, message, fields string) string {
	when := time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339Nano)
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"fields":{"instance":%q%s},"level":"info","timestamp":%q,"message":%q}`, instance, fields, when, message)
}

func read(t *testing.T, lines ...string) []logstory.Line {
	out, err := logstory.Read(strings.NewReader(strings.Join(lines, "\n")))
	is.New(t).NoErr(err)
	return out
}

// TestFindings is a table of requests and of what their story must, and must not, say.
func TestFindings(t *testing.T) {
	cut := at(5000, "a", "attempt failed", `"request":"r","target":"t1","ended":"broke within the answer","next":"end"`)
	cutEnd := at(5001, "a", "request", `"request":"r","targets":["t1"],"outcome":"cut","config":13`)
	others := make([]string, 3)
	for i := range others {
		others[i] = at(5100, "b", "attempt failed", fmt.Sprintf(`"request":"o%d","target":"t1"`, i))
	}
	late := at(5000, "a", "request", `"request":"r","targets":["t1"],"outcome":"done","link":"s:1","first_ms":700,"predicted_ms":90,"config":13`)
	refused := at(5000, "a", "request", `"request":"r","outcome":"unauthorized","status":401,"config":13,"store_age_ms":40`)
	cases := []struct {
		name  string
		lines []string
		want  []string // one piece of each finding, in order
	}{
		{"a right refusal", []string{at(100, "a", "configuration in force", `"version":13`), refused}, []string{"not by a stale belief"}},
		{"a stale refusal", []string{at(100, "a", "configuration in force", `"version":13`), at(3000, "b", "configuration in force", `"version":15`), refused},
			[]string{"had 15 in force 2s before: the belief was stale; a had not heard of it"}},
		{"a stale refusal by one that heard of the newer configuration", []string{at(100, "a", "configuration in force", `"version":13`),
			at(3000, "b", "configuration in force", `"version":15`), at(3100, "a", "newer configuration heard of", `"version":15,"bytes":583151`),
			at(3200, "c", "newer configuration heard of", `"version":15,"bytes":583151`), refused},
			[]string{"a had heard of it 1.9s before, of 583151 bytes"}},
		{"a newer configuration that came later", []string{at(100, "a", "configuration in force", `"version":13`), at(5500, "b", "configuration in force", `"version":15`), refused},
			[]string{"not by a stale belief"}},
		{"a stream cut by a load", []string{at(4800, "b", "load ordered", `"target":"t1","version":2`), cut, cutEnd}, []string{"version 2 200ms before"}},
		{"a load at another target", []string{at(4800, "b", "load ordered", `"target":"t2","version":2`), cut, cutEnd}, nil},
		{"a crash", append([]string{cut, cutEnd, at(7000, "c", "target gone", `"target":"t1"`)}, others...), []string{"left the list", "3 other requests failed"}},
		{"two that failed there too", append([]string{cut, cutEnd}, others[:2]...), nil},
		{"a slow link", []string{late, at(5100, "b", "request", `"request":"x","link":"s:1","first_ms":600,"predicted_ms":80`),
			at(5200, "b", "request", `"request":"y","link":"s:1","first_ms":90,"predicted_ms":80`)}, []string{"predicted 90 ms", "1 of 2 other requests"}},
		{"an instance that has just started", []string{at(4000, "a", "started", ""), refused}, []string{"not by a stale belief", "a had started 1s before"}},
		{"an instance that the store left", []string{at(1000, "a", "object store lost", ""), refused}, []string{"not by a stale belief", "did not answer a"}},
		{"one that the store answers again", []string{at(1000, "a", "object store lost", ""), at(2000, "a", "object store reached", ""), refused}, []string{"not by a stale belief"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := logstory.Tell(read(t, c.lines...), "r")
			is.Equal(len(s.Findings), len(c.want))
			for i, w := range c.want {
				if !strings.Contains(s.Findings[i], w) {
					t.Errorf("finding %q lacks %q", s.Findings[i], w)
				}
			}
		})
	}
}

// TestMerged: what many instances tell of a target alike is one line of the story.
func TestMerged(t *testing.T) {
	is := is.New(t)
	lines := []string{at(5000, "a", "request", `"request":"r","targets":["t1"],"outcome":"cut"`)}
	for i, instance := range []string{"c", "b", "a", "d"} {
		lines = append(lines, at(4000+i, instance, "target changed", `"target":"t1","leaving":true,"models":[{"Model":"m"}]`))
	}
	lines = append(lines, at(4500, "b", "target changed", `"target":"t1","leaving":false`))
	s := logstory.Tell(read(t, lines...), "r")
	is.Equal(len(s.Around), 2)
	is.Equal(s.Around[0].Instance, "a")
	is.Equal(s.Around[0].Others, 3)
}

// TestRead: lines of collectors and others' lines are no trouble; an unknown request
// has no story; a line without an end is an error.
func TestRead(t *testing.T) {
	is := is.New(t)
	lines := read(t, "   0.02 front-1 "+at(1, "a", "started", ""), "panic: not JSON", `{"other":1}`, "{broken", at(2, "a", "request", `"request":"r","outcome":"done"`))
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Instance, "a")
	is.Equal(logstory.Tell(lines, "none"), nil)
	is.Equal(len(logstory.Tell(lines, "r").Lines), 1)
	_, err := logstory.Read(strings.NewReader(strings.Repeat("x", 5<<20)))
	is.True(err != nil)
}

// FuzzRead: no input breaks the reader or the story.
func FuzzRead(f *testing.F) {
	f.Add(at(1, "a", "request", `"request":"r","targets":["t",3],"config":"x"`))
	f.Add(`{"fields":null,"message":"request"}`)
	f.Fuzz(func(t *testing.T, text string) {
		if lines, err := logstory.Read(strings.NewReader(text)); err == nil {
			logstory.Tell(lines, "r")
		}
	})
}
