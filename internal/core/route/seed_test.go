package route_test

import "flag"

// A fixed seed makes the property tests draw the same values in each run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
