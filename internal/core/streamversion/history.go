package streamversion

import (
	"slices"
	"sync"
	"time"
)

// History holds the versions that the targets of each service have had of late. The zero value is ready for
// use. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	since    time.Time                        // it misses nothing from then on; zero: it knows nothing
	all      bool                             // no stream began before since
	services map[string]map[string]lastListed // by service, then by version
	listed   map[string][]string              // versions listed now, by service
}

// lastListed says when a version was last in the list of its service.
type lastListed struct {
	at    time.Time
	alone time.Time // when it was the only one; zero: never
}

// historyRetention is how long versions are kept that are listed no more.
const historyRetention = 10 * time.Minute

// Observe records the versions that are listed now, by service. It returns the services that have got a
// second one.
func (h *History) Observe(listed map[string][]string, now time.Time) (mixed []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() {
		h.since = now
	}
	h.markListed(now)
	for service, versions := range listed {
		if len(versions) > 1 && len(h.listed[service]) <= 1 {
			mixed = append(mixed, service)
		}
	}
	h.listed = listed
	h.markListed(now)
	h.expire(now)
	return mixed
}

// markListed records that the listed versions are so now. h.mu is held.
func (h *History) markListed(now time.Time) {
	for service, versions := range h.listed {
		if h.services == nil {
			h.services = map[string]map[string]lastListed{}
		}
		if h.services[service] == nil {
			h.services[service] = map[string]lastListed{}
		}
		for _, v := range versions {
			last := lastListed{at: now, alone: h.services[service][v].alone}
			if len(versions) == 1 {
				last.alone = now
			}
			h.services[service][v] = last
		}
	}
}

// expire forgets the versions that have not been listed for historyRetention. h.mu is held.
func (h *History) expire(now time.Time) {
	for service, versions := range h.services {
		for version, last := range versions {
			if now.Sub(last.at) > historyRetention {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h.services, service)
		}
	}
}

// NoneBefore records that no stream had begun anywhere before the versions were observed first.
func (h *History) NoneBefore() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = true
}

// Interrupt records that changes up to now may have been missed.
func (h *History) Interrupt(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.since.IsZero() {
		h.since, h.all = now, false
	}
}

// Within returns the versions of a service's targets in a time before now, sorted, and whether these are all.
func (h *History) Within(service string, window time.Duration, now time.Time) (versions []string, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for version, last := range h.services[service] {
		if now.Sub(last.at) <= window || slices.Contains(h.listed[service], version) {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions, !h.since.IsZero() && (h.all || now.Sub(h.since) >= window)
}

// Alone returns the versions that were the only one of a service at some time within a window before now.
func (h *History) Alone(service string, window time.Duration, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for version, last := range h.services[service] {
		isAlone := len(h.listed[service]) == 1 && h.listed[service][0] == version
		if isAlone || !last.alone.IsZero() && now.Sub(last.alone) <= window {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}
