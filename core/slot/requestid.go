package slot

import (
	"net/url"
	"strconv"
	"strings"
)

const (
	requestIDPrefix    = "hf"
	requestIDSeparator = ":"
	requestIDParts     = 5
	incarnationBase    = 36
)

// RequestID identifies one attempt of a request at the engines. It names the
// incarnation of the daemon that holds the attempt, so that any home can find
// the holder. The prefix of its text form distinguishes it from the IDs of other
// systems on the same engine.
type RequestID struct {
	Holder  Holder
	Request string
	Attempt int
}

// String returns the text form that is sent to engines.
func (id RequestID) String() string {
	return strings.Join([]string{
		requestIDPrefix,
		url.QueryEscape(id.Holder.Host),
		strconv.FormatUint(id.Holder.Incarnation, incarnationBase),
		url.QueryEscape(id.Request),
		strconv.Itoa(id.Attempt),
	}, requestIDSeparator)
}

// ParseRequestID parses the text form that is sent to engines. It returns false
// for the ID of a request that another system has sent.
func ParseRequestID(text string) (RequestID, bool) {
	parts := strings.Split(text, requestIDSeparator)
	if len(parts) != requestIDParts || parts[0] != requestIDPrefix {
		return RequestID{}, false
	}
	host, err := url.QueryUnescape(parts[1])
	if err != nil || host == "" {
		return RequestID{}, false
	}
	incarnation, err := strconv.ParseUint(parts[2], incarnationBase, 64)
	if err != nil {
		return RequestID{}, false
	}
	request, err := url.QueryUnescape(parts[3])
	if err != nil || request == "" {
		return RequestID{}, false
	}
	attempt, err := strconv.Atoi(parts[4])
	if err != nil || attempt < 1 {
		return RequestID{}, false
	}
	return RequestID{Holder: Holder{Host: host, Incarnation: incarnation}, Request: request, Attempt: attempt}, true
}
