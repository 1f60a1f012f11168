package edgesoak_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
	"github.com/hickoryfront/hickoryfront/hickorylab/worker"
)

// TestStoppingHostAnswersRequests guards against a host that stops and closes the connection of a
// request that waits, for a server or at one, without an answer. Requests are sent every 100 ms
// before and after the SIGTERM.
func TestStoppingHostAnswersRequests(t *testing.T) {
	t.Parallel()
	const patience = 14 * time.Second
	for _, grace := range []time.Duration{2 * time.Second, 8 * time.Second, 12 * time.Second} {
		t.Run(fmt.Sprint("grace ", grace), func(t *testing.T) {
			t.Parallel()
			e := startEnvironmentWith(t, environmentOptions{retrySlack: 500, decodeServers: 3, grace: grace, configuration: patientConfiguration})
			for _, s := range e.plainServers {
				s.Pause(time.Minute) // calls wait at a server
			}
			var group sync.WaitGroup
			terminated := time.AfterFunc(time.Second, func() {
				e.hosts[0].Terminate()
				e.hosts[0].Terminate()
			})
			defer terminated.Stop()
			for began := time.Now(); time.Since(began) < time.Second+grace; time.Sleep(100 * time.Millisecond) {
				for _, r := range waitingRequests(e) {
					group.Go(func() {
						c := &caller{environment: e, random: rand.New(rand.NewPCG(1, e.counter.Load()))}
						defer c.close()
						o := c.attempt(r, time.Now().Add(patience))
						isUnread := !o.isSent() || !o.wasRead(e.workers) && isClosed(o.err)
						if o.err != nil && !isUnread {
							t.Errorf("%v, sent %v after the first; log of its host:\n%s", o, o.sentAt.Sub(began).Round(time.Millisecond), e.hostLog(o))
						}
					})
				}
			}
			group.Wait()
		})
	}
}

// TestStoppingHostTakesNoLateStreams guards against a host that takes long streams late in its grace
// period and cuts them at its end. Each caller sends its stream on a connection that it opened before.
func TestStoppingHostTakesNoLateStreams(t *testing.T) {
	t.Parallel()
	const (
		grace    = 12 * time.Second
		patience = 14 * time.Second
		idleTime = 700 * time.Millisecond // of the connection
	)
	e := startEnvironmentWith(t, environmentOptions{retrySlack: 500, decodeServers: 4, grace: grace, configuration: patientConfiguration})
	stopAt := time.Now().Add(time.Second)
	terminated := time.AfterFunc(time.Until(stopAt), func() { e.hosts[0].Terminate() })
	defer terminated.Stop()
	var group sync.WaitGroup
	for time.Since(stopAt) < 6*time.Second {
		group.Go(func() {
			c := &caller{environment: e, random: rand.New(rand.NewPCG(1, e.counter.Load()))}
			defer c.close()
			var err error
			if c.conn, err = net.DialTimeout("tcp", e.hostPort(0, 18080), dialTimeout); err != nil {
				return // the host accepts no connections any more
			}
			c.reader = bufio.NewReader(c.conn)
			time.Sleep(idleTime)
			r := e.newRequest([]string{"/draft/", "/check/"}[c.random.IntN(2)])
			r.events, r.promptTokens = 900, 100
			o := c.attempt(r, time.Now().Add(patience))
			isExcused := o.sentAt.Before(stopAt.Add(admittedTime)) && o.endedAt.After(stopAt.Add(grace*5/6))
			isUnread := !o.isSent() || !o.wasRead(e.workers) && isClosed(o.err)
			if o.err != nil && !isExcused && !isUnread {
				t.Errorf("%v, sent %v after the SIGTERM; log of its host:\n%s", o, o.sentAt.Sub(stopAt).Round(time.Millisecond), e.hostLog(o))
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
}

// TestStopOfRelayingHosts guards against requests that get no answer because the host that serves them
// for another one stops, or because that other host stops.
func TestStopOfRelayingHosts(t *testing.T) {
	t.Parallel()
	e := startEnvironmentWith(t, environmentOptions{retrySlack: 500, decodeServers: 4, hostCount: 4, hasPaths: true, configuration: fleetConfiguration})
	f := &firstTries{environment: e, stop: make(chan struct{})}
	e.cut([]int{0}, cutproxy.Reset, func(*worker.Server) bool { return true })
	time.Sleep(settledTime)
	for i := range 24 {
		f.group.Go(func() { f.loop(i*e.hostCount, paths, rand.New(rand.NewPCG(5, uint64(i)))) }) // all at host 0
	}
	for _, i := range []int{1, 2, 3, 0} {
		time.Sleep(settledTime)
		e.hosts[i].Terminate()
		<-e.hosts[i].Exited()
		if i > 0 {
			e.hosts[i].Start()
			e.awaitReady(i)
		}
	}
	close(f.stop)
	f.group.Wait()
	served := 0
	for _, o := range f.outcomes {
		if o.err == nil && o.status == http.StatusOK {
			served++
		}
		if o.err != nil && o.breakCause(e.workers) == causeLost {
			t.Errorf("%v; logs:\n%s", o, e.logsOf(o.id))
		}
	}
	if served*2 < len(f.outcomes) {
		t.Errorf("%d of %d requests were served, want at least half", served, len(f.outcomes))
	}
}

// waitingRequests returns requests that no server ever answers: calls at silent servers, a first
// attempt at a stream that no server has room for, and such a stream that is taken up again.
func waitingRequests(e *environment) []callerRequest {
	lookup, hold, first, resumed := e.newRequest("/lookup/"), e.newRequest("/hold/"), e.newRequest("/draft/"), e.newRequest("/draft/")
	first.promptTokens = worker.MemoryTokens + 1
	resumed.promptTokens, resumed.firstAttempt, resumed.lastEvent = worker.MemoryTokens+1, "earlier", 1
	return []callerRequest{lookup, hold, first, resumed}
}

// patientConfiguration is configuration with long timeouts.
func patientConfiguration(version int, shop string) map[string]any {
	document := configuration(version, shop)
	for _, r := range document["routes"].([]any) {
		route := r.(map[string]any)
		route["timeout-ms"], route["target-latency-ms"] = 14_000, 2000
	}
	return document
}

// isClosed reports whether the other side has closed the connection.
func isClosed(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.As(err, &netErr) && !errors.Is(err, os.ErrDeadlineExceeded)
}
