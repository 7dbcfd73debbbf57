// Command shedhoistd is the daemon: one process on each entry instance, all
// alike, between callers and targets. Started as "shedhoistd hosted" it takes its
// settings, configuration and targets from the users' platform; else from a
// settings file of its own.
package main

import (
	"os"

	"github.com/shedhoist/shedhoist/internal/daemon"
	"github.com/shedhoist/shedhoist/internal/gateway"
	"github.com/shedhoist/shedhoist/platform"
)

// hosted is the command that runs on the users' platform.
const hosted = "hosted"

func main() {
	if len(os.Args) >= 2 && os.Args[1] == hosted {
		os.Exit(gateway.Main(platform.StartOptions(), os.Args[2:], os.Stdout, os.Stderr))
	}
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
