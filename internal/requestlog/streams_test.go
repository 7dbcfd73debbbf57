package requestlog_test

import (
	"testing"

	"github.com/matryer/is"
)

// TestStreamsTakenUp guards against a stream that is refused, or goes on, without a word of why and at which version.
func TestStreamsTakenUp(t *testing.T) {
	taken := func(fields string) string { return logLine(5000, "a", "stream taken up", `"request":"r",`+fields) }
	end := logLine(5001, "a", "request", `"request":"r","outcome":"no-target","status":503`)
	first := logLine(4000, "b", "attempt failed", `"request":"s","target":"t1","software":"v2"`)
	cases := []struct {
		name  string
		lines []string
		want  []string
	}{
		{"goes on", []string{taken(`"resumes":"s","known":"peer","service":"llm","software":"v1"`), end},
			[]string{"takes up the stream that request s began, which goes on at version v1 of llm only (known: peer)"}},
		{"nobody knows", []string{taken(`"resumes":"s","known":"unknown"`), end},
			[]string{"takes up the stream that request s began, but neither a nor a peer that answered knows the version of the software that began it, and several are possible"}},
		{"the logs know", []string{first, taken(`"resumes":"s","known":"unknown"`), end},
			[]string{"takes up the stream that request s began, but neither a nor a peer that answered knows the version of the software that began it, and several are possible; by these logs it was at b, with a target of version v2"}},
		{"not named", []string{taken(`"resumes":"","known":"request","service":"llm","software":"v1"`), end},
			[]string{"takes up a stream that its caller doesn't name, which goes on at version v1 of llm only (known: request)"}},
		{"moved", []string{taken(`"resumes":"s","known":"moved","service":"llm"`), end},
			[]string{"takes up the stream that request s began, but the route doesn't lead to its service llm any more"}},
		{"a new stream", []string{end}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(findingsOn(t, c.lines, "takes up"), c.want)
		})
	}
}
