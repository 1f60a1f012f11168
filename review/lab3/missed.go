package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// caseMissed: a request crashes each worker that begins to run it, and comes again at the hosts in turn.
// The kernel closes the connections of a crashed worker some milliseconds before the socket that it
// listens on. With TROUBLE=atonce it closes that first.
func caseMissed(r record, hasTrouble bool) (bool, error) {
	const (
		hosts   = 4
		contact = 3 * time.Second
		closing = 5 * time.Millisecond // from the end of its connections to that of the listener
		down    = 2 * time.Second
		again   = 1500 * time.Millisecond
		length  = 30 * time.Second
	)
	d, err := newDeployment(hosts)
	if err != nil {
		return false, err
	}
	defer d.stop()
	var mu sync.Mutex
	var crashes []time.Time
	for n := range 4 {
		w := &worker{id: fmt.Sprintf("i-%d", n+1), service: "dokan", ip: fmt.Sprintf("%s.%d", d.network, 20+n), hosts: hosts, store: d.store, delay: 15 * time.Millisecond, zone: zones[n]}
		w.ran = func(host int, id string, _ *http.Request) {
			r.note("%s runs %s, which came from host %d", w.id, id, host)
		}
		w.deadly = func(host int, id string) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			r.say("%s crashes with %s, which came from host %d: crash %d", w.id, id, host, len(crashes))
			mu.Unlock()
			if os.Getenv("TROUBLE") == "atonce" {
				w.crash()
			} else {
				w.crashSlowly(closing)
			}
			time.AfterFunc(down, func() { _ = w.start() })
		}
		if err := w.start(); err != nil {
			return false, err
		}
	}
	d.store.Put("op/config", configuration())
	if err := d.startHosts(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var lost, sound int
	for i := range hosts {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				o := d.send(i, http.MethodPost, fmt.Sprintf("/hold/%d-%d", i, n), "", 1500*time.Millisecond)
				mu.Lock()
				sound++
				if o.status == http.StatusBadGateway || o.err != nil {
					lost++
				}
				mu.Unlock()
				r.note("%v", o)
			}
		})
	}
	path := "/hold/deadly"
	if !hasTrouble {
		path = "/hold/sound"
	}
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		r.note("the request comes: %v", d.send(n%hosts, http.MethodPost, path, "", 1500*time.Millisecond))
		time.Sleep(again)
	}
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for n, at := range crashes {
		if n >= 3 && at.Sub(crashes[2]) > contact {
			late++
		}
	}
	r.say("%d crashes; %d retries of the request reached workers later than contact-ms after the third; %d of %d other holds ended without the worker's answer", len(crashes), late, lost, sound)
	return late > 3, nil
}
