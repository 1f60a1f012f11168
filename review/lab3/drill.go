package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// caseDrill: the store comes back from a copy some seconds old, and some seconds later all processes
// are killed. Clients take their streams up again.
func caseDrill(r record, hasTrouble bool) (bool, error) {
	const (
		hosts   = 4
		streams = 24
		contact = 3 * time.Second
		down    = time.Second
	)
	hasDrill, hasKill := hasTrouble && os.Getenv("TROUBLE") != "kill", hasTrouble && os.Getenv("TROUBLE") != "drill"
	d, err := newDeployment(hosts)
	if err != nil {
		return false, err
	}
	defer d.stop()
	var workers []*worker
	for n := range 5 {
		w := &worker{id: fmt.Sprintf("m-%d", n+1), service: "lekhak", ip: fmt.Sprintf("%s.%d", d.network, 40+n), hosts: hosts, store: d.store, stage: "decode", zone: zones[n%4]}
		if n == 0 {
			w.stage = "prefill"
		}
		w.ran = func(host int, id string, request *http.Request) {
			r.note("%s (%s) got %s from host %d, Last-Event-Id %q", w.id, w.stage, id, host, request.Header.Get("Last-Event-Id"))
		}
		if err := w.start(); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	document := modelConfiguration()
	d.store.Put("op/config", document)
	if err := d.startHosts(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	old := d.store.Copy()
	r.say("a copy of the store is taken")
	time.Sleep(3 * time.Second)
	if hasDrill {
		r.say("drill: the store is away")
		d.store.SetDown(true)
		time.Sleep(500 * time.Millisecond)
		d.store.Restore(old)
		d.store.SetDown(false)
		r.say("drill: the store is back from the copy, which is 3.5 s old")
		time.Sleep(time.Second)
		d.store.Put("op/config", document)
		for _, w := range workers {
			d.store.Put("servers/"+w.id, w.entry("ready"))
		}
		r.say("operator and workers have written again what they wrote")
	}
	time.Sleep(contact)
	var group sync.WaitGroup
	var mu sync.Mutex
	goOn, takenUp := 0, 0
	var backAt time.Time
	isBack := make(chan struct{})
	for i := range streams {
		group.Go(func() {
			first := fmt.Sprintf("first-%02d", i)
			deadline := time.Now().Add(14 * time.Second)
			last, isWhole, status, err := d.stream(i%hosts, first, "", 0, first, time.Until(deadline))
			r.note("%s at host %d: status %d, events up to %d, whole %t, %v", first, i%hosts, status, last, isWhole, err)
			if isWhole || last == 0 {
				return
			}
			<-isBack
			time.Sleep(time.Until(backAt.Add(contact + 200*time.Millisecond)))
			mu.Lock()
			takenUp++
			mu.Unlock()
			for n := 1; time.Now().Before(deadline); n++ {
				id := fmt.Sprintf("again-%02d-%d", i, n)
				next, isWhole, status, err := d.stream((i+n)%hosts, id, first, last, first, time.Until(deadline))
				r.note("%s, which takes up %s after event %d, at host %d: status %d, events up to %d, whole %t, %v", id, first, last, (i+n)%hosts, status, next, isWhole, err)
				if next > last {
					mu.Lock()
					goOn++
					mu.Unlock()
					return
				}
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if hasKill {
		r.say("all processes of hickoryfront are killed")
		d.killAll()
		time.Sleep(down)
		if err := d.restartAll(); err != nil {
			return false, err
		}
		r.say("all hosts run again")
	}
	backAt = time.Now()
	close(isBack)
	time.Sleep(contact + 500*time.Millisecond)
	begun := 0
	var fresh sync.WaitGroup
	for i := range streams {
		fresh.Go(func() {
			last, _, status, err := d.stream(i%hosts, fmt.Sprintf("new-%02d", i), "", 0, fmt.Sprintf("new-%02d", i), 3*time.Second)
			r.note("new-%02d at host %d: status %d, events up to %d, %v", i, i%hosts, status, last, err)
			if last > 0 {
				mu.Lock()
				begun++
				mu.Unlock()
			}
		})
	}
	fresh.Wait()
	group.Wait()
	r.say("of %d streams that clients took up again %d went on; of %d new streams %d began", takenUp, goOn, streams, begun)
	if begun == 0 {
		return false, fmt.Errorf("no new stream began")
	}
	return takenUp >= 12 && 2*goOn*streams < begun*takenUp, nil
}
