package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["tainted-part-among-many"] = taintedPartAmongMany
}

const (
	// partCount is the number of parts of a prompt. With 5 tokens each the prompt is within the
	// largest of the site, and its header within half of max-header-bytes.
	partCount  = 1200
	partTokens = 5
	// routeTimeout is the timeout-ms of the plain routes, and lateTime the half second of the rule.
	routeTimeout = 800 * time.Millisecond
	lateTime     = 500 * time.Millisecond
)

// taintedPartAmongMany: one part of a prompt crashes each worker that begins to answer it. The
// prompts with it have many parts, which they share.
func taintedPartAmongMany(l *lab, directory string) error {
	if err := l.startStore(); err != nil {
		return err
	}
	l.configure(3)
	if _, err := l.startPlain(4, 800); err != nil {
		return err
	}
	octet := 40
	for i := range 8 {
		stage := "decode"
		if i < 2 {
			stage = "prefill"
		}
		octet++
		if _, err := l.workers.start("lekhak", stage, fmt.Sprintf("zone-%d", octet%4), l.address(octet, workerPort), 64, 10*time.Millisecond, 0); err != nil {
			return err
		}
	}
	if err := l.startHosts(directory, 3, []string{"zone-0", "zone-1", "zone-2"}, nil); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var parts []string
	for i := range partCount {
		parts = append(parts, fmt.Sprintf("%04x:%d", 0x1000+i, partTokens))
	}
	shared := strings.Join(parts, ",")
	if l.trouble {
		l.tainted = "1007"
	}
	l.logf("prompts of %d parts, header of %d bytes", partCount+1, len(shared)+14)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	type count struct{ sent, late, unanswered int }
	counts := make([]count, len(l.hosts))
	var clients sync.WaitGroup
	for i, h := range l.hosts {
		for range 5 {
			clients.Go(func() {
				for ctx.Err() == nil {
					took, status := l.lookUp(h)
					mu.Lock()
					counts[i].sent++
					if took > routeTimeout {
						counts[i].late++
						if took > routeTimeout+lateTime {
							counts[i].unanswered++
							if counts[i].unanswered <= 3 {
								l.logf("client: stock look-up at machine %d: %s after %v", i, status, took.Round(time.Millisecond))
							}
						}
					}
					mu.Unlock()
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	for n := range 12 {
		h := l.hosts[n%len(l.hosts)]
		clients.Go(func() { l.logf("client: prompt at machine %d: %s", h.index, l.prompt(h, shared)) })
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	for i, h := range l.hosts {
		l.logf("machine %d: ready %t, ended %t", i, h.isReady(), h.hasEnded())
	}
	cancel()
	clients.Wait()
	late, unanswered := 0, 0
	for i, c := range counts {
		l.logf("machine %d: %d look-ups, %d unanswered at timeout-ms, %d of these half a second later", i, c.sent, c.late, c.unanswered)
		late, unanswered = late+c.late, unanswered+c.unanswered
	}
	if unanswered > late/2 && unanswered >= 20 {
		l.breaks("CONFIG: of %d requests that were unanswered at their route's timeout-ms, %d had no answer half a second later", late, unanswered)
	}
	return nil
}

// lookUp sends a safe request on a new connection, and returns how long its answer took, at most
// until the client gives up.
func (l *lab) lookUp(h *host) (time.Duration, string) {
	c, err := net.DialTimeout("tcp4", h.front(), time.Second)
	if err != nil {
		return 0, "no connection"
	}
	defer c.Close()
	begin := time.Now()
	fmt.Fprintf(c, "GET /stock/a HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\n\r\n", l.newID())
	_ = c.SetReadDeadline(begin.Add(1500 * time.Millisecond))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return time.Since(begin), "no answer"
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return time.Since(begin), fmt.Sprintf("status %d", response.StatusCode)
}

// prompt sends a streaming request with the shared parts and one of its own.
func (l *lab) prompt(h *host, shared string) string {
	id := l.newID()
	request, err := http.NewRequest(http.MethodPost, "http://"+h.front()+"/match/a", strings.NewReader("prompt "+id))
	if err != nil {
		return err.Error()
	}
	request.Host = "ficu95.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "14000", "Model": "m", "Token-Counts": fmt.Sprintf("%d,60", partCount*partTokens+5),
		"Prompt-Prefix": shared + "," + id[8:] + ":5",
	} {
		request.Header.Set(name, value)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	response, err := l.client().Do(request.WithContext(ctx))
	if err != nil {
		return "no answer"
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d, %q", response.StatusCode, body)
	}
	return fmt.Sprintf("status 200, %d bytes, %v", len(body), err)
}
