package dispatch

import "strconv"

// attemptID names one attempt of a request at the engines.
func attemptID(requestID string, attempt int) string {
	return requestID + "." + strconv.Itoa(attempt)
}
