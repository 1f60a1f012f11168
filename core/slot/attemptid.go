package slot

import (
	"net/url"
	"strconv"
	"strings"
)

const (
	attemptIDPrefix    = "hf"
	attemptIDSeparator = ":"
	attemptIDParts     = 5
	incarnationBase    = 36
)

// AttemptID identifies one attempt of a request at the engines. It names the
// incarnation of the daemon that holds the attempt, so that any home can find
// the holder. The prefix of its text form distinguishes it from the IDs of other
// systems on the same engine.
type AttemptID struct {
	Holder  Holder
	Request string
	Attempt int
}

// String returns the text form that is sent to engines.
func (id AttemptID) String() string {
	return strings.Join([]string{
		attemptIDPrefix,
		url.QueryEscape(id.Holder.Host),
		strconv.FormatUint(id.Holder.Incarnation, incarnationBase),
		url.QueryEscape(id.Request),
		strconv.Itoa(id.Attempt),
	}, attemptIDSeparator)
}

// ParseAttemptID parses the text form that is sent to engines. It returns false
// for the ID of a request that another system has sent.
func ParseAttemptID(text string) (AttemptID, bool) {
	parts := strings.Split(text, attemptIDSeparator)
	if len(parts) != attemptIDParts || parts[0] != attemptIDPrefix {
		return AttemptID{}, false
	}
	host, err := url.QueryUnescape(parts[1])
	if err != nil || host == "" {
		return AttemptID{}, false
	}
	incarnation, err := strconv.ParseUint(parts[2], incarnationBase, 64)
	if err != nil {
		return AttemptID{}, false
	}
	request, err := url.QueryUnescape(parts[3])
	if err != nil || request == "" {
		return AttemptID{}, false
	}
	attempt, err := strconv.Atoi(parts[4])
	if err != nil || attempt < 1 {
		return AttemptID{}, false
	}
	return AttemptID{Holder: Holder{Host: host, Incarnation: incarnation}, Request: request, Attempt: attempt}, true
}
