package http1_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/http1"
)

const sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

// startServer returns the URL of a server that sends the next response to each request on its first
// connection, and the last response to a request on each further one. It closes a connection after
// the last response if that ends with it.
func startServer(t *testing.T, endsConnection bool, responses ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go respond(t.Context(), socket, endsConnection, responses)
			responses = responses[len(responses)-1:]
		}
	}()
	return "http://" + listener.Addr().String()
}

func respond(ctx context.Context, socket net.Conn, endsConnection bool, responses []string) {
	defer socket.Close()
	reader := bufio.NewReader(socket)
	for _, response := range responses {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(socket, response)
	}
	if !endsConnection {
		<-ctx.Done()
	}
}

// get returns the body of a response, or why it is broken.
func get(t *testing.T, client *http.Client, url string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestMalformedResponses guards against responses that net/http understands although they are
// malformed, on a new connection and on a reused one.
func TestMalformedResponses(t *testing.T) {
	const end = "\r\nContent-Length: 0\r\n\r\n"
	for name, response := range map[string]string{
		"status 000":                       "HTTP/1.1 000 " + end,
		"status 000 before another one":    "HTTP/1.1 000 \r\n\r\n" + sound,
		"status below 100":                 "HTTP/1.1 099 Odd" + end,
		"status above 599":                 "HTTP/1.1 600 Odd" + end,
		"signed status":                    "HTTP/1.1 +99 Odd" + end,
		"another protocol":                 "HTTP/1.1 101 Switching Protocols" + end,
		"another version":                  "HTTP/2.0 200 OK" + end,
		"control byte in the reason":       "HTTP/1.1 200 O\x00K" + end,
		"bare carriage return":             "HTTP/1.1 200 OK\rX: y" + end,
		"status 000 after an interim head": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 " + end,
		"blank in a name":                  "HTTP/1.1 200 OK\r\nX Y: 1" + end,
		"blank before the colon":           "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nsound",
		"blank in the name of the coding":  "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked" + end,
		"tab in a name":                    "HTTP/1.1 200 OK\r\nX\tY: 1" + end,
		"control byte in a name":           "HTTP/1.1 200 OK\r\nX\x01Y: 1" + end,
		"NUL in a name":                    "HTTP/1.1 200 OK\r\nX\x00: 1" + end,
		"byte above 127 in a name":         "HTTP/1.1 200 OK\r\nX\xe0: 1" + end,
		"no name":                          "HTTP/1.1 200 OK\r\n: 1" + end,
		"no colon":                         "HTTP/1.1 200 OK\r\nX" + end,
		"name of an interim head":          "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + sound,
		"blank in a trailer":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\nX Y: 1\r\n\r\n",
		"length and chunks":                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n\r\n",
		"chunks of HTTP/1.0":               "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, before := range [][]string{nil, {sound}} {
				client := &http.Client{Transport: http1.NewTransport(&http.Transport{})}
				url := startServer(t, false, append(before, response)...)
				for range before {
					if body, err := get(t, client, url); body != "sound" || err != nil {
						t.Fatalf("first response: body %q, error %v", body, err)
					}
				}
				if body, err := get(t, client, url); !errors.Is(err, http1.ErrMalformed) {
					t.Errorf("after %d responses: body %q, error %v; want %v", len(before), body, err, http1.ErrMalformed)
				}
			}
		})
	}
}

// TestSoundResponses guards against the rejection of what RFC 9112 allows.
func TestSoundResponses(t *testing.T) {
	for name, response := range map[string]string{
		"length":              sound,
		"no reason":           "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nsound",
		"only a status":       "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nsound",
		"bytes above 127":     "HTTP/1.1 200 \xe0\xa6\x93\r\nContent-Length: 5\r\n\r\nsound",
		"bare line feeds":     "HTTP/1.1 200 OK\nContent-Length: 5\n\nsound",
		"continued line":      "HTTP/1.1 200 OK\r\nX: a\r\n b: c\r\nContent-Length: 5\r\n\r\nsound",
		"interim heads":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + sound,
		"length stated twice": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nsound",
		"HTTP/1.0, length":    "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nsound",
		"interim head with a length, then chunks": "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n\r\n",
		"HTTP/1.0, no length":                     "HTTP/1.0 200 OK\r\n\r\nsound",
		"no length":                               "HTTP/1.1 200 OK\r\n\r\nsound",
		"chunks and a trailer":                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := &http.Client{Transport: http1.NewTransport(&http.Transport{})}
			if body, err := get(t, client, startServer(t, true, response)); body != "sound" || err != nil {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}
