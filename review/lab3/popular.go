package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// casePopular: students of one course send the same syllabus. Two of nine model workers crash while
// they answer some of these streams, and clients take the broken ones up. With TROUBLE=unlike each
// student sends a syllabus of their own.
func casePopular(r record, hasTrouble bool) (bool, error) {
	return popular(r, hasTrouble, false)
}

// casePath is casePopular with another disruption: host 0 is partitioned from all workers for some
// seconds, and no worker crashes.
func casePath(r record, hasTrouble bool) (bool, error) {
	return popular(r, hasTrouble, true)
}

func popular(r record, hasTrouble, isPartition bool) (bool, error) {
	const (
		hosts    = 4
		students = 72
		fresh    = 24
		crash    = 2 * time.Second // srv_crash, for_s
		// partition is how long host 0 has no path to workers.
		partition = 4 * time.Second
	)
	isUnlike := os.Getenv("TROUBLE") == "unlike"
	d, err := newDeployment(hosts)
	if err != nil {
		return false, err
	}
	defer d.stop()
	var workers, decode []*worker
	for n := range 9 {
		w := &worker{id: fmt.Sprintf("m-%d", n+1), service: "lekhak", ip: fmt.Sprintf("%s.%d", d.network, 40+n), hosts: hosts, store: d.store, stage: "decode", zone: zones[n%4]}
		if n < 3 {
			w.stage = "prefill"
		} else {
			decode = append(decode, w)
		}
		w.ran = func(host int, id string, request *http.Request) {
			r.note("%s (%s, %s) got %s from host %d, Last-Event-Id %q", w.id, w.stage, w.zone, id, host, request.Header.Get("Last-Event-Id"))
		}
		if err := w.start(); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	d.store.Put("op/config", modelConfiguration())
	if err := d.startHosts(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	goOn, takenUp, whole := 0, 0, 0
	for i := range students {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			first, prompt := fmt.Sprintf("first-%02d", i), "syllabus of physics"
			if isUnlike {
				prompt = "syllabus of " + first
			}
			deadline := time.Now().Add(14 * time.Second)
			last, isWhole, status, err := d.stream(i%hosts, first, "", 0, prompt, time.Until(deadline))
			r.note("%s at host %d: status %d, events up to %d, whole %t, %v", first, i%hosts, status, last, isWhole, err)
			mu.Lock()
			if isWhole {
				whole++
			} else if last > 0 {
				takenUp++
			}
			mu.Unlock()
			for n := 1; !isWhole && last > 0 && time.Now().Before(deadline); n++ {
				id := fmt.Sprintf("again-%02d-%d", i, n)
				next, _, status, err := d.stream((i+n)%hosts, id, first, last, prompt, time.Until(deadline))
				r.note("%s, which takes up %s after event %d, at host %d: status %d, events up to %d, %v", id, first, last, (i+n)%hosts, status, next, err)
				if next > last {
					mu.Lock()
					goOn++
					mu.Unlock()
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	switch {
	case hasTrouble && isPartition:
		r.say("host 0 is partitioned from all workers")
		for _, w := range workers {
			w.cut(0)
		}
		time.AfterFunc(partition, func() {
			for _, w := range workers {
				_ = w.connect(0)
			}
			r.say("the partition ends")
		})
	case hasTrouble:
		r.say("%s of %s and %s of %s crash", decode[0].id, decode[0].zone, decode[1].id, decode[1].zone)
		decode[0].crash()
		decode[1].crash()
		time.AfterFunc(crash, func() {
			_ = decode[0].start()
			_ = decode[1].start()
			r.say("the two workers are back")
		})
	}
	time.Sleep(500 * time.Millisecond)
	begun := 0
	for i := range fresh {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			id := fmt.Sprintf("new-%02d", i)
			last, _, status, err := d.stream(i%hosts, id, "", 0, "syllabus of "+id, 3*time.Second)
			r.note("%s at host %d: status %d, events up to %d, %v", id, i%hosts, status, last, err)
			if last > 0 {
				mu.Lock()
				begun++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	r.say("%d of %d streams were whole at the first attempt; of %d streams that clients took up again %d went on; of %d new streams %d began", whole, students, takenUp, goOn, fresh, begun)
	if begun == 0 {
		return false, fmt.Errorf("no new stream began")
	}
	return takenUp >= 12 && 2*goOn*fresh < begun*takenUp, nil
}
