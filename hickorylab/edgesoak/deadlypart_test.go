package edgesoak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// contactTime is the time after which hosts must act on the failures that a part has
	// caused, as the platform states it.
	contactTime = 3 * time.Second
	// knownCrashes is the number of failures after which the part must be known.
	knownCrashes = 5
	// maxFurtherArrivals is the number of requests with the part that may reach servers
	// contactTime after that many failures.
	maxFurtherArrivals = 3
	// sharedPart and deadlyPart are parts of prompts. Sound requests have the first.
	sharedPart = "5c1e07a2"
	deadlyPart = "91bd3f06"
)

// TestDeadlyPromptPart guards against a prompt part that crashes one server after the
// other, although no two requests with it are alike, and against the refusal of sound
// requests that share the other parts of these.
func TestDeadlyPromptPart(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// atOnce is the number of requests with the part that are sent at the same time.
		atOnce           int
		areHostsIsolated bool
		keepsIDs         bool
		// sharing is how long requests with the part share another one with all the
		// others, and with sound requests.
		sharing time.Duration
	}{
		{name: "one after the other", atOnce: 1, sharing: time.Hour},
		{name: "at once", atOnce: 8, sharing: time.Hour},
		{name: "hosts that can't reach each other", atOnce: 1, areHostsIsolated: true, sharing: time.Hour},
		{name: "at once at hosts that can't reach each other", atOnce: 8, areHostsIsolated: true, sharing: time.Hour},
		{name: "servers that start again under their IDs", atOnce: 1, keepsIDs: true, sharing: time.Hour},
		{name: "no other part is shared", atOnce: 4},
		{name: "other parts change", atOnce: 8, sharing: 2 * contactTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := startEnvironmentWith(t, environmentOptions{retrySlack: 500, decodeServers: 10, areHostsIsolated: tt.areHostsIsolated})
			p := &poisoning{environment: e, atOnce: tt.atOnce, sharing: tt.sharing, stop: make(chan struct{})}
			for i := range hostCount * callersPerHost {
				p.group.Go(func() { p.loopSound(i, rand.New(rand.NewPCG(1, uint64(i)))) })
			}
			time.Sleep(contactTime)
			e.workers.SetDeadlyPart(deadlyPart, tt.keepsIDs)
			started := time.Now()
			p.group.Go(func() { p.loopDeadly(rand.New(rand.NewPCG(2, 0))) })
			time.Sleep(4 * contactTime)
			close(p.stop)
			p.group.Wait()
			p.check(t, started)
		})
	}
}

// poisoning sends sound requests and such with a deadly part.
type poisoning struct {
	environment *environment
	atOnce      int
	sharing     time.Duration
	stop        chan struct{}
	group       sync.WaitGroup

	mu    sync.Mutex
	sound []outcome
}

// loopSound sends sound requests one after the other through a host.
func (p *poisoning) loopSound(i int, random *rand.Rand) {
	member := &caller{environment: p.environment, home: i % hostCount, host: i % hostCount, random: random}
	defer member.close()
	for !p.isStopped() {
		request := p.environment.newRequest("/draft/")
		request.prompt = fmt.Sprintf("%s:200,%08x:1300", sharedPart, random.Uint32())
		o := member.attempt(request, time.Now().Add(callerTimeout))
		p.mu.Lock()
		p.sound = append(p.sound, o)
		p.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// loopDeadly sends requests with the deadly part, of which no two are alike, to all hosts.
func (p *poisoning) loopDeadly(random *rand.Rand) {
	started := time.Now()
	for !p.isStopped() {
		for range p.atOnce {
			host, last, first := random.IntN(hostCount), random.Uint32(), sharedPart
			if time.Since(started) >= p.sharing {
				first = fmt.Sprintf("%08x", random.Uint32())
			}
			p.group.Go(func() {
				c := &caller{environment: p.environment, home: host, host: host, random: rand.New(rand.NewPCG(uint64(last), 0))}
				defer c.close()
				request := p.environment.newRequest("/draft/")
				request.prompt = fmt.Sprintf("%s:200,%s:100,%08x:1200", first, deadlyPart, last)
				c.attempt(request, time.Now().Add(callerTimeout))
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (p *poisoning) isStopped() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

// check requires that few requests with the part reach servers once it must be known, and
// that sound requests begin at their first attempt at least half as often as before.
func (p *poisoning) check(t *testing.T, started time.Time) {
	crashes, arrivals := p.environment.workers.DeadlyCrashes(), p.environment.workers.DeadlyArrivals()
	known := started
	if len(crashes) > 0 {
		known = crashes[min(len(crashes), knownCrashes)-1]
	}
	further := 0
	for _, arrival := range arrivals {
		if len(crashes) >= knownCrashes && arrival.After(known.Add(contactTime)) {
			further++
		}
	}
	before, after := p.soundShare(time.Time{}, started), p.soundShare(known.Add(2*contactTime), time.Now())
	t.Logf("%d servers failed, %d requests with the part reached servers, %d of them after it had to be known; of sound requests %.2f began before and %.2f while the part is known",
		len(crashes), len(arrivals), further, before, after)
	if further > maxFurtherArrivals {
		t.Errorf("%d requests with the part reached servers later than %v after failure %d, want at most %d", further, contactTime, knownCrashes, maxFurtherArrivals)
	}
	if after < before/2 {
		t.Errorf("sound requests began in %.2f of cases while the part is known, and in %.2f before", after, before)
	}
}

// soundShare returns the share of the sound requests sent from one time to another whose
// first attempt began to be answered.
func (p *poisoning) soundShare(from, to time.Time) float64 {
	sent, begun := 0, 0
	for _, o := range p.sound {
		if o.startedAt.Before(from) || o.startedAt.After(to) {
			continue
		}
		sent++
		if o.status == http.StatusOK && len(o.events()) > 0 {
			begun++
		}
	}
	if sent == 0 {
		return 0
	}
	return float64(begun) / float64(sent)
}
