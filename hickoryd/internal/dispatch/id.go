package dispatch

import "github.com/hickoryfront/hickoryfront/core/slot"

// attemptID returns the ID of one attempt of the request at the engines.
func (g *generation) attemptID(attempt int) string {
	return slot.AttemptID{Holder: g.models.slots.Holder(), Request: g.request.ID, Attempt: attempt}.String()
}
