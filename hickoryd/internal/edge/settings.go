// Package edge is the daemon of a host on the users' own platform, which the subcommand
// edge runs. It connects the store, the other hosts, the callers and the backend servers.
// The daemon for a platform with the Consul HTTP API is in internal/node.
package edge

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/hickoryfront/hickoryfront/core/quota"
	"github.com/hickoryfront/hickoryfront/core/setting"
)

const (
	// pollShare is the poll interval as a part of the time that the drain timeout leaves
	// beside two store timeouts. The rest allows for the jitter of the polls.
	pollShare = 0.85
	// minPollInterval limits the rate of the calls to the store.
	minPollInterval = 300 * time.Millisecond
)

// Values of the setting services in section room.
const (
	roomNone    = "none"
	roomPlain   = "plain"
	roomPrefill = "prefill"
	roomAll     = "all"
)

// ErrInvalid means that the settings can't be read or fail a check.
var ErrInvalid = errors.New("invalid settings")

// Settings are the settings of a host on the users' platform.
type Settings struct {
	Name          string
	FailureDomain string
	// IsFirstStart is set if no host of the fleet has run before.
	IsFirstStart bool

	// Caller, Ready, Peer and Operator are the addresses to listen on for callers, for
	// the readiness check, for other hosts and for operators.
	Caller   netip.AddrPort
	Ready    netip.AddrPort
	Peer     netip.AddrPort
	Operator netip.AddrPort

	// Store is the address of the platform's store.
	Store        netip.AddrPort
	DrainTimeout time.Duration
	StoreTimeout time.Duration

	// Seeds are hosts to query before the list of hosts is known.
	Seeds []netip.AddrPort

	// RetryRatio is the number of retries to a service that are allowed for each
	// request, and RetrySlack the number allowed in 10 s besides, of all hosts together.
	RetryRatio float64
	RetrySlack float64

	// Quota are the bounds of what hosts may admit beyond the quotas of workspaces.
	Quota quota.Bounds

	// PrefillShare is the part of a service's model servers that is busy with prefills
	// at the peak. The planned number of prefill servers includes a reserve besides. With
	// share 0 the stages stay as they are.
	PrefillShare float64

	// RoomServices are the servers that homes choose: none, plain, prefill or all.
	RoomServices string
	// RoomMinHosts is the number of hosts from which on homes choose servers.
	RoomMinHosts int
	// RoomHomes is the number of hosts that share the room of a plain service.
	RoomHomes int
	// CallerConnections, ReadyConnections, PeerConnections and OperatorConnections are the
	// maximum numbers of connections of the listeners, or 0 for what memory and
	// descriptors allow.
	CallerConnections   int
	ReadyConnections    int
	PeerConnections     int
	OperatorConnections int

	MemoryMB int
	Grace    time.Duration
	LogLevel string
}

// LoadSettings reads and checks a settings file. The error names all wrong keys.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	s, err := ParseSettings(text)
	if err != nil {
		return s, fmt.Errorf("%w: %s: %w", ErrInvalid, path, err)
	}
	return s, nil
}

// ParseSettings checks the text of a settings file.
func ParseSettings(text []byte) (Settings, error) {
	var s Settings
	if err := setting.Parse(text, bindings(&s)); err != nil {
		return s, err
	}
	if s.StorePoll() < minPollInterval {
		return s, setting.Errors{{Section: "store", Name: "drainTimeout", Reason: "must be at least 400ms longer than twice timeout"}}
	}
	return s, nil
}

// StorePoll returns the interval between two reads of the server list from the store.
// It is so short that, before the drain timeout is over, a read that times out and a
// fetch from other hosts can follow it.
func (s Settings) StorePoll() time.Duration {
	return time.Duration(float64(s.DrainTimeout-2*s.StoreTimeout) * pollShare)
}

// SetQuotaBounds replaces the bounds of quotas by those in text: window in seconds, overshoot and
// slack, separated by commas. Empty parts, and an empty text, change nothing. The error is ErrInvalid.
func (s *Settings) SetQuotaBounds(text string) error {
	if text == "" {
		return nil
	}
	parts := strings.Split(text, ",")
	window := s.Quota.Window.Seconds()
	targets := []*float64{&window, &s.Quota.Overshoot, &s.Quota.Slack}
	if len(parts) != len(targets) {
		return fmt.Errorf("%w: bounds of quotas: %q is not WINDOW,OVERSHOOT,SLACK", ErrInvalid, text)
	}
	for i, part := range parts {
		if part == "" {
			continue
		}
		if err := setting.Number(targets[i])(part); err != nil {
			return fmt.Errorf("%w: bounds of quotas: %w", ErrInvalid, err)
		}
	}
	s.Quota.Window = time.Duration(window * float64(time.Second))
	if s.Quota.Window <= 0 {
		return fmt.Errorf("%w: bounds of quotas: the window must be above zero", ErrInvalid)
	}
	return nil
}

// Keys returns all settings in order.
func Keys() []setting.Key {
	return setting.Keys(bindings(&Settings{}))
}

func bindings(s *Settings) []setting.Binding {
	return []setting.Binding{
		setting.Bind("host", "name", "", "name of this host, unique among all hosts", setting.Required(&s.Name)),
		setting.Bind("host", "failureDomain", "", "failure domain of this host", setting.Required(&s.FailureDomain)),
		setting.Bind("host", "firstStart", "false", "whether the fleet starts for the first time, so that no stream of an earlier start can go on", setting.Boolean(&s.IsFirstStart)),
		setting.Bind("host", "memoryMB", "128", "memory that the process may use, in MB", setting.Integer(&s.MemoryMB)),
		setting.Bind("listen", "caller", "", "address for callers", setting.AddrPort(&s.Caller)),
		setting.Bind("listen", "ready", "", "address of the readiness check", setting.AddrPort(&s.Ready)),
		setting.Bind("listen", "peer", "", "address for the other hosts", setting.AddrPort(&s.Peer)),
		setting.Bind("listen", "operator", "", "address of metrics and status", setting.AddrPort(&s.Operator)),
		setting.Bind("listen", "callerConnections", "0", "maximum number of connections of callers; 0: half of the descriptors, and as many as fit into 20 % of the memory at 16 KB each", setting.Integer(&s.CallerConnections)),
		setting.Bind("listen", "readyConnections", "0", "maximum number of connections of the readiness check; 0: a 16th of the descriptors, and as many as fit into 1.5 % of the memory at 16 KB each", setting.Integer(&s.ReadyConnections)),
		setting.Bind("listen", "peerConnections", "0", "maximum number of connections from other hosts; 0: an 8th of the descriptors, and as many as fit into 5 % of the memory at 16 KB each", setting.Integer(&s.PeerConnections)),
		setting.Bind("listen", "operatorConnections", "0", "maximum number of connections for metrics and status; 0: a 32nd of the descriptors, and as many as fit into 1.5 % of the memory at 16 KB each", setting.Integer(&s.OperatorConnections)),
		setting.Bind("store", "address", "", "address of the platform's store", setting.AddrPort(&s.Store)),
		setting.Bind("store", "drainTimeout", "2s", "time after the start of a backend server's drain within which hosts must stop sending it new requests", setting.Duration(&s.DrainTimeout)),
		setting.Bind("store", "timeout", "500ms", "longest time without progress of a call to the store", setting.Duration(&s.StoreTimeout)),
		setting.Bind("peers", "seeds", "", "addresses of other hosts to query while no other host is known", setting.AddrPorts(&s.Seeds)),
		setting.Bind("repeats", "ratio", "0.2", "retries to a service for each request, of all hosts together", setting.Number(&s.RetryRatio)),
		setting.Bind("repeats", "slack", "20", "retries to a service in 10 s in addition to ratio, of all hosts together", setting.Number(&s.RetrySlack)),
		setting.Bind("quota", "window", "8s", "sliding window over which the units of a workspace are counted against its quota", setting.Duration(&s.Quota.Window)),
		setting.Bind("quota", "overshoot", "0", "part by which all hosts together may exceed what a quota allows in window", setting.Number(&s.Quota.Overshoot)),
		setting.Bind("quota", "slack", "0", "units that all hosts together may admit in window in addition to overshoot; if both are 0, a host that reaches no home of a quota refuses the requests", setting.Number(&s.Quota.Slack)),
		setting.Bind("stages", "prefillShare", "0.13", "part of a service's model servers that is busy with prefills at the peak, without the reserve; 0 leaves the stages unchanged", setting.Fraction(&s.PrefillShare)),
		setting.Bind("room", "services", "none", "servers that a home chooses for all hosts together: none, plain (servers of plain services), prefill (prefill servers) or all (both)", setting.OneOf(&s.RoomServices, roomNone, roomPlain, roomPrefill, roomAll)),
		setting.Bind("room", "minHosts", "24", "number of hosts from which on homes choose servers; fewer hosts know the load of a server from their own requests", setting.Integer(&s.RoomMinHosts)),
		setting.Bind("room", "homes", "3", "number of hosts that share the room of a plain service: each grants its part to a part of the hosts", setting.Integer(&s.RoomHomes)),
		setting.Bind("shutdown", "grace", "8s", "longest time from the termination signal to the exit of the process", setting.Duration(&s.Grace)),
		setting.Bind("log", "level", "info", "debug, info, warn or error", setting.OneOf(&s.LogLevel, "debug", "info", "warn", "error")),
	}
}
