package requestlog

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// RetryWindow holds what the instances' logs say about the retries at one service in the window in which
// there were most of them.
type RetryWindow struct {
	Service   string         `json:"service"`
	Start     time.Time      `json:"start"`
	Requests  int            `json:"requests"` // that ended in the window, at all instances
	Charged   int            `json:"charged"`  // retries that the budget allowed
	Free      int            `json:"free"`     // retries of attempts that reached no target
	Exhausted int            `json:"exhausted"`
	ByCause   map[string]int `json:"by_cause"` // charged retries, by how the attempt before ended
	// ByInstance holds the charged retries by instance, AfterStart those by instances that had started in the window.
	ByInstance   map[string]int `json:"by_instance"`
	AfterStart   int            `json:"after_start"`
	Starts       int            `json:"starts"`        // of instances, in the window
	MinInstances int            `json:"min_instances"` // the fewest and most instances for which a budget was computed
	MaxInstances int            `json:"max_instances"`
}

// RetryWindows returns, for each service, the window of the given length with the most charged retries.
func RetryWindows(lines []Line, length time.Duration) []RetryWindow {
	sorted := slices.Clone(lines)
	sortByTime(sorted)
	charged := map[string][]Line{}
	for _, l := range sorted {
		if l.isRetry("charged") {
			service := l.Fields.Text("service")
			charged[service] = append(charged[service], l)
		}
	}
	var out []RetryWindow
	for service, retries := range charged {
		w := RetryWindow{Service: service, Start: busiestStart(retries, length), ByCause: map[string]int{}, ByInstance: map[string]int{}}
		for _, l := range sorted {
			if !l.Time.Before(w.Start) && l.Time.Before(w.Start.Add(length)) {
				w.add(l)
			}
		}
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b RetryWindow) int { return cmp.Or(b.Charged-a.Charged, cmp.Compare(a.Service, b.Service)) })
	return out
}

// busiestStart returns the time of the line with which the window that holds most of the lines starts.
func busiestStart(lines []Line, length time.Duration) time.Time {
	most, start, end := 0, lines[0].Time, 0
	for i, l := range lines {
		for end < len(lines) && lines[end].Time.Before(l.Time.Add(length)) {
			end++
		}
		if end-i > most {
			most, start = end-i, l.Time
		}
	}
	return start
}

// isRetry reports whether a line says that another attempt was wanted and what the budget had to do with it.
func (l Line) isRetry(budget string) bool {
	return l.Message == "attempt failed" && l.Fields.Text("budget") == budget
}

// add counts a line of the window.
func (w *RetryWindow) add(l Line) {
	if l.Message == "started" {
		w.Starts++
	}
	if l.Fields.Text("service") != w.Service {
		return
	}
	switch {
	case l.Message == "request":
		w.Requests += 1 + int(l.Fields.Number("lines_left_out"))
	case l.isRetry("free"):
		w.Free++
	case l.isRetry("exhausted"):
		w.Exhausted++
	case l.isRetry("charged"):
		w.addCharged(l)
	}
}

func (w *RetryWindow) addCharged(l Line) {
	w.Charged++
	w.ByCause[l.Fields.Text("ended")]++
	w.ByInstance[l.Instance]++
	if up := time.Duration(l.Fields.Number("up_ms")) * time.Millisecond; l.Time.Add(-up).After(w.Start) {
		w.AfterStart++
	}
	instances := int(l.Fields.Number("budget_instances"))
	if w.MinInstances == 0 || instances < w.MinInstances {
		w.MinInstances = instances
	}
	w.MaxInstances = max(w.MaxInstances, instances)
}

// findExhaustedBudget reports that a request got no further attempt because the retry budget was used up.
func findExhaustedBudget(_ []Line, t *Timeline) []string {
	var out []string
	for _, a := range t.failedAttempts() {
		if a.isRetry("exhausted") {
			out = append(out, fmt.Sprintf("no further attempt: %s had %.2f retries left for service %s, of a budget for %.0f instances, %s after its start",
				a.Instance, a.Fields.Number("budget_balance"), a.Fields.Text("service"), a.Fields.Number("budget_instances"), time.Duration(a.Fields.Number("up_ms"))*time.Millisecond))
		}
	}
	return out
}
