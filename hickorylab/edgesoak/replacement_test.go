package edgesoak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/worker"
)

const (
	// newVersion is the version of the software that replaces worker.DefaultVersion.
	newVersion = "v2"
	// extraDecodeServers are the decode servers beside the usual ones, so that two of a
	// version often serve while a third one crashes.
	extraDecodeServers = 2
	// drainTime is the time after the start of its drain in which a server still serves.
	drainTime = 2200 * time.Millisecond
	// maxStreamAttempts is the number of attempts that a caller makes at a stream.
	maxStreamAttempts = 8
	// knownTime is the time after the start of a server in which all hosts know it.
	knownTime = 2 * time.Second
	// enoughServers is the number of servers of a stream's version with which at least
	// half of the streams must go on that are taken up again.
	enoughServers = 2
	// maxDropAfter is the maximum number of bytes after which a caller drops its
	// connection. It is less than those of a stream.
	maxDropAfter = 1000
)

type (
	// replacement replaces the model servers by ones with another version of their
	// software while callers read streams.
	replacement struct {
		*callers
		ending sync.WaitGroup
		// restartPause is the least pause of a caller between two attempts.
		restartPause time.Duration

		mu      sync.Mutex
		servers []*worker.Server // all that were started
		streams []stream
	}

	// stream is one stream with all attempts of its caller.
	stream struct {
		request    callerRequest
		attempts   []outcome
		events     []event
		isComplete bool
		// couldGoOn is set if enough servers of the stream's version served during an
		// attempt that took it up again, and wentOn if such an attempt brought an event of
		// that version.
		couldGoOn, wentOn bool
	}
)

// TestRollingReplacement guards against streams that lose, repeat or exchange events or
// join those of two versions of a server's software, against streams that do not go on
// although servers of their version serve, and against requests that run twice or are
// lost, while servers with a new version of their software replace the others one by one,
// servers crash, and callers take broken streams up again. Seeds are set as for TestSoak.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	for seed := range numberFromEnvironment(seedsVariable, 1) {
		seed += numberFromEnvironment(firstVariable, 1)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			replaceServers(t, uint64(seed))
		})
	}
}

func replaceServers(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	e := startEnvironment(t, retrySlacks[0])
	for i := range extraDecodeServers {
		e.modelServers = append(e.modelServers, e.startServer("model", "decode", 35+i))
	}
	r := &replacement{callers: &callers{environment: e, stop: make(chan struct{})}, servers: e.modelServers}
	for i := range hostCount * callersPerHost {
		r.group.Go(func() { r.loop(i, rand.New(rand.NewPCG(seed, uint64(i)+2))) })
	}
	e.modelServers = r.replaceAll(random)
	close(r.stop)
	r.group.Wait()
	r.callers.check(t)
	r.check(t)
	e.checkRecovery()
}

// replaceAll replaces the servers one by one and returns those that replace them. A
// server drains once its successor has started, and then ends. Beside it servers crash
// and restart.
func (r *replacement) replaceAll(random *rand.Rand) []*worker.Server {
	e := r.environment
	current := append([]*worker.Server(nil), r.servers...)
	for step, i := range random.Perm(len(current)) {
		old := current[i]
		successor, err := e.workers.StartVersion("model", old.Stage(), e.address(40+step, 19000), newVersion)
		if err != nil {
			e.tb.Fatal(err)
		}
		e.tb.Cleanup(successor.Crash)
		r.mu.Lock()
		r.servers = append(r.servers, successor)
		r.mu.Unlock()
		current[i] = successor
		sleep(random, 300, 800)
		old.Drain()
		r.ending.Go(func() {
			time.Sleep(drainTime)
			old.Crash()
		})
		if random.IntN(3) > 0 {
			victim := current[random.IntN(len(current))]
			e.tb.Logf("server %d of %d drains, a server of %s crashes", step+1, len(current), victim.Version())
			victim.Crash()
			sleep(random, 200, 600)
			e.mustRestart(victim.Restart)
		}
	}
	r.ending.Wait()
	return current
}

// sleep waits between from and to milliseconds.
func sleep(random *rand.Rand, from, to int) {
	time.Sleep(time.Duration(from+random.IntN(to-from)) * time.Millisecond)
}

func (r *replacement) loop(i int, random *rand.Rand) {
	member := &caller{environment: r.environment, home: i % hostCount, host: i % hostCount, random: random}
	defer member.close()
	for {
		select {
		case <-r.stop:
			return
		default:
		}
		path := "/draft/"
		if random.IntN(3) == 0 {
			path = "/check/"
		}
		s := r.stream(member, path)
		r.mu.Lock()
		r.streams = append(r.streams, s)
		r.outcomes = append(r.outcomes, s.attempts...)
		r.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// stream makes attempts at a stream until it is complete or the deadline has passed. A
// resumable stream is taken up again after a break, at another host and from the last
// event that the caller has. Some callers drop their first connection.
func (r *replacement) stream(c *caller, path string) stream {
	s := stream{request: c.environment.newRequest(path)}
	deadline := time.Now().Add(callerTimeout)
	if path == "/draft/" && c.random.IntN(3) == 0 {
		s.request.dropAfter = 1 + c.random.Int64N(maxDropAfter)
	}
	if c.host != c.home {
		c.close()
	}
	c.host = c.home
	for {
		serving := r.servingVersion(s.version())
		o := c.attempt(s.request, deadline)
		s.add(o, countServing(serving) >= enoughServers)
		left := time.Until(deadline)
		if s.isComplete || len(s.attempts) == maxStreamAttempts || left < minCallerTime || !s.mayRetry(o, c.environment.workers) {
			return s
		}
		c.close()
		c.host = (c.host + 1 + c.random.IntN(hostCount-1)) % hostCount
		s.request.dropAfter = 0
		time.Sleep(min(max(o.retryAfter, 10*time.Millisecond, r.restartPause), left/3))
	}
}

// version returns the version of the software that sent the first event, or "".
func (s *stream) version() string {
	if len(s.events) == 0 {
		return ""
	}
	return s.events[0].version
}

// servingVersion returns the decode servers of a version of the software that all hosts
// know.
func (r *replacement) servingVersion(version string) []*worker.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var serving []*worker.Server
	for _, s := range r.servers {
		if s.Version() == version && s.Stage() == "decode" && s.Uptime(time.Now()) >= knownTime {
			serving = append(serving, s)
		}
	}
	return serving
}

// countServing returns the number of servers that still serve without a restart.
func countServing(servers []*worker.Server) int {
	count := 0
	for _, s := range servers {
		if s.Uptime(time.Now()) >= knownTime {
			count++
		}
	}
	return count
}

// add appends the events of an attempt. isServable is set if enough servers of the
// stream's version served during it.
func (s *stream) add(o outcome, isServable bool) {
	s.attempts = append(s.attempts, o)
	if s.request.firstAttempt != "" && isServable {
		s.couldGoOn = true
		s.wentOn = s.wentOn || o.status == http.StatusOK && slices.ContainsFunc(o.events(), func(e event) bool { return e.version == s.version() })
	}
	if o.status != http.StatusOK {
		return
	}
	s.isComplete = o.err == nil
	events := o.events()
	if len(s.events) == 0 && len(events) > 0 {
		s.request.firstAttempt = o.id
	}
	s.events = append(s.events, events...)
	s.request.lastEvent = uint64(len(s.events))
}

// mayRetry reports whether the caller may make another attempt. A resumable stream may be
// repeated after any failure of a host or a connection.
func (s *stream) mayRetry(last outcome, workers *worker.Group) bool {
	if s.request.path == "/draft/" {
		return last.err != nil || last.isPromise() || last.status >= http.StatusInternalServerError
	}
	return last.mayRetry(workers)
}

// check requires that each stream has the events from the first one on, each once and all
// of one version, and that enough streams go on.
func (r *replacement) check(t *testing.T) {
	complete, joined, couldGoOn, wentOn := 0, 0, 0, 0
	for _, s := range r.streams {
		for i, e := range s.events {
			if want := worker.Event(s.request.target, s.request.body, uint64(i)+1); e.text != want {
				t.Errorf("stream %s has event %q in place of %q; its attempts: %v", s.request.target, e.text, want, s.attempts)
				break
			}
		}
		if i := slices.IndexFunc(s.events, func(e event) bool { return e.version != s.version() }); i >= 0 {
			joined++
			t.Errorf("stream %s went on with %s at event %d of %s; its attempts:%s", s.request.target, s.events[i].version, i+1, s.version(), r.describe(s))
		}
		if s.isComplete {
			complete++
		}
		if s.couldGoOn {
			couldGoOn++
		}
		if s.wentOn {
			wentOn++
		}
	}
	t.Logf("%d of %d streams were complete, %d joined two versions; of %d that were taken up while %d servers of their version served, %d went on",
		complete, len(r.streams), joined, couldGoOn, enoughServers, wentOn)
	if wentOn*2 < couldGoOn {
		t.Errorf("only %d of %d streams went on that were taken up while %d servers of their version served", wentOn, couldGoOn, enoughServers)
	}
}

// describe returns the attempts at a stream, each with its versions.
func (r *replacement) describe(s stream) string {
	var text strings.Builder
	for _, o := range s.attempts {
		var versions []string
		for _, e := range o.events() {
			versions = append(versions, e.version)
		}
		fmt.Fprintf(&text, "\n%v: %d events of %v", o, len(versions), slices.Compact(versions))
	}
	return text.String()
}
