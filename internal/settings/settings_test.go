package settings_test

import (
	"testing"

	"github.com/shedhoist/shedhoist/internal/settings"
)

// FuzzParse checks that Parse returns either settings or an error for any input.
func FuzzParse(f *testing.F) {
	f.Add([]byte("name = \"a\"\nzone = \"z\"\n[platform]\nurl = \"http://x\"\n[peers]\nsecret = \"s\"\n"))
	f.Add([]byte("[listen]\ncallers = \"127.0.0.1:0\"\n[listen]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("f.toml", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
	})
}
