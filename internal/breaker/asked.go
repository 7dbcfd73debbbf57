package breaker

import "time"

// A rest that a name has asked for is a thing of its own beside those that come from failures:
// it lasts until the moment that was asked for, whatever succeeds or fails meanwhile, and
// nothing is tried before.

// askedRest is until when a name wants no calls.
type askedRest struct {
	until time.Time
	told  time.Time // the end that was news last
}

// askNews is by how much the end of a rest has moved when it is news again: a name that turns
// many calls away says much the same to each.
const askNews = 300 * time.Millisecond

// Ask notes that name wants no calls for d. It returns the end of its rest, the latest of those
// asked for, and whether it is news: a new rest, or one whose end has moved since the last news.
func (b *Set) Ask(name string, d time.Duration) (until time.Time, news bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endAsked()
	e, held := b.asked[name]
	until = b.now().Add(d)
	if !until.After(e.until) {
		return e.until, false
	}
	e.until = until
	news = !held || until.Sub(e.told) >= askNews
	if news {
		e.told = until
	}
	if b.asked == nil {
		b.asked = map[string]askedRest{}
	}
	b.asked[name] = e
	return until, news
}

// Asked returns the names that want no calls now, with the ends of their rests; the common
// answer is none.
func (b *Set) Asked() map[string]time.Time {
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

// Asks says whether name wants no calls now.
func (b *Set) Asks(name string) bool {
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
