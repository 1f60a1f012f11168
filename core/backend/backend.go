// Package backend describes the backend servers that requests are routed to:
// model engines and plain services.
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
	// RolePlain serves ordinary HTTP calls.
	RolePlain Role = "plain"

	// StateLive takes new work.
	StateLive State = "live"
	// StateLeaving finishes what it has and takes nothing new.
	StateLeaving State = "leaving"

	// FencingChecked servers refuse an order with an old fencing number.
	FencingChecked Fencing = "checked"
	// FencingIgnored servers carry out any order they receive.
	FencingIgnored Fencing = "ignored"
)

type (
	// Role says which part of a request a server can run.
	Role string

	// State is the state of a server in the platform's host list.
	State string

	// Fencing says whether a server checks fencing numbers.
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
		Slots         int // requests that fit in engine memory
		Fencing       Fencing
	}

	// Load is what a server reported about itself, with the report's age.
	Load struct {
		ServerID       string
		ObservedAt     time.Time
		Incarnation    string // life of the server, where it tells
		SlotsUsed      int
		SlotsTotal     int
		PrefillBacklog time.Duration // time to work off the queue
		LinkBacklog    time.Duration // time until the KV link is free
		PrefillRate    float64       // tokens per second; 0: not known
		Batch          int           // requests in the batch of the last step
		TokenGap       time.Duration // of the last step; 0: no step
		Leaving        bool
		Unreachable    bool // does not answer its home
	}
)
