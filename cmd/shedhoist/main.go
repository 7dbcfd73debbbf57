// Command shedhoist is the operators' tool: it checks and applies
// configuration, and shows the state of the fleet.
package main

import (
	"os"

	"github.com/shedhoist/shedhoist/internal/tool"
)

func main() { os.Exit(tool.Main(os.Args[1:], os.Stdout, os.Stderr)) }
