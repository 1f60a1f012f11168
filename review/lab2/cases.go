package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

var cases = map[string]func(l *lab, directory string) error{
	"broken-off-body": brokenOffBody,
}

// startPlain starts the workers of the plain service.
func (l *lab) startPlain(n, size int) ([]*worker, error) {
	var workers []*worker
	for i := range n {
		w, err := l.workers.start("dokan", "", fmt.Sprintf("zone-%d", i%4), l.address(20+i, workerPort), 6, 15*time.Millisecond, size)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	return workers, nil
}

// brokenOffBody: clients leave while they send a body in chunks.
func brokenOffBody(l *lab, directory string) error {
	if err := l.startStore(); err != nil {
		return err
	}
	l.configure(3)
	if _, err := l.startPlain(4, 800); err != nil {
		return err
	}
	if err := l.startHosts(directory, 3, []string{"zone-0", "zone-1", "zone-2"}, nil); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	sent := map[string]string{} // whole bodies by id
	left := map[string]bool{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range 100 {
		id := l.newID()
		leaves := l.trouble && i%10 < 3
		var parts []string
		for n := range 5 {
			parts = append(parts, fmt.Sprintf("{\"copy\":%d,\"line\":%d,\"for\":\"student-%d\"}\n", 1000+i, n, i))
		}
		sent[id], left[id] = strings.Join(parts, ""), leaves
		clients.Go(func() {
			status := l.sendChunks(l.hosts[i%len(l.hosts)], id, parts, leaves)
			mu.Lock()
			defer mu.Unlock()
			l.logf("client: request %s to machine %d, whole body %d bytes, leaves %t: %s", id, i%len(l.hosts), len(sent[id]), leaves, status)
		})
		time.Sleep(40 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	l.workers.mu.Lock()
	defer l.workers.mu.Unlock()
	for _, r := range l.workers.runs {
		l.logf("worker %s ran request %s from %s: %s %s, body %d bytes: %q", r.worker, r.id, r.from, r.method, r.target, len(r.body), r.body)
		whole, ok := sent[r.id]
		if !ok || r.body != whole {
			l.breaks("UNASKED: worker %s ran request %s (client left: %t) with a body of %d bytes, which the client never sent as a body: its own has %d", r.worker, r.id, left[r.id], len(r.body), len(whole))
		}
	}
	return nil
}

// sendChunks sends a request with a body in chunks. A client that leaves closes its connection
// after the second chunk.
func (l *lab) sendChunks(h *host, id string, parts []string, leaves bool) string {
	c, err := net.DialTimeout("tcp4", h.front(), time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /hold/a HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for n, part := range parts {
		if leaves && n == 2 {
			return "left"
		}
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
		time.Sleep(30 * time.Millisecond)
	}
	fmt.Fprint(c, "0\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(response.Body)
	return fmt.Sprintf("status %d, %d bytes, %v", response.StatusCode, len(body), err)
}
