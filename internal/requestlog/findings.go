package requestlog

import (
	"fmt"
	"slices"
	"time"
)

// findStaleConfig compares the configuration version that the instance used with the
// newest version in force on any instance at that time.
func findStaleConfig(lines []Line, t *Timeline) []string {
	end := t.end()
	used, newest, since := end.Fields.Number("config"), 0.0, time.Time{}
	for _, l := range lines {
		if l.Message == "configuration in force" && !l.Time.After(end.Time) && l.Fields.Number("version") > newest {
			newest, since = l.Fields.Number("version"), l.Time
		}
	}
	refused := slices.Contains([]string{"unauthorized", "not-found"}, end.Fields.Text("outcome"))
	switch {
	case newest > used:
		return []string{fmt.Sprintf("decided by configuration %.0f, while another instance had %.0f in force %s before: the configuration was stale; %s", used, newest, end.Time.Sub(since).Round(time.Millisecond),
			describeNotice(lines, end, newest))}
	case refused:
		return []string{fmt.Sprintf("refused by configuration %.0f, the newest on any instance: the configuration was not stale", used)}
	}
	return nil
}

// describeNotice says whether the instance had received notice of a configuration
// version. If it had, it still had to fetch the document.
func describeNotice(lines []Line, end Line, version float64) string {
	for l := range sameInstance(lines, end) {
		if l.Message == "newer configuration heard of" && l.Fields.Number("version") >= version {
			return fmt.Sprintf("%s had received notice of it %s before (%.0f bytes) but had not fetched it yet", end.Instance, end.Time.Sub(l.Time).Round(time.Millisecond), l.Fields.Number("bytes"))
		}
	}
	return end.Instance + " had not received notice of it"
}

// loadEffectPeriod is how long after a load order its target still aborts requests.
const loadEffectPeriod = 2 * time.Second

// findLoadOrders reports weight loads that were ordered on targets which failed the request.
func findLoadOrders(_ []Line, t *Timeline) []string {
	var out []string
	for _, a := range t.failedAttempts() {
		for _, l := range t.Related {
			if age := a.Time.Sub(l.Time); l.Message == "load ordered" && l.Fields.Text("target") == a.Fields.Text("target") && age > -loadEffectPeriod/4 && age < loadEffectPeriod {
				out = append(out, fmt.Sprintf("target %s was ordered to load version %.0f %s before it failed the request: a load aborts requests that are still running",
					a.Fields.Text("target"), l.Fields.Number("version"), age.Round(time.Millisecond)))
			}
		}
	}
	return out
}

// failedAttempts returns the attempts of the request that delivered no complete response.
func (t *Timeline) failedAttempts() []Line {
	var out []Line
	for _, l := range t.Lines {
		if l.Message == "attempt failed" {
			out = append(out, l)
		}
	}
	return out
}

// findRemovedTargets reports targets of the request that were removed from the target list.
func findRemovedTargets(_ []Line, t *Timeline) []string {
	var out []string
	for _, l := range t.Related {
		removed := slices.Contains([]string{"target gone", "target's entry vanished, held", "target gone, its entry did not return"}, l.Message)
		text := fmt.Sprintf("target %s was removed from the target list at about that time (%s)", l.Fields.Text("target"), l.Message)
		if removed && !slices.Contains(out, text) {
			out = append(out, text)
		}
	}
	return out
}

const (
	// If at least minCorrelatedFailures other requests failed on the same target within
	// correlationWindow, the target is the likely cause, not the request.
	correlationWindow     = time.Second
	minCorrelatedFailures = 3
)

// findCorrelatedFailures reports targets on which other requests failed at the same time.
func findCorrelatedFailures(lines []Line, t *Timeline) []string {
	var out []string
	for _, a := range t.failedAttempts() {
		others := 0
		for _, l := range lines {
			near := l.Time.Sub(a.Time).Abs() <= correlationWindow
			if near && l.Message == "attempt failed" && l.Fields.Text("target") == a.Fields.Text("target") && l.Fields.Text("request") != t.Request {
				others++
			}
		}
		if others >= minCorrelatedFailures {
			out = append(out, fmt.Sprintf("%d other requests failed at target %s within %s: the likely cause is the target, not this request", others, a.Fields.Text("target"), correlationWindow))
		}
	}
	return out
}

const (
	// A response that took more than minExcessMS longer than predicted, and more than
	// minExcessFactor times as long, was delayed by something unknown to the instance.
	minExcessMS     = 150.0
	minExcessFactor = 2.0
)

// findSlowResponse reports a late first response, and whether other requests that
// fetched from the same cache store were late too.
func findSlowResponse(lines []Line, t *Timeline) []string {
	end := t.end()
	if !isSlow(end) {
		return nil
	}
	out := []string{fmt.Sprintf("first answer after %.0f ms, predicted %.0f ms", end.Fields.Number("first_ms"), end.Fields.Number("predicted_ms"))}
	link, total, slowCount := end.Fields.Text("link"), 0, 0
	for _, l := range lines {
		if l.Message != "request" || link == "" || l.Fields.Text("link") != link || l.Time.Sub(end.Time).Abs() > correlationWindow || l.Fields.Text("request") == t.Request {
			continue
		}
		total++
		if isSlow(l) {
			slowCount++
		}
	}
	if total > 0 {
		out = append(out, fmt.Sprintf("it fetched from cache store %s; %d of %d other requests that did so within %s were also late", link, slowCount, total, correlationWindow))
	}
	return out
}

// isSlow reports whether the first response exceeded its prediction by both thresholds.
func isSlow(l Line) bool {
	first, predicted := l.Fields.Number("first_ms"), l.Fields.Number("predicted_ms")
	return first > predicted+minExcessMS && first > minExcessFactor*predicted
}

// startupPeriod is how long after its start an instance may still lack required state.
const startupPeriod = 3 * time.Second

// findRecentStart reports that the instance had just started.
func findRecentStart(_ []Line, t *Timeline) []string {
	end := t.end()
	for _, l := range t.Related {
		if age := end.Time.Sub(l.Time); l.Message == "started" && age >= 0 && age < startupPeriod {
			return []string{fmt.Sprintf("%s had started %s before", end.Instance, age.Round(time.Millisecond))}
		}
	}
	return nil
}

// minStaleAge is the age from which the last response of the object store is reported:
// the watches by which instances receive changes return sooner than that.
const minStaleAge = 2 * time.Second

// findStoreOutage reports how old the state from the object store was.
func findStoreOutage(_ []Line, t *Timeline) []string {
	end := t.end()
	age := time.Duration(end.Fields.Number("store_age_ms")) * time.Millisecond
	lost := false
	for _, l := range t.Related {
		if l.Time.After(end.Time) {
			break
		}
		lost = l.Message == "object store lost" || lost && l.Message != "object store reached"
	}
	switch {
	case lost:
		return []string{fmt.Sprintf("the object store did not answer %s; its last word was %s old", end.Instance, age)}
	case age >= minStaleAge:
		return []string{fmt.Sprintf("the object store's last response to %s was %s old: it relied on updates from peers", end.Instance, age)}
	}
	return nil
}
