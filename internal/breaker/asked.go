package breaker

import "time"

// A rest that a name has asked for is a thing of its own beside those that come from failures:
// it lasts until the moment that was asked for, whatever succeeds or fails meanwhile, and
// nothing is tried before.

// Ask notes that name wants no calls for d. It returns the end of its rest, the latest of those
// asked for, and the end before this call; zero if there was none.
func (b *Set) Ask(name string, d time.Duration) (until, before time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endAsked()
	before = b.asked[name]
	until = b.now().Add(d)
	if !until.After(before) {
		return before, before
	}
	if b.asked == nil {
		b.asked = map[string]time.Time{}
	}
	b.asked[name] = until
	return until, before
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
	for name, until := range b.asked {
		out[name] = until
	}
	return out
}

// Asks says whether name wants no calls now.
func (b *Set) Asks(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, held := b.asked[name]
	return held && b.now().Before(until)
}

// endAsked lets rests that are over go on as those of names that failed, whose trial is due: one
// call tries such a name, and the others wait for its success. b.mu is held.
func (b *Set) endAsked() {
	if len(b.asked) == 0 {
		return
	}
	now := b.now()
	for name, until := range b.asked {
		if now.Before(until) {
			continue
		}
		delete(b.asked, name)
		b.sicken(name)
	}
}
