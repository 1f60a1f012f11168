package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Uint64

// outcome is what a client has seen of one attempt.
type outcome struct {
	id, method, path string
	host             int
	sentAt, endedAt  time.Time
	status           int
	header           http.Header
	err              error
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("%s %s %s at host %d: no complete answer (%v) after %d ms", o.id, o.method, o.path, o.host, o.err, o.endedAt.Sub(o.sentAt).Milliseconds())
	}
	return fmt.Sprintf("%s %s %s at host %d: status %d after %d ms", o.id, o.method, o.path, o.host, o.status, o.endedAt.Sub(o.sentAt).Milliseconds())
}

// send makes one attempt on a new connection.
func (d *deployment) send(host int, method, path, extra string, deadline time.Duration) outcome {
	o := outcome{id: fmt.Sprintf("req-%05d", requestNumber.Add(1)), method: method, path: path, host: host, sentAt: time.Now()}
	defer func() { o.endedAt = time.Now() }()
	socket, err := net.DialTimeout("tcp4", d.hostAddress(host, callPort), time.Second)
	if err != nil {
		o.err = err
		o.endedAt = time.Now()
		return o
	}
	defer socket.Close()
	_ = socket.SetDeadline(time.Now().Add(deadline))
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("x", 300)
	}
	if strings.HasPrefix(path, "/hold/deadly") {
		body = "POISON"
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s", method, path, o.id, deadline.Milliseconds(), extra)
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(socket, head+"\r\n"+body); err != nil {
		o.err = err
		o.endedAt = time.Now()
		return o
	}
	response, err := http.ReadResponse(bufio.NewReader(socket), &http.Request{Method: method})
	if err == nil {
		o.status, o.header = response.StatusCode, response.Header
		_, err = io.ReadAll(response.Body)
	}
	o.err = err
	o.endedAt = time.Now()
	return o
}
