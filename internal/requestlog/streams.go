package requestlog

import "fmt"

// findStreamVersion reports, for a request that takes up a stream, at which version of the targets' software it goes
// on and how that was known, or why it can't go on.
func findStreamVersion(lines []Line, t *Timeline) []string {
	for _, l := range t.Lines {
		if l.Message != "stream taken up" {
			continue
		}
		stream := "a stream that its caller doesn't name"
		if resumes := l.Fields.Text("resumes"); resumes != "" {
			stream = "the stream that request " + resumes + " began"
		}
		switch known := l.Fields.Text("known"); known {
		case "unknown":
			return []string{fmt.Sprintf("takes up %s, but neither %s nor a peer that answered knows the version of the software that began it, and several are possible%s",
				stream, l.Instance, describeFirstTry(lines, l.Fields.Text("resumes")))}
		case "moved":
			return []string{fmt.Sprintf("takes up %s, but the route doesn't lead to its service %s any more", stream, l.Fields.Text("service"))}
		default:
			return []string{fmt.Sprintf("takes up %s, which goes on at version %s of %s only (known: %s)", stream, l.Fields.Text("software"), l.Fields.Text("service"), known)}
		}
	}
	return nil
}

// describeFirstTry says where the request that began a stream was, as far as the logs tell.
func describeFirstTry(lines []Line, request string) string {
	for _, l := range lines {
		if software := l.Fields.Text("software"); request != "" && l.Fields.Text("request") == request && software != "" {
			return fmt.Sprintf("; by these logs it was at %s, with a target of version %s", l.Instance, software)
		}
	}
	return ""
}
