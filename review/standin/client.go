package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// outcome is what a client has seen of one attempt.
type outcome struct {
	id     string
	status int // 0: no answer
	stamp  string
	// events are the numbers of the events received, and versions who made them.
	events   []int
	versions map[string]int
	text     string
	// isComplete is set if the answer has come to its end.
	isComplete bool
	err        error
	took       time.Duration
}

// attempt is one request of a client.
type attempt struct {
	id, method, path string
	body             io.Reader
	header           map[string]string
	deadline         time.Duration
	onEvent          func(number int)
	// patience is the gap after which the client abandons a stream, also before its first
	// event, or zero.
	patience time.Duration
}

// send sends one request on a new connection and reads the answer.
func (s *system) send(ctx context.Context, h *host, a attempt) outcome {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, a.deadline+time.Second)
	defer cancel()
	o := outcome{id: a.id, versions: make(map[string]int)}
	if a.patience > 0 {
		leave := time.AfterFunc(a.patience, func() {
			s.note("client abandons %s", a.id)
			cancel()
		})
		defer leave.Stop()
		onEvent := a.onEvent
		a.onEvent = func(number int) {
			leave.Reset(a.patience)
			if onEvent != nil {
				onEvent(number)
			}
		}
	}
	defer func() { o.took = time.Since(started) }()
	request, err := http.NewRequestWithContext(ctx, a.method, "http://"+h.ip+":18080"+a.path, a.body)
	if err != nil {
		o.err = err
		return o
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	for name, value := range a.header {
		request.Header.Set(name, value)
	}
	s.note("client sends %s %s %s to %s", a.id, a.method, a.path, h.name)
	response, err := s.client.Do(request)
	if err != nil {
		o.err, o.took = err, time.Since(started)
		s.note("client: %s has no answer after %v: %v", a.id, o.took.Round(time.Millisecond), err)
		return o
	}
	defer response.Body.Close()
	o.status, o.stamp = response.StatusCode, response.Header.Get("Server-Stamp")
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		o.text += line
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ := strconv.Atoi(strings.TrimSpace(text))
			o.events = append(o.events, number)
			if a.onEvent != nil {
				a.onEvent(number)
			}
		}
		if _, version, ok := strings.Cut(line, " made by "); ok {
			o.versions[strings.TrimSpace(version)]++
		}
		if err != nil {
			o.isComplete = errors.Is(err, io.EOF)
			if !o.isComplete {
				o.err = err
			}
			break
		}
	}
	o.took = time.Since(started)
	s.note("client: %s has status %d, %d events, complete %t, after %v, error %v", a.id, o.status, len(o.events), o.isComplete, o.took.Round(time.Millisecond), o.err)
	return o
}

// streamAttempt is a request for a stream of a number of events.
func streamAttempt(id, path string, promptTokens, events int) attempt {
	return attempt{
		id: id, method: http.MethodPost, path: path, body: strings.NewReader("prompt of " + id), deadline: 14 * time.Second,
		header: map[string]string{
			"Model": "m", "Token-Counts": fmt.Sprintf("%d,%d", promptTokens, events), "Length-Hint": strconv.Itoa(events),
			"Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%s:%d", id, promptTokens-200),
		},
	}
}
