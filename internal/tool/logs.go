package tool

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedhoist/shedhoist/internal/requestlog"
)

// RequestNotFoundError reports that no log line names a request.
type RequestNotFoundError struct{ Request string }

// Error implements error.
func (e *RequestNotFoundError) Error() string { return "no line names request " + e.Request }

func (o *options) logsCmd() *cobra.Command {
	logs := &cobra.Command{Use: "logs", Short: "Read the instances' logs, offline"}
	logs.AddCommand(&cobra.Command{Use: "explain REQUEST-ID FILE...", Short: "Join the log lines of several instances into the timeline of one request",
		Long: "Reads the JSON log lines of any number of instances (- is standard input) and prints the\n" +
			"request's own lines, related changes around it, and findings.",
		Example: "  shedhoist logs explain 81f7ad7fca34baef *.log\n  cat *.log | shedhoist logs explain -o json 81f7ad7fca34baef -",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			s := requestlog.Build(lines, args[0])
			if s == nil {
				return &RequestNotFoundError{Request: args[0]}
			}
			return o.print(s, func(w io.Writer) { printTimeline(w, s) })
		}}, o.retriesCmd())
	return logs
}

// defaultRetryWindow is the window in which retries are counted, unless a flag sets another one.
const defaultRetryWindow = 10 * time.Second

func (o *options) retriesCmd() *cobra.Command {
	var window time.Duration
	retries := &cobra.Command{Use: "retries FILE...", Short: "Sum the retries of all instances, by service, in the window with the most of them",
		Long: "Reads the JSON log lines of any number of instances (- is standard input) and prints, for each\n" +
			"service, the window with the most retries: how many were charged to the budget, why, and by whom.",
		Example: "  shedhoist logs retries *.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args)
			if err != nil {
				return err
			}
			windows := requestlog.RetryWindows(lines, window)
			return o.print(windows, func(w io.Writer) { printRetries(w, windows) })
		}}
	retries.Flags().DurationVar(&window, "window", defaultRetryWindow, "length of the window")
	return retries
}

func printRetries(w io.Writer, windows []requestlog.RetryWindow) {
	for _, r := range windows {
		fmt.Fprintf(w, "%s\tfrom %s: %d requests, %d retries charged, %d free, %d not allowed\n", r.Service, r.Start.Format(time.TimeOnly+".000"), r.Requests, r.Charged, r.Free, r.Exhausted)
		fmt.Fprintf(w, "  %d starts of instances, %d retries by those; budgets for %d to %d instances\n", r.Starts, r.AfterStart, r.MinInstances, r.MaxInstances)
		printCounts(w, "after", r.ByCause)
		printCounts(w, "by", r.ByInstance)
	}
	if len(windows) == 0 {
		fmt.Fprintln(w, "no retries")
	}
}

// printCounts prints a line for each count, in the order of the names.
func printCounts(w io.Writer, label string, counts map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "  %s %s\t%d\n", label, name, counts[name])
	}
}

func readLogs(stdin io.Reader, files []string) ([]requestlog.Line, error) {
	var out []requestlog.Line
	for _, name := range files {
		lines, err := readLog(stdin, name)
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	return out, nil
}

func readLog(stdin io.Reader, name string) ([]requestlog.Line, error) {
	if name == "-" {
		return requestlog.Read(stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return requestlog.Read(f)
}

func printTimeline(w io.Writer, s *requestlog.Timeline) {
	fmt.Fprintf(w, "request %s\n", s.Request)
	printLines(w, s.Lines)
	if len(s.Related) > 0 {
		fmt.Fprintln(w, "around it")
		printLines(w, s.Related)
	}
	fmt.Fprintln(w, "findings")
	for _, f := range s.Findings {
		fmt.Fprintf(w, "  - %s\n", f)
	}
	if len(s.Findings) == 0 {
		fmt.Fprintln(w, "  none: these logs explain no more than the request's own lines")
	}
}

// timelineFields are the log fields that are printed of each line, in this order.
var timelineFields = []string{"target", "targets", "outcome", "status", "ended", "next", "budget", "detail", "error", "config", "version", "before", "from", "by", "leaving",
	"weights", "ms", "first_ms", "predicted_ms", "link", "read_tokens", "age_ms", "store_age_ms", "token"}

func printLines(w io.Writer, lines []requestlog.Line) {
	for _, l := range lines {
		fmt.Fprintf(w, "  %s\t%s\t%s\t", l.Time.Format(time.TimeOnly+".000"), l.Instance, l.Message)
		for _, name := range timelineFields {
			if v, ok := l.Fields[name]; ok && v != "" {
				fmt.Fprintf(w, "%s=%v ", name, v)
			}
		}
		if l.OtherInstances > 0 {
			fmt.Fprintf(w, "(and %d more instances)", l.OtherInstances)
		}
		fmt.Fprintln(w)
	}
}
