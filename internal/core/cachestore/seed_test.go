package cachestore_test

import "flag"

// The property tests draw the same values in every run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
