package breaker

import "time"

// A name is that of a target or a store. A backoff that it has requested is kept apart from the
// ejections that follow failures: it lasts until the requested time, whatever succeeds or fails
// meanwhile, and the name is not probed before that.

// backoff is the time until which a name wants no calls.
type backoff struct {
	until        time.Time
	lastReported time.Time // the last end that was returned as changed
	requestSent  time.Time // when the latest call was sent that requested a backoff, see RequestBackoffInResponse
}

// reportThreshold is how far the end of a backoff must move to be reported as changed: a name that
// refuses many calls requests much the same backoff in each response.
const reportThreshold = 300 * time.Millisecond

// RequestBackoff notes that name wants no calls for d. It returns the end of its backoff, the
// latest one requested, and whether this is a change to report: a new backoff, or one whose end has
// moved by reportThreshold since the last report.
func (b *Set) RequestBackoff(name string, d time.Duration) (until time.Time, changed bool) {
	return b.RequestBackoffInResponse(name, d, time.Time{})
}

// RequestBackoffInResponse is RequestBackoff for a backoff that came in the response to a call sent
// at the given time; zero: not known.
func (b *Set) RequestBackoffInResponse(name string, d time.Duration, sent time.Time) (until time.Time, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireBackoffs()
	e, exists := b.backoffs[name]
	until = b.now().Add(d)
	later := until.After(e.until)
	if !later && !sent.After(e.requestSent) {
		return e.until, false
	}
	if sent.After(e.requestSent) {
		e.requestSent = sent
	}
	if later {
		e.until = until
		changed = !exists || until.Sub(e.lastReported) >= reportThreshold
	}
	if changed {
		e.lastReported = until
	}
	b.setBackoff(name, e)
	return e.until, changed
}

// setBackoff stores a backoff; b.mu is held.
func (b *Set) setBackoff(name string, e backoff) {
	if b.backoffs == nil {
		b.backoffs = map[string]backoff{}
	}
	b.backoffs[name] = e
}

// TransferBackoff copies the backoff of the name from to the name to, if to gave the response that
// requested it: answeredByTo reports that, given the time at which the call was sent. The copy ends
// limit from now at the latest. A longer backoff of to stays.
func (b *Set) TransferBackoff(from, to string, limit time.Duration, answeredByTo func(sent time.Time) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireBackoffs()
	e, exists := b.backoffs[from]
	if maxEnd := b.now().Add(limit); e.until.After(maxEnd) {
		e.until = maxEnd
	}
	if exists && e.until.After(b.backoffs[to].until) && answeredByTo(e.requestSent) {
		b.setBackoff(to, e)
	}
}

// Backoffs returns the names that want no calls now, with the ends of their backoffs. It is usually
// empty.
func (b *Set) Backoffs() map[string]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireBackoffs()
	if len(b.backoffs) == 0 {
		return nil
	}
	out := make(map[string]time.Time, len(b.backoffs))
	for name, e := range b.backoffs {
		out[name] = e.until
	}
	return out
}

// InBackoff reports whether name wants no calls now.
func (b *Set) InBackoff(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, exists := b.backoffs[name]
	return exists && b.now().Before(e.until)
}

// expireBackoffs turns backoffs that are over into ejections whose probe is due: one call probes
// the name, and the others wait for its success. b.mu is held.
func (b *Set) expireBackoffs() {
	if len(b.backoffs) == 0 {
		return
	}
	now := b.now()
	for name, e := range b.backoffs {
		if now.Before(e.until) {
			continue
		}
		delete(b.backoffs, name)
		b.markFailing(name).afterBackoff = true
	}
}
