// Package requestlog reads the lines that hosts log and finds what they say of
// one request.
package requestlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	// maxLine bounds one line in bytes; hosts write lines of some hundred.
	maxLine = 1 << 20

	fieldRequest = "request"
	fieldHost    = "host"
	fieldServer  = "server"
	fieldServers = "servers"
)

// ErrTooLong means that the input has a line that no host wrote.
var ErrTooLong = errors.New("a line is longer than 1 MiB, so this is no host's log")

type (
	// Line is one line of a host's log.
	Line struct {
		Time    time.Time      `json:"timestamp"`
		Level   string         `json:"level"`
		Message string         `json:"message"`
		Fields  map[string]any `json:"fields"`
	}

	// Report is what the logs of all hosts say of one request.
	Report struct {
		RequestID string `json:"requestId"`
		// Lines are the request's own, and those of beliefs that changed on its
		// host about a server that it was offered to, oldest first.
		Lines []Line `json:"lines"`
		// Skipped is the number of lines that are not in the hosts' format.
		Skipped int `json:"skippedLines"`
	}

	// Reader collects the lines that may concern a request.
	Reader struct {
		requestID string
		own       []Line
		beliefs   []Line
		skipped   int
	}
)

// NewReader returns a reader for one request.
func NewReader(requestID string) *Reader {
	return &Reader{requestID: requestID}
}

// Read takes in a log. Text before a line's JSON is passed over, so that output
// of log collectors can be given as it is.
func (r *Reader) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		r.add(scanner.Bytes())
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return ErrTooLong
	}
	return scanner.Err()
}

// Report returns what was found.
func (r *Reader) Report() Report {
	s := Report{RequestID: r.requestID, Lines: slices.Clone(r.own), Skipped: r.skipped}
	if len(r.own) == 0 {
		return s
	}
	byTime(r.own)
	first, last := r.own[0].start(), r.own[len(r.own)-1].Time
	hosts, servers := seenIn(r.own)
	for _, l := range r.beliefs {
		if hosts[l.Text(fieldHost)] && servers[l.Text(fieldServer)] && !l.Time.Before(first) && !l.Time.After(last) {
			s.Lines = append(s.Lines, l)
		}
	}
	byTime(s.Lines)
	return s
}

func (r *Reader) add(text []byte) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		r.skipped++
		return
	}
	var line Line
	if err := json.Unmarshal(text[begin:], &line); err != nil || line.Message == "" {
		r.skipped++
		return
	}
	switch id := line.Text(fieldRequest); {
	case id == r.requestID:
		r.own = append(r.own, line)
	case id == "" && line.Text(fieldServer) != "":
		r.beliefs = append(r.beliefs, line)
	}
}

// Text returns a field as text, or "".
func (l Line) Text(field string) string {
	value, ok := l.Fields[field]
	if !ok || value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// Duration returns a field as a duration, or 0 where it is missing or none.
func (l Line) Duration(field string) time.Duration {
	d, err := time.ParseDuration(l.Text(field))
	if err != nil {
		return 0 // lines of steps that were not reached have an empty field
	}
	return d
}

// start returns when the request of the line came to its host.
func (l Line) start() time.Time {
	return l.Time.Add(-max(l.Duration("age"), l.Duration("took")))
}

// seenIn returns the hosts that wrote lines and the servers that they name.
func seenIn(lines []Line) (hosts, servers map[string]bool) {
	hosts, servers = map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		hosts[l.Text(fieldHost)] = true
		servers[l.Text(fieldServer)] = true
		list, _ := l.Fields[fieldServers].([]any)
		for _, server := range list {
			servers[fmt.Sprint(server)] = true
		}
	}
	delete(servers, "")
	return hosts, servers
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
