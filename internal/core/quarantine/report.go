package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report is what one instance sends to another about a request under which targets crashed. It
// holds ages in ms instead of times, since the clocks of instances differ.
type Report struct {
	Key     Key     `cbor:"1,keyasint"`
	Label   Label   `cbor:"2,keyasint"`
	Crashes []Crash `cbor:"3,keyasint,omitempty"`
	// AnsweredAge is the age of the last complete response; -1: none.
	AnsweredAge  int64 `cbor:"4,keyasint"`
	Trials       int   `cbor:"5,keyasint,omitempty"`
	LastTrialAge int64 `cbor:"6,keyasint,omitempty"` // since the start of the last trial
	VoidTrials   int   `cbor:"7,keyasint,omitempty"` // trials that reached no target
}

// Crash is one incarnation of a target that crashed while the request was running there.
type Crash struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Age         int64       `cbor:"2,keyasint"` // ms
}

// Reportable reports whether the request has enough crashes to be stored for instances that
// start later, even if a complete response has cleared it since.
func (r Report) Reportable() bool { return len(r.Crashes) >= reportThreshold }

// expired reports whether all crashes of the report are older than Retention.
func (r Report) expired() bool {
	for _, c := range r.Crashes {
		if time.Duration(c.Age)*time.Millisecond < Retention {
			return false
		}
	}
	return true
}

// Merge merges reports of other instances. It returns updates, the reports that brought something
// new and are to be forwarded, and objections, to be sent to all: they answer reports against
// requests of which only this instance knows a complete response.
func (t *Tracker) Merge(reports []Report, now time.Time) (updates, objections []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		if r.expired() {
			continue
		}
		e := t.entryFor(r.Key, now)
		changed := e.merge(r, now)
		switch {
		case changed && r.AnsweredAge < 0 && e.countCrashes(now) == 0 && !e.lastAnswer.IsZero():
			objections = append(objections, e.report(r.Key, now))
		case changed:
			updates = append(updates, e.report(r.Key, now))
		}
	}
	return updates, objections
}

// merge merges one report and returns whether anything of it was new.
func (e *entry) merge(r Report, now time.Time) (changed bool) {
	if e.label == (Label{}) {
		e.label = r.Label
	}
	for _, c := range r.Crashes {
		at := now.Add(-time.Duration(c.Age) * time.Millisecond)
		if _, known := e.crashes[c.Incarnation]; known || len(e.crashes) >= maxCrashesPerEntry {
			continue
		}
		e.crashes[c.Incarnation], changed = at, true
	}
	if at := now.Add(-time.Duration(r.AnsweredAge) * time.Millisecond); r.AnsweredAge >= 0 && at.After(e.lastAnswer) {
		changed = changed || at.After(e.lastAnswer.Add(minAnswerAdvance))
		e.lastAnswer = at
	}
	if r.Trials > e.trials {
		e.trials, e.lastTrial, changed = r.Trials, now.Add(-time.Duration(r.LastTrialAge)*time.Millisecond), true
	}
	if r.VoidTrials > e.voidTrials {
		e.voidTrials, changed = r.VoidTrials, true
	}
	return changed
}

// minAnswerAdvance is how much later a complete response must be than the known one for its
// report to be forwarded.
const minAnswerAdvance = answerValidity / 4

// Digest returns a hash that is equal for Trackers with the same Suspects; 0: there are none.
func (t *Tracker) Digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := uint64(0)
	for k, e := range t.entries {
		if len(e.crashes) < reportThreshold {
			continue // the vast majority of entries
		}
		n := e.countCrashes(now)
		if n < reportThreshold {
			continue
		}
		threshold := e.label.rejectThreshold()
		var d xxhash.Digest
		d.Reset()
		_, _ = d.Write(k[:]) // Digest.Write returns no error
		_, _ = d.Write([]byte{byte(min(n, threshold)), byte(e.trials), byte(e.voidTrials)})
		incarnations := uint64(0)
		for incarnation := range e.crashes {
			incarnations ^= uint64(incarnation)
		}
		if n >= threshold {
			incarnations = 0 // the request is rejected whichever targets crashed
		}
		sum += d.Sum64() ^ incarnations
	}
	return sum
}

// Reports returns the reports on all Suspects and on requests that were suspects until a complete
// response cleared them. If there are more than MaxReports it returns those with the most crashes.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for k, e := range t.entries {
		if len(e.crashes) >= reportThreshold {
			out = append(out, e.report(k, now))
		}
	}
	return TopReports(out)
}

// MaxReports is the number of reports in one message: some 10 kB.
const MaxReports = 128

// TopReports sorts reports by their number of crashes, most first, and returns the first MaxReports.
func TopReports(reports []Report) []Report {
	slices.SortFunc(reports, func(x, y Report) int {
		if n := cmp.Compare(len(y.Crashes), len(x.Crashes)); n != 0 {
			return n
		}
		return slices.Compare(x.Key[:], y.Key[:])
	})
	return reports[:min(len(reports), MaxReports)]
}

// report returns the report on the entry's request.
func (e *entry) report(k Key, now time.Time) Report {
	r := Report{Key: k, Label: e.label, AnsweredAge: -1, Trials: e.trials, VoidTrials: e.voidTrials}
	for incarnation, at := range e.crashes {
		r.Crashes = append(r.Crashes, Crash{Incarnation: incarnation, Age: now.Sub(at).Milliseconds()})
	}
	slices.SortFunc(r.Crashes, func(x, y Crash) int { return cmp.Compare(x.Incarnation, y.Incarnation) })
	if !e.lastAnswer.IsZero() {
		r.AnsweredAge = now.Sub(e.lastAnswer).Milliseconds()
	}
	if e.trials > 0 {
		r.LastTrialAge = now.Sub(e.lastTrial).Milliseconds()
	}
	return r
}
