package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/member"
)

// TestLeavingIsReportedBothWays guards against a peer that doesn't receive a leaving notice because it has
// none to report itself: both the hello requests of an instance and its hello replies carry the notices.
func TestLeavingIsReportedBothWays(t *testing.T) {
	is := is.New(t)
	c, incarnations := controlWithTargets(3)
	targetLeaving{incarnation: incarnations[1]}.apply(c)
	is.Equal(c.newHello(false).Leaving, LeavingTargets{incarnations[1]})
	is.Equal(c.replyHello(&HelloRequest{From: member.Member{Name: "e-1"}}).Leaving, LeavingTargets{incarnations[1]})
}
