package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["moved-to-a-restarted-worker"] = movedToRestartedWorker
}

const (
	// downTime is how long the worker that starts again is down.
	downTime = 1500 * time.Millisecond
	// mixedLimit is the number of streams of the rule.
	mixedLimit = 2
)

// movedToRestartedWorker: the model workers get another version of their software. Two are
// replaced, the third one starts again under its id, and the fourth one leaves shortly after.
func movedToRestartedWorker(l *lab, directory string) error {
	if err := l.startStore(); err != nil {
		return err
	}
	l.configure(3)
	octet := 20
	start := func(stage, version string) (*worker, error) {
		octet++
		w := &worker{group: l.workers, service: "lekhak", stage: stage, zone: fmt.Sprintf("zone-%d", octet%4), address: l.address(octet, workerPort), work: 10 * time.Millisecond, slots: 64, version: version}
		return w, w.up()
	}
	for range 2 {
		if _, err := start("prefill", "v1"); err != nil {
			return err
		}
	}
	var decode []*worker
	for range 4 {
		w, err := start("decode", "v1")
		if err != nil {
			return err
		}
		decode = append(decode, w)
	}
	if err := l.startHosts(directory, 3, []string{"zone-0", "zone-1", "zone-2"}, nil); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			clients.Go(func() { l.readStream(l.hosts[i%len(l.hosts)]) })
			time.Sleep(20 * time.Millisecond)
		}
	})
	time.Sleep(2 * time.Second)
	leave := func(w *worker) {
		w.mu.Lock()
		l.logf("worker %s (%s) drains with %d streams", w.id, w.version, len(w.runs))
		w.mu.Unlock()
		w.drain()
		time.AfterFunc(drainTimeout+time.Second, func() {
			l.store.remove(w.key())
			time.Sleep(time.Second)
			w.crash()
		})
	}
	for _, old := range decode[:2] {
		w, err := start("decode", "v2")
		if err != nil {
			return err
		}
		l.logf("worker %s (v2) started", w.id)
		time.Sleep(time.Second)
		leave(old)
		time.Sleep(1500 * time.Millisecond)
	}
	third, last := decode[2], decode[3]
	if l.trouble {
		l.logf("worker %s (v1) ends", third.id)
		third.crash()
		time.Sleep(downTime)
		if err := third.upUnderID("v2"); err != nil {
			return err
		}
		l.logf("worker %s has started again, with v2", third.id)
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(400 * time.Millisecond)
	leave(last)
	time.Sleep(5 * time.Second)
	cancel()
	clients.Wait()
	if n := l.mixed.Load(); n > mixedLimit {
		l.breaks("ORDER: %d streams hold events from workers of two software versions; the rule allows %d", n, mixedLimit)
	}
	return nil
}
