package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// cases are the cases by their names.
var cases = map[string]func(*system) (int, string, error){
	"unframed": unframed,
	"uploads":  uploads,
	"waiting":  waiting,
	"upgrade":  upgrade,
}

// unframed: a worker whose streams end with their connections leaves while they run.
func unframed(s *system) (int, string, error) {
	if err := s.begin([]any{streamRoute("draft", "/draft/", 2, true), streamRoute("check", "/check/", 1, false)}); err != nil {
		return 0, "", err
	}
	var leaving *worker
	for i, stage := range []string{"prefill", "decode", "decode", "decode"} {
		zone := "salt-lake"
		if i > 1 {
			zone = "new-town"
		}
		w, err := s.cluster.start(fmt.Sprintf("i-%d", i+1), "model", stage, zone, fmt.Sprintf("%s.%d:8080", s.network, 30+i), 42754)
		if err != nil {
			return 0, "", err
		}
		if i == 1 {
			leaving = w
		}
	}
	if err := s.startHosts("salt-lake", "new-town", "howrah"); err != nil {
		return 0, "", err
	}
	// 60 short streams of the worker are framed, so that two in 62 answers are not.
	for n := 0; ; n++ {
		leaving.mu.Lock()
		answered := leaving.answered
		leaving.mu.Unlock()
		if answered >= 60 {
			break
		}
		if n == 150 {
			return 0, "", fmt.Errorf("the worker has got only %d of %d requests", answered, n)
		}
		s.send(context.Background(), s.hosts[0], streamAttempt(fmt.Sprintf("a%03d", n), "/draft/1", 1460, 3))
	}
	const events = 160
	if s.hasTrouble {
		leaving.mu.Lock()
		leaving.isUnframed = func() bool { return true }
		leaving.mu.Unlock()
	}
	leaving.eventPause = 50 * time.Millisecond
	outcomes := make([]outcome, 2)
	var started atomic.Int32
	var done sync.WaitGroup
	for i, path := range []string{"/draft/2", "/check/2"} {
		done.Add(1)
		go func() {
			defer done.Done()
			a := streamAttempt(fmt.Sprintf("b%03d", i), path, 1460, events)
			a.onEvent = func(number int) {
				if number == 20 {
					started.Add(1)
				}
			}
			outcomes[i] = s.send(context.Background(), s.hosts[0], a)
		}()
	}
	if !s.await(8*time.Second, func() bool { return started.Load() == 2 }) {
		return 0, "", fmt.Errorf("the streams have not begun")
	}
	leaving.mu.Lock()
	here := len(leaving.runs)
	leaving.mu.Unlock()
	s.note("worker %s runs %d streams", leaving.id, here)
	if here == 0 {
		return 0, "", fmt.Errorf("the streams run elsewhere")
	}
	if s.hasTrouble {
		leaving.drain()
	}
	done.Wait()
	for _, o := range outcomes {
		s.hostLog(s.hosts[0], o.id)
	}
	for _, o := range outcomes {
		if o.status == 200 && o.isComplete && len(o.events) < events {
			return broken, fmt.Sprintf("ORDER: the stream %s ended as complete after %d of %d events", o.id, len(o.events), events), nil
		}
	}
	return held, "no stream ended as complete before its last event", nil
}

// waiting: a machine is stopped while a stream that its client has taken up again waits there
// for a worker with free memory.
func waiting(s *system) (int, string, error) {
	// Clients abandon a stream after a gap of two seconds, four times the objective or eight
	// times the pause, whichever is longest.
	const targetMS = 2000
	const patience = 4 * targetMS * time.Millisecond
	if err := s.begin([]any{slowStreamRoute("draft", "/draft/", targetMS, 2, true)}); err != nil {
		return 0, "", err
	}
	var decoders []*worker
	for i, stage := range []string{"prefill", "decode", "decode"} {
		w, err := s.cluster.start(fmt.Sprintf("i-%d", i+1), "model", stage, "salt-lake", fmt.Sprintf("%s.%d:8080", s.network, 30+i), 42754)
		if err != nil {
			return 0, "", err
		}
		w.eventPause = 86 * time.Millisecond
		if stage == "decode" {
			decoders = append(decoders, w)
		}
	}
	if err := s.startHosts("salt-lake", "new-town", "howrah"); err != nil {
		return 0, "", err
	}
	stopped, lost, other := s.hosts[0], s.hosts[1], s.hosts[2]
	const events, promptTokens = 160, 6600
	fill := func(i int) {
		go s.send(context.Background(), other, streamAttempt(fmt.Sprintf("f%03d", i), "/draft/1", promptTokens, events))
	}
	running := func() int {
		total := 0
		for _, w := range decoders {
			w.mu.Lock()
			total += len(w.runs)
			w.mu.Unlock()
		}
		return total
	}
	// Other clients' streams take the memory of both workers, but for one.
	for i := range 11 {
		fill(i)
	}
	if !s.await(2*time.Second, func() bool { return running() == 11 }) {
		return 0, "", fmt.Errorf("%d of 11 streams have begun", running())
	}
	// A stream begins at a machine that is killed and started again.
	var last atomic.Int32
	first := streamAttempt("s001", "/draft/1", promptTokens, events)
	first.onEvent = func(number int) { last.Store(int32(number)) }
	begun := time.Now()
	go s.send(context.Background(), lost, first)
	if !s.await(2*time.Second, func() bool { return last.Load() >= 4 }) {
		return 0, "", fmt.Errorf("the stream has not begun")
	}
	s.note("host %s is killed", lost.name)
	lost.kill()
	if !s.await(2*time.Second, func() bool { return running() == 11 }) {
		return 0, "", fmt.Errorf("the broken stream still runs")
	}
	fill(11) // another client's stream takes the free memory
	if !s.await(2*time.Second, func() bool { return running() == 12 }) {
		return 0, "", fmt.Errorf("the last stream has not begun")
	}
	if err := s.startHost(lost, lost.command.Path); err != nil {
		return 0, "", err
	}
	time.Sleep(3300 * time.Millisecond) // more than contact-ms
	// A machine is stopped. Half a second later, while the platform still sends it clients, the
	// client takes its stream up again there.
	if s.hasTrouble {
		s.note("host %s gets SIGTERM", stopped.name)
		_ = stopped.command.Process.Signal(syscall.SIGTERM)
		time.AfterFunc(8*time.Second, func() { _ = stopped.command.Process.Kill() })
	}
	time.Sleep(500 * time.Millisecond)
	second := streamAttempt("s002", "/draft/1", promptTokens, events)
	second.deadline = 14*time.Second - time.Since(begun)
	second.header["Last-Event-Id"] = fmt.Sprint(last.Load())
	second.header["Resumes"] = "s001"
	second.patience = patience
	time.AfterFunc(7500*time.Millisecond, func() { // the other clients' streams end, and memory is free
		for _, w := range decoders {
			close(w.finished)
		}
	})
	o := s.send(context.Background(), stopped, second)
	s.hostLog(stopped, "s002")
	s.hostLog(stopped, "daemon stop")
	s.hostLog(stopped, "still active")
	if o.status == 0 && o.took < min(second.deadline, patience) {
		return broken, fmt.Sprintf("LOST: the connection of s002 was closed without an answer %v after the request, %v before its deadline", o.took.Round(time.Millisecond), (second.deadline - o.took).Round(time.Millisecond)), nil
	}
	return held, fmt.Sprintf("s002 was answered with %d", o.status), nil
}

// upgrade: workers start again under their ids with another version of their software while the
// store is down.
func upgrade(s *system) (int, string, error) {
	if err := s.begin([]any{streamRoute("draft", "/draft/", 2, true)}); err != nil {
		return 0, "", err
	}
	var workers []*worker
	for i, stage := range []string{"prefill", "decode", "decode"} {
		w, err := s.cluster.start(fmt.Sprintf("i-%d", i+1), "model", stage, "salt-lake", fmt.Sprintf("%s.%d:8080", s.network, 30+i), 42754)
		if err != nil {
			return 0, "", err
		}
		w.eventPause = 70 * time.Millisecond
		workers = append(workers, w)
	}
	if err := s.startHosts("salt-lake", "new-town", "howrah"); err != nil {
		return 0, "", err
	}
	const events = 120
	outcomes := make([]outcome, 30)
	var done sync.WaitGroup
	for i := range outcomes {
		done.Add(1)
		go func() {
			defer done.Done()
			outcomes[i] = s.send(context.Background(), s.hosts[i%3], streamAttempt(fmt.Sprintf("s%03d", i), "/draft/1", 1000, events))
		}()
	}
	time.Sleep(1200 * time.Millisecond)
	s.note("the store resets all calls")
	s.store.isDown.Store(true)
	downSince := time.Now()
	for i := 1; i < 3; i++ { // both decode workers, one after the other
		old := workers[i]
		old.crash()
		time.Sleep(time.Second)
		version := "v1"
		if s.hasTrouble {
			version = "v2"
		}
		w, err := s.cluster.startVersion(old.id, "model", old.stage, version, old.zone, old.address, old.memory)
		if err != nil {
			return 0, "", err
		}
		w.eventPause = old.eventPause
		workers[i] = w
		s.note("worker %s is back under its id with version %s", w.id, version)
		time.Sleep(600 * time.Millisecond)
	}
	time.Sleep(time.Until(downSince.Add(7500 * time.Millisecond)))
	s.store.isDown.Store(false)
	s.note("the store is back")
	done.Wait()
	mixed := 0
	for _, o := range outcomes {
		if len(o.versions) > 1 {
			mixed++
			s.note("the client of %s has events of %v", o.id, o.versions)
		}
	}
	if mixed > 2 {
		return broken, fmt.Sprintf("ORDER: %d streams hold events from workers of two software versions", mixed), nil
	}
	return held, fmt.Sprintf("%d streams hold events from workers of two software versions", mixed), nil
}
