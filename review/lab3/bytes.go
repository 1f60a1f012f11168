package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// caseBytes: host 0 is partitioned from all workers for some seconds. Its callers' requests, or the
// workers' answers, have a header field with a byte above 127, which HTTP/1.1 allows.
func caseBytes(r record, hasTrouble bool) (bool, error) {
	const (
		hosts   = 4
		contact = 3 * time.Second
		cutTime = 9 * time.Second
	)
	d, err := newDeployment(hosts)
	if err != nil {
		return false, err
	}
	defer d.stop()
	var mu sync.Mutex
	runs := map[string]int{}
	var workers []*worker
	for n := range 4 {
		w := &worker{id: fmt.Sprintf("i-%d", n+1), service: "dokan", ip: fmt.Sprintf("%s.%d", d.network, 20+n), hosts: hosts, store: d.store, delay: 15 * time.Millisecond,
			header: map[string]string{"Content-Disposition": "attachment; filename=\"re\xe7u.txt\""}}
		w.ran = func(host int, id string, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			runs[id]++
			r.note("%s ran %s, which came over the path of host %d", w.id, id, host)
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
	time.Sleep(4 * time.Second) // the hosts know each other
	var outcomes []outcome
	var group sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 * hosts {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				method, path := http.MethodPost, "/hold/a"
				if (n+i/hosts)%2 == 0 {
					method, path = http.MethodGet, "/stock/a"
				}
				o := d.send(i%hosts, method, path, "", 1500*time.Millisecond)
				mu.Lock()
				outcomes = append(outcomes, o)
				r.note("%v", o)
				mu.Unlock()
			}
		})
	}
	time.Sleep(contact)
	cutAt := time.Now()
	if hasTrouble {
		r.say("host 0 is partitioned from all workers")
		for _, w := range workers {
			w.cut(0)
		}
	}
	time.Sleep(cutTime)
	healedAt := time.Now()
	if hasTrouble {
		r.say("the partition ends")
		for _, w := range workers {
			if err := w.connect(0); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(contact)
	close(stop)
	group.Wait()
	var sent, served [2]int
	failed, ranAndFailed := 0, 0
	for _, o := range outcomes {
		if o.sentAt.Before(cutAt.Add(contact)) || o.sentAt.After(healedAt) {
			continue
		}
		place := 1
		if o.host == 0 {
			place = 0
		}
		sent[place]++
		if o.err == nil && o.status == http.StatusOK {
			served[place]++
			continue
		}
		if place == 0 {
			failed++
			if runs[o.id] > 0 {
				ranAndFailed++
			}
		}
	}
	r.say("from contact-ms after the cut began: host 0 served %d of %d first tries, the others %d of %d; %d of the failed ones had run", served[0], sent[0], served[1], sent[1], ranAndFailed)
	if sent[0] == 0 || served[1] == 0 {
		return false, fmt.Errorf("no requests")
	}
	isLess := 3*served[0]*sent[1] < 2*served[1]*sent[0]
	return isLess && failed > 10+(sent[0]+sent[1])/50, nil
}
