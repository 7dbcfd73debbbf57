package stock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/stock"
)

// TestLateSaves guards against a save that is told to be over while it may still take place, and one
// that is told to be late for good.
func TestLateSaves(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	signs := map[string]stock.Signs{"b": {Silent: time.Minute}}
	const due = 100 * time.Millisecond
	var s stock.Saves
	late := func(ms int) (parts []string) {
		for _, k := range s.Late(at(ms), due, func(target string) stock.Signs { return signs[target] }) {
			parts = append(parts, k.Part)
		}
		return parts
	}
	begin := func(target, part string) *stock.Save {
		return s.Begin(target, []stock.Key{{Salt: "s", Part: part}}, at(0))
	}
	answered, unsent, left, lost, waits := begin("a", "answered"), begin("a", "unsent"), begin("a", "left"), begin("b", "lost"), begin("b", "waits")
	doubt := begin("c", "doubt")
	is.Equal(late(99), nil)
	unsent.NotSent(at(100))
	answered.Answered(at(100))
	left.Left(at(100))
	lost.Left(at(100))
	doubt.Left(at(100))
	is.Equal(late(100), []string{"answered", "left", "lost", "waits", "doubt"}) // the target may still write
	signs["a"] = stock.Signs{Heard: at(150)}
	is.Equal(late(349), []string{"left", "lost", "waits", "doubt"})
	is.Equal(late(350), []string{"lost", "waits", "doubt"}) // the target has been heard of
	is.Equal(late(1599), []string{"lost", "waits", "doubt"})
	is.Equal(late(1600), []string{"lost", "waits"}) // nobody finds it silent
	is.Equal(late(10_099), []string{"lost", "waits"})
	is.Equal(late(10_100), []string{"waits"})
	waits.Answered(at(20_000))
	is.Equal(late(20_200), nil)
}
