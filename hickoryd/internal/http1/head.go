package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	minStatus = 100
	maxStatus = 599
	// versionPrefix begins the version of a response. Its minor version is one more digit.
	versionPrefix = "HTTP/1."
)

// ErrMalformed means that the head or the trailer of a response is not one of HTTP/1.1.
var ErrMalformed = errors.New("malformed response")

type (
	// headScanner checks the heads of one response as they arrive: the interim ones and the final
	// one.
	headScanner struct {
		// partial is the start of a line whose end has not arrived.
		partial []byte
		head    head
		isDone  bool
	}

	// head is what the lines of a head have stated until now.
	head struct {
		status int // 0 until the status line
		// isHTTP10 is set for HTTP/1.0, which has no transfer codings.
		isHTTP10  bool
		hasLength bool
		hasCoding bool
	}
)

// scan checks the bytes that have arrived after those before. It ignores what follows the final
// head.
func (s *headScanner) scan(arrived []byte) error {
	for !s.isDone {
		line, rest, isWhole := bytes.Cut(arrived, []byte("\n"))
		if !isWhole {
			s.partial = append(s.partial, line...)
			return nil
		}
		if len(s.partial) > 0 {
			line = append(s.partial, line...)
			s.partial = nil
		}
		if err := s.scanLine(string(bytes.TrimSuffix(line, []byte("\r")))); err != nil {
			return err
		}
		arrived = rest
	}
	return nil
}

func (s *headScanner) scanLine(line string) error {
	switch {
	case s.head.status == 0:
		return s.head.scanStatus(line)
	case line == "":
		ended := s.head
		s.head, s.isDone = head{}, ended.status >= http.StatusOK
		return ended.checkFraming()
	case line[0] == ' ' || line[0] == '\t':
		return nil // continues the line before, to which net/http adds it
	}
	return s.head.scanField(line)
}

// scanStatus checks a status line (RFC 9112, section 4). A status other than 100 to 599 is
// invalid (RFC 9110, section 15), and no request asks for another protocol.
func (h *head) scanStatus(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	minor, ok := strings.CutPrefix(version, versionPrefix)
	if !ok || len(minor) != 1 || minor[0] < '0' || minor[0] > '9' || len(code) != 3 || !httpguts.ValidHeaderFieldValue(reason) {
		return fmt.Errorf("%w: status line %.40q", ErrMalformed, line)
	}
	status, err := strconv.Atoi(code)
	if err != nil || status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %q", ErrMalformed, code)
	}
	h.status, h.isHTTP10 = status, minor == "0"
	return nil
}

// scanField checks the name of a field. A blank before the colon must not be forwarded (RFC 9112,
// section 5.1), and net/http would ignore a length or a coding that the field states.
func (h *head) scanField(line string) error {
	name, _, ok := strings.Cut(line, ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) {
		return fmt.Errorf("%w: field line %.40q", ErrMalformed, line)
	}
	h.hasLength = h.hasLength || strings.EqualFold(name, "Content-Length")
	h.hasCoding = h.hasCoding || strings.EqualFold(name, "Transfer-Encoding")
	return nil
}

// checkFraming returns an error if a head states the end of the body in two ways, or in one that
// its version doesn't have (RFC 9112, sections 6.1 and 6.3). net/http ignores one of the statements.
func (h *head) checkFraming() error {
	switch {
	case h.hasCoding && h.hasLength:
		return fmt.Errorf("%w: both a length and a transfer coding", ErrMalformed)
	case h.hasCoding && h.isHTTP10:
		return fmt.Errorf("%w: transfer coding in HTTP/1.0", ErrMalformed)
	}
	return nil
}

// CheckTrailer returns ErrMalformed if the trailer of a response, which net/http has read, has a
// field with a malformed name.
func CheckTrailer(trailer http.Header) error {
	for name, values := range trailer {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field %.40q in the trailer", ErrMalformed, name)
		}
	}
	return nil
}
