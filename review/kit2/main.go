// Command kit2 has the stand-ins of the second review, and plays its cases.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// record is the account of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{began: time.Now(), file: file}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cleanup is called before the process exits.
var cleanup = func() {}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	cleanup()
	os.Exit(exitNotRun)
}

func check(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

func main() {
	if len(os.Args) != 4 {
		cannotRun("usage: kit2 CASE REPOSITORY RECORD")
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("no case %q", os.Args[1])
	}
	rec := newRecord(os.Args[3])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { cannotRun("stopped by a signal: %v", <-signals) }()
	broken := play(os.Args[2], rec, os.Getenv("TROUBLE") != "0")
	cleanup()
	if broken {
		rec.line("RESULT: the rule was broken")
		os.Exit(exitBroken)
	}
	rec.line("RESULT: the rule held")
	os.Exit(exitHeld)
}

var cases = map[string]func(root string, rec *record, trouble bool) (broken bool){
	"wall": playWall,
	"long": playLong,
}
