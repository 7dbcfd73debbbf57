// Package tool is the operators' command line. Commands on configuration access
// the platform directly, so they work while every instance is down. Commands on
// the state of the fleet query any one instance.
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
	ExitInvalid     = 2 // the command line or the configuration is invalid; nothing was changed
	ExitConflict    = 3 // another operator's change was accepted first; nothing was changed
	ExitUnavailable = 4 // the platform or the instance did not answer; nothing was changed
	ExitUncertain   = 5 // unknown whether the change was accepted: check the history command
	ExitNotInForce  = 6 // accepted, but not in force everywhere within the time given
	ExitDiffers     = 7 // diff --exit-code found differences
)

// UsageError reports a command line that can't be executed as written.
type UsageError struct{ Reason string }

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

// DifferencesError reports that diff --exit-code found differences.
type DifferencesError struct{ Edits int }

// Error implements error.
func (e *DifferencesError) Error() string { return fmt.Sprintf("%d differences", e.Edits) }

// NotInForceError reports that the instances in Behind did not apply a generation in time.
type NotInForceError struct {
	Generation uint64
	Behind     []string
}

// Error implements error.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("generation %d is accepted but not yet in force at: %s", e.Generation, strings.Join(e.Behind, ", "))
}

// options are the flags that all commands share, with the output streams and the HTTP client.
type options struct {
	platform, platformToken string
	daemon, key, ca         string
	output                  string
	timeout                 time.Duration
	out, err                io.Writer
	client                  *http.Client
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
	var differences *DifferencesError
	if !errors.As(err, &differences) {
		fmt.Fprintln(stderr, "shedhoist: "+err.Error())
	}
	return exitCode(err)
}

// exitCode maps an error to the exit code of its type.
func exitCode(err error) int {
	var (
		invalid     tomlfile.Errors
		usage       *UsageError
		conflict    *config.ConflictError
		unavailable *platform.UnavailableError
		instance    *InstanceError
		uncertain   *config.UncertainError
		notInForce  *NotInForceError
		differences *DifferencesError
	)
	switch {
	case errors.As(err, &uncertain): // checked before its cause, which may be an UnavailableError
		return ExitUncertain
	case errors.As(err, &invalid), errors.As(err, &usage):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unavailable), errors.As(err, &instance) && instance.Status == 0:
		return ExitUnavailable
	case errors.As(err, &notInForce):
		return ExitNotInForce
	case errors.As(err, &differences):
		return ExitDiffers
	case strings.HasPrefix(err.Error(), "unknown "), strings.Contains(err.Error(), "arg(s)"), strings.Contains(err.Error(), "flag"):
		return ExitInvalid // cobra's errors have no types of their own
	}
	return ExitFailed
}

const longHelp = `shedhoist checks and applies configuration, and shows the state of the fleet.

Commands on configuration need --platform; commands on state need --daemon and
--key, the operators' address and key of any one instance. Each flag can
also be set in the environment: SHEDHOIST_PLATFORM, SHEDHOIST_PLATFORM_TOKEN,
SHEDHOIST_DAEMON, SHEDHOIST_KEY, SHEDHOIST_CA.

Exit codes: 0 success; 1 failure; 2 invalid command line or configuration,
nothing changed; 3 conflict with another operator, nothing changed; 4 platform
or instance not reached, nothing changed; 5 unknown whether the change was
accepted; 6 accepted but not in force everywhere in time; 7 differences found
by diff --exit-code.`

func newRoot(o *options) *cobra.Command {
	root := &cobra.Command{Use: "shedhoist", Short: "Operate a shedhoist fleet", Long: longHelp, SilenceErrors: true, SilenceUsage: true}
	f := root.PersistentFlags()
	f.StringVar(&o.platform, "platform", os.Getenv("SHEDHOIST_PLATFORM"), "URL of the platform's object API")
	f.StringVar(&o.platformToken, "platform-token", os.Getenv("SHEDHOIST_PLATFORM_TOKEN"), "token for the platform")
	f.StringVar(&o.daemon, "daemon", os.Getenv("SHEDHOIST_DAEMON"), "URL of any instance's operators' listener")
	f.StringVar(&o.key, "key", os.Getenv("SHEDHOIST_KEY"), "operator's key")
	f.StringVar(&o.ca, "ca", os.Getenv("SHEDHOIST_CA"), "file with the CA certificate of the operators' listeners")
	f.StringVarP(&o.output, "output", "o", "table", "table or json")
	f.DurationVar(&o.timeout, "timeout", 10*time.Second, "timeout of each call")
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
			return o.print(map[string]string{"version": version.String}, func(w io.Writer) { fmt.Fprintln(w, "shedhoist "+version.String) })
		}}
}

// openRepo returns the configuration repository on the platform.
func (o *options) openRepo() (*config.Repo, error) {
	if o.platform == "" {
		return nil, &UsageError{Reason: "--platform (or SHEDHOIST_PLATFORM) is required"}
	}
	return &config.Repo{Store: platform.NewClient(o.platform, o.platformToken, nil), Now: time.Now}, nil
}

// print prints v as JSON with -o json, and otherwise calls printTable.
func (o *options) print(v any, printTable func(io.Writer)) error {
	if o.output == "json" {
		enc := json.NewEncoder(o.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(o.out, 0, 4, 2, ' ', 0)
	printTable(w)
	return w.Flush()
}

// changeAuthor returns the author recorded with a change: SHEDHOIST_AUTHOR, or else the system's user.
func changeAuthor() string {
	if a := os.Getenv("SHEDHOIST_AUTHOR"); a != "" {
		return a
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}
