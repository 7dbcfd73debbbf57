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

// InstanceError reports that an instance did not respond to an operator's call,
// or responded with a failure. Status is 0 without a usable response.
type InstanceError struct {
	Path   string
	Status int
	Detail string
	Cause  error
}

// Error implements error.
func (e *InstanceError) Error() string {
	if e.Status == 0 {
		return "instance not reached: " + e.Cause.Error()
	}
	return fmt.Sprintf("%s: status %d: %s", e.Path, e.Status, e.Detail)
}

// Unwrap returns the cause.
func (e *InstanceError) Unwrap() error { return e.Cause }

// httpClient returns the client for calls to instances, which trusts only the CA of --ca if set.
func (o *options) httpClient() (*http.Client, error) {
	if o.client != nil {
		return o.client, nil
	}
	o.client = &http.Client{}
	if o.ca == "" {
		return o.client, nil
	}
	pem, err := os.ReadFile(o.ca)
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &UsageError{Reason: o.ca + " contains no certificate"}
	}
	o.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return o.client, nil
}

// maxResponseBytes is the maximum size of an instance's response.
const maxResponseBytes = 256 << 20

// getJSON sends a GET request to an operators' endpoint and decodes its response into result.
func (o *options) getJSON(ctx context.Context, path string, result any) error {
	if o.daemon == "" || o.key == "" {
		return &UsageError{Reason: "--daemon and --key (or SHEDHOIST_DAEMON and SHEDHOIST_KEY) are required"}
	}
	client, err := o.httpClient()
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
	resp, err := client.Do(req)
	if err != nil {
		return &InstanceError{Path: path, Cause: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &InstanceError{Path: path, Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		var problem struct {
			Detail string `json:"detail"`
		}
		_ = json.Unmarshal(data, &problem)
		return &InstanceError{Path: path, Status: resp.StatusCode, Detail: problem.Detail}
	}
	if err := json.Unmarshal(data, result); err != nil {
		return &InstanceError{Path: path, Cause: err}
	}
	return nil
}

// waitInForce polls until the generation is in force at every live instance, and
// prints the progress to the error stream.
func (o *options) waitInForce(ctx context.Context, generation uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	behind := []string{"all"}
	for {
		var fleet operator.Fleet
		err := o.getJSON(ctx, "/v1/status", &fleet)
		if err == nil {
			inForce := 0
			behind = append([]string(nil), fleet.Unreachable...)
			for _, st := range fleet.Instances {
				if st.Generation >= generation {
					inForce++
				} else {
					behind = append(behind, st.Name)
				}
			}
			fmt.Fprintf(o.err, "generation %d in force at %d of %d instances\n", generation, inForce, len(fleet.Instances)+len(fleet.Unreachable))
			if len(behind) == 0 {
				return nil
			}
		} else if ctx.Err() == nil && !isTransient(err) {
			return err
		}
		if !wait.For(ctx, pollInterval) {
			return &NotInForceError{Generation: generation, Behind: behind}
		}
	}
}

// isTransient reports whether a failed poll may succeed later: an instance
// rejects every operator's key until its first generation is in force.
func isTransient(err error) bool {
	var instanceErr *InstanceError
	return errors.As(err, &instanceErr) && instanceErr.Status == http.StatusUnauthorized
}

// pollInterval is the time between two polls of --wait.
const pollInterval = 200 * time.Millisecond

func (o *options) statusCmd() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show whether the newest generation is in force everywhere, and where it is not", Example: "  shedhoist status", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var fleet operator.Fleet
			if err := o.getJSON(cmd.Context(), "/v1/status", &fleet); err != nil {
				return err
			}
			return o.print(fleet, func(w io.Writer) {
				fmt.Fprintf(w, "generation %d in force everywhere: %v\n", fleet.Generation, fleet.InForceEverywhere)
				fmt.Fprintln(w, "INSTANCE\tZONE\tGENERATION\tREADY\tDRAINING\tIN HAND\tPLATFORM")
				for _, st := range fleet.Instances {
					fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%v\t%d\t%s\n", st.Name, st.Zone, st.Generation, st.Ready, st.Draining, st.InFlight, reachability(st.PlatformOK))
				}
				for _, name := range fleet.Unreachable {
					fmt.Fprintf(w, "%s\t?\t?\t?\t?\t?\tinstance not reached\n", name)
				}
			})
		}}
}

func reachability(ok bool) string {
	if ok {
		return "reached"
	}
	return "not reached"
}

func (o *options) membersCmd() *cobra.Command {
	return &cobra.Command{Use: "members", Short: "List the entry instances known to one of them", Example: "  shedhoist members -o json", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list []operator.Member
			if err := o.getJSON(cmd.Context(), "/v1/members", &list); err != nil {
				return err
			}
			return o.print(list, func(w io.Writer) {
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
			if err := o.getJSON(cmd.Context(), "/v1/targets", &list); err != nil {
				return err
			}
			return o.print(list, func(w io.Writer) {
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
			if err := o.getJSON(cmd.Context(), "/v1/dump", &v); err != nil {
				return err
			}
			o.output = "json"
			return o.print(v, nil)
		}}
}

func (o *options) explainCmd() *cobra.Command {
	return &cobra.Command{Use: "explain REQUEST-ID", Short: "Explain how a request was routed, whichever instance served it",
		Example: "  shedhoist explain 4f0c2a58-6f1d-4f0e-9d52-8f1a3f1f8f11", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var r explain.Record
			if err := o.getJSON(cmd.Context(), "/v1/explain/"+url.PathEscape(args[0]), &r); err != nil {
				return err
			}
			return o.print(r, func(w io.Writer) { printRecord(w, &r) })
		}}
}

func printRecord(w io.Writer, r *explain.Record) {
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
