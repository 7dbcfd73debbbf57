package daemon

import (
	"context"
	"runtime"
	"sort"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/limit"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/operator"
	"github.com/shedhoist/shedhoist/internal/peer"
	"github.com/shedhoist/shedhoist/internal/version"
	"github.com/shedhoist/shedhoist/internal/view"
)

// View implements operator.State; it returns the view last published.
func (d *Daemon) View() *view.View { return d.view.Load() }

// Members implements operator.State; it includes this instance and members that failed.
func (d *Daemon) Members(ctx context.Context) []operator.Member {
	var out []operator.Member
	for _, m := range d.members(ctx) {
		out = append(out, operator.Member{Name: m.Name, Address: m.Address, Zone: m.Zone, State: m.State.String(), Incarnation: m.Incarnation})
	}
	return out
}

func (d *Daemon) members(ctx context.Context) []member.Member {
	var out []member.Member
	d.query(func(c *control) { out = c.members.Members() })
	return out
}

// otherMembers returns the members, other than this instance, that are alive or
// suspected and so may answer a call.
func (d *Daemon) otherMembers(ctx context.Context) []member.Member {
	var out []member.Member
	for _, m := range d.members(ctx) {
		if m.Name != d.set.Name && m.State <= member.Suspect {
			out = append(out, m)
		}
	}
	return out
}

// peerCallTimeout is the deadline for one call to a peer on behalf of an operator.
const peerCallTimeout = time.Second

// callMembers calls all other members in parallel and passes each reply to collect,
// one at a time. It returns the names of those that did not answer.
func callMembers[T any](ctx context.Context, d *Daemon, method string, args any, collect func(member.Member, T)) []string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	missing := []string{}
	for _, m := range d.otherMembers(ctx) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			var reply T
			err := d.pool.Call(ctx, m.Address, method, args, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, m.Name)
				return
			}
			collect(m, reply)
		}()
	}
	wg.Wait()
	sort.Strings(missing)
	return missing
}

// Fleet implements operator.State. It calls every live member, so the result is
// current and does not depend on gossip.
func (d *Daemon) Fleet(ctx context.Context) operator.Fleet {
	out := operator.Fleet{Instances: []peer.Status{d.Status()}, Behind: []string{}}
	out.Unreachable = callMembers(ctx, d, "Peer.Status", &peer.StatusRequest{}, func(_ member.Member, st peer.Status) {
		out.Instances = append(out.Instances, st)
	})
	sort.Slice(out.Instances, func(i, j int) bool { return out.Instances[i].Name < out.Instances[j].Name })
	for _, st := range out.Instances {
		out.Generation = max(out.Generation, st.Generation)
	}
	for _, st := range out.Instances {
		if st.Generation < out.Generation {
			out.Behind = append(out.Behind, st.Name)
		}
	}
	out.InForceEverywhere = len(out.Behind) == 0 && len(out.Unreachable) == 0
	return out
}

// Targets implements operator.State; it lists the targets of the view last published.
func (d *Daemon) Targets() []operator.Target {
	out := []operator.Target{}
	for _, t := range d.view.Load().Targets.Targets {
		out = append(out, operator.Target{Name: t.Name, Address: t.Address, Zone: t.Zone, Model: t.Model, Version: t.Version,
			Adapters: t.Adapters, State: t.State.String(), Running: t.Running, QueuedTokens: t.QueuedTokens, ReportAgeMS: t.ReportAgeMS, RTTMS: t.RTTMS})
	}
	return out
}

// FindExplainRecord implements operator.State. It looks for the record on this
// instance, then on every live member, since any instance may have served the request.
func (d *Daemon) FindExplainRecord(ctx context.Context, id string) *explain.Record {
	if r := d.explainLog.Get(id); r != nil {
		return r
	}
	var found *explain.Record
	callMembers(ctx, d, "Peer.Explain", &peer.ExplainRequest{ID: id}, func(_ member.Member, e peer.ExplainReply) {
		if e.Record != nil {
			found = e.Record
		}
	})
	return found
}

// dump is the state dump of the process, without prompts and secrets.
type dump struct {
	Instance       string            `json:"instance"`
	Zone           string            `json:"zone"`
	Version        string            `json:"version"`
	Time           time.Time         `json:"time"`
	Status         peer.Status       `json:"status"`
	Settings       any               `json:"settings"`
	Config         any               `json:"config"`
	Members        []operator.Member `json:"members"`
	Targets        []operator.Target `json:"targets"`
	InFlight       map[string]int    `json:"requests_by_customer"`
	HintKeys       int               `json:"hint_keys"`
	ExplainRecords int               `json:"why_records"`
	Goroutines     int               `json:"goroutines"`
	HeapBytes      uint64            `json:"heap_bytes"`
	Demands        []limit.Demand    `json:"demands"`
}

// secretKeys are the JSON keys whose values a dump must not show.
var secretKeys = []string{"isolation_secret", "key_sha256", "Secret", "SecretFile", "Token", "TokenFile", "KeyHashes"}

// Dump implements operator.State; it returns a dump with secrets redacted.
func (d *Daemon) Dump(ctx context.Context) any {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	v := d.view.Load()
	out := dump{Instance: d.set.Name, Zone: d.set.Zone, Version: version.String, Time: d.now(), Status: d.Status(), Members: d.Members(ctx),
		Targets: d.Targets(), InFlight: d.admission.InFlight(), HintKeys: d.hints.KeyCount(), ExplainRecords: d.explainLog.Len(),
		Goroutines: runtime.NumGoroutine(), HeapBytes: mem.HeapAlloc, Demands: d.admission.TopDemands()}
	out.Settings, _ = operator.Redact(d.set, secretKeys...)
	if v.Config != nil {
		out.Config, _ = operator.Redact(struct {
			Head   any `json:"head"`
			Bundle any `json:"bundle"`
		}{v.Head, v.Bundle}, secretKeys...)
	}
	return out
}
