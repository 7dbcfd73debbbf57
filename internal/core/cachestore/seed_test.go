package cachestore_test

import "flag"

// The properties are checked on the same draws each run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
