// Package tool is the operators' command line. Commands on configuration speak
// to the platform itself, so they work while every instance is down; commands
// on the state of the fleet ask one instance, any of them.
package tool

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/tomlfile"
	"github.com/shedhoist/shedhoist/internal/version"
)

// Exit codes of shedhoist.
const (
	ExitOK          = 0
	ExitFailed      = 1 // anything not named below
	ExitInvalid     = 2 // the command line or the configuration is wrong; nothing was changed
	ExitConflict    = 3 // another operator's change was accepted first; nothing was changed
	ExitUnavailable = 4 // the platform or the instance did not answer; nothing was changed
	ExitUncertain   = 5 // not known whether the change was accepted: see history
	ExitNotInForce  = 6 // accepted, but not in force everywhere in the time given
	ExitDiffers     = 7 // diff --exit-code found differences
)

// UsageError says that a command line can't be carried out as written.
type UsageError struct{ Reason string }

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

// DifferError says that diff found differences and was asked to tell by its exit code.
type DifferError struct{ Edits int }

// Error implements error.
func (e *DifferError) Error() string { return fmt.Sprintf("%d differences", e.Edits) }

// NotInForceError says that instances had not followed in time.
type NotInForceError struct {
	Generation uint64
	Behind     []string
}

// Error implements error.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("generation %d is accepted but not yet in force at: %s", e.Generation, strings.Join(e.Behind, ", "))
}

// options are the flags that all commands share.
type options struct {
	platform, platformToken string
	daemon, key, ca         string
	output                  string
	timeout                 time.Duration
	out, err                io.Writer
	http                    *http.Client
}

// Main runs the tool and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	o := &options{out: stdout, err: stderr}
	root := newRoot(o)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	var differ *DifferError
	if !errors.As(err, &differ) {
		fmt.Fprintln(stderr, "shedhoist: "+err.Error())
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		invalid     tomlfile.Errors
		usage       *UsageError
		race        *config.ConflictError
		unavailable *platform.UnavailableError
		daemon      *DaemonError
		uncertain   *config.UncertainError
		notInForce  *NotInForceError
		differ      *DifferError
	)
	switch {
	case errors.As(err, &uncertain): // before its cause
		return ExitUncertain
	case errors.As(err, &invalid), errors.As(err, &usage):
		return ExitInvalid
	case errors.As(err, &race):
		return ExitConflict
	case errors.As(err, &unavailable), errors.As(err, &daemon) && daemon.Status == 0:
		return ExitUnavailable
	case errors.As(err, &notInForce):
		return ExitNotInForce
	case errors.As(err, &differ):
		return ExitDiffers
	case strings.HasPrefix(err.Error(), "unknown "), strings.Contains(err.Error(), "arg(s)"), strings.Contains(err.Error(), "flag"):
		return ExitInvalid // cobra's own errors have no types
	}
	return ExitFailed
}

const longHelp = `shedhoist checks and applies configuration, and shows the state of the fleet.

Commands on configuration need --platform; commands on state need --daemon and
--key, the operators' address and key of any one instance. Each flag can come
from the environment: SHEDHOIST_PLATFORM, SHEDHOIST_PLATFORM_TOKEN,
SHEDHOIST_DAEMON, SHEDHOIST_KEY, SHEDHOIST_CA.

Exit codes: 0 done; 1 failed; 2 wrong command line or configuration, nothing
changed; 3 conflict with another operator, nothing changed; 4 platform or
instance not reached, nothing changed; 5 not known whether the change was
accepted; 6 accepted but not in force everywhere in time; 7 differences found
by diff --exit-code.`

func newRoot(o *options) *cobra.Command {
	root := &cobra.Command{Use: "shedhoist", Short: "Operate a shedhoist fleet", Long: longHelp, SilenceErrors: true, SilenceUsage: true}
	f := root.PersistentFlags()
	f.StringVar(&o.platform, "platform", os.Getenv("SHEDHOIST_PLATFORM"), "URL of the platform's object API")
	f.StringVar(&o.platformToken, "platform-token", os.Getenv("SHEDHOIST_PLATFORM_TOKEN"), "token for the platform")
	f.StringVar(&o.daemon, "daemon", os.Getenv("SHEDHOIST_DAEMON"), "URL of any instance's operators' listener")
	f.StringVar(&o.key, "key", os.Getenv("SHEDHOIST_KEY"), "operator's key")
	f.StringVar(&o.ca, "ca", os.Getenv("SHEDHOIST_CA"), "CA file that signs the operators' listeners")
	f.StringVarP(&o.output, "output", "o", "table", "table or json")
	f.DurationVar(&o.timeout, "timeout", 10*time.Second, "bound on each call")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if o.output != "table" && o.output != "json" {
			return &UsageError{Reason: "-o takes table or json, not " + o.output}
		}
		return nil
	}
	root.AddCommand(o.initCmd(), o.validateCmd(), o.diffCmd(), o.applyCmd(), o.getCmd(), o.historyCmd(), o.rollbackCmd(), o.drainCmd(),
		o.statusCmd(), o.membersCmd(), o.targetsCmd(), o.dumpCmd(), o.explainCmd(), o.logsCmd(), versionCmd(o))
	return root
}

func versionCmd(o *options) *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Example: "  shedhoist version", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return o.show(map[string]string{"version": version.String}, func(w io.Writer) { fmt.Fprintln(w, "shedhoist "+version.String) })
		}}
}

// repo opens the configuration in the platform.
func (o *options) repo() (*config.Repo, error) {
	if o.platform == "" {
		return nil, &UsageError{Reason: "--platform (or SHEDHOIST_PLATFORM) is needed"}
	}
	return &config.Repo{Store: platform.NewClient(o.platform, o.platformToken, nil), Now: time.Now}, nil
}

// show prints v as JSON, or by table.
func (o *options) show(v any, table func(io.Writer)) error {
	if o.output == "json" {
		enc := json.NewEncoder(o.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(o.out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// author names who makes a change.
func author() string {
	if a := os.Getenv("SHEDHOIST_AUTHOR"); a != "" {
		return a
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}
