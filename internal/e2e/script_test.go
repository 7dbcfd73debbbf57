package e2e_test

import (
	"bufio"
	"errors"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/shedhoist/shedhoist/internal/daemon"
	"github.com/shedhoist/shedhoist/internal/standin/cli"
	"github.com/shedhoist/shedhoist/internal/tool"
)

// TestMain lets scripts run the programs as processes of their own: the test
// binary plays each of them.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"shedhoistd": func() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"shedhoist":  func() { os.Exit(tool.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standin":    func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// processes are the programs that one script has started, by variable name.
type processes map[string]*exec.Cmd

type processesKey struct{}

// TestScripts runs the scenarios in testdata/script, each on processes of its own.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Values[processesKey{}] = processes{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start": startCmd, "signal": signalCmd, "subst": substCmd, "until": untilCmd, "code": codeCmd,
		},
	})
}

// startCmd: start VAR PROGRAM ARGS... starts a program and sets VAR to the
// first line it prints (VAR_addr without its http://), or VAR_name to each
// name=value in it.
func startCmd(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start VAR PROGRAM ARGS...")
	}
	cmd := exec.Command(lookPath(ts, args[1]), args[2:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = []string{"PATH=" + ts.Getenv("PATH"), "HOME=" + ts.Getenv("HOME")}
	errFile, err := os.OpenFile(ts.MkAbs(args[0]+".err"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	cmd.Stderr = errFile
	out, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	ts.Value(processesKey{}).(processes)[args[0]] = cmd
	ts.Defer(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		errFile.Close()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		_ = cmd.Wait()
		ts.Fatalf("%s printed nothing: %v\n%s", args[1], err, ts.ReadFile(args[0]+".err"))
	}
	line = strings.TrimSpace(line)
	if !strings.Contains(line, "=") {
		ts.Setenv(args[0], line)
		ts.Setenv(args[0]+"_addr", strings.TrimPrefix(line, "http://"))
		return
	}
	for _, word := range strings.Fields(line) {
		name, value, _ := strings.Cut(word, "=")
		ts.Setenv(args[0]+"_"+name, value)
	}
}

// lookPath finds a program on the script's own PATH.
func lookPath(ts *testscript.TestScript, program string) string {
	for _, dir := range strings.Split(ts.Getenv("PATH"), string(os.PathListSeparator)) {
		if _, err := os.Stat(dir + "/" + program); err == nil {
			return dir + "/" + program
		}
	}
	ts.Fatalf("no program %s", program)
	return ""
}

// signalCmd: signal VAR SIGNAL CODE sends a signal and wants the exit code; with
// the signal KILL any end will do.
func signalCmd(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	cmd := ts.Value(processesKey{}).(processes)[args[0]]
	sig, ok := signals[args[1]]
	if cmd == nil || !ok {
		ts.Fatalf("no process %s or no signal %s", args[0], args[1])
	}
	ts.Check(cmd.Process.Signal(sig))
	if len(args) < 3 {
		return
	}
	_ = cmd.Wait()
	if got := strconv.Itoa(cmd.ProcessState.ExitCode()); got != args[2] {
		ts.Fatalf("%s ended with %s, want %s", args[0], got, args[2])
	}
}

// substCmd: subst FILE... replaces ${VAR} in files.
func substCmd(ts *testscript.TestScript, _ bool, args []string) {
	for _, file := range args {
		data := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(data), 0o600))
	}
}

// untilCmd: until TEXT PROGRAM ARGS... runs a program again and again until it
// succeeds and prints TEXT; ! until waits until it does not print it.
func untilCmd(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: until TEXT PROGRAM ARGS...")
	}
	var out []byte
	for range untilTries {
		cmd := exec.Command(lookPath(ts, args[1]), args[2:]...)
		cmd.Dir = ts.MkAbs(".")
		cmd.Env = []string{"PATH=" + ts.Getenv("PATH"), "HOME=" + ts.Getenv("HOME")}
		var err error
		out, err = cmd.CombinedOutput()
		if strings.Contains(string(out), args[0]) != neg && (neg || err == nil) {
			return
		}
	}
	ts.Fatalf("%q never came; last output:\n%s", args[0], out)
}

// untilTries bounds until by tries, each a process start, not by time.
const untilTries = 10_000

// codeCmd: code N PROGRAM ARGS... runs a program and wants its exit code.
func codeCmd(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	got := 0
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit code %d, want %s", got, args[0])
	}
}
