package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/shedhoist/shedhoist/internal/standin/measure"
)

// UsageError says that a command line can't be carried out as written.
type UsageError struct{ Reason string }

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

func benchCmd() *cobra.Command {
	var o measure.BenchOptions
	var workload, output, file string
	cmd := &cobra.Command{Use: "bench", Short: "Run policies side by side on the same arrivals", Args: cobra.NoArgs,
		Example: "  standin bench --workload rota --load 0.8\n  standin bench --workload lock --policy shedhoist,round-robin --fault zone-dies -o svg --file lock.svg"}
	f := cmd.Flags()
	f.StringVar(&workload, "workload", "rota", measure.Names())
	f.StringSliceVar(&o.Policies, "policy", []string{"shedhoist", "no-stores", "round-robin", "least-load", "affinity", "oracle"}, "policies, in turn")
	f.Float64Var(&o.Load, "load", 0.8, "share of the rate at which all engines are busy if every prompt is computed whole")
	f.IntVar(&o.Requests, "requests", 600, "requests")
	f.IntVar(&o.Instances, "instances", 8, "entry instances behind a random balancer")
	f.IntVar(&o.Engines, "engines", 20, "model engines")
	f.IntVar(&o.Stores, "stores", 2, "store instances")
	f.Float64Var(&o.Scale, "time-scale", 0.2, "real seconds for a modelled one")
	f.StringVar(&o.Fault, "fault", "", "brought about half-way: "+strings.Join(sorted(measure.Faults()), ", "))
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the arrivals")
	f.Float64Var(&o.FirstMS, "first-token-ms", 0, "refuse what is predicted to start later; 0 refuses nothing")
	f.Float64Var(&o.Weight, "recompute-weight", 0.02, "price of one recomputed token, ms")
	f.StringVarP(&output, "output", "o", "table", "table, json or svg")
	f.StringVar(&file, "file", "bench.svg", "file of the plot")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		o.Workload = measure.Workload(workload)
		if o.Workload != measure.Rota && o.Workload != measure.Lock {
			return &UsageError{Reason: "--workload takes " + measure.Names()}
		}
		if o.Fault != "" && !slices.Contains(measure.Faults(), o.Fault) {
			return &UsageError{Reason: "no fault " + o.Fault}
		}
		results, err := measure.Bench(cmd.Context(), o)
		if err != nil {
			return err
		}
		if output == "svg" {
			title := fmt.Sprintf("%s, load %.2g, %d instances, %d engines, seed %d %s", workload, o.Load, o.Instances, o.Engines, o.Seed, o.Fault)
			return measure.Plot(title, file, results)
		}
		return show(cmd.OutOrStdout(), output, results, func(w io.Writer) { benchTable(w, results) })
	}
	return cmd
}

func sorted(list []string) []string {
	slices.Sort(list)
	return list
}

func benchTable(w io.Writer, results []*measure.Result) {
	fmt.Fprintln(w, "POLICY\tFIRST P50\tP95\tP99 ms\tCOMPUTED\tRESTORED\tOUT MEM\tOUT DISK\tIN GB\tSERVED\tREFUSED\tFAILED\tRETRIED\tGOODPUT\tIMBALANCE\tWRONG")
	for _, r := range results {
		gb := func(link string) float64 { return float64(r.LinkBytes[link]) / 1e9 }
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.1f%%\t%.1f%%\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%.1f/s\t%.2f\t%d\n", r.Policy, r.FirstP50, r.FirstP95, r.FirstP99, 100*r.Computed,
			100*r.Restored, gb("out-memory"), gb("out-disk"), gb("in-memory"), r.Served, r.Refused, r.Failed, r.Retried, r.Goodput, r.Imbalance, r.Wrong+r.WrongBlock)
	}
	if len(results) > 0 {
		fmt.Fprintf(w, "compulsory bound\t\t\t\t%.1f%%\n", 100*results[0].Bound)
	}
}
