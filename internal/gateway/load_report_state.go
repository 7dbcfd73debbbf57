package gateway

import (
	"github.com/shedhoist/shedhoist/internal/loadreport"
)

// reportState is what an instance has to report in one round: its own state, and by neighbour
// what that reported.
type reportState struct {
	g *Gateway

	work          loadreport.WorkByTarget
	peerWork      map[string]loadreport.WorkByTarget
	requests      loadreport.RequestsByTarget
	peerRequests  map[string]loadreport.RequestsByTarget
	silent        []loadreport.TargetAge
	peerSilent    map[string][]loadreport.TargetAge
	answered      []loadreport.TargetAge
	peerAnswered  map[string][]loadreport.TargetAge
	positions     []StorePosition
	pending       []loadreport.Key
	peerPending   map[string][]loadreport.Key
	once          []loadreport.Key
	peerOnce      map[string][]loadreport.Key
	customers     loadreport.UseByService
	peerCustomers map[string]loadreport.UseByService
}

// collectReportState collects the state for one round of reports.
func (g *Gateway) collectReportState(tree *relayTree) *reportState {
	now := g.now()
	s := &reportState{g: g, work: g.ownLoads(), peerWork: g.peerLoads.Reports(now), requests: g.ownRequests(), peerRequests: g.peerRequests.Reports(now)}
	s.silent, s.peerSilent = g.ownSilentTargets(), g.peerSilences.Reports(now)
	g.targetLinks.noteSilences(s.silent)
	s.answered, s.peerAnswered = g.ownAnswered(s.peerSilent), g.peerSilences.ResponseReports(now)
	s.positions = g.cache.ownPositions() // before the pending saves, see LoadReport.StorePositions
	s.pending, s.peerPending = g.cache.ownPendingSaves(), g.peerPendingSaves.Reports(now)
	s.once, s.peerOnce = g.ownAtMostOncePrompts(), g.peerAtMostOncePrompts.Reports(now)
	s.customers, s.peerCustomers = g.customerShares.update(now, tree.neighbours())
	return s
}

// reportTo returns the report for a neighbour, without its sender and number.
func (s *reportState) reportTo(n neighbour) *LoadReport {
	report := &LoadReport{
		Targets:           n.loadsToReport(s.work, s.peerWork).Report(),
		Requests:          n.requestsToReport(s.requests, s.peerRequests).Report(),
		Silent:            n.silencesToReport(s.silent, s.peerSilent),
		Answered:          n.answeredToReport(s.answered, s.peerAnswered),
		PendingSaves:      n.keysToReport(s.pending, s.peerPending),
		StorePositions:    s.positions,
		AtMostOncePrompts: n.keysToReport(s.once, s.peerOnce),
	}
	if use := n.customersToReport(s.customers, s.peerCustomers); s.g.customerShares.takeDue(n.Name, use, s.g.now()) {
		report.Customers = use.Report()
	}
	return report
}

// isEmpty reports whether a report says nothing.
func (r *LoadReport) isEmpty() bool {
	return len(r.Targets)+len(r.Requests)+len(r.Silent)+len(r.Answered)+len(r.PendingSaves)+len(r.StorePositions)+len(r.AtMostOncePrompts)+len(r.Customers) == 0
}
