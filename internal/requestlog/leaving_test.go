package requestlog_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLeavingTargets checks that the findings name the targets whose leaving notice was
// known, both when the request was sent there and when it was not for that reason.
func TestLeavingTargets(t *testing.T) {
	served := logLine(5000, "a", "request", `"request":"r","targets":["t1"],"outcome":"done","ms":100,"config":13`)
	refused := logLine(5000, "a", "request", `"request":"r","outcome":"no-target","status":503,"ms":1,"config":13`)
	learned := func(ms int, instance string) string {
		return logLine(ms, instance, "target leaves", `"target":"t1","from":"answer","by":"q"`)
	}
	cases := []struct {
		name  string
		lines []string
		want  []string
	}{
		{"sent despite the notice", []string{learned(900, "a"), served}, []string{"sent to target t1, although a had learned 4s before the request arrived that the target leaves (by answer q)"}},
		{"known to another instance", []string{learned(2900, "b"), served}, []string{"sent to target t1; b had learned 2s before the request arrived that the target leaves, a had not received notice of it"}},
		{"learned from its own response", []string{learned(4950, "a"), served}, nil},
		{"learned later", []string{learned(5100, "a"), served}, nil},
		{"excluded", []string{learned(4000, "a"), refused}, []string{"not sent to target t1, which leaves: a had learned so 1s before (by answer q)"}},
		{"excluded by another instance", []string{learned(4000, "b"), refused}, nil},
		{"its incarnation is gone since", []string{strings.Replace(learned(3000, "a"), `"t1"`, `"t1@1764720060000"`, 1), logLine(4000, "a", "target gone", `"target":"t1"`), refused}, nil},
		{"gone since", []string{learned(3000, "a"), logLine(4000, "a", "target gone", `"target":"t1"`), refused}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := findingsOn(t, c.lines, "leaves")
			is.Equal(len(got), len(c.want))
			for i := range got {
				is.Equal(got[i], c.want[i])
			}
		})
	}
}
