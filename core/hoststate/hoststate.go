// Package hoststate is what a host tells its operators about itself, as JSON.
package hoststate

import (
	"net/netip"
	"time"
)

// Path is where a host's operator address answers with its state.
const Path = "/state"

type (
	// State is what one host knows and believes.
	State struct {
		Host          string    `json:"host"`
		FailureDomain string    `json:"failureDomain"`
		At            time.Time `json:"at"`
		// IsReady is set where the host takes requests, IsLeaving where it ends.
		IsReady       bool          `json:"isReady"`
		IsLeaving     bool          `json:"isLeaving"`
		InFlight      int64         `json:"inFlight"`
		Configuration Configuration `json:"configuration"`
		Store         Store         `json:"store"`
		// Hosts are the peer addresses of all hosts that are known, this one
		// included.
		Hosts   []netip.AddrPort `json:"hosts"`
		Servers []Server         `json:"servers"`
		Budgets []Budget         `json:"budgets"`
	}

	// Configuration is what is in force.
	Configuration struct {
		Version uint64 `json:"version"` // 0: none yet
		Routes  int    `json:"routes"`
	}

	// Store is how the platform's store answers this host.
	Store struct {
		IsUnreachable bool      `json:"isLost"`
		LastResponse  time.Time `json:"lastAnswer"`
	}

	// Server is a backend server as this host sees it.
	Server struct {
		ID            string         `json:"id"`
		Service       string         `json:"service"`
		Stage         string         `json:"stage,omitempty"` // of a model server
		Address       netip.AddrPort `json:"address"`
		FailureDomain string         `json:"failureDomain"`
		IsDraining    bool           `json:"isDraining"`
		// Requests and Tokens are what this host has in flight there.
		Requests int `json:"requests"`
		Tokens   int `json:"tokens"`
		// FailureRate is the weighted rate of this host's last results, 0 to 1.
		FailureRate float64 `json:"failureRate"`
		// IsEjected is set where it gets no work for a while.
		IsEjected bool `json:"isEjected"`
	}

	// Budget is this host's share of a service's retry budget.
	Budget struct {
		Service string `json:"service"`
		// Requests and Repeats are those of the last 10 s, Allowed the most
		// repeats that may be sent in it.
		Requests int     `json:"requests"`
		Retries  int     `json:"repeats"`
		Allowed  float64 `json:"allowed"`
	}
)
