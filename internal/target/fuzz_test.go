package target

import "testing"

// FuzzParseChunk checks that parsing any event returns a chunk or an *IncompleteError.
func FuzzParseChunk(f *testing.F) {
	f.Add(`{"id":"x","choices":[{"index":0,"text":" a","finish_reason":null}]}`)
	f.Add(`{"choices":[],"usage":{"prompt_tokens":1}}`)
	f.Add(`{"usage":{"prompt_tokens":"x"}}`)
	f.Add(`{"error":{"message":"x"}}`)
	f.Fuzz(func(t *testing.T, data string) {
		_, err := parseChunk("t", data)
		if _, ok := err.(*IncompleteError); err != nil && !ok {
			t.Fatalf("%T", err)
		}
	})
}
