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
	"github.com/hickoryfront/hickoryfront/hickorylab/consul"
	"github.com/hickoryfront/hickoryfront/hickorylab/cutproxy"
	"github.com/hickoryfront/hickoryfront/hickorylab/engine"
	"github.com/hickoryfront/hickoryfront/hickorylab/harness"
)

const (
	longWaitProfile = "[admission]\nmaxWait = 60s\n[retry]\nratio = 1\n"
	// endlessTokens make a response that outlasts every test.
	endlessTokens    = 4096
	shortTokens      = 60
	longPromptTokens = 600
)

type (
	// stream is one caller's streamed completion.
	stream struct {
		prompt    string
		tokens    int
		reply     harness.Reply
		started   chan struct{} // closed at the third token
		lastToken time.Time     // arrival of the latest token
		maxGap    time.Duration // between tokens
	}

	// streams are the streams of one test.
	streams struct {
		cluster *harness.Cluster
		group   sync.WaitGroup
		all     []*stream
	}
)

// start sends one completion through a host.
func (s *streams) start(ctx context.Context, host *harness.Process, name string, promptTokens, tokens int) *stream {
	caller := &stream{prompt: harness.Prompt(name, promptTokens), tokens: tokens, started: make(chan struct{})}
	s.all = append(s.all, caller)
	s.group.Go(func() {
		caller.reply = s.cluster.Complete(ctx, host, harness.Completion{
			Prompt: caller.prompt, MaxTokens: caller.tokens, Stream: true, OnToken: func(number int) {
				caller.recordToken(number)
			},
		})
	})
	return caller
}

func (s *stream) recordToken(number int) {
	now := time.Now()
	if number > 0 {
		s.maxGap = max(s.maxGap, now.Sub(s.lastToken))
	}
	s.lastToken = now
	if number == 2 {
		close(s.started)
	}
}

// logMaxGap logs the longest gap between tokens over all streams.
func (s *streams) logMaxGap(t *testing.T) {
	t.Helper()
	var maxGap time.Duration
	for _, caller := range s.all {
		maxGap = max(maxGap, caller.maxGap)
	}
	t.Logf("longest gap between tokens over %d streams: %v", len(s.all), maxGap)
}

// awaitStarted waits until every stream has its third token.
func (s *streams) awaitStarted() {
	for _, caller := range s.all {
		s.cluster.Await("the third token", func() bool {
			select {
			case <-caller.started:
				return true
			default:
				return false
			}
		})
	}
}

// checkComplete waits for the end of all streams and compares their text with the
// expected one of the prompts.
func (s *streams) checkComplete(t *testing.T) {
	t.Helper()
	s.group.Wait()
	for i, caller := range s.all {
		want := engine.ResponseText(caller.prompt, caller.tokens)
		if caller.reply.Text != want || !caller.reply.IsComplete {
			t.Errorf("stream %d: status %d code %q %s err %v complete %v, %d of %d bytes of text", i, caller.reply.Status, caller.reply.Code,
				caller.reply.Body, caller.reply.Err, caller.reply.IsComplete, len(caller.reply.Text), len(want))
		}
	}
}

// decodes returns the run log entries of one kind of all decode engines that belong
// to a host's attempts, or to those of any host if host is empty, by request ID.
func decodes(c *harness.Cluster, kind, host string) map[string]engine.Run {
	found := map[string]engine.Run{}
	for id, process := range c.Engines {
		if !strings.HasPrefix(id, "decode") {
			continue
		}
		for _, run := range process.Runs() {
			attempt, isAttempt := slot.ParseAttemptID(run.RequestID)
			if run.Kind == kind && isAttempt && (host == "" || attempt.Holder.Host == host) {
				found[run.RequestID] = run
			}
		}
	}
	return found
}

// awaitCancelled waits until all decodes of a host were cancelled, and logs how
// long they occupied their slots since the host failed.
func awaitCancelled(t *testing.T, c *harness.Cluster, host string, since time.Time) {
	t.Helper()
	c.Await("cancels of "+host, func() bool {
		return len(decodes(c, engine.KindCancelled, host)) == len(decodes(c, engine.KindDecode, host))
	})
	if ended := decodes(c, engine.KindEnd, host); len(ended) > 0 {
		t.Errorf("%d decodes of %s ran to their end", len(ended), host)
	}
	var longest, sum time.Duration
	cancelled := decodes(c, engine.KindCancelled, host)
	for _, run := range cancelled {
		occupied := run.At.Sub(since)
		longest = max(longest, occupied)
		sum += occupied
	}
	t.Logf("slots occupied by %d orphaned requests of %s: max %v, mean %v", len(cancelled), host, longest, sum/time.Duration(max(1, len(cancelled))))
}

// awaitIdle waits until every decode on the running engines was cancelled or ended.
func awaitIdle(c *harness.Cluster) {
	c.Await("idle engines", func() bool {
		started := len(decodes(c, engine.KindDecode, ""))
		return started == len(decodes(c, engine.KindCancelled, ""))+len(decodes(c, engine.KindEnd, ""))
	})
}

// busiest returns the engine of a role with the most runs.
func busiest(c *harness.Cluster, role string) *harness.Process {
	var found *harness.Process
	maxRuns := -1
	for id, process := range c.Engines {
		if runs := len(process.Runs()); strings.HasPrefix(id, role) && runs > maxRuns {
			found, maxRuns = process, runs
		}
	}
	return found
}

// startUnmanaged runs a decode directly on an engine, as old scripts that bypass the
// daemons do, and returns a function that reports whether the decode still runs.
func startUnmanaged(t *testing.T, c *harness.Cluster, process *harness.Process) func() bool {
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

// TestDaemonsKilledInMidStream guards against decodes that keep running after the
// daemon that serves them was killed, and with it the home of some backend servers.
// The other daemons must find and cancel all of these decodes, and nothing else: no
// decode of a live daemon and none that no daemon started.
//
// proof: daemon killed | stream | 1
// proof: daemon killed | stream | 3
// proof: platform down + daemon killed | stream | 1
// proof: platform down + daemon killed | stream | 3
func TestDaemonsKilledInMidStream(t *testing.T) {
	for name, faults := range map[string]consul.Faults{"platform up": {}, "platform down": {Down: true}} {
		t.Run(name, func(t *testing.T) { killDaemonsInMidStream(t, faults) })
	}
}

func killDaemonsInMidStream(t *testing.T, faults consul.Faults) {
	c := harness.Start(t, binaries, harness.Options{Hosts: 5, Decode: 3, Profile: longWaitProfile})
	unmanagedRuns := startUnmanaged(t, c, c.Engines["decode-1"])
	orphaned := streams{cluster: c}
	for i := range 8 {
		orphaned.start(t.Context(), c.Hosts[i%2], fmt.Sprint("doomed ", i), longPromptTokens, endlessTokens)
	}
	others := streams{cluster: c}
	for i := range 6 {
		others.start(t.Context(), c.Hosts[2+i%3], fmt.Sprint("other ", i), longPromptTokens, 400)
	}
	orphaned.awaitStarted()
	others.awaitStarted()
	c.Platform.SetFaults(faults)
	killed := time.Now()
	c.Hosts[0].Kill()
	c.Hosts[1].Kill()
	awaitCancelled(t, c, "host-1", killed)
	awaitCancelled(t, c, "host-2", killed)
	others.checkComplete(t)
	for _, host := range []string{"host-3", "host-4", "host-5"} {
		if cancelled := decodes(c, engine.KindCancelled, host); len(cancelled) > 0 {
			t.Errorf("%d live decodes of %s were cancelled", len(cancelled), host)
		}
	}
	if !unmanagedRuns() {
		t.Error("the decode that no daemon started was ended")
	}
}

// TestDaemonPausedInMidStream guards against truncated streams, doubled tokens and
// wrong cancellations when a daemon is paused until the others have taken its slots,
// and then resumes. Its callers must get their complete responses, and it must cancel
// nothing of the others.
//
// proof: daemon paused | stream | 1
// proof: daemon paused | stream | 2
// proof: daemon paused | stream | 3
func TestDaemonPausedInMidStream(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Hosts: 4, Decode: 3, Profile: longWaitProfile})
	paused := streams{cluster: c}
	for i := range 6 {
		paused.start(t.Context(), c.Hosts[0], fmt.Sprint("paused ", i), longPromptTokens, 1000)
	}
	others := streams{cluster: c}
	for i := range 6 {
		others.start(t.Context(), c.Hosts[1+i%3], fmt.Sprint("other ", i), longPromptTokens, 900)
	}
	paused.awaitStarted()
	others.awaitStarted()
	since := time.Now()
	c.Hosts[0].Pause()
	awaitCancelled(t, c, "host-1", since)
	c.Hosts[0].Resume()
	others.checkComplete(t)
	paused.checkComplete(t)
	for _, host := range []string{"host-2", "host-3", "host-4"} {
		if cancelled := decodes(c, engine.KindCancelled, host); len(cancelled) > 0 {
			t.Errorf("%d live decodes of %s were cancelled", len(cancelled), host)
		}
	}
	awaitIdle(c)
}

// TestBackendServerFails guards against truncated responses when a backend server is
// killed, is paused, stops sending on its open streams or stalls its transfers while
// streams run. Every caller must get its complete response.
//
// proof: backend server killed | stream | 3
// proof: backend server killed | prefill | 3
// proof: silent connection | stream | 3
// proof: silent connection | prefill | 3
// proof: transfer stalled | transfer | 3
func TestBackendServerFails(t *testing.T) {
	tests := map[string]struct {
		role   string
		inject func(p *harness.Process)
	}{
		"decode engine killed":  {"decode", (*harness.Process).Kill},
		"prefill engine killed": {"prefill", (*harness.Process).Kill},
		"decode engine paused":  {"decode", (*harness.Process).Pause},
		"prefill engine paused": {"prefill", (*harness.Process).Pause},
		"silent streams":        {"decode", func(p *harness.Process) { p.SetSwitches(engine.Switches{Silent: true}) }},
		"transfers stall":       {"prefill", func(p *harness.Process) { p.SetSwitches(engine.Switches{StallExports: true}) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := harness.Start(t, binaries, harness.Options{Decode: 3, Profile: longWaitProfile})
			all := streams{cluster: c}
			for i := range 12 {
				all.start(t.Context(), c.Hosts[i%3], fmt.Sprint("before ", i), longPromptTokens, 200)
			}
			all.awaitStarted()
			victim := busiest(c, test.role)
			test.inject(victim)
			for i := range 12 {
				all.start(t.Context(), c.Hosts[i%3], fmt.Sprint("after ", i), longPromptTokens, shortTokens)
			}
			all.checkComplete(t)
			all.logMaxGap(t)
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

// TestPausedEngineGoesOn guards against responses that are lost because the hosts give
// up an engine that is silent for a moment although no other engine can take over.
//
// proof: silent connection | stream | 3
func TestPausedEngineGoesOn(t *testing.T) {
	for name, pause := range map[string]time.Duration{"1.5 s": 1500 * time.Millisecond, "6 s": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c := harness.Start(t, binaries, harness.Options{Decode: 1})
			all := streams{cluster: c}
			for i := range 6 {
				all.start(t.Context(), c.Hosts[i%len(c.Hosts)], fmt.Sprint("stream ", i), longPromptTokens, 200)
			}
			all.awaitStarted()
			paused := busiest(c, "decode")
			paused.Pause()
			time.Sleep(pause)
			paused.Resume()
			all.checkComplete(t)
			all.logMaxGap(t)
			if got := len(decodes(c, engine.KindDecode, "")); got != len(all.all) {
				t.Errorf("%d decodes of %d streams, want one each", got, len(all.all))
			}
			awaitIdle(c)
		})
	}
}

// TestCallersDisconnectAtRandomMoments guards against decodes that run on, and slots that stay
// occupied, when callers leave at random moments of all steps of a request.
//
// proof: caller cancels | reserve | 1
// proof: caller cancels | prefill | 1
// proof: caller cancels | transfer | 1
// proof: caller cancels | first token | 1
// proof: caller cancels | stream | 1
func TestCallersDisconnectAtRandomMoments(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Profile: longWaitProfile, EngineFlags: []string{"--slots", "4", "--prefillRate", "40000"}})
	random := rand.New(rand.NewPCG(1, 1))
	all := streams{cluster: c}
	for i := range 60 {
		ctx, leave := context.WithTimeout(t.Context(), time.Duration(random.IntN(400))*time.Millisecond)
		defer leave()
		all.start(ctx, c.Hosts[i%3], fmt.Sprint("leaving ", i), longPromptTokens, endlessTokens)
	}
	all.group.Wait()
	awaitIdle(c)
	if ended := decodes(c, engine.KindEnd, ""); len(ended) > 0 {
		t.Errorf("%d decodes ran to their end although their callers had left", len(ended))
	}
	after := streams{cluster: c}
	for i := range 8 {
		after.start(t.Context(), c.Hosts[i%3], fmt.Sprint("staying ", i), longPromptTokens, shortTokens)
	}
	after.checkComplete(t)
}

// TestCallersDisconnectWhileEngineIsPaused guards against decodes that run on when all callers
// leave at the same time in mid-stream while one engine is paused and can't receive
// the cancellations. The daemons must repeat them until the engine has confirmed
// them.
//
// proof: caller cancels + silent connection | stream | 1
// proof: caller cancels + silent connection | cancel | 1
func TestCallersDisconnectWhileEngineIsPaused(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Profile: longWaitProfile})
	all := streams{cluster: c}
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	for i := range 12 {
		all.start(ctx, c.Hosts[i%3], fmt.Sprint("leaving ", i), longPromptTokens, endlessTokens)
	}
	all.awaitStarted()
	paused := busiest(c, "decode")
	paused.Pause()
	left := time.Now()
	leave()
	all.group.Wait()
	const pauseDuration = 2 * time.Second
	time.Sleep(pauseDuration)
	paused.Resume()
	awaitIdle(c)
	for _, id := range []string{"decode-1", "decode-2"} {
		var longest, sum time.Duration
		count := 0
		for _, run := range c.Engines[id].Runs() {
			if run.Kind == engine.KindEnd {
				t.Errorf("%s ran a decode to its end although its caller had left", id)
			}
			if run.Kind == engine.KindCancelled {
				occupied := run.At.Sub(left)
				longest = max(longest, occupied)
				sum += occupied
				count++
			}
		}
		t.Logf("%s kept %d slots occupied for callers that had left: max %v, mean %v", id, count, longest, sum/time.Duration(max(1, count)))
	}
}

// TestRequestCrashesAtMostTwoEngines guards against a request that crashes one engine
// after the other. A request that crashes every engine that runs it is sent five
// times through different hosts, alongside other requests. It may crash at most two
// engines, every attempt after the first must be refused as not run, and the other
// requests must be completed.
//
// proof: crashing request | prefill | 3
// proof: crashing request | stream | 3
// proof: crashing request | accept | 4
func TestRequestCrashesAtMostTwoEngines(t *testing.T) {
	for name, promptTokens := range map[string]int{"at decode": 10, "at prefill": longPromptTokens} {
		t.Run(name, func(t *testing.T) {
			c := harness.Start(t, binaries, harness.Options{Prefill: 4, Decode: 5, Profile: longWaitProfile})
			others := streams{cluster: c}
			for i := range 15 {
				others.start(t.Context(), c.Hosts[i%3], fmt.Sprint("innocent ", i), longPromptTokens, 100)
			}
			others.awaitStarted()
			prompt := harness.Prompt(engine.CrashMarker, promptTokens)
			for i := range 5 {
				reply := c.Complete(t.Context(), c.Hosts[i%3], harness.Completion{Prompt: prompt, MaxTokens: 5})
				wantRan := "no"
				if i == 0 {
					wantRan = "unknown"
				}
				if reply.Status != http.StatusUnprocessableEntity || reply.Code != "crashesServers" || reply.Ran != wantRan {
					t.Errorf("attempt %d: status %d, code %q, ran %q, want 422, crashesServers and ran %q", i, reply.Status, reply.Code, reply.Ran, wantRan)
				}
			}
			others.checkComplete(t)
			crashed := 0
			for _, process := range c.Engines {
				select {
				case <-process.Exited():
					crashed++
				default:
				}
			}
			if crashed > 2 {
				t.Errorf("%d engines crashed, want at most 2", crashed)
			}
		})
	}
}

// TestLeavingEngineGetsNothingNew guards against new requests to an engine that
// reports that it is leaving while the platform is down and the platform's server
// list still shows the engine as live.
//
// proof: backend server leaving | reserve | 6
// proof: backend server leaving + platform down | reserve | 6
func TestLeavingEngineGetsNothingNew(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Profile: longWaitProfile})
	c.Platform.SetFaults(consul.Faults{Down: true})
	c.Engines["decode-1"].SetSwitches(engine.Switches{Leaving: true})
	c.Engines["prefill-1"].SetSwitches(engine.Switches{Leaving: true})
	since := time.Now()
	all := streams{cluster: c}
	for i := 0; time.Since(since) < 5*time.Second; i++ {
		all.start(t.Context(), c.Hosts[i%3], fmt.Sprint("caller ", i), longPromptTokens, 20)
		time.Sleep(50 * time.Millisecond)
	}
	all.checkComplete(t)
	const limit = 3 * time.Second
	var lastRefusal time.Duration
	for _, id := range []string{"decode-1", "prefill-1"} {
		for _, run := range c.Engines[id].Runs() {
			if run.Kind == engine.KindRefused {
				lastRefusal = max(lastRefusal, run.At.Sub(since))
			}
			if run.Kind != engine.KindEnd && run.At.Sub(since) > limit {
				t.Errorf("%s logged %s %v after it began to leave", id, run.Kind, run.At.Sub(since))
			}
		}
	}
	t.Logf("last request to a leaving engine after %v", lastRefusal)
}

// TestRollingReplacement guards against truncated streams and cancelled decodes when
// all hosts are replaced one after the other under load.
//
// proof: none | drain | 7
// proof: none | drain | 3
func TestRollingReplacement(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Profile: longWaitProfile})
	inFlight := streams{cluster: c}
	old := append([]*harness.Process(nil), c.Hosts...)
	for number, host := range old {
		replacement := c.AddHost(fmt.Sprint("fresh-", number))
		for i := range 6 {
			inFlight.start(t.Context(), host, fmt.Sprintf("old %d %d", number, i), longPromptTokens, 300)
			inFlight.start(t.Context(), replacement, fmt.Sprintf("fresh %d %d", number, i), longPromptTokens, 300)
		}
		inFlight.awaitStarted()
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
	inFlight.checkComplete(t)
	if cancelled := decodes(c, engine.KindCancelled, ""); len(cancelled) > 0 {
		t.Errorf("%d decodes were cancelled", len(cancelled))
	}
}

// TestSecondSignalEndsAtOnce guards against a daemon that keeps draining after a
// second signal. The daemon must exit at once, and its log must report the requests
// that it cut off.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Profile: longWaitProfile})
	cut := streams{cluster: c}
	cut.start(t.Context(), c.Hosts[0], "cut", longPromptTokens, endlessTokens)
	cut.awaitStarted()
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
	if cut.all[0].reply.IsComplete || !strings.Contains(c.Hosts[0].Log(), "requests cut off") {
		t.Errorf("complete response: %v, want false and a log line with the number of requests cut off", cut.all[0].reply.IsComplete)
	}
	awaitIdle(c)
}

// TestDaemonCutOffInMidStream guards against wrong text and wrong cancellations when
// a daemon is disconnected from all others while it serves streams. The others end
// its requests, because they must treat it as failed; it must end none of theirs.
//
// proof: daemons cut off | stream | 1
// proof: daemons cut off | stream | 2
func TestDaemonCutOffInMidStream(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Hosts: 4, Decode: 3, Profile: longWaitProfile, PeerProxies: true})
	cut := streams{cluster: c}
	for i := range 4 {
		cut.start(t.Context(), c.Hosts[0], fmt.Sprint("cut ", i), longPromptTokens, 700)
	}
	others := streams{cluster: c}
	for i := range 6 {
		others.start(t.Context(), c.Hosts[1+i%3], fmt.Sprint("other ", i), longPromptTokens, 900)
	}
	cut.awaitStarted()
	others.awaitStarted()
	for _, host := range c.Hosts[1:] {
		c.SetLinkMode(c.Hosts[0], host, cutproxy.Blackhole)
	}
	others.checkComplete(t)
	cut.group.Wait()
	complete := 0
	for _, caller := range cut.all {
		want := engine.ResponseText(caller.prompt, caller.tokens)
		if caller.reply.IsComplete {
			complete++
		}
		if !strings.HasPrefix(want, caller.reply.Text) || caller.reply.IsComplete && caller.reply.Text != want {
			t.Errorf("a caller of the isolated host got text that is not a prefix of its response: %d bytes of %d", len(caller.reply.Text), len(want))
		}
	}
	t.Logf("%d of %d responses of the isolated host are complete", complete, len(cut.all))
	for _, host := range []string{"host-2", "host-3", "host-4"} {
		if cancelled := decodes(c, engine.KindCancelled, host); len(cancelled) > 0 {
			t.Errorf("%d live decodes of %s were cancelled", len(cancelled), host)
		}
	}
	for _, host := range c.Hosts[1:] {
		c.SetLinkMode(c.Hosts[0], host, cutproxy.Forward)
	}
	awaitIdle(c)
}

// TestRestartedEngineTakesWorkAgain guards against an engine that gets no work after
// it has left and was restarted under the same name.
//
// proof: backend server leaving + backend server killed | reserve | 3
func TestRestartedEngineTakesWorkAgain(t *testing.T) {
	c := harness.Start(t, binaries, harness.Options{Decode: 1, Prefill: 1, Profile: longWaitProfile})
	before := streams{cluster: c}
	before.start(t.Context(), c.Hosts[0], "before", longPromptTokens, shortTokens)
	before.checkComplete(t)
	refuses := func(host *harness.Process) bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return c.Complete(ctx, host, harness.Completion{Prompt: harness.Prompt("probe", longPromptTokens), MaxTokens: 1}).Status != http.StatusOK
	}
	for _, engineProcess := range c.Engines {
		engineProcess.SetSwitches(engine.Switches{Leaving: true})
	}
	for _, host := range c.Hosts {
		c.Await(host.Name+" to know that the engines leave", func() bool { return refuses(host) })
	}
	for _, engineProcess := range c.Engines {
		engineProcess.Kill()
		engineProcess.Start()
	}
	after := streams{cluster: c}
	for i, host := range c.Hosts {
		after.start(t.Context(), host, fmt.Sprint("after ", i), longPromptTokens, shortTokens)
	}
	after.checkComplete(t)
}
