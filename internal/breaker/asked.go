package breaker

import "time"

// A rest that a name has asked for is a thing of its own beside those that come from failures:
// it lasts until the moment that was asked for, whatever succeeds or fails meanwhile, and
// nothing is tried before.

// askedRest is until when a name wants no calls.
type askedRest struct {
	until time.Time
	told  time.Time // the end that was news last
	sent  time.Time // when the last call was sent that was answered so, see RequestBackoffInResponse
}

// askNews is by how much the end of a rest has moved when it is news again: a name that turns
// many calls away says much the same to each.
const askNews = 300 * time.Millisecond

// RequestBackoff notes that name wants no calls for d. It returns the end of its rest, the latest of those
// asked for, and whether it is news: a new rest, or one whose end has moved since the last news.
func (b *Set) RequestBackoff(name string, d time.Duration) (until time.Time, news bool) {
	return b.RequestBackoffInResponse(name, d, time.Time{})
}

// RequestBackoffInResponse is Ask by the answer to a call that was sent at a time; zero: not known.
func (b *Set) RequestBackoffInResponse(name string, d time.Duration, sent time.Time) (until time.Time, news bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endAsked()
	e, held := b.asked[name]
	until = b.now().Add(d)
	later := until.After(e.until)
	if !later && !sent.After(e.sent) {
		return e.until, false
	}
	if sent.After(e.sent) {
		e.sent = sent
	}
	if later {
		e.until = until
		news = !held || until.Sub(e.told) >= askNews
	}
	if news {
		e.told = until
	}
	b.keepAsked(name, e)
	return e.until, news
}

// keepAsked holds a rest; b.mu is held.
func (b *Set) keepAsked(name string, e askedRest) {
	if b.asked == nil {
		b.asked = map[string]askedRest{}
	}
	b.asked[name] = e
}

// TransferBackoff gives the rest that one name has asked for, or most of it from now on, to another, if the
// time of the last call that was answered so shows that the other gave the answer.
func (b *Set) TransferBackoff(from, to string, most time.Duration, gave func(sent time.Time) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endAsked()
	e, held := b.asked[from]
	if last := b.now().Add(most); e.until.After(last) {
		e.until = last
	}
	if held && e.until.After(b.asked[to].until) && gave(e.sent) {
		b.keepAsked(to, e)
	}
}

// Backoffs returns the names that want no calls now, with the ends of their rests; the common
// answer is none.
func (b *Set) Backoffs() map[string]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endAsked()
	if len(b.asked) == 0 {
		return nil
	}
	out := make(map[string]time.Time, len(b.asked))
	for name, e := range b.asked {
		out[name] = e.until
	}
	return out
}

// InBackoff says whether name wants no calls now.
func (b *Set) InBackoff(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, held := b.asked[name]
	return held && b.now().Before(e.until)
}

// endAsked lets rests that are over go on as those of names that failed, whose trial is due: one
// call tries such a name, and the others wait for its success. b.mu is held.
func (b *Set) endAsked() {
	if len(b.asked) == 0 {
		return
	}
	now := b.now()
	for name, e := range b.asked {
		if now.Before(e.until) {
			continue
		}
		delete(b.asked, name)
		b.sicken(name).asked = true
	}
}
