package faults_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/core/slot"
	wire "github.com/hickoryfront/hickoryfront/hickoryd/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
	"github.com/hickoryfront/hickoryfront/hickorylab/platform"
)

const (
	patientProfile = "[admission]\nmaxWait = 60s\n[retry]\nratio = 1\n"
	// endlessTokens is an answer that outlasts every test.
	endlessTokens = 4096
	shortTokens   = 60
	longPrompt    = 600
)

type (
	// stream is one caller's streamed completion.
	stream struct {
		prompt string
		tokens int
		reply  harness.Reply
		begun  chan struct{} // closed at the third token
		last   time.Time     // arrival of the newest token
		worst  time.Duration // between tokens
	}

	// streams are the callers of one test.
	streams struct {
		cluster *harness.Cluster
		group   sync.WaitGroup
		all     []*stream
	}
)

// start sends one completion through a host.
func (s *streams) start(ctx context.Context, host *harness.Process, name string, promptTokens, tokens int) *stream {
	one := &stream{prompt: harness.Prompt(name, promptTokens), tokens: tokens, begun: make(chan struct{})}
	s.all = append(s.all, one)
	s.group.Go(func() {
		one.reply = s.cluster.Complete(ctx, host, harness.Completion{
			Prompt: one.prompt, MaxTokens: one.tokens, Stream: true, OnToken: func(number int) {
				one.arrived(number)
			},
		})
	})
	return one
}

func (s *stream) arrived(number int) {
	now := time.Now()
	if number > 0 {
		s.worst = max(s.worst, now.Sub(s.last))
	}
	s.last = now
	if number == 2 {
		close(s.begun)
	}
}

// logWorstGaps reports the longest pause that any caller saw.
func (s *streams) logWorstGaps(t *testing.T) {
	t.Helper()
	var worst time.Duration
	for _, one := range s.all {
		worst = max(worst, one.worst)
	}
	t.Logf("worst pause between tokens over %d callers: %v", len(s.all), worst)
}

// awaitBegun waits until every stream has its third token.
func (s *streams) awaitBegun() {
	for _, one := range s.all {
		s.cluster.Await("the third token", func() bool {
			select {
			case <-one.begun:
				return true
			default:
				return false
			}
		})
	}
}

// checkWhole waits for all answers and compares them with what the prompts
// must give.
func (s *streams) checkWhole(t *testing.T) {
	t.Helper()
	s.group.Wait()
	for i, one := range s.all {
		want := engine.ResponseText(one.prompt, one.tokens)
		if one.reply.Text != want || !one.reply.Whole {
			t.Errorf("stream %d: status %d code %q %s err %v whole %v, %d of %d bytes of text", i, one.reply.Status, one.reply.Code,
				one.reply.Body, one.reply.Err, one.reply.Whole, len(one.reply.Text), len(want))
		}
	}
}

// decodes returns the log entries of one kind over all decode engines that
// belong to a host's attempts.
func decodes(c *harness.Cluster, kind, host string) map[string]engine.Run {
	found := map[string]engine.Run{}
	for id, process := range c.Engines {
		if !strings.HasPrefix(id, "decode") {
			continue
		}
		for _, run := range process.Runs() {
			attempt, ours := slot.ParseRequestID(run.RequestID)
			if run.Kind == kind && ours && (host == "" || attempt.Holder.Host == host) {
				found[run.RequestID] = run
			}
		}
	}
	return found
}

// awaitCancelled waits until all decodes of a host were cancelled, and reports
// how long the dead held their slots.
func awaitCancelled(t *testing.T, c *harness.Cluster, host string, since time.Time) {
	t.Helper()
	c.Await("cancels of "+host, func() bool {
		return len(decodes(c, engine.KindCancelled, host)) == len(decodes(c, engine.KindDecode, host))
	})
	if ended := decodes(c, engine.KindEnd, host); len(ended) > 0 {
		t.Errorf("%d decodes of %s ran to their end", len(ended), host)
	}
	var worst, sum time.Duration
	cancelled := decodes(c, engine.KindCancelled, host)
	for _, run := range cancelled {
		held := run.At.Sub(since)
		worst = max(worst, held)
		sum += held
	}
	t.Logf("slots held by %d dead requests of %s: worst %v, mean %v", len(cancelled), host, worst, sum/time.Duration(max(1, len(cancelled))))
}

// awaitIdle waits until no decode engine that runs holds anything.
func awaitIdle(c *harness.Cluster) {
	c.Await("idle engines", func() bool {
		left := len(decodes(c, engine.KindDecode, ""))
		return left == len(decodes(c, engine.KindCancelled, ""))+len(decodes(c, engine.KindEnd, ""))
	})
}

// busiest returns the engine of a role that ran most.
func busiest(c *harness.Cluster, role string) *harness.Process {
	var found *harness.Process
	most := -1
	for id, process := range c.Engines {
		if runs := len(process.Runs()); strings.HasPrefix(id, role) && runs > most {
			found, most = process, runs
		}
	}
	return found
}

// startScript runs a request of the old scripts at an engine and returns a
// function that tells whether it still runs.
func startScript(t *testing.T, c *harness.Cluster, process *harness.Process) func() bool {
	t.Helper()
	body, err := json.Marshal(wire.DecodeRequest{RequestID: "script-1", Model: harness.Model, Prompt: "script", MaxTokens: 100_000})
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+process.Address+wire.PathDecode, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return func() bool {
		for _, run := range process.Runs() {
			if run.RequestID == "script-1" && run.Kind != engine.KindDecode {
				return false
			}
		}
		return true
	}
}

// A daemon dies with its streams; so does the home of some of their servers.
// The others find and end what it ran, and touch nothing else.
//
// proof: daemon killed | stream | 1
// proof: daemon killed | stream | 3
// proof: platform down + daemon killed | stream | 1
// proof: platform down + daemon killed | stream | 3
func TestDaemonsKilledInMidStream(t *testing.T) {
	for name, faults := range map[string]platform.Faults{"platform up": {}, "platform down": {Down: true}} {
		t.Run(name, func(t *testing.T) { killDaemonsInMidStream(t, faults) })
	}
}

func killDaemonsInMidStream(t *testing.T, faults platform.Faults) {
	c := harness.Start(t, binaries, harness.Options{Hosts: 5, Decode: 3, Profile: patientProfile})
	scriptRuns := startScript(t, c, c.Engines["decode-1"])
	doomed := streams{cluster: c}
	for i := range 8 {
		doomed.start(t.Context(), c.Hosts[i%2], fmt.Sprint("doomed ", i), longPrompt, endlessTokens)
	}
	others := streams{cluster: c}
	for i := range 6 {
		others.start(t.Context(), c.Hosts[2+i%3], fmt.Sprint("other ", i), longPrompt, 400)
	}
	doomed.awaitBegun()
	others.awaitBegun()
	c.Platform.SetFaults(faults)
	killed := time.Now()
	c.Hosts[0].Kill()
	c.Hosts[1].Kill()
	awaitCancelled(t, c, "host-1", killed)
	awaitCancelled(t, c, "host-2", killed)
	others.checkWhole(t)
	for _, host := range []string{"host-3", "host-4", "host-5"} {
		if cancelled := decodes(c, engine.KindCancelled, host); len(cancelled) > 0 {
			t.Errorf("%d live decodes of %s were cancelled", len(cancelled), host)
		}
	}
	if !scriptRuns() {
		t.Error("the request of the old scripts was ended")
	}
}

// A daemon is paused until the others have taken its slots, and goes on: its
// callers get their whole answers without a doubled token, and it ends nothing
// of the others.
//
// proof: daemon paused | stream | 1
// proof: daemon paused | stream | 2
// proof: daemon paused | stream | 3
func TestDaemonPausedInMidStream(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Hosts: 4, Decode: 3, Profile: patientProfile})
	paused := streams{cluster: c}
	for i := range 6 {
		paused.start(t.Context(), c.Hosts[0], fmt.Sprint("paused ", i), longPrompt, 1000)
	}
	others := streams{cluster: c}
	for i := range 6 {
		others.start(t.Context(), c.Hosts[1+i%3], fmt.Sprint("other ", i), longPrompt, 900)
	}
	paused.awaitBegun()
	others.awaitBegun()
	since := time.Now()
	c.Hosts[0].Pause()
	awaitCancelled(t, c, "host-1", since)
	c.Hosts[0].Resume()
	others.checkWhole(t)
	paused.checkWhole(t)
	for _, host := range []string{"host-2", "host-3", "host-4"} {
		if cancelled := decodes(c, engine.KindCancelled, host); len(cancelled) > 0 {
			t.Errorf("%d live decodes of %s were cancelled", len(cancelled), host)
		}
	}
	awaitIdle(c)
}

// A backend server dies, freezes or loses its connections in mid-stream: every
// caller still gets its whole answer.
//
// proof: backend server killed | stream | 3
// proof: backend server killed | prefill | 3
// proof: silent connection | stream | 3
// proof: silent connection | prefill | 3
// proof: transfer stalled | transfer | 3
func TestBackendServerFails(t *testing.T) {
	tests := map[string]struct {
		role   string
		strike func(p *harness.Process)
	}{
		"decode engine killed":  {"decode", (*harness.Process).Kill},
		"prefill engine killed": {"prefill", (*harness.Process).Kill},
		"decode engine frozen":  {"decode", (*harness.Process).Pause},
		"prefill engine frozen": {"prefill", (*harness.Process).Pause},
		"silent streams":        {"decode", func(p *harness.Process) { p.Switch(engine.Switches{Silent: true}) }},
		"transfers stall":       {"prefill", func(p *harness.Process) { p.Switch(engine.Switches{StallExports: true}) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := harness.Start(t, binaries, harness.Options{Decode: 3, Profile: patientProfile})
			all := streams{cluster: c}
			for i := range 12 {
				all.start(t.Context(), c.Hosts[i%3], fmt.Sprint("before ", i), longPrompt, 200)
			}
			all.awaitBegun()
			victim := busiest(c, test.role)
			test.strike(victim)
			for i := range 12 {
				all.start(t.Context(), c.Hosts[i%3], fmt.Sprint("after ", i), longPrompt, shortTokens)
			}
			all.checkWhole(t)
			all.logWorstGaps(t)
			victim.Resume()
			select {
			case <-victim.Exited():
				delete(c.Engines, victim.Name)
			default:
			}
			awaitIdle(c)
		})
	}
}

// Callers leave at random moments, of all steps of a request.
//
// proof: caller cancels | reserve | 1
// proof: caller cancels | prefill | 1
// proof: caller cancels | transfer | 1
// proof: caller cancels | first token | 1
// proof: caller cancels | stream | 1
func TestCallersLeaveAtAnyMoment(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Profile: patientProfile, EngineFlags: []string{"--slots", "4", "--prefillRate", "40000"}})
	random := rand.New(rand.NewPCG(1, 1))
	all := streams{cluster: c}
	for i := range 60 {
		ctx, leave := context.WithTimeout(t.Context(), time.Duration(random.IntN(400))*time.Millisecond)
		defer leave()
		all.start(ctx, c.Hosts[i%3], fmt.Sprint("leaving ", i), longPrompt, endlessTokens)
	}
	all.group.Wait()
	awaitIdle(c)
	if ended := decodes(c, engine.KindEnd, ""); len(ended) > 0 {
		t.Errorf("%d decodes of callers that had left ran to their end", len(ended))
	}
	one := streams{cluster: c}
	for i := range 8 {
		one.start(t.Context(), c.Hosts[i%3], fmt.Sprint("staying ", i), longPrompt, shortTokens)
	}
	one.checkWhole(t)
}

// Callers leave in mid-stream, all at once, while one engine is frozen: it is
// told until it has confirmed.
//
// proof: caller cancels + silent connection | stream | 1
// proof: caller cancels + silent connection | cancel | 1
func TestCallersLeaveAFrozenEngine(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Profile: patientProfile})
	all := streams{cluster: c}
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	for i := range 12 {
		all.start(ctx, c.Hosts[i%3], fmt.Sprint("leaving ", i), longPrompt, endlessTokens)
	}
	all.awaitBegun()
	frozenEngine := busiest(c, "decode")
	frozenEngine.Pause()
	left := time.Now()
	leave()
	all.group.Wait()
	const frozen = 2 * time.Second
	time.Sleep(frozen)
	frozenEngine.Resume()
	awaitIdle(c)
	for _, id := range []string{"decode-1", "decode-2"} {
		var worst, sum time.Duration
		count := 0
		for _, run := range c.Engines[id].Runs() {
			if run.Kind == engine.KindEnd {
				t.Errorf("%s ran a decode of a caller that had left to its end", id)
			}
			if run.Kind == engine.KindCancelled {
				held := run.At.Sub(left)
				worst = max(worst, held)
				sum += held
				count++
			}
		}
		t.Logf("%s held %d slots for callers that had left: worst %v, mean %v", id, count, worst, sum/time.Duration(max(1, count)))
	}
}

// One request crashes every engine that runs it and is sent five times through
// different hosts, with others beside it.
//
// proof: crashing request | prefill | 3
// proof: crashing request | stream | 3
// proof: crashing request | accept | 4
func TestCrashingRequestCostsTwoEngines(t *testing.T) {
	for name, promptTokens := range map[string]int{"at decode": 10, "at prefill": longPrompt} {
		t.Run(name, func(t *testing.T) {
			c := harness.Start(t, binaries, harness.Options{Prefill: 4, Decode: 5, Profile: patientProfile})
			innocents := streams{cluster: c}
			for i := range 15 {
				innocents.start(t.Context(), c.Hosts[i%3], fmt.Sprint("innocent ", i), longPrompt, 100)
			}
			innocents.awaitBegun()
			prompt := harness.Prompt(engine.CrashMarker, promptTokens)
			for i := range 5 {
				reply := c.Complete(t.Context(), c.Hosts[i%3], harness.Completion{Prompt: prompt, MaxTokens: 5})
				wantRan := "no"
				if i == 0 {
					wantRan = "unknown"
				}
				if reply.Status != http.StatusUnprocessableEntity || reply.Code != "crashesServers" || reply.Ran != wantRan {
					t.Errorf("send %d: status %d, code %q, ran %q, want ran %q", i, reply.Status, reply.Code, reply.Ran, wantRan)
				}
			}
			innocents.checkWhole(t)
			lost := 0
			for _, process := range c.Engines {
				select {
				case <-process.Exited():
					lost++
				default:
				}
			}
			if lost > 2 {
				t.Errorf("%d engines lost, want at most 2", lost)
			}
		})
	}
}

// An engine says that it leaves while the platform is down and its list still
// says live.
//
// proof: backend server leaving | reserve | 6
// proof: backend server leaving + platform down | reserve | 6
func TestLeavingEngineGetsNothingNew(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Profile: patientProfile})
	c.Platform.SetFaults(platform.Faults{Down: true})
	c.Engines["decode-1"].Switch(engine.Switches{Leaving: true})
	c.Engines["prefill-1"].Switch(engine.Switches{Leaving: true})
	since := time.Now()
	all := streams{cluster: c}
	for i := 0; time.Since(since) < 5*time.Second; i++ {
		all.start(t.Context(), c.Hosts[i%3], fmt.Sprint("caller ", i), longPrompt, 20)
		time.Sleep(50 * time.Millisecond)
	}
	all.checkWhole(t)
	const limit = 3 * time.Second
	var last time.Duration
	for _, id := range []string{"decode-1", "prefill-1"} {
		for _, run := range c.Engines[id].Runs() {
			if run.Kind == engine.KindRefused {
				last = max(last, run.At.Sub(since))
			}
			if run.Kind != engine.KindEnd && run.At.Sub(since) > limit {
				t.Errorf("%s got %s %v after it began to leave", id, run.Kind, run.At.Sub(since))
			}
		}
	}
	t.Logf("last request to a leaving engine after %v", last)
}

// All hosts are replaced one after the other under load.
//
// proof: none | drain | 7
// proof: none | drain | 3
func TestRollingReplacement(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Profile: patientProfile})
	inFlight := streams{cluster: c}
	old := append([]*harness.Process(nil), c.Hosts...)
	for number, host := range old {
		fresh := c.AddHost(fmt.Sprint("fresh-", number))
		for i := range 6 {
			inFlight.start(t.Context(), host, fmt.Sprintf("old %d %d", number, i), longPrompt, 300)
			inFlight.start(t.Context(), fresh, fmt.Sprintf("fresh %d %d", number, i), longPrompt, 300)
		}
		inFlight.awaitBegun()
		host.Terminate()
		c.Await("end of "+host.Name, func() bool {
			select {
			case <-host.Exited():
				return true
			default:
				return false
			}
		})
		if log := host.Log(); strings.Contains(log, "cut off") {
			t.Errorf("%s cut requests off", host.Name)
		}
	}
	inFlight.checkWhole(t)
	if cancelled := decodes(c, engine.KindCancelled, ""); len(cancelled) > 0 {
		t.Errorf("%d decodes were cancelled", len(cancelled))
	}
}

// A second signal ends a daemon at once, and its log says what it cut.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Profile: patientProfile})
	cut := streams{cluster: c}
	cut.start(t.Context(), c.Hosts[0], "cut", longPrompt, endlessTokens)
	cut.awaitBegun()
	c.Hosts[0].Terminate()
	c.Await("draining", func() bool { return strings.Contains(c.Hosts[0].Log(), "draining") })
	c.Hosts[0].Terminate()
	c.Await("end of the daemon", func() bool {
		select {
		case <-c.Hosts[0].Exited():
			return true
		default:
			return false
		}
	})
	cut.group.Wait()
	if cut.all[0].reply.Whole || !strings.Contains(c.Hosts[0].Log(), "requests cut off") {
		t.Errorf("whole answer: %v; the log must say what was cut", cut.all[0].reply.Whole)
	}
	awaitIdle(c)
}

// A daemon is cut off from all others while it serves. The others end its
// requests, as they must take it for dead, and it ends none of theirs.
//
// proof: daemons cut off | stream | 1
// proof: daemons cut off | stream | 2
func TestDaemonCutOffInMidStream(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Hosts: 4, Decode: 3, Profile: patientProfile, Cuttable: true})
	cut := streams{cluster: c}
	for i := range 4 {
		cut.start(t.Context(), c.Hosts[0], fmt.Sprint("cut ", i), longPrompt, 700)
	}
	others := streams{cluster: c}
	for i := range 6 {
		others.start(t.Context(), c.Hosts[1+i%3], fmt.Sprint("other ", i), longPrompt, 900)
	}
	cut.awaitBegun()
	others.awaitBegun()
	for _, host := range c.Hosts[1:] {
		c.Cut(c.Hosts[0], host, cutproxy.Silence)
	}
	others.checkWhole(t)
	cut.group.Wait()
	whole := 0
	for _, one := range cut.all {
		want := engine.ResponseText(one.prompt, one.tokens)
		if one.reply.Whole {
			whole++
		}
		if !strings.HasPrefix(want, one.reply.Text) || one.reply.Whole && one.reply.Text != want {
			t.Errorf("the cut host's caller got what is not its answer: %d bytes of %d", len(one.reply.Text), len(want))
		}
	}
	t.Logf("%d of %d answers of the cut host are whole", whole, len(cut.all))
	for _, host := range []string{"host-2", "host-3", "host-4"} {
		if cancelled := decodes(c, engine.KindCancelled, host); len(cancelled) > 0 {
			t.Errorf("%d live decodes of %s were cancelled", len(cancelled), host)
		}
	}
	for _, host := range c.Hosts[1:] {
		c.Cut(c.Hosts[0], host, cutproxy.Pass)
	}
	awaitIdle(c)
}

// An engine that left and was started again under its name takes work again.
//
// proof: backend server leaving + backend server killed | reserve | 3
func TestRestartedEngineTakesWorkAgain(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Decode: 1, Prefill: 1, Profile: patientProfile})
	before := streams{cluster: c}
	before.start(t.Context(), c.Hosts[0], "before", longPrompt, shortTokens)
	before.checkWhole(t)
	refuses := func(host *harness.Process) bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return c.Complete(ctx, host, harness.Completion{Prompt: harness.Prompt("probe", longPrompt), MaxTokens: 1}).Status != http.StatusOK
	}
	for _, engineProcess := range c.Engines {
		engineProcess.Switch(engine.Switches{Leaving: true})
	}
	for _, host := range c.Hosts {
		c.Await(host.Name+" to see that the engines leave", func() bool { return refuses(host) })
	}
	for _, engineProcess := range c.Engines {
		engineProcess.Kill()
		engineProcess.Start()
	}
	after := streams{cluster: c}
	for i, host := range c.Hosts {
		after.start(t.Context(), host, fmt.Sprint("after ", i), longPrompt, shortTokens)
	}
	after.checkWhole(t)
}
