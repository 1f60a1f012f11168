// Package requestlog reads the hosts' logs and collects the lines that concern one
// request.
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
	// maxLineBytes bounds one line. Hosts write lines of some hundred bytes.
	maxLineBytes = 1 << 20

	fieldRequest = "request"
	fieldHost    = "host"
	fieldServer  = "server"
	fieldServers = "servers"
)

// ErrTooLong means that a line is too long to be from a host's log.
var ErrTooLong = errors.New("a line is longer than 1 MiB, so the input is not a host's log")

type (
	// Line is one line of a host's log.
	Line struct {
		Time    time.Time      `json:"timestamp"`
		Level   string         `json:"level"`
		Message string         `json:"message"`
		Fields  map[string]any `json:"fields"`
	}

	// Report holds the log lines of all hosts that concern one request.
	Report struct {
		RequestID string `json:"requestId"`
		// Lines are the lines that name the request, and the lines about a state
		// change of a backend server that the request was offered to, if the
		// request's host logged them while it handled the request. The oldest is
		// first.
		Lines []Line `json:"lines"`
		// Skipped is the number of lines that are not in the format of a host's log.
		Skipped int `json:"skippedLines"`
	}

	// Reader reads logs and keeps the lines that may concern one request.
	Reader struct {
		requestID     string
		requestLines  []Line
		serverChanges []Line // state changes of all backend servers
		skipped       int
	}
)

// NewReader returns a reader for the request with the given ID.
func NewReader(requestID string) *Reader {
	return &Reader{requestID: requestID}
}

// Read reads a log. It ignores text before the JSON of a line, so that the output of
// log collectors can be read unchanged.
func (r *Reader) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		r.add(scanner.Bytes())
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return ErrTooLong
	}
	return scanner.Err()
}

// Report returns the lines that concern the request among those read so far.
func (r *Reader) Report() Report {
	report := Report{RequestID: r.requestID, Lines: slices.Clone(r.requestLines), Skipped: r.skipped}
	if len(r.requestLines) == 0 {
		return report
	}
	sortByTime(r.requestLines)
	first, last := r.requestLines[0].start(), r.requestLines[len(r.requestLines)-1].Time
	hosts, servers := hostsAndServers(r.requestLines)
	for _, l := range r.serverChanges {
		if hosts[l.Text(fieldHost)] && servers[l.Text(fieldServer)] && !l.Time.Before(first) && !l.Time.After(last) {
			report.Lines = append(report.Lines, l)
		}
	}
	sortByTime(report.Lines)
	return report
}

// add keeps a line if the line may concern the request.
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
		r.requestLines = append(r.requestLines, line)
	case id == "" && line.Text(fieldServer) != "":
		r.serverChanges = append(r.serverChanges, line)
	}
}

// Text returns a field as text, or "" if the field is missing.
func (l Line) Text(field string) string {
	value, ok := l.Fields[field]
	if !ok || value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// Duration returns a field as a duration, or 0 if the field is missing or no duration.
func (l Line) Duration(field string) time.Duration {
	d, err := time.ParseDuration(l.Text(field))
	if err != nil {
		return 0 // the field of a phase that the request did not reach is empty
	}
	return d
}

// start returns when the request of the line arrived at its host.
func (l Line) start() time.Time {
	return l.Time.Add(-max(l.Duration("age"), l.Duration("took")))
}

// hostsAndServers returns the hosts that wrote the lines and the servers that the
// lines name.
func hostsAndServers(lines []Line) (hosts, servers map[string]bool) {
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

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
