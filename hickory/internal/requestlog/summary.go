package requestlog

import (
	"fmt"
	"strings"
	"time"
)

const (
	requestEndedMessage = "request ended"
	streamEndedMessage  = "stream ended"
)

// phase is a part of the processing of a streamed request. Its field of the line
// 'stream ended' has the time from the request's start to the end of the phase.
type phase struct {
	field string
	what  string
}

// phases are listed in the order in which a request passes through them.
var phases = []phase{
	{"room", "waiting for memory at a decode server"},
	{"prompt", "having its prompt read"},
	{"first", "fetching the KV cache and making the first event"},
}

// Summary returns one or two sentences on how the request ended and which phase took
// the longest.
func (r Report) Summary() string {
	if len(r.Lines) == 0 {
		return "no line names this request: it reached no host whose log was given, or its lines were dropped"
	}
	var sentences []string
	for _, l := range r.Lines {
		switch l.Message {
		case requestEndedMessage:
			sentences = append(sentences, summarizeRequest(l))
		case streamEndedMessage:
			sentences = append(sentences, summarizeStream(l))
		}
	}
	if len(sentences) == 0 {
		return "the request had not ended when the log was taken"
	}
	return strings.Join(sentences, "; ")
}

// summarizeRequest describes a line 'request ended'.
func summarizeRequest(l Line) string {
	text := fmt.Sprintf("%s with status %s after %s", l.Text("outcome"), l.Text("status"), l.Text("took"))
	if reason := l.Text("reason"); reason != "" {
		text += ": " + reason
	}
	return text
}

// summarizeStream describes a line 'stream ended'. It names the longest phase up to
// the first event, and the longest pause after that event.
func summarizeStream(l Line) string {
	var longest, previous time.Duration
	var what string
	for _, p := range phases {
		end := l.Duration(p.field)
		if end == 0 {
			break
		}
		if end-previous > longest {
			longest, what = end-previous, p.what
		}
		previous = end
	}
	if what == "" {
		return "no decode server was found for it"
	}
	if l.Duration("first") == 0 {
		return fmt.Sprintf("it had no event; %s took %s", what, longest)
	}
	return fmt.Sprintf("first event after %s, of which %s took %s; longest pause %s", previous, what, longest, l.Text("longestGap"))
}
