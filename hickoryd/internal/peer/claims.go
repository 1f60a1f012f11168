package peer

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/hickoryfront/hickoryfront/core/claim"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// KeyToWire converts an idempotency key.
func KeyToWire(k claim.Key) *peerapi.Key {
	return &peerapi.Key{Workspace: k.Workspace, Service: k.Service, Value: k.Value}
}

// KeyFromWire converts an idempotency key.
func KeyFromWire(k *peerapi.Key) claim.Key {
	return claim.Key{Workspace: k.GetWorkspace(), Service: k.GetService(), Value: k.GetValue()}
}

// ResponseToWire converts a stored response. Nil stays nil.
func ResponseToWire(r *claim.Response) *peerapi.Answer {
	if r == nil {
		return nil
	}
	headers := make([]*peerapi.Header, 0, len(r.Headers))
	for _, h := range r.Headers {
		headers = append(headers, &peerapi.Header{Name: h.Name, Value: h.Value})
	}
	return &peerapi.Answer{Status: int32(r.Status), Headers: headers, Body: r.Body}
}

// ResponseFromWire converts a stored response. Nil stays nil.
func ResponseFromWire(a *peerapi.Answer) *claim.Response {
	if a == nil {
		return nil
	}
	headers := make([]claim.Header, 0, len(a.GetHeaders()))
	for _, h := range a.GetHeaders() {
		headers = append(headers, claim.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return &claim.Response{Status: int(a.GetStatus()), Headers: headers, Body: a.GetBody()}
}

// GrantToWire converts a grant.
func GrantToWire(g claim.Grant) *peerapi.Grant {
	return &peerapi.Grant{
		Key:       KeyToWire(g.Key),
		BodyHash:  g.BodyHash,
		RequestId: g.RequestID,
		Owner:     &peerapi.Host{Name: g.Owner.Host, Incarnation: g.Owner.Incarnation},
		GrantedAt: timestamppb.New(g.GrantedAt),
		Horizon:   durationpb.New(g.Horizon),
		Settled:   g.Settled,
		Unknown:   g.Unknown,
		Answer:    ResponseToWire(g.Response),
	}
}

// GrantFromWire converts a grant.
func GrantFromWire(g *peerapi.Grant) claim.Grant {
	return claim.Grant{
		Key:       KeyFromWire(g.GetKey()),
		BodyHash:  g.GetBodyHash(),
		RequestID: g.GetRequestId(),
		Owner:     claim.Daemon{Host: g.GetOwner().GetName(), Incarnation: g.GetOwner().GetIncarnation()},
		GrantedAt: g.GetGrantedAt().AsTime(),
		Horizon:   g.GetHorizon().AsDuration(),
		Settled:   g.GetSettled(),
		Unknown:   g.GetUnknown(),
		Response:  ResponseFromWire(g.GetAnswer()),
	}
}

// GrantFromRequest returns the grant that a peer requests.
func GrantFromRequest(now time.Time, r *peerapi.ClaimRequest) claim.Grant {
	return claim.Grant{
		Key:       KeyFromWire(r.GetKey()),
		BodyHash:  r.GetBodyHash(),
		RequestID: r.GetRequestId(),
		Owner:     claim.Daemon{Host: r.GetClaimant().GetName(), Incarnation: r.GetClaimant().GetIncarnation()},
		GrantedAt: now,
		Horizon:   r.GetHorizon().AsDuration(),
	}
}

// ClaimResponse returns the message for the outcome of a claim.
func ClaimResponse(outcome claim.Outcome, g claim.Grant) *peerapi.ClaimResponse {
	return &peerapi.ClaimResponse{
		Outcome:   outcomeToWire(outcome),
		Owner:     &peerapi.Host{Name: g.Owner.Host, Incarnation: g.Owner.Incarnation},
		RequestId: g.RequestID,
		Answer:    ResponseToWire(g.Response),
	}
}

// GrantFromResponse returns the grant that holds the key of the wanted grant,
// which may belong to another request.
func GrantFromResponse(wanted claim.Grant, r *peerapi.ClaimResponse) claim.Grant {
	wanted.RequestID = r.GetRequestId()
	wanted.Owner = claim.Daemon{Host: r.GetOwner().GetName(), Incarnation: r.GetOwner().GetIncarnation()}
	wanted.Response = ResponseFromWire(r.GetAnswer())
	return wanted
}

func outcomeToWire(o claim.Outcome) peerapi.ClaimResponse_Outcome {
	switch o {
	case claim.Granted:
		return peerapi.ClaimResponse_OUTCOME_GRANTED
	case claim.Running:
		return peerapi.ClaimResponse_OUTCOME_RUNNING
	case claim.Settled:
		return peerapi.ClaimResponse_OUTCOME_SETTLED
	case claim.Unknown:
		return peerapi.ClaimResponse_OUTCOME_UNKNOWN
	case claim.BodyMismatch:
		return peerapi.ClaimResponse_OUTCOME_BODY_MISMATCH
	case claim.NotHome:
		return peerapi.ClaimResponse_OUTCOME_NOT_HOME
	}
	return peerapi.ClaimResponse_OUTCOME_UNDECIDED
}

// OutcomeFromWire converts the outcome of a claim.
func OutcomeFromWire(o peerapi.ClaimResponse_Outcome) claim.Outcome {
	switch o {
	case peerapi.ClaimResponse_OUTCOME_GRANTED:
		return claim.Granted
	case peerapi.ClaimResponse_OUTCOME_RUNNING:
		return claim.Running
	case peerapi.ClaimResponse_OUTCOME_SETTLED:
		return claim.Settled
	case peerapi.ClaimResponse_OUTCOME_UNKNOWN:
		return claim.Unknown
	case peerapi.ClaimResponse_OUTCOME_BODY_MISMATCH:
		return claim.BodyMismatch
	case peerapi.ClaimResponse_OUTCOME_NOT_HOME:
		return claim.NotHome
	}
	return claim.Undecided
}

// GrantsToWire converts grants.
func GrantsToWire(grants []claim.Grant) []*peerapi.Grant {
	wire := make([]*peerapi.Grant, 0, len(grants))
	for _, g := range grants {
		wire = append(wire, GrantToWire(g))
	}
	return wire
}

// GrantsFromWire converts grants.
func GrantsFromWire(wire []*peerapi.Grant) []claim.Grant {
	grants := make([]claim.Grant, 0, len(wire))
	for _, g := range wire {
		grants = append(grants, GrantFromWire(g))
	}
	return grants
}

// MemberModeToWire converts the mode of a home, which states whether the home grants
// without its journal.
func MemberModeToWire(m claim.MemberMode) *peerapi.ClaimFlag {
	return &peerapi.ClaimFlag{
		Member:   MemberToWire(m.Member),
		Sequence: m.Mode.Sequence,
		Outage:   m.Mode.Outage,
	}
}

// MemberModeFromWire converts the mode of a home, which states whether the home
// grants without its journal.
func MemberModeFromWire(f *peerapi.ClaimFlag) claim.MemberMode {
	return claim.MemberMode{
		Member: MemberFromWire(f.GetMember()),
		Mode:   claim.Mode{Sequence: f.GetSequence(), Outage: f.GetOutage()},
	}
}

// MemberToWire converts a member of the set of homes.
func MemberToWire(m claim.Member) *peerapi.ClaimMember {
	return &peerapi.ClaimMember{Host: m.Host, Incarnation: m.Incarnation, Since: m.Since}
}

// MemberFromWire converts a member of the set of homes.
func MemberFromWire(m *peerapi.ClaimMember) claim.Member {
	return claim.Member{Host: m.GetHost(), Incarnation: m.GetIncarnation(), Since: m.GetSince()}
}

// DaemonFromWire converts an incarnation of a daemon.
func DaemonFromWire(h *peerapi.Host) claim.Daemon {
	return claim.Daemon{Host: h.GetName(), Incarnation: h.GetIncarnation()}
}
