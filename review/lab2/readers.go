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
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["crowd-that-does-not-read"] = crowdThatDoesNotRead
}

const (
	// crowdSize is the number of connections of the crowd, and sentAhead the number of requests
	// that each of them sends without reading the answers.
	crowdSize = 1900
	sentAhead = 40
	// segment is the segment size of an ordinary network, which the loopback network lacks.
	segment = 1460
	// answerBytes is the size of the answers, the largest of the site.
	answerBytes = 4800
	tryers      = 10
	// grownContact and grownDrain are bounds of the site of this case.
	grownContact = 4 * time.Second
	grownDrain   = 3 * time.Second
	grownSlack   = 194
)

// crowdThatDoesNotRead: a crowd sends requests ahead on its connections to one machine and does
// not read the answers. Ordinary clients try new connections.
func crowdThatDoesNotRead(l *lab, directory string) error {
	l.drainTimeout, l.slack = grownDrain, grownSlack
	if err := l.startStore(); err != nil {
		return err
	}
	l.configure(3)
	if _, err := l.startPlain(4, answerBytes); err != nil {
		return err
	}
	if err := l.startHosts(directory, 3, []string{"zone-0", "zone-1", "zone-2"}, nil); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	h := l.hosts[0]
	l.logf("before: %s", l.tryAll(h, 2*time.Second))

	var crowd []net.Conn
	var sent atomic.Int64
	if l.trouble {
		for i := range crowdSize {
			c, err := dialSmall(h.front())
			if err != nil {
				l.logf("crowd: connection %d: %v", i, err)
				break
			}
			crowd = append(crowd, c)
			go func() {
				for range sentAhead {
					_, err := fmt.Fprintf(c, "GET /stock/crowd HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\n\r\n", l.newID())
					if err != nil {
						return
					}
					sent.Add(1)
				}
			}()
			time.Sleep(12 * time.Millisecond)
			if i%200 == 199 {
				l.logf("crowd: %d connections, %d requests", i+1, sent.Load())
			}
		}
		time.Sleep(6 * time.Second)
	}
	l.logf("crowd: %d connections, %d requests sent, none of their answers read", len(crowd), sent.Load())

	// The clients try for four spans of contact-ms, of which the crowd stays silent.
	broken := 0
	for span := range 4 {
		outcome := l.tryAll(h, grownContact)
		l.logf("span %d: %s", span, outcome)
		if outcome.served == 0 && outcome.ready && outcome.tries >= 7 {
			broken++
		}
	}
	l.logf("memory of machine 0: %s", memoryOf(h.cmd.Process.Pid))
	for _, c := range crowd {
		_ = c.Close()
	}
	if broken > 0 {
		l.breaks("RECOVER: machine 0 said that it was ready and took no new connection of %d clients for contact-ms (%v), %d spans of 4", tryers, grownContact, broken)
	}
	if h.hasEnded() {
		l.breaks("the process of machine 0 has ended")
	}
	return nil
}

// dialSmall connects with the segment size of an ordinary network and a small receive buffer.
func dialSmall(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
	}}
	return dialer.Dial("tcp4", address)
}

type outcome struct {
	tries, served int
	ready         bool
	how           string
}

func (o outcome) String() string {
	return fmt.Sprintf("%d tries on new connections, %d answered, ready %t; %s", o.tries, o.served, o.ready, o.how)
}

// tryAll lets ordinary clients try new connections at a machine for some time.
func (l *lab) tryAll(h *host, span time.Duration) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var mu sync.Mutex
	how := map[string]int{}
	o := outcome{ready: h.isReady()}
	var clients sync.WaitGroup
	for range tryers {
		clients.Go(func() {
			for ctx.Err() == nil {
				status := l.tryOnce(ctx, h)
				mu.Lock()
				o.tries++
				if strings.HasPrefix(status, "status") {
					o.served++
				}
				how[status]++
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	o.ready = o.ready && h.isReady()
	o.how = fmt.Sprint(how)
	return o
}

// tryOnce sends a request on a new connection.
func (l *lab) tryOnce(ctx context.Context, h *host) string {
	dialer := net.Dialer{Timeout: time.Second}
	c, err := dialer.DialContext(ctx, "tcp4", h.front())
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /stock/ordinary HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\n\r\n", l.newID())
	_ = c.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "closed or silent"
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return fmt.Sprintf("status %d", response.StatusCode)
}
