package dispatch

import "github.com/hickoryfront/hickoryfront/core/slot"

// attemptID returns the name of one attempt of the request at the engines.
func (r *run) attemptID(attempt int) string {
	return slot.AttemptID{Holder: r.models.slots.Holder(), Request: r.request.ID, Attempt: attempt}.String()
}
