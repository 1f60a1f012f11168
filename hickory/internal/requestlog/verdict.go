package requestlog

import (
	"fmt"
	"strings"
	"time"
)

const (
	messageEnded  = "request ended"
	messageStream = "stream ended"
)

// phase is a part of the way of a stream, by the field that says when it ended.
type phase struct {
	field string
	what  string
}

// phases are in the order in which a stream passes through them.
var phases = []phase{
	{"room", "waiting for memory at a decode server"},
	{"prompt", "having its prompt read"},
	{"first", "fetching the KV cache and making the first event"},
}

// Summary says in a sentence or two how the request ended and what took the time.
func (s Report) Summary() string {
	if len(s.Lines) == 0 {
		return "no line names this request: it reached no host whose log was given, or its lines were dropped"
	}
	var sentences []string
	for _, l := range s.Lines {
		switch l.Message {
		case messageEnded:
			sentences = append(sentences, endOf(l))
		case messageStream:
			sentences = append(sentences, streamOf(l))
		}
	}
	if len(sentences) == 0 {
		return "the request had not ended when the log was taken"
	}
	return strings.Join(sentences, "; ")
}

func endOf(l Line) string {
	text := fmt.Sprintf("%s with status %s after %s", l.Text("outcome"), l.Text("status"), l.Text("took"))
	if reason := l.Text("reason"); reason != "" {
		text += ": " + reason
	}
	return text
}

// streamOf names the longest phase of a stream up to its first event, and the
// longest pause after it.
func streamOf(l Line) string {
	var longest, before time.Duration
	var what string
	for _, p := range phases {
		at := l.Duration(p.field)
		if at == 0 {
			break
		}
		if at-before > longest {
			longest, what = at-before, p.what
		}
		before = at
	}
	if what == "" {
		return "no decode server was found for it"
	}
	if l.Duration("first") == 0 {
		return fmt.Sprintf("it had no event; %s took %s", what, longest)
	}
	return fmt.Sprintf("first event after %s, of which %s took %s; longest pause %s", before, what, longest, l.Text("longestGap"))
}
