package route

import "slices"

// Version picks the weight version of a new request. While a rollout is under
// way several allowed versions are served; a prompt takes the wanted one if its
// root falls into that version's share of the ready targets. So load follows
// capacity, and as the share grows each prompt changes version once.
func Version(s *Snapshot, model, wanted string, allowed []string, root uint64) string {
	total, atWanted := 0, 0
	other := ""
	for _, i := range s.byModel[model] {
		t := &s.Targets[i]
		if t.State != Ready || !slices.Contains(allowed, t.Version) {
			continue
		}
		total++
		if t.Version == wanted {
			atWanted++
		} else if other == "" || t.Version < other {
			other = t.Version
		}
	}
	if other == "" || mix(root)%uint64(total) < uint64(atWanted) {
		return wanted
	}
	return other
}
