package tool

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/operator"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// DaemonError says that an instance did not answer an operator's call, or
// answered it with a failure. Status is 0 when there was no answer.
type DaemonError struct {
	Path   string
	Status int
	Detail string
	Cause  error
}

// Error implements error.
func (e *DaemonError) Error() string {
	if e.Status == 0 {
		return "instance not reached: " + e.Cause.Error()
	}
	return fmt.Sprintf("%s: status %d: %s", e.Path, e.Status, e.Detail)
}

// Unwrap returns the cause.
func (e *DaemonError) Unwrap() error { return e.Cause }

func (o *options) client() (*http.Client, error) {
	if o.http != nil {
		return o.http, nil
	}
	o.http = &http.Client{}
	if o.ca == "" {
		return o.http, nil
	}
	pem, err := os.ReadFile(o.ca)
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &UsageError{Reason: o.ca + " holds no certificate"}
	}
	o.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return o.http, nil
}

// maxStateAnswer bounds an instance's answer, in bytes.
const maxStateAnswer = 256 << 20

// ask gets one operators' endpoint and decodes its answer.
func (o *options) ask(ctx context.Context, path string, into any) error {
	if o.daemon == "" || o.key == "" {
		return &UsageError{Reason: "--daemon and --key (or SHEDHOIST_DAEMON and SHEDHOIST_KEY) are needed"}
	}
	hc, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	base := o.daemon
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(base, "/")+path, nil)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+o.key)
	resp, err := hc.Do(req)
	if err != nil {
		return &DaemonError{Path: path, Cause: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxStateAnswer))
	if err != nil {
		return &DaemonError{Path: path, Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		var doc struct {
			Detail string `json:"detail"`
		}
		_ = json.Unmarshal(data, &doc)
		return &DaemonError{Path: path, Status: resp.StatusCode, Detail: doc.Detail}
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &DaemonError{Path: path, Cause: err}
	}
	return nil
}

// waitInForce waits until every live instance has the generation in force,
// with a progress line on the error stream.
func (o *options) waitInForce(ctx context.Context, generation uint64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	last := []string{"all"}
	for {
		var f operator.Fleet
		err := o.ask(ctx, "/v1/status", &f)
		if err == nil {
			in := 0
			last = append([]string(nil), f.Unreachable...)
			for _, st := range f.Instances {
				if st.Generation >= generation {
					in++
				} else {
					last = append(last, st.Name)
				}
			}
			fmt.Fprintf(o.err, "generation %d in force at %d of %d instances\n", generation, in, len(f.Instances)+len(f.Unreachable))
			if len(last) == 0 {
				return nil
			}
		} else if ctx.Err() == nil && !mayPass(err) {
			return err
		}
		if !wait.For(ctx, waitPeriod) {
			return &NotInForceError{Generation: generation, Behind: last}
		}
	}
}

// mayPass says whether a failed look may succeed later: before the first
// generation is in force at an instance, it knows no operator's key of it.
func mayPass(err error) bool {
	var d *DaemonError
	return errors.As(err, &d) && d.Status == http.StatusUnauthorized
}

// waitPeriod is the time between looks of --wait.
const waitPeriod = 200 * time.Millisecond

func (o *options) statusCmd() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Is the newest generation in force everywhere, and where not", Example: "  shedhoist status", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var f operator.Fleet
			if err := o.ask(cmd.Context(), "/v1/status", &f); err != nil {
				return err
			}
			return o.show(f, func(w io.Writer) {
				fmt.Fprintf(w, "generation %d in force everywhere: %v\n", f.Generation, f.InForceEverywhere)
				fmt.Fprintln(w, "INSTANCE\tZONE\tGENERATION\tREADY\tDRAINING\tIN HAND\tPLATFORM")
				for _, st := range f.Instances {
					fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%v\t%d\t%s\n", st.Name, st.Zone, st.Generation, st.Ready, st.Draining, st.InFlight, reached(st.PlatformOK))
				}
				for _, name := range f.Unreachable {
					fmt.Fprintf(w, "%s\t?\t?\t?\t?\t?\tinstance not reached\n", name)
				}
			})
		}}
}

func reached(ok bool) string {
	if ok {
		return "reached"
	}
	return "not reached"
}

func (o *options) membersCmd() *cobra.Command {
	return &cobra.Command{Use: "members", Short: "List the entry instances as one of them knows them", Example: "  shedhoist members -o json", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list []operator.Member
			if err := o.ask(cmd.Context(), "/v1/members", &list); err != nil {
				return err
			}
			return o.show(list, func(w io.Writer) {
				fmt.Fprintln(w, "INSTANCE\tADDRESS\tZONE\tSTATE\tINCARNATION")
				for _, m := range list {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", m.Name, m.Address, m.Zone, m.State, m.Incarnation)
				}
			})
		}}
}

func (o *options) targetsCmd() *cobra.Command {
	return &cobra.Command{Use: "targets", Short: "List the targets as one instance sees them", Example: "  shedhoist targets", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list []operator.Target
			if err := o.ask(cmd.Context(), "/v1/targets", &list); err != nil {
				return err
			}
			return o.show(list, func(w io.Writer) {
				fmt.Fprintln(w, "TARGET\tZONE\tMODEL\tVERSION\tSTATE\tRUNNING\tQUEUED TOKENS\tREPORT AGE MS")
				for _, t := range list {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%.0f\n", t.Name, t.Zone, t.Model, t.Version, t.State, t.Running, t.QueuedTokens, t.ReportAgeMS)
				}
			})
		}}
}

func (o *options) dumpCmd() *cobra.Command {
	return &cobra.Command{Use: "dump", Short: "Print one instance's whole state as JSON", Example: "  shedhoist dump > state.json", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var v any
			if err := o.ask(cmd.Context(), "/v1/dump", &v); err != nil {
				return err
			}
			o.output = "json"
			return o.show(v, nil)
		}}
}

func (o *options) explainCmd() *cobra.Command {
	return &cobra.Command{Use: "explain REQUEST-ID", Short: "Show why a request went where it went, whichever instance served it",
		Example: "  shedhoist explain 4f0c2a58-6f1d-4f0e-9d52-8f1a3f1f8f11", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var r explain.Record
			if err := o.ask(cmd.Context(), "/v1/explain/"+url.PathEscape(args[0]), &r); err != nil {
				return err
			}
			return o.show(r, func(w io.Writer) { explainTable(w, &r) })
		}}
}

func explainTable(w io.Writer, r *explain.Record) {
	fmt.Fprintf(w, "request %s\n", r.ID)
	fmt.Fprintf(w, "  customer\t%s\n  %s\t%s\n  served by\t%s, generation %d\n", r.Customer, r.Kind, r.Name, r.Instance, r.Generation)
	if r.Kind == "model" {
		fmt.Fprintf(w, "  weights\t%s %s\n", r.Version, r.Adapter)
		fmt.Fprintf(w, "  prompt\t%d tokens: %d cached, %d of them restored\n", r.PromptTokens, r.CachedTokens, r.RestoredTokens)
		fmt.Fprintf(w, "  answer\t%d tokens, first after %.1f ms, all after %.1f ms\n", r.GeneratedTokens, r.FirstTokenMS, r.TotalMS)
	}
	fmt.Fprintf(w, "  outcome\t%s, execution %s\n", r.Outcome, r.Execution)
	if r.SavedIn != "" {
		fmt.Fprintf(w, "  kept in\t%s\n", r.SavedIn)
	}
	for i, a := range r.Attempts {
		fmt.Fprintf(w, "attempt %d at %.1f ms\t%s %s %s\tpredicted first token %.1f ms\tended: %s %s\n", i+1, a.StartMS, a.Target, a.Action, a.Store, a.PredictedMS, a.Result, a.Next)
		f := a.Filtered
		fmt.Fprintf(w, "  passed over\tstate %d, version %d, adapter %d, tried %d\n", f.State, f.Version, f.Adapter, f.Tried)
		for _, c := range a.Candidates {
			fmt.Fprintf(w, "  candidate\t%s\thome %v\twait %.1f + rtt %.1f + prefill %.1f ms\trecompute %d\tcost %.1f\n", c.Target, c.Home, c.WaitMS, c.RTTMS, c.PrefillMS, c.RecomputeTokens, c.CostMS)
		}
	}
}
