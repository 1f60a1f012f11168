// Package backend describes the backend servers that requests are routed to:
// model engines and plain services. The command hickoryd serve uses it, for a platform
// with the Consul HTTP API. The servers of the users' platform, which hickoryd edge
// uses, are in core/serverlist.
package backend

import (
	"net/netip"
	"time"
)

const (
	// RolePrefill computes the KV cache of prompts.
	RolePrefill Role = "prefill"
	// RoleDecode generates tokens from an imported KV cache.
	RoleDecode Role = "decode"
	// RolePlain serves HTTP calls that use no model.
	RolePlain Role = "plain"

	// StateLive servers accept new requests.
	StateLive State = "live"
	// StateLeaving servers finish the requests that they have and accept no new
	// ones.
	StateLeaving State = "leaving"

	// FencingChecked servers reject an order with an older fencing token.
	FencingChecked Fencing = "checked"
	// FencingIgnored servers carry out every order that they receive.
	FencingIgnored Fencing = "ignored"
)

type (
	// Role is the part of a request that a server can run.
	Role string

	// State is the state of a server as the platform lists it.
	State string

	// Fencing states whether a server checks the fencing tokens of orders.
	Fencing string

	// Server is one backend server as the platform lists it.
	Server struct {
		ID            string
		Address       netip.AddrPort
		Role          Role
		Model         string // model of an engine
		Service       string // service of a plain server
		FailureDomain string
		State         State
		Slots         int // number of requests that fit in the engine's memory
		Fencing       Fencing
	}

	// Load is the load that a server last reported, with the time of the report.
	Load struct {
		ServerID       string
		ObservedAt     time.Time
		Incarnation    string // incarnation of the server; empty if not reported
		SlotsUsed      int
		SlotsTotal     int
		PrefillBacklog time.Duration // time to process the queued prefills
		LinkBacklog    time.Duration // time until the link for KV cache transfers is free
		PrefillRate    float64       // tokens per second; 0: unknown
		Batch          int           // number of requests in the batch of the last step
		TokenGap       time.Duration // token gap of the last step; 0: no step
		Leaving        bool          // accepts no new requests
		Unreachable    bool          // does not respond to its home, the daemon that owns its slot ledger
	}
)
