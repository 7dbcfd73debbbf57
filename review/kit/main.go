// Command kit plays the cases of the review that are scripts: it starts machines of the system as the deploy
// file says, with stand-ins of the platform's store, and the servers, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the scripted cases by name. Each file registers its own.
var cases = map[string]func(f *fleet, trouble bool) (broken string){}

func main() { os.Exit(play()) }

// play plays one case and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func play() (code int) {
	defer func() {
		if v := recover(); v != nil {
			fmt.Println("could not run:", v)
			code = 2
		}
	}()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: kit CASE RECORD")
		return 2
	}
	rec := newRecord(os.Args[2])
	f := newFleet(rec)
	defer f.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		f.stop()
		os.Exit(2)
	}()
	broken := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if broken == "" {
		rec.line("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	rec.line("BROKEN: %s", broken)
	fmt.Println("BROKEN:", broken)
	return 1
}
