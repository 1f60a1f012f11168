package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// caseLeaving: while the store is down, a worker begins to leave, and a host is partitioned from all
// workers for some seconds. The host passes on answers with Server-Leaving that another host has got,
// and sends requests to the leaving worker itself once the partition has ended.
func caseLeaving(r record, hasTrouble bool) (bool, error) {
	const (
		hosts   = 3
		drain   = 2 * time.Second
		cutTime = 2500 * time.Millisecond
		down    = 8 * time.Second
	)
	d, err := newDeployment(hosts)
	if err != nil {
		return false, err
	}
	defer d.stop()
	var mu sync.Mutex
	reached := map[string]string{}
	var workers []*worker
	for n := range 2 {
		w := &worker{id: fmt.Sprintf("i-%d", n+1), service: "dokan", ip: fmt.Sprintf("%s.%d", d.network, 20+n), hosts: hosts, store: d.store, delay: 15 * time.Millisecond}
		w.ran = func(host int, id string, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			reached[id] = fmt.Sprintf("%s from host %d", w.id, host)
			r.note("%s ran %s, which came from host %d", w.id, id, host)
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
	time.Sleep(4 * time.Second)
	var passedOn time.Time
	late := 0
	sent := 0
	ask := func(n int) {
		method, path := http.MethodPost, "/hold/a"
		if n%2 == 0 {
			method, path = http.MethodGet, "/stock/a"
		}
		o := d.send(0, method, path, "", 1500*time.Millisecond)
		isLeaving := o.err == nil && o.header.Get("Server-Leaving") == "1"
		mu.Lock()
		defer mu.Unlock()
		r.note("%v, Server-Leaving %t, ran by %s", o, isLeaving, reached[o.id])
		sent++
		if !passedOn.IsZero() && o.sentAt.Sub(passedOn) > drain && reached[o.id] == "i-1 from host 0" {
			late++
		}
		if isLeaving && passedOn.IsZero() {
			passedOn = o.endedAt
			r.say("host 0 has passed on an answer with Server-Leaving of i-1 for the first time")
		}
	}
	for n := range 20 {
		ask(n)
	}
	r.say("the store is down")
	d.store.SetDown(true)
	downAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	r.say("i-1 begins to leave")
	workers[0].mu.Lock()
	workers[0].header = map[string]string{"Server-Leaving": "1"}
	workers[0].mu.Unlock()
	if hasTrouble {
		r.say("host 0 is partitioned from all workers")
		for _, w := range workers {
			w.cut(0)
		}
	}
	cutAt := time.Now()
	for n := 0; time.Since(cutAt) < cutTime; n++ {
		ask(n)
		time.Sleep(30 * time.Millisecond)
	}
	if hasTrouble {
		r.say("the partition ends")
		for _, w := range workers {
			if err := w.connect(0); err != nil {
				return false, err
			}
		}
	}
	var group sync.WaitGroup
	for range 6 {
		group.Go(func() {
			for n := 0; time.Since(downAt) < down-200*time.Millisecond; n++ {
				ask(n)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
	r.say("the store is back")
	d.store.SetDown(false)
	d.store.Put("servers/i-1", workers[0].entry("draining"))
	if passedOn.IsZero() {
		return false, fmt.Errorf("no answer with Server-Leaving came through host 0")
	}
	r.say("%d requests were sent to host 0; %d of them, sent later than drain-timeout-ms after it had passed on an answer with Server-Leaving, reached the leaving worker from it", sent, late)
	return late > 0, nil
}
