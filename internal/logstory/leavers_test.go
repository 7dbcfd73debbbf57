package logstory_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/logstory"
)

// TestLeavers: the story of a request says which of its targets had said that they leave, and from
// which it was kept for that.
func TestLeavers(t *testing.T) {
	served := at(5000, "a", "request", `"request":"r","targets":["t1"],"outcome":"done","ms":100,"config":13`)
	refused := at(5000, "a", "request", `"request":"r","outcome":"no-target","status":503,"ms":1,"config":13`)
	learned := func(ms int, instance string) string {
		return at(ms, instance, "target leaves", `"target":"t1","from":"answer","by":"q"`)
	}
	cases := []struct {
		name  string
		lines []string
		want  []string
	}{
		{"sent all the same", []string{learned(900, "a"), served}, []string{"sent to target t1, though a had learned 4s before it came that this leaves (by answer q)"}},
		{"another knew", []string{learned(2900, "b"), served}, []string{"sent to target t1, of which b had learned 2s before it came that it leaves; a had not heard of it"}},
		{"learned by its own answer", []string{learned(4950, "a"), served}, nil},
		{"learned later", []string{learned(5100, "a"), served}, nil},
		{"kept from it", []string{learned(4000, "a"), refused}, []string{"kept from target t1, which leaves, as a had learned 1s before (by answer q)"}},
		{"as another knew", []string{learned(4000, "b"), refused}, nil},
		{"its life is gone since", []string{strings.Replace(learned(3000, "a"), `"t1"`, `"t1@1764720060000"`, 1), at(4000, "a", "target gone", `"target":"t1"`), refused}, nil},
		{"gone since", []string{learned(3000, "a"), at(4000, "a", "target gone", `"target":"t1"`), refused}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := logstory.Tell(read(t, c.lines...), "r")
			var got []string
			for _, f := range s.Findings {
				if strings.Contains(f, "leaves") {
					got = append(got, f)
				}
			}
			is.Equal(len(got), len(c.want))
			for i := range got {
				is.Equal(got[i], c.want[i])
			}
		})
	}
}
