package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// caseAlike: callers ask for the same thing, and two workers crash at the same moment. A final fault,
// in which all processes are killed, follows. The workers are back after some seconds.
func caseAlike(r record, hasTrouble bool) (bool, error) {
	const (
		hosts    = 4
		callers  = 20
		before   = 5 * time.Second
		crash    = 4500 * time.Millisecond // srv_crash, for_s
		down     = time.Second             // closing, down_s
		recovery = 12 * time.Second        // recovery-s
		judged   = 6 * time.Second
	)
	d, err := newDeployment(hosts)
	if err != nil {
		return false, err
	}
	defer d.stop()
	var mu sync.Mutex
	var workers []*worker
	for n := range 4 {
		w := &worker{id: fmt.Sprintf("i-%d", n+1), service: "dokan", ip: fmt.Sprintf("%s.%d", d.network, 20+n), hosts: hosts, store: d.store, delay: 60 * time.Millisecond, zone: zones[n]}
		w.ran = func(host int, id string, _ *http.Request) {
			r.note("%s runs %s, which came from host %d", w.id, id, host)
		}
		if err := w.start(); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	d.store.Put("op/config", configuration())
	if err := d.startHosts(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var outcomes []outcome
	var group sync.WaitGroup
	stop := make(chan struct{})
	var pause atomic.Int64 // the longest pause of a caller between two requests
	pause.Store(int64(120 * time.Millisecond))
	for i := range callers {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.Int64N(pause.Load()))):
				}
				o := d.send(i%hosts, http.MethodGet, "/stock/physics-12", "", 1500*time.Millisecond)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				r.note("%v", o)
			}
		})
	}
	time.Sleep(before)
	if hasTrouble {
		r.say("two of four workers, in different zones, crash")
		for _, w := range workers[:2] {
			w.crash()
		}
		time.AfterFunc(crash, func() {
			for _, w := range workers[:2] {
				_ = w.start()
			}
			r.say("the two workers are back")
		})
	}
	time.Sleep(time.Second)
	faultAt := time.Now()
	if hasTrouble {
		next := configuration()
		next["version"] = 9
		d.store.Put("op/config", next)
		r.say("a configuration is acknowledged; final fault: all processes of hickoryfront are killed")
		d.killAll()
		time.Sleep(down)
		if err := d.restartAll(); err != nil {
			return false, err
		}
	}
	backAt := time.Now()
	pause.Store(int64(500 * time.Millisecond))
	r.say("all hosts run; the requests sent later than recovery-s after this count")
	time.Sleep(recovery + judged)
	close(stop)
	group.Wait()
	var sent, served [2]int
	statuses := map[string]int{}
	for _, o := range outcomes {
		place := -1
		switch {
		case o.sentAt.Before(faultAt):
			place = 0
		case o.sentAt.After(backAt.Add(recovery)):
			place = 1
			statuses[fmt.Sprintf("%d %v", o.status, o.err != nil)]++
		}
		if place < 0 {
			continue
		}
		sent[place]++
		if o.err == nil && o.status == http.StatusOK {
			served[place]++
		}
	}
	r.say("before the final fault %d of %d requests were served; later than recovery-s after it %d of %d (statuses %v)", served[0], sent[0], served[1], sent[1], statuses)
	if sent[0] == 0 || sent[1] == 0 {
		return false, fmt.Errorf("no requests")
	}
	return 4*served[0] >= sent[0] && 4*served[1] < sent[1], nil
}
