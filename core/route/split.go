package route

import (
	"iter"

	"github.com/hickoryfront/hickoryfront/core/rendezvous"
)

// Services returns the services that the route leads to.
func (r *Route) Services() iter.Seq[string] {
	return func(yield func(string) bool) {
		if len(r.Split) == 0 {
			yield(r.Service)
			return
		}
		for _, share := range r.Split {
			if !yield(share.Service) {
				return
			}
		}
	}
}

// LeadsTo reports whether the route leads to a service.
func (r *Route) LeadsTo(service string) bool {
	for s := range r.Services() {
		if s == service {
			return true
		}
	}
	return false
}

// Choose returns the route with the service of a session: the route itself, or a copy of a
// split route. hasServer reports whether a service has servers that are not draining. The
// share of a service without any goes to the others.
func (r *Route) Choose(session string, hasServer func(service string) bool) *Route {
	if len(r.Split) == 0 {
		return r
	}
	chosen := *r
	chosen.Split = nil
	chosen.Service = rendezvous.Choose(session, r.choices(hasServer))
	return &chosen
}

// choices returns the services to choose among: those with a weight and servers, otherwise
// those with servers, and if none has servers those with a weight.
func (r *Route) choices(hasServer func(service string) bool) []rendezvous.Choice {
	available := make([]rendezvous.Choice, 0, len(r.Split))
	var weightless, serverless []rendezvous.Choice
	for _, share := range r.Split {
		switch isAvailable := hasServer(share.Service); {
		case share.Weight > 0 && isAvailable:
			available = append(available, rendezvous.Choice{Name: share.Service, Weight: share.Weight})
		case isAvailable:
			weightless = append(weightless, rendezvous.Choice{Name: share.Service, Weight: 1})
		case share.Weight > 0:
			serverless = append(serverless, rendezvous.Choice{Name: share.Service, Weight: share.Weight})
		}
	}
	switch {
	case len(available) > 0:
		return available
	case len(weightless) > 0:
		return weightless
	case len(serverless) > 0:
		return serverless
	}
	return []rendezvous.Choice{{Name: r.Split[0].Service, Weight: 1}} // nothing can serve the request
}
