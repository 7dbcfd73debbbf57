package logstory

import (
	"fmt"
	"slices"
	"time"
)

// staleConfig compares the configuration that decided with the newest that any
// instance had in force by then.
func staleConfig(lines []Line, s *Story) []string {
	end := s.end()
	used, newest, since := end.Fields.Number("config"), 0.0, time.Time{}
	for _, l := range lines {
		if l.Message == "configuration in force" && !l.Time.After(end.Time) && l.Fields.Number("version") > newest {
			newest, since = l.Fields.Number("version"), l.Time
		}
	}
	refused := slices.Contains([]string{"unauthorized", "not-found"}, end.Fields.Text("outcome"))
	switch {
	case newest > used:
		return []string{fmt.Sprintf("decided by configuration %.0f, while another instance had %.0f in force %s before: the belief was stale; %s", used, newest, end.Time.Sub(since).Round(time.Millisecond),
			heardOf(lines, end, newest))}
	case refused:
		return []string{fmt.Sprintf("refused by configuration %.0f, the newest that any instance had: by what it says, not by a stale belief", used)}
	}
	return nil
}

// heardOf says whether the instance that decided knew that a configuration existed: one
// that did had yet to get the document.
func heardOf(lines []Line, end Line, version float64) string {
	for _, l := range lines {
		if l.Message == "newer configuration heard of" && l.Instance == end.Instance && !l.Time.After(end.Time) && l.Fields.Number("version") >= version {
			return fmt.Sprintf("%s had heard of it %s before, of %.0f bytes, and did not have them yet", end.Instance, end.Time.Sub(l.Time).Round(time.Millisecond), l.Fields.Number("bytes"))
		}
	}
	return end.Instance + " had not heard of it"
}

// orderEffect is how long after an order its target still cuts runs.
const orderEffect = 2 * time.Second

// ownOrders finds the loads of weights that were ordered at a target that failed.
func ownOrders(_ []Line, s *Story) []string {
	var out []string
	for _, a := range s.failed() {
		for _, l := range s.Around {
			if age := a.Time.Sub(l.Time); l.Message == "load ordered" && l.Fields.Text("target") == a.Fields.Text("target") && age > -orderEffect/4 && age < orderEffect {
				out = append(out, fmt.Sprintf("target %s was ordered to load version %.0f %s before it failed the request: a load cuts what still runs",
					a.Fields.Text("target"), l.Fields.Number("version"), age.Round(time.Millisecond)))
			}
		}
	}
	return out
}

// failed are the request's attempts that delivered nothing whole.
func (s *Story) failed() []Line {
	var out []Line
	for _, l := range s.Lines {
		if l.Message == "attempt failed" {
			out = append(out, l)
		}
	}
	return out
}

// vanished finds targets of the request that left the list.
func vanished(_ []Line, s *Story) []string {
	var out []string
	for _, l := range s.Around {
		gone := slices.Contains([]string{"target gone", "target's entry vanished, held", "target gone, its entry did not return"}, l.Message)
		text := fmt.Sprintf("target %s left the list around then (%s)", l.Fields.Text("target"), l.Message)
		if gone && !slices.Contains(out, text) {
			out = append(out, text)
		}
	}
	return out
}

// Failures of others at the same target within togetherTime, togetherLeast at least,
// are the target's, not the request's.
const (
	togetherTime  = time.Second
	togetherLeast = 3
)

func together(lines []Line, s *Story) []string {
	var out []string
	for _, a := range s.failed() {
		others := 0
		for _, l := range lines {
			near := l.Time.Sub(a.Time).Abs() <= togetherTime
			if near && l.Message == "attempt failed" && l.Fields.Text("target") == a.Fields.Text("target") && l.Fields.Text("request") != s.Request {
				others++
			}
		}
		if others >= togetherLeast {
			out = append(out, fmt.Sprintf("%d other requests failed at target %s within %s: the target, not this request", others, a.Fields.Text("target"), togetherTime))
		}
	}
	return out
}

// An answer that came slowMS and slowFactor times later than predicted was held up by
// something that the instance did not know of.
const (
	slowMS     = 150.0
	slowFactor = 2.0
)

func slowAnswer(lines []Line, s *Story) []string {
	end := s.end()
	if !slow(end) {
		return nil
	}
	out := []string{fmt.Sprintf("first answer after %.0f ms, predicted %.0f ms", end.Fields.Number("first_ms"), end.Fields.Number("predicted_ms"))}
	link, all, late := end.Fields.Text("link"), 0, 0
	for _, l := range lines {
		if l.Message != "request" || link == "" || l.Fields.Text("link") != link || l.Time.Sub(end.Time).Abs() > togetherTime || l.Fields.Text("request") == s.Request {
			continue
		}
		all++
		if slow(l) {
			late++
		}
	}
	if all > 0 {
		out = append(out, fmt.Sprintf("it fetched from cache store %s, where %d of %d other requests within %s were as late", link, late, all, togetherTime))
	}
	return out
}

func slow(l Line) bool {
	first, predicted := l.Fields.Number("first_ms"), l.Fields.Number("predicted_ms")
	return first > predicted+slowMS && first > slowFactor*predicted
}

// youngTime is how long after its start an instance may still lack what it needs.
const youngTime = 3 * time.Second

// young finds that the instance had just started.
func young(_ []Line, s *Story) []string {
	end := s.end()
	for _, l := range s.Around {
		if age := end.Time.Sub(l.Time); l.Message == "started" && age >= 0 && age < youngTime {
			return []string{fmt.Sprintf("%s had started %s before", end.Instance, age.Round(time.Millisecond))}
		}
	}
	return nil
}

// staleStore is from which age on the object store's last word is worth telling:
// watches of the instances that notice changes end sooner.
const staleStore = 2 * time.Second

// storeAway tells how old the beliefs were that came from the object store.
func storeAway(_ []Line, s *Story) []string {
	end := s.end()
	age := time.Duration(end.Fields.Number("store_age_ms")) * time.Millisecond
	lost := false
	for _, l := range s.Around {
		if l.Time.After(end.Time) {
			break
		}
		lost = l.Message == "object store lost" || lost && l.Message != "object store reached"
	}
	switch {
	case lost:
		return []string{fmt.Sprintf("the object store did not answer %s; its last word was %s old", end.Instance, age)}
	case age >= staleStore:
		return []string{fmt.Sprintf("the object store's last own word to %s was %s old: it went by its peers' news", end.Instance, age)}
	}
	return nil
}
