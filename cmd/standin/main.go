// Command standin runs small stand-ins for the systems around shedhoist, for
// trying it out and for measurements. It is no part of the product.
package main

import (
	"os"

	"github.com/shedhoist/shedhoist/internal/standin/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
