package member_test

import "flag"

// Fixes the seed of the property tests so that every run draws the same values.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
