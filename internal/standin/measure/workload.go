package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
)

// Workload is one of the users' two.
type Workload string

// Workloads.
const (
	// Rota: drafts resend one long head, the labour rules, all day and differ
	// late; each draft comes back a few times with a small edit.
	Rota Workload = "rota"
	// Lock: a long rulebook of one lock stands before each short question.
	Lock Workload = "lock"
)

// Arrival is one request. At is in modelled seconds.
type Arrival struct {
	At       float64
	Customer int
	Prompt   string
	Pieces   int // whole pieces of the prompt
}

const piece = prefix.ChunkBytes

// Sizes of the workloads, in pieces of about a thousand tokens.
const (
	headPieces  = 6 // of a rota draft: the labour rules
	draftPieces = 2 // of a rota draft: its own part
	bookPieces  = 8 // of a lock rulebook
	customers   = 10
	sites       = 8 // labour codes or rulebooks of a customer
)

// customerShare makes a few customers large: Zipf with exponent 1.
func customerShare(r *rand.Rand) int {
	total := 0.0
	for c := range customers {
		total += 1 / float64(c+1)
	}
	x := r.Float64() * total
	for c := range customers {
		if x -= 1 / float64(c+1); x < 0 {
			return c
		}
	}
	return customers - 1
}

// text is n pieces of made-up text, the same for the same label.
func text(label string, n int) string { return fleet.Rulebook(label, n*piece) }

// Arrivals draws n requests at a rate of so many a modelled second. The same
// seed gives the same arrivals, whatever serves them.
func Arrivals(w Workload, n int, rate float64, seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 11))
	out := make([]Arrival, 0, n)
	at := 0.0
	var drafts []string // of rota, still being worked on
	for i := range n {
		at += r.ExpFloat64() / rate
		c := customerShare(r)
		site := int(math.Min(r.ExpFloat64()*2, sites-1)) // some sites are busier
		a := Arrival{At: at, Customer: c}
		switch w {
		case Rota:
			head := text(fmt.Sprintf("labour code %d of customer %d", site, c), headPieces)
			label := fmt.Sprintf("draft %d", i)
			if len(drafts) > 0 && r.IntN(3) > 0 { // a draft comes back with an edit at its end
				label = drafts[r.IntN(len(drafts))]
			} else {
				drafts = append(drafts, label)
				if len(drafts) > 60 {
					drafts = drafts[1:]
				}
			}
			a.Prompt = head + text(label, draftPieces) + fmt.Sprintf("\nedit %d", i)
			a.Pieces = headPieces + draftPieces
		case Lock:
			a.Prompt = text(fmt.Sprintf("lock %d of customer %d", site, c), bookPieces) + fmt.Sprintf("\nMay convoy %d pass at %02d:00?", i, i%24)
			a.Pieces = bookPieces
		}
		out = append(out, a)
	}
	return out
}

// bound is the least share of prompt tokens that any fleet must compute: each
// piece of each customer once, and the rest behind the last whole piece.
func bound(arrivals []Arrival) float64 {
	seen := map[string]bool{}
	var must, all int
	for _, a := range arrivals {
		tokens := prefix.EstimateTokens(len(a.Prompt))
		all += tokens
		must += tokens - a.Pieces*piece/prefix.BytesPerToken
		for p := 1; p <= a.Pieces; p++ {
			key := fmt.Sprint(a.Customer, "/", p, "/") + a.Prompt[:p*piece]
			if !seen[key] {
				seen[key] = true
				must += piece / prefix.BytesPerToken
			}
		}
	}
	return float64(must) / float64(all)
}

// quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func sortedCopy(v []float64) []float64 {
	out := append([]float64(nil), v...)
	sort.Float64s(out)
	return out
}

// Names lists workloads for messages.
func Names() string { return strings.Join([]string{string(Rota), string(Lock)}, " or ") }
