package edgecaller

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hickoryfront/hickoryfront/core/memoryledger"
	"github.com/hickoryfront/hickoryfront/core/route"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgedispatch"
)

// firstBodyBytes is the size of the buffer with which a body of unknown length begins.
const firstBodyBytes = 8 << 10

var (
	errTooLong  = errors.New("longer than the limit")
	errNoMemory = errors.New("no memory left")
)

// body is a request body in memory, counted in the ledger as it grows.
type body struct {
	ledger *memoryledger.Ledger
	data   []byte
	// held is the number of bytes that are taken in the ledger.
	held int64
	// isRefused is set if the body was refused before its end.
	isRefused bool
}

// read reads a body of the given length, or of unknown length if that is negative. The error
// is errTooLong, errNoMemory or that of the reader: io.EOF alone ends a body of unknown length,
// since net/http returns io.ErrUnexpectedEOF for one whose connection ends before its last chunk.
func (b *body) read(r io.Reader, length, limit int64) error {
	size := length
	if length < 0 {
		size = min(firstBodyBytes, limit)
	}
	if err := b.grow(size); err != nil {
		return err
	}
	for {
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		isFull := len(b.data) == cap(b.data)
		switch {
		case length >= 0 && isFull:
			return nil
		case err == io.EOF && length < 0:
			return nil
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case !isFull:
			continue
		case int64(len(b.data)) == limit:
			return b.checkEnd(r)
		}
		if err := b.grow(min(2*int64(cap(b.data)), limit)); err != nil {
			return err
		}
	}
}

// checkEnd returns errTooLong if more follows.
func (b *body) checkEnd(r io.Reader) error {
	var next [1]byte
	_, err := io.ReadFull(r, next[:])
	if err == io.EOF {
		return nil
	}
	if err == nil {
		return errTooLong
	}
	return err
}

// grow moves the body to a buffer of the given size. Both buffers are counted meanwhile.
func (b *body) grow(size int64) error {
	if !b.ledger.Acquire(size) {
		return errNoMemory
	}
	next := make([]byte, len(b.data), size)
	copy(next, b.data)
	b.data = next
	b.ledger.Release(b.held)
	b.held = size
	return nil
}

// release gives up the body.
func (b *body) release() {
	b.data = nil
	b.ledger.Release(b.held)
	b.held = 0
}

// readBody reads the body of a request into memory, within the limits on one body and
// on all bodies.
func (h *Handler) readBody(request *edgedispatch.Request, b *body, r *http.Request, controller *http.ResponseController, limits route.Limits) error {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if hasNoFraming(r) {
		return &edgedispatch.Failure{Status: http.StatusLengthRequired, Reason: "a body in HTTP/1.0 needs a length"}
	}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > limit {
		b.isRefused = true
		return &edgedispatch.Failure{Status: http.StatusRequestEntityTooLarge, Reason: "body too long"}
	}
	switch err := b.read(r.Body, r.ContentLength, limit); {
	case errors.Is(err, errTooLong):
		b.isRefused = true
		return &edgedispatch.Failure{Status: http.StatusRequestEntityTooLarge, Reason: "body too long"}
	case errors.Is(err, errNoMemory):
		b.isRefused = true
		b.release()
		h.bodiesRefused.Inc()
		return errTooManyBodies
	case err != nil:
		return &edgedispatch.Failure{Status: http.StatusRequestTimeout, Reason: "body not read: " + err.Error()}
	}
	request.Body = b.data
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		h.logger.WithError(err).Warn("can't clear the read deadline of a body")
	}
	return nil
}

// hasNoFraming reports whether a request may have a body of which nothing states the end:
// net/http removes Transfer-Encoding from a request in HTTP/1.0 and takes its body for empty.
func hasNoFraming(r *http.Request) bool {
	if r.ProtoAtLeast(1, 1) || r.Header.Get("Content-Length") != "" {
		return false
	}
	return r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch
}

// refuseEarly sends an error response before the body was read, and then reads the rest without
// keeping it: a connection that is closed with unread bytes is reset, and the caller might not get
// the response.
func (h *Handler) refuseEarly(r *http.Request, s *sink, failure *edgedispatch.Failure) {
	if err := s.controller.EnableFullDuplex(); err != nil {
		h.logger.WithError(err).Warn("can't respond before the end of a body")
	}
	s.writer.Header().Set("Connection", "close")
	s.writer.Header().Set("Content-Length", strconv.Itoa(len(failure.Reason)+1))
	s.fail(failure)
	if err := s.controller.Flush(); err != nil {
		return // the caller has disconnected
	}
	_, _ = io.Copy(io.Discard, r.Body) // ends at the read deadline of the body
}
