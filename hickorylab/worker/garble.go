package worker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// garbledShare is the share of the runs that a faulty server garbles.
	garbledShare = 0.5
	// crashTime is the time in which a process that crashes ends its listener, before its
	// connections end.
	crashTime = 10 * time.Millisecond
)

type (
	// garbling is what is wrong with the responses of a decode server.
	garbling struct {
		mu    sync.Mutex
		until time.Time
		// unframedShare is the share of the streams that have neither a length nor chunks.
		unframedShare float64
	}

	// eventWriter writes the events of a stream. Without a connection of its own the HTTP
	// server frames them.
	eventWriter struct {
		response http.ResponseWriter
		conn     io.WriteCloser
	}
)

// garbledResponses are what a faulty server responds in place of a stream, after the status line
// and the headers that name the request and the server.
var garbledResponses = []struct{ status, rest string }{
	{"200 OK", "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"},
	{"200 OK", "Content-Type: text/event-stream\r\n\r\n"},
	{"200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{"200 OK", "Content-Type: text/plain\r\nContent-Length: 12\r\n\r\noverloaded\n\n"},
	{"200 OK", "Content-Type: text/event-stream\r\n\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"},
	{"200 OK", "Content-Type: text/event-st"},
	{"204 No Content", "\r\n"},
	{"500 Internal Server Error", "Content-Length: 6\r\n\r\nfailed"},
	{"302 Found", "Location: /\r\nContent-Length: 0\r\n\r\n"},
}

// Garble makes the server respond to a part of its runs, for a duration, with something that is no
// stream or has no events. Such a run counts as broken off.
func (s *Server) Garble(duration time.Duration) {
	s.garbling.mu.Lock()
	defer s.garbling.mu.Unlock()
	s.garbling.until = time.Now().Add(duration)
}

// SetUnframedShare sets the share of the server's streams that end with their connections.
func (s *Server) SetUnframedShare(share float64) {
	s.garbling.mu.Lock()
	defer s.garbling.mu.Unlock()
	s.garbling.unframedShare = share
}

// garble responds to a run in place of its stream. It returns false if the server runs it properly.
func (s *Server) garble(w http.ResponseWriter, r *http.Request) bool {
	s.garbling.mu.Lock()
	isFaulty := time.Now().Before(s.garbling.until)
	s.garbling.mu.Unlock()
	if !isFaulty || rand.Float64() >= garbledShare {
		return false
	}
	s.group.markBrokenOff(r.Header.Get("Request-Id"))
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // only for a server that can't be hijacked
	}
	defer conn.Close()
	response := garbledResponses[rand.IntN(len(garbledResponses))]
	_, _ = io.WriteString(conn, head(response.status, r)+response.rest) // the host may have disconnected
	return true
}

func (g *Group) markBrokenOff(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.brokenOff[id] = true
}

func head(status string, r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Stamp: stamp\r\n", status, r.Header.Get("Request-Id"))
}

// newEventWriter begins a stream, in one of the framings that the server uses.
func (s *Server) newEventWriter(w http.ResponseWriter, r *http.Request) *eventWriter {
	s.garbling.mu.Lock()
	isUnframed := rand.Float64() < s.garbling.unframedShare
	s.garbling.mu.Unlock()
	if !isUnframed {
		w.Header().Set("Server-Stamp", "stamp")
		w.Header().Set("Content-Type", "text/event-stream")
		return &eventWriter{response: w}
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // only for a server that can't be hijacked
	}
	_, _ = io.WriteString(conn, head("200 OK", r)+"Content-Type: text/event-stream\r\n\r\n") // the host may have disconnected
	return &eventWriter{conn: conn}
}

func (e *eventWriter) write(event string) error {
	if e.conn != nil {
		_, err := io.WriteString(e.conn, event)
		return err
	}
	if _, err := io.WriteString(e.response, event); err != nil {
		return err
	}
	return http.NewResponseController(e.response).Flush()
}

// stop ends the stream of a run that has stopped, without its end.
func (e *eventWriter) stop() {
	if e.conn == nil {
		panic(http.ErrAbortHandler)
	}
	e.conn.Close()
}

// close ends the stream at its end.
func (e *eventWriter) close() {
	if e.conn != nil {
		e.conn.Close()
	}
}
