package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["crashing-request-after-restarts"] = crashingRequestAfterRestarts
}

const (
	// poisonPeriod is the time between two attempts with the request that crashes workers.
	poisonPeriod = 2 * time.Second
	// rolls is the number of rolling restarts, and rollGap the time between the stops of two
	// machines.
	rolls   = 3
	rollGap = 2 * time.Second
	// retryLimit is the number of retries of the rule.
	retryLimit = 3
)

// crashingRequestAfterRestarts: a request that crashes each worker comes again and again, while
// the machines are stopped and started in turn.
func crashingRequestAfterRestarts(l *lab, directory string) error {
	if err := l.startStore(); err != nil {
		return err
	}
	l.configure(3)
	if _, err := l.startPlain(4, 800); err != nil {
		return err
	}
	if err := l.startHosts(directory, 7, []string{"zone-0", "zone-1", "zone-2", "zone-3"}, nil); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	others := map[string]int{}
	var clients sync.WaitGroup
	clients.Go(func() { // the client of the request
		for ctx.Err() == nil {
			if h := l.pickReady(); h != nil {
				l.logf("client: the request to machine %d: %s", h.index, l.post(h, poison+" {\"copy\":7}"))
			}
			time.Sleep(poisonPeriod)
		}
	})
	for i := range 4 { // other clients
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if h := l.pickReady(); h != nil {
					status := l.post(h, fmt.Sprintf("{\"copy\":%d%d}", i, n))
					mu.Lock()
					others[status]++
					mu.Unlock()
				}
				time.Sleep(80 * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	for n := range rolls {
		if l.trouble {
			l.logf("rolling restart %d", n+1)
			var stops sync.WaitGroup
			for _, h := range l.hosts {
				stops.Go(func() {
					if err := h.restart(); err != nil {
						l.logf("machine %d: %v", h.index, err)
					}
				})
				time.Sleep(rollGap)
			}
			stops.Wait()
		}
		time.Sleep(10 * time.Second)
	}
	cancel()
	clients.Wait()
	l.logf("other requests: %v", others)
	l.mu.Lock()
	crashes := append([]crash{}, l.crashes...)
	l.mu.Unlock()
	if len(crashes) < 3 {
		return nil
	}
	third := crashes[2].at
	counted := 0
	for i, c := range crashes {
		h := l.hostOf(c.from)
		inTouch := h != nil && h.inTouch(c.at)
		isCounted := i > 2 && c.at.Sub(third) > contact && inTouch
		if isCounted {
			counted++
		}
		l.logf("crash %d: %.1f s after the third, sent by machine %d, in touch %t, counted %t", i+1, c.at.Sub(third).Seconds(), h.index, inTouch, isCounted)
	}
	if counted > retryLimit {
		l.breaks("BUDGET: a request that crashes the workers reached workers in %d retries that machines in touch sent later than contact-ms after its third crash; the rule allows %d", counted, retryLimit)
	}
	return nil
}

// pickReady returns a machine that is ready, as the platform does.
func (l *lab) pickReady() *host {
	l.mu.Lock()
	first := l.rng.IntN(len(l.hosts))
	l.mu.Unlock()
	for i := range l.hosts {
		if h := l.hosts[(first+i)%len(l.hosts)]; !h.isStopping() && h.isReady() {
			return h
		}
	}
	return nil
}

func (l *lab) hostOf(ip string) *host {
	for _, h := range l.hosts {
		if h.ip == ip {
			return h
		}
	}
	return nil
}

// post sends a request that is not idempotent on a new connection, and returns its outcome.
func (l *lab) post(h *host, body string) string {
	c, err := net.DialTimeout("tcp4", h.front(), time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /hold/a HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", l.newID(), len(body), body)
	_ = c.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return fmt.Sprintf("status %d", response.StatusCode)
}
