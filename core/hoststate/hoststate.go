// Package hoststate defines the JSON state that a host reports about itself to
// its operators.
package hoststate

import (
	"net/netip"
	"time"
)

// Path is the path of the state on the operator address of a host.
const Path = "/state"

type (
	// State is what one host knows about itself, its servers and the other hosts.
	State struct {
		Host          string    `json:"host"`
		FailureDomain string    `json:"failureDomain"`
		At            time.Time `json:"at"`
		// IsReady is set while the host accepts requests, IsDraining while it
		// shuts down.
		IsReady       bool          `json:"isReady"`
		IsDraining    bool          `json:"isLeaving"`
		InFlight      int64         `json:"inFlight"`
		Configuration Configuration `json:"configuration"`
		Store         Store         `json:"store"`
		// Hosts are the peer addresses of all known hosts, including this one.
		Hosts []netip.AddrPort `json:"hosts"`
		// AreHostsSettled is set once Hosts was the same in some reads, seconds apart. Before that the host
		// issues no permits for servers with limits.
		AreHostsSettled bool     `json:"areHostsSettled"`
		Servers         []Server `json:"servers"`
		Budgets         []Budget `json:"budgets"`
		// RefusedParts are the prompt parts that crash servers.
		RefusedParts []RefusedParts `json:"refusedParts"`
		// Versions are the software versions of services with resumable streams.
		Versions []ServiceVersions `json:"versions"`
		// Workspaces are the workspaces that have sent requests to this host, and one without a
		// name for the requests that belong to none.
		Workspaces []Workspace `json:"workspaces,omitempty"`
		// Rooms are the services for which this host grants room at the servers.
		Rooms []Room `json:"rooms,omitempty"`
		// Quotas are the workspaces of which this host grants units as a home.
		Quotas []Quota `json:"quotas,omitempty"`
	}

	// Room is the ledger of a service at its home.
	Room struct {
		Service string `json:"service"`
		Stage   string `json:"stage,omitempty"` // of model servers
		// Waiting is the number of requests of all hosts that wait for a server.
		Waiting int          `json:"waiting"`
		Servers []RoomServer `json:"servers"`
	}

	// RoomServer is a backend server in the ledger of its service.
	RoomServer struct {
		ID string `json:"id"`
		// Limit is the number of requests that the server takes at once from all hosts.
		Limit int `json:"limit"`
		// Granted is the number of requests granted and not ended, Foreign the number that
		// hosts have stated besides.
		Granted int `json:"granted"`
		Foreign int `json:"foreign"`
		// ServiceTimeMs is the measured service time, or 0.
		ServiceTimeMs float64 `json:"serviceTimeMs"`
		// IsFailing is set while the server gets only probes.
		IsFailing bool `json:"isFailing"`
	}

	// Configuration describes the configuration in force.
	Configuration struct {
		Version uint64 `json:"version"` // 0: none yet
		Routes  int    `json:"routes"`
	}

	// Store describes how the platform's store responds to this host.
	Store struct {
		IsUnreachable bool      `json:"isLost"`
		LastResponse  time.Time `json:"lastAnswer"`
		// FollowedHost is the peer address of the host that reads the store for this one, or
		// empty if this one reads it itself. Followers is the number of hosts for which this
		// one does.
		FollowedHost string `json:"followedHost,omitempty"`
		Followers    int    `json:"followers"`
	}

	// Server is a backend server as this host sees it.
	Server struct {
		ID            string         `json:"id"`
		Service       string         `json:"service"`
		Stage         string         `json:"stage,omitempty"` // of a model server
		Address       netip.AddrPort `json:"address"`
		FailureDomain string         `json:"failureDomain"`
		IsDraining    bool           `json:"isDraining"`
		// Requests and Tokens are what this host has in flight on the server.
		Requests int `json:"requests"`
		Tokens   int `json:"tokens"`
		// FailureRate is the weighted failure rate of this host's latest results,
		// from 0 to 1.
		FailureRate float64 `json:"failureRate"`
		// IsEjected is set while the server temporarily gets no work.
		IsEjected bool `json:"isEjected"`
		// HasNoPath is set while this host can't connect to the server.
		HasNoPath bool `json:"hasNoPath"`
		// Limit is the number of requests a second that the server takes from all hosts
		// together, or nil if it has stated none.
		Limit *float64 `json:"limit,omitempty"`
	}

	// Budget is this host's share of a service's retry budget.
	Budget struct {
		Service string `json:"service"`
		// Requests and Retries count the last 10 s. Allowed is the maximum number
		// of retries in that time.
		Requests int     `json:"requests"`
		Retries  int     `json:"repeats"`
		Allowed  float64 `json:"allowed"`
	}

	// ServiceVersions are the software versions of a service that may have begun streams
	// which still go on, as the store has recorded them.
	ServiceVersions struct {
		Service  string   `json:"service"`
		Recorded []string `json:"recorded"`
		// IsComplete is set if no version is missing. Until then the host refuses to resume
		// streams whose version no other host knows.
		IsComplete bool `json:"isComplete"`
	}

	// Workspace counts the requests of a workspace to this host since its start.
	Workspace struct {
		Name     string `json:"name"`
		Received uint64 `json:"received"`
		// Served counts the complete responses of backend servers, and the other numbers the
		// requests that this host has refused: without a valid key, beyond the quota, or for
		// another reason.
		Served        uint64 `json:"served"`
		UnknownKey    uint64 `json:"unknownKey"`
		OverQuota     uint64 `json:"quota"`
		OtherRefusals uint64 `json:"other"`
	}

	// Quota is what this host, as one of the homes of a workspace, knows of the workspace's
	// quota. Rate (units a second) and Burst (units) are those of all homes together.
	Quota struct {
		Workspace string  `json:"workspace"`
		Rate      float64 `json:"rate"`
		Burst     float64 `json:"burst"`
		// Level is the number of units that this home has left. It is negative by up to one
		// request while the quota is used up.
		Level float64 `json:"level"`
		// Granted is the number of units granted in the last window, without those returned.
		Granted float64 `json:"granted"`
	}

	// RefusedParts refuses the requests of a service whose prompts have all of Parts.
	RefusedParts struct {
		Service string    `json:"service"`
		Parts   []string  `json:"parts"`
		Until   time.Time `json:"until"`
	}
)
