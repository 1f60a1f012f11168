package edgesoak_test

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing/iotest"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/worker"
)

const (
	// maxCallerAttempts is the number of attempts that a caller makes at a request.
	maxCallerAttempts = 4
	// dialTimeout is how long a caller waits for a connection.
	dialTimeout = time.Second
	// minCallerTime is the time left below which a caller makes no further attempt.
	minCallerTime = 100 * time.Millisecond
	// clockSlack is the difference between a host's measure of a deadline and the caller's.
	clockSlack = 5 * time.Millisecond
	// causeLost is the cause of a missing response for which the host is to blame.
	causeLost = "lost by the host"
	// causeDropped and causeHostKilled are causes that the test itself is to blame for.
	causeDropped    = "dropped by the caller"
	causeHostKilled = "host killed"
	// streamEvents is the number of events of a stream.
	streamEvents = 25
)

type (
	// caller sends one request after the other and keeps its connection open. Unlike
	// http.Client it makes no attempt that its user does not see.
	caller struct {
		environment *environment
		home        int // host to which the platform directs the caller's new connections
		host        int // host of conn
		conn        net.Conn
		reader      *bufio.Reader
		random      *rand.Rand
		// maxGap is how long the caller waits for the next part of a response, or 0 to wait
		// until the deadline.
		maxGap time.Duration
	}

	// gapReader reads a response on a connection and gives up after a gap.
	gapReader struct {
		io.Reader
		caller   *caller
		deadline time.Time
	}

	// callerRequest is a request with all its attempts.
	callerRequest struct {
		path   string // prefix of the route
		target string
		method string
		body   string
		// prompt are the parts of the prompt, or empty.
		prompt string
		// lastEvent is the last event that the caller has of a stream that it takes up
		// again, and firstAttempt the ID of the attempt that brought the first one.
		lastEvent    uint64
		firstAttempt string
		// dropAfter is the number of bytes of the response after which the caller drops the
		// connection, or 0.
		dropAfter int64
		// events is the number of events of a stream, or 0 for streamEvents.
		events int
		// key is the key of the request, or empty for that of a workspace that all documents have.
		key string
		// promptTokens is the size of the prompt, or 0 for 1500.
		promptTokens int
	}

	// event is an event of a stream, without the version of the software that sent it.
	event struct {
		text    string
		version string
	}

	// outcome is the result of one attempt as its caller saw it.
	outcome struct {
		id         string
		path       string
		host       int
		isKept     bool // whether the connection had served a request before
		status     int  // 0 without a response
		body       string
		retryAfter time.Duration
		err        error
		startedAt  time.Time
		sentAt     time.Time // when the last byte of the request was sent, or zero
		endedAt    time.Time
		deadline   time.Time
		// isHostKilled is set if the host was killed during the attempt.
		isHostKilled bool
	}
)

// errDropped means that the caller has dropped its connection.
var errDropped = errors.New("the caller dropped the connection")

func (e *environment) newRequest(path string) callerRequest {
	name := fmt.Sprintf("q-%06d", e.counter.Add(1))
	r := callerRequest{path: path, target: path + name + "?q=a%2fb", method: http.MethodPost, body: "body-" + name}
	if path == "/lookup/" {
		r.method, r.body = http.MethodGet, ""
	}
	return r
}

// call makes attempts at a request as the protocol allows: each one has an ID of its
// own, and each but the first a new connection, which reaches any host.
func (c *caller) call(path string) []outcome {
	request := c.environment.newRequest(path)
	deadline := time.Now().Add(callerTimeout)
	if c.host != c.home {
		c.close()
	}
	c.host = c.home
	var outcomes []outcome
	for {
		o := c.attempt(request, deadline)
		outcomes = append(outcomes, o)
		left := time.Until(deadline)
		if len(outcomes) == maxCallerAttempts || left < minCallerTime || !o.mayRetry(c.environment.workers) {
			return outcomes
		}
		c.close()
		c.host = c.random.IntN(hostCount)
		time.Sleep(min(max(o.retryAfter, 10*time.Millisecond), left/3))
	}
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.reader = nil, nil
}

// attempt sends a request once and checks that a successful response is complete and
// belongs to the request.
func (c *caller) attempt(r callerRequest, deadline time.Time) outcome {
	e := c.environment
	o := outcome{id: fmt.Sprintf("r-%06d", e.counter.Add(1)), path: r.path, host: c.host, isKept: c.conn != nil, startedAt: time.Now(), deadline: deadline}
	kills := e.kills[c.host].Load()
	o.body, o.err = c.exchange(r, &o)
	o.endedAt = time.Now()
	o.isHostKilled = kills%2 == 1 || e.kills[c.host].Load() != kills
	if o.err != nil {
		c.close()
		return o
	}
	if want := wantedBody(r); o.status == http.StatusOK && o.plainBody() != want {
		e.tb.Errorf("%v got a wrong response:\n%.200q\nwant\n%.200q", o, o.body, want)
	}
	return o
}

// exchange sends a request on the open connection, or on a new one, and reads its
// response.
func (c *caller) exchange(r callerRequest, o *outcome) (string, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.environment.hostPort(c.host, 18080), min(dialTimeout, time.Until(o.deadline)))
		if err != nil {
			return "", err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	request, err := c.encode(r, o)
	if err != nil {
		return "", err
	}
	if err := c.extend(o.deadline); err != nil {
		return "", err
	}
	if err := request.Write(c.conn); err != nil {
		return "", err
	}
	o.sentAt = time.Now()
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	o.status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		o.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	var reader io.Reader = gapReader{response.Body, c, o.deadline}
	if r.dropAfter > 0 {
		reader = io.MultiReader(io.LimitReader(reader, r.dropAfter), iotest.ErrReader(errDropped))
	}
	body, err := io.ReadAll(reader)
	if err != nil || response.Close {
		c.close() // before the body, which reads the rest when it is closed
	}
	return string(body), err
}

// extend sets the deadline of the connection anew.
func (c *caller) extend(deadline time.Time) error {
	if next := time.Now().Add(c.maxGap); c.maxGap > 0 && next.Before(deadline) {
		deadline = next
	}
	return c.conn.SetDeadline(deadline)
}

// Read implements io.Reader.
func (r gapReader) Read(p []byte) (int, error) {
	if err := r.caller.extend(r.deadline); err != nil {
		return 0, err
	}
	return r.Reader.Read(p)
}

func (r callerRequest) eventCount() uint64 {
	return uint64(cmp.Or(r.events, streamEvents))
}

func (c *caller) encode(r callerRequest, o *outcome) (*http.Request, error) {
	request, err := http.NewRequest(r.method, "http://h.example"+r.target, strings.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	if r.body != "" && c.random.IntN(2) == 0 {
		request.ContentLength = -1 // the body is sent in chunks
	}
	request.Header.Set("Request-Id", o.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(o.deadline).Milliseconds(), 10))
	if c.environment.hasWorkspaces {
		c.identify(request, r)
	}
	if r.firstAttempt != "" {
		request.Header.Set("Last-Event-Id", strconv.FormatUint(r.lastEvent, 10))
		request.Header.Set("Resumes", r.firstAttempt)
	}
	if isStream(r.path) {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", cmp.Or(r.promptTokens, 1500), r.eventCount()))
		if r.prompt != "" {
			request.Header.Set("Prompt-Prefix", r.prompt)
		}
	}
	return request, nil
}

// String names the attempt and what the caller saw of it.
func (o outcome) String() string {
	connection := "new"
	if o.isKept {
		connection = "kept"
	}
	return fmt.Sprintf("request %s %s at host %d on a %s connection (sent at %s, ended after %v with status %d, error %v)",
		o.id, o.path, o.host, connection, o.sentAt.Format("15:04:05.000"), o.endedAt.Sub(o.startedAt).Round(time.Millisecond), o.status, o.err)
}

// plainBody returns the body without the versions of the software that sent its events.
func (o outcome) plainBody() string {
	if !isStream(o.path) {
		return o.body
	}
	var plain strings.Builder
	for _, e := range o.events() {
		plain.WriteString(e.text)
	}
	return plain.String()
}

// events returns the complete events of a response. What follows them is an event too if
// the response is complete.
func (o outcome) events() []event {
	var events []event
	for text := range strings.SplitAfterSeq(o.body, "\n\n") {
		if text == "" || o.err != nil && !strings.HasSuffix(text, "\n\n") {
			continue
		}
		plain, version := worker.SplitVersion(text)
		events = append(events, event{text: plain, version: version})
	}
	return events
}

func (o outcome) isSent() bool {
	return !o.sentAt.IsZero()
}

// isPromise reports whether the status promises that the request has not run and never
// will.
func (o outcome) isPromise() bool {
	switch o.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isDeadlineReached reports whether the caller's deadline passed during the attempt.
func (o outcome) isDeadlineReached() bool {
	return errors.Is(o.err, os.ErrDeadlineExceeded) || !o.endedAt.Before(o.deadline.Add(-clockSlack))
}

// mayRetry reports whether the caller may make another attempt: after a promise, if the
// host can't have read the request, and on the safe route after any failure.
func (o outcome) mayRetry(workers *worker.Group) bool {
	switch {
	case o.err == nil && o.status < http.StatusMultipleChoices:
		return false
	case o.err == nil && o.path == "/lookup/":
		return o.status >= http.StatusInternalServerError || o.isPromise()
	case o.err == nil:
		return o.isPromise()
	default:
		return o.path == "/lookup/" || !o.wasRead(workers)
	}
}

// wasRead reports whether a host has read the request of an attempt that got no
// complete response: it has responded, has sent the request to a server, or closed the
// connection later than lossSlack.
func (o outcome) wasRead(workers *worker.Group) bool {
	return o.isSent() && (o.status != 0 || workers.Arrivals(o.id) > 0 || o.endedAt.Sub(o.sentAt) > lossSlack)
}

// breakCause returns why an attempt whose request was sent got no complete response:
// causeLost if the host has read the request and neither it nor a server crashed while
// the caller still waited.
func (o outcome) breakCause(workers *worker.Group) string {
	switch {
	case errors.Is(o.err, errDropped):
		return causeDropped
	case o.isHostKilled:
		return causeHostKilled
	case workers.IsBrokenOff(o.id):
		return "server crashed"
	case o.isDeadlineReached():
		return "deadline reached"
	case !o.wasRead(workers):
		return "request not read"
	}
	return causeLost
}

func isStream(path string) bool {
	return path == "/draft/" || path == "/check/"
}

// wantedBody returns the expected body of the response to a request.
func wantedBody(r callerRequest) string {
	if !isStream(r.path) {
		return worker.ResponseBody(r.method, r.target, r.body)
	}
	var complete strings.Builder
	for number := r.lastEvent + 1; number <= r.eventCount(); number++ {
		complete.WriteString(worker.Event(r.target, r.body, number))
	}
	return complete.String()
}
