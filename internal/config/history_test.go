package config_test

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/config"
	standin "github.com/shedhoist/shedhoist/internal/standin/platform"
)

// headCall is an operation on the head: a change from a base generation, or a read.
type headCall struct {
	apply   bool
	base    uint64
	message string
}

// headResult is the result of a headCall.
type headResult struct {
	accepted, conflict, uncertain bool
	generation                    uint64
	message                       string
}

// headState is the state of headModel.
type headState struct {
	generation uint64
	message    string
}

// headModel is a register that accepts a change only if it was made from the
// current generation. It does not model changes of uncertain outcome, which may
// take effect at any time: the test fails if there is one.
var headModel = porcupine.Model{
	Init: func() any { return headState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, a := state.(headState), input.(headCall), output.(headResult)
		switch {
		case !in.apply:
			return s == headState{a.generation, a.message}, s
		case a.accepted:
			return s.generation == in.base, headState{in.base + 1, in.message}
		}
		return s.generation != in.base, s // conflicts with an earlier change
	},
	Equal: func(a, b any) bool { return a.(headState) == b.(headState) },
}

// TestLinearizableHistory checks that the results of concurrent changes and
// reads are linearizable while writes and responses are lost.
func TestLinearizableHistory(t *testing.T) {
	is := is.New(t)
	repo, p := newRepo(t)
	var mu sync.Mutex
	var ops []porcupine.Operation
	var clock atomic.Int64 // logical time: only the order of events matters
	record := func(client int, in headCall, do func() headResult) {
		call := clock.Add(1)
		out := do()
		returned := clock.Add(1)
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: returned})
	}
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 12 {
				if i%4 == client {
					p.SetFaults(standin.Faults{LoseWrites: i % 2, DropWrites: i % 3 / 2})
				}
				var base uint64
				record(client, headCall{}, func() headResult {
					h, _, err := repo.Head(t.Context())
					if err != nil {
						t.Error(err)
					}
					base = h.Generation
					return headResult{generation: h.Generation, message: h.Message}
				})
				in := headCall{apply: true, base: base, message: fmt.Sprint(client, "/", i)}
				record(client, in, func() headResult {
					_, err := repo.Accept(t.Context(), config.Change{Base: base, Message: in.message})
					var conflict *config.ConflictError
					var uncertain *config.UncertainError
					return headResult{accepted: err == nil, conflict: errors.As(err, &conflict), uncertain: errors.As(err, &uncertain)}
				})
			}
		}()
	}
	wg.Wait()
	record(9, headCall{apply: true, message: "stale"}, func() headResult { // certain to conflict
		_, err := repo.Accept(t.Context(), config.Change{Message: "stale"})
		var conflict *config.ConflictError
		return headResult{conflict: errors.As(err, &conflict)}
	})
	accepted := 0
	for _, op := range ops {
		a := op.Output.(headResult)
		is.True(!a.uncertain)
		if a.accepted {
			accepted++
		}
	}
	is.True(accepted > 0)
	is.True(porcupine.CheckOperations(headModel, ops))

	for i, op := range ops { // the model must reject a conflict that is reported as accepted
		if op.Output.(headResult).conflict {
			ops[i].Output = headResult{accepted: true}
			break
		}
	}
	is.True(!porcupine.CheckOperations(headModel, ops))
}
