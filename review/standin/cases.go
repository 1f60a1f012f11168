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
	"waiting":  waiting,
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
	if err := s.begin([]any{streamRoute("draft", "/draft/", 2, true)}); err != nil {
		return 0, "", err
	}
	var decoders []*worker
	for i, stage := range []string{"prefill", "decode", "decode"} {
		w, err := s.cluster.start(fmt.Sprintf("i-%d", i+1), "model", stage, "salt-lake", fmt.Sprintf("%s.%d:8080", s.network, 30+i), 42754)
		if err != nil {
			return 0, "", err
		}
		w.eventPause = 84 * time.Millisecond
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
	used := func() int {
		total := 0
		for _, w := range decoders {
			w.mu.Lock()
			total += len(w.runs)
			w.mu.Unlock()
		}
		return total
	}
	// Other clients' streams, of about 13.5 s, take the memory of both workers.
	for i := range 11 {
		fill(i)
	}
	if !s.await(time.Second, func() bool { return used() == 11 }) {
		return 0, "", fmt.Errorf("%d of 11 streams have begun", used())
	}
	// A stream begins at a host that is killed and started again.
	var last atomic.Int32
	first := streamAttempt("s001", "/draft/1", promptTokens, events)
	first.onEvent = func(number int) { last.Store(int32(number)) }
	begun := time.Now()
	go s.send(context.Background(), lost, first)
	if !s.await(time.Second, func() bool { return last.Load() >= 4 }) {
		return 0, "", fmt.Errorf("the stream has not begun")
	}
	s.note("host %s is killed", lost.name)
	lost.kill()
	if !s.await(time.Second, func() bool { return used() == 11 }) {
		return 0, "", fmt.Errorf("the broken stream still runs")
	}
	fill(11) // another client's stream takes the free memory
	if !s.await(time.Second, func() bool { return used() == 12 }) {
		return 0, "", fmt.Errorf("the last stream has not begun")
	}
	time.Sleep(200 * time.Millisecond)
	if err := s.startHost(lost, lost.command.Path); err != nil {
		return 0, "", err
	}
	time.Sleep(3200 * time.Millisecond) // more than contact-ms
	// The client takes the stream up again, and the machine that it has reached is stopped.
	second := streamAttempt("s002", "/draft/1", promptTokens, events)
	second.deadline = 14*time.Second - time.Since(begun)
	second.header["Last-Event-Id"] = fmt.Sprint(last.Load())
	second.header["Resumes"] = "s001"
	result := make(chan outcome, 1)
	go func() { result <- s.send(context.Background(), stopped, second) }()
	time.Sleep(300 * time.Millisecond)
	if s.hasTrouble {
		s.note("host %s gets SIGTERM", stopped.name)
		_ = stopped.command.Process.Signal(syscall.SIGTERM)
		time.AfterFunc(8*time.Second, func() { _ = stopped.command.Process.Kill() })
	}
	o := <-result
	s.hostLog(stopped, "s002")
	s.hostLog(stopped, "daemon stop")
	s.hostLog(stopped, "cut off")
	if o.status == 0 && o.took < second.deadline {
		return broken, fmt.Sprintf("LOST: the connection of s002 was closed without an answer %v after the request, %v before its deadline", o.took.Round(time.Millisecond), (second.deadline - o.took).Round(time.Millisecond)), nil
	}
	return held, fmt.Sprintf("s002 was answered with %d", o.status), nil
}
