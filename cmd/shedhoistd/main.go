// Command shedhoistd is the daemon: one process on each entry instance, all
// alike, between callers and targets.
package main

import (
	"os"

	"github.com/shedhoist/shedhoist/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
