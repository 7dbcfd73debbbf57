package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// TestEachPeerReceivesAllLeavingTargets guards against peers that each receive only some of the leaving
// targets because messages to all of them share one position in the list.
func TestEachPeerReceivesAllLeavingTargets(t *testing.T) {
	const leaving, messages = 5 * maxLeavingTargets / 2, 3
	report := map[string]func(c *controlState, peer string) LeavingTargets{
		"replies": func(c *controlState, peer string) LeavingTargets {
			return c.replyHello(&HelloRequest{From: member.Member{Name: peer}}).Leaving
		},
		"probes": func(c *controlState, peer string) LeavingTargets { return c.newHelloTo(peer, false).Leaving },
	}
	for name, report := range report {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peers := []string{"e-1", "e-2", "e-3"}
			c, incarnations := controlWithTargets(600)
			for _, l := range incarnations[:leaving] {
				targetLeaving{incarnation: l}.apply(c)
			}
			reported := map[string]map[registry.Incarnation]bool{}
			for range messages {
				for _, peer := range peers {
					if reported[peer] == nil {
						reported[peer] = map[registry.Incarnation]bool{}
					}
					for _, l := range report(c, peer) {
						reported[peer][l] = true
					}
				}
			}
			for _, peer := range peers {
				is.Equal(len(reported[peer]), leaving)
			}
			targetLeaving{incarnation: incarnations[500]}.apply(c)
			for _, peer := range peers { // the latest notice goes first to each peer
				is.Equal(report(c, peer)[0], incarnations[500])
			}
		})
	}
}
