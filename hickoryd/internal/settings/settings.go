// Package settings reads the settings file of one daemon that the subcommand serve
// runs (internal/node): its host, its addresses, the platform's addresses and local
// limits. Everything else is configuration, which all daemons receive from the
// platform. The settings of the subcommand edge are in internal/edge.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/hickoryfront/hickoryfront/core/setting"
)

// ErrInvalid means that the settings file can't be read or fails a check.
var ErrInvalid = errors.New("invalid settings")

type (
	// Settings are the settings of one daemon.
	Settings struct {
		Host     Host
		Listen   Listen
		Platform Platform
		Peers    Peers
		Limits   Limits
		Auth     Auth
		TLS      TLS
		Log      Log
	}

	// Host identifies the host.
	Host struct {
		Name          string
		FailureDomain string
	}

	// Listen holds the addresses that the daemon serves.
	Listen struct {
		Caller   netip.AddrPort
		Operator netip.AddrPort
		Peer     netip.AddrPort
		// PeerAdvertised is the address at which other daemons reach this one. The
		// zero value means Peer.
		PeerAdvertised netip.AddrPort
	}

	// Platform holds the addresses and timeouts of the platform's services.
	Platform struct {
		KV netip.AddrPort
		// HostList and HostListPoll are the address and the poll interval of the list of
		// backend servers, which the settings keys call the host list.
		HostList     netip.AddrPort
		HostListPoll time.Duration
		Timeout      time.Duration
		LeaseTTL     time.Duration
	}

	// Peers configures the traffic between daemons.
	Peers struct {
		Seeds     []netip.AddrPort
		Heartbeat time.Duration
		Fanout    int
		Timeout   time.Duration
		Isolation time.Duration
	}

	// Limits bound the resources that the daemon uses.
	Limits struct {
		Requests         int
		Claims           int
		MaxResponseBytes int64
		ShutdownPeriod   time.Duration
		KVBytesPerSecond int64
		// MemoryMB is the memory from which the bounds of the listeners follow.
		MemoryMB int
		// CallerConnections, OperatorConnections and PeerConnections are the maximum numbers
		// of connections, or 0 for what memory and descriptors allow.
		CallerConnections   int
		OperatorConnections int
		PeerConnections     int
	}

	// Auth holds the operators' token.
	Auth struct {
		OperatorToken string
	}

	// TLS names the certificate files of the daemon. All are empty if connections
	// don't use TLS.
	TLS struct {
		Certificate string
		Key         string
		CA          string
	}

	// Log configures logging.
	Log struct {
		Level string
	}
)

// Load reads and checks a settings file. The error lists all invalid keys, one per
// line, with file and section.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	s, err := Parse(text)
	var wrong setting.Errors
	if errors.As(err, &wrong) {
		return s, fmt.Errorf("%w: %w", ErrInvalid, inFile(path, wrong))
	}
	if err != nil {
		return s, fmt.Errorf("%w: %s: %w", ErrInvalid, path, err)
	}
	return s, nil
}

// Parse parses and checks the text of a settings file. The error is of type
// setting.Errors, unless the text is not valid INI. Values are checked against each
// other only if each is valid by itself.
func Parse(text []byte) (Settings, error) {
	var s Settings
	err := setting.Parse(text, bindings(&s))
	var wrong setting.Errors
	if err != nil && !errors.As(err, &wrong) {
		return s, err
	}
	if len(wrong) == 0 {
		wrong = s.check()
	}
	if len(wrong) > 0 {
		return s, wrong
	}
	return s, nil
}

// check returns the keys whose values contradict each other or are out of bounds.
func (s Settings) check() setting.Errors {
	var wrong setting.Errors
	set := 0
	for _, file := range []string{s.TLS.Certificate, s.TLS.Key, s.TLS.CA} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		wrong = append(wrong, setting.KeyError{Section: "tls", Name: "certificate", Reason: "set certificate, key and ca together, or none"})
	}
	if s.Listen.Caller == s.Listen.Operator || s.Listen.Caller == s.Listen.Peer || s.Listen.Operator == s.Listen.Peer {
		wrong = append(wrong, setting.KeyError{Section: "listen", Name: "caller", Reason: "caller, operator and peer must be three addresses"})
	}
	if s.Peers.Timeout <= s.Peers.Heartbeat {
		wrong = append(wrong, setting.KeyError{Section: "peers", Name: "timeout", Reason: "must be longer than heartbeat"})
	}
	if s.Peers.Fanout < 1 {
		wrong = append(wrong, setting.KeyError{Section: "peers", Name: "fanout", Reason: "must be at least 1"})
	}
	if s.Peers.Isolation <= s.Peers.Timeout {
		wrong = append(wrong, setting.KeyError{Section: "peers", Name: "isolation", Reason: "must be longer than timeout"})
	}
	return wrong
}

// inFile prefixes each error with the name of the file and joins them, one per
// line.
func inFile(path string, wrong setting.Errors) error {
	lines := make([]error, 0, len(wrong))
	for _, err := range wrong {
		lines = append(lines, fmt.Errorf("%s: %w", path, err))
	}
	return errors.Join(lines...)
}

// Keys returns all setting keys, in the order of the reference page.
func Keys() []setting.Key {
	return setting.Keys(bindings(&Settings{}))
}

// Enabled reports whether connections use TLS.
func (t TLS) Enabled() bool {
	return t.Certificate != ""
}

// AdvertisedPeer returns the address at which other daemons reach this one.
func (l Listen) AdvertisedPeer() netip.AddrPort {
	if l.PeerAdvertised.IsValid() {
		return l.PeerAdvertised
	}
	return l.Peer
}

// optionalAddrPort parses an address and leaves target unchanged if the value is
// empty.
func optionalAddrPort(target *netip.AddrPort) func(string) error {
	return func(value string) error {
		if value == "" {
			return nil
		}
		return setting.AddrPort(target)(value)
	}
}

// bindings returns all setting keys with their defaults and the fields of s that
// they set.
func bindings(s *Settings) []setting.Binding {
	return []setting.Binding{
		setting.Bind("host", "name", "", "name of this host, unique among all hosts", setting.Required(&s.Host.Name)),
		setting.Bind("host", "failureDomain", "", "failure domain of this host", setting.Required(&s.Host.FailureDomain)),
		setting.Bind("listen", "caller", "", "address for callers", setting.AddrPort(&s.Listen.Caller)),
		setting.Bind("listen", "operator", "", "address for operators, health checks and metrics", setting.AddrPort(&s.Listen.Operator)),
		setting.Bind("listen", "peer", "", "address for the other daemons", setting.AddrPort(&s.Listen.Peer)),
		setting.Bind("listen", "peerAdvertised", "", "address at which the other daemons reach this one; default: peer", optionalAddrPort(&s.Listen.PeerAdvertised)),
		setting.Bind("platform", "kv", "", "address of the platform's key-value service", setting.AddrPort(&s.Platform.KV)),
		setting.Bind("platform", "hostList", "", "address of the platform's list of backend servers", setting.AddrPort(&s.Platform.HostList)),
		setting.Bind("platform", "hostListPoll", "1s", "time between reads of the list of backend servers", setting.Duration(&s.Platform.HostListPoll)),
		setting.Bind("platform", "timeout", "2s", "longest time without progress of a call to the platform, beyond the wait of a blocking query", setting.Duration(&s.Platform.Timeout)),
		setting.Bind("platform", "leaseTTL", "30s", "lifetime of this daemon's lease", setting.Duration(&s.Platform.LeaseTTL)),
		setting.Bind("peers", "seeds", "", "peer addresses of daemons to contact while no other daemon is known; if the platform is down at the start, all of them must be alive", setting.AddrPorts(&s.Peers.Seeds)),
		setting.Bind("peers", "heartbeat", "500ms", "time between heartbeats", setting.Duration(&s.Peers.Heartbeat)),
		setting.Bind("peers", "fanout", "2", "number of daemons that get a heartbeat at a time; more get one after a change", setting.Integer(&s.Peers.Fanout)),
		setting.Bind("peers", "timeout", "3s", "time within which the failure of a daemon is detected; with many daemons it takes longer", setting.Duration(&s.Peers.Timeout)),
		setting.Bind("peers", "isolation", "15s", "time after which new requests are refused if neither the platform could be read nor a message from a peer arrived", setting.Duration(&s.Peers.Isolation)),
		setting.Bind("limits", "requests", "4096", "maximum number of requests in flight", setting.Integer(&s.Limits.Requests)),
		setting.Bind("limits", "claims", "200000", "maximum number of idempotency keys for which this daemon accepts claims", setting.Integer(&s.Limits.Claims)),
		setting.Bind("limits", "answerBytes", "65536", "largest response body stored with its idempotency key, in bytes", setting.Integer(&s.Limits.MaxResponseBytes)),
		setting.Bind("limits", "shutdown", "10m", "longest wait for requests in flight at shutdown", setting.Duration(&s.Limits.ShutdownPeriod)),
		setting.Bind("limits", "kvRate", "1250000000", "rate of a backend server's link for KV cache transfers, in bytes per second", setting.Integer(&s.Limits.KVBytesPerSecond)),
		setting.Bind("limits", "memoryMB", "1024", "memory from which the bounds of the listeners follow, in MB", setting.Integer(&s.Limits.MemoryMB)),
		setting.Bind("limits", "callerConnections", "0", "maximum number of connections of callers; 0: half of the descriptors, and as many as fit into 22 % of the memory at 16 KB each", setting.Integer(&s.Limits.CallerConnections)),
		setting.Bind("limits", "operatorConnections", "0", "maximum number of connections of operators; 0: a 32nd of the descriptors, and as many as fit into 1.5 % of the memory at 16 KB each", setting.Integer(&s.Limits.OperatorConnections)),
		setting.Bind("limits", "peerConnections", "0", "maximum number of connections from other daemons; 0: an 8th of the descriptors, and as many as fit into 7.5 % of the memory at 16 KB each", setting.Integer(&s.Limits.PeerConnections)),
		setting.Bind("auth", "operatorToken", "", "bearer token of the operators' API", setting.Secret(&s.Auth.OperatorToken)),
		setting.Bind("tls", "certificate", "", "certificate file", setting.Text(&s.TLS.Certificate)),
		setting.Bind("tls", "key", "", "private key file", setting.Text(&s.TLS.Key)),
		setting.Bind("tls", "ca", "", "file of the certificate authority that signs the daemons' certificates", setting.Text(&s.TLS.CA)),
		setting.Bind("log", "level", "info", "debug, info, warn or error", setting.OneOf(&s.Log.Level, "debug", "info", "warn", "error")),
	}
}
