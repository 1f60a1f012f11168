package home_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/hickoryfront/hickoryfront/core/member"
	"github.com/hickoryfront/hickoryfront/core/rendezvous"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/home"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peer"
	"github.com/hickoryfront/hickoryfront/hickoryd/internal/peerserver"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// pair is the membership of one of two hosts; the other host is the home of every
// fingerprint.
type pair struct {
	loneView
	address netip.AddrPort
}

func (pair) HomeHosts(time.Time) *rendezvous.HostSet { return rendezvous.New([]string{other.Name}) }

func (p pair) Lookup(string) (member.State, bool) {
	return member.State{Host: member.Host{Name: other.Name, Incarnation: other.Incarnation, PeerAddress: p.address}}, true
}

// BenchmarkCheck compares a check at a remote home with a local one. The time of a
// remote check covers both daemons, which run on one machine.
func BenchmarkCheck(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	pool := peer.NewPool(insecure.NewCredentials(), netip.Addr{})
	defer pool.Close()
	remote := pair{address: netip.MustParseAddrPort(listener.Addr().String())}
	crashes := home.NewCrashes(remote, pool, &log.Logger{Handler: discard.New()}, metrics.NewSet())
	server := grpc.NewServer()
	peerapi.RegisterPeerServer(server, peerserver.New(peerserver.Dependencies{Crashes: home.NewCrashes(loneView{}, pool, &log.Logger{Handler: discard.New()}, metrics.NewSet())}))
	go server.Serve(listener)
	defer server.Stop()
	b.Run("remote", func(b *testing.B) {
		for b.Loop() {
			crashes.Check(b.Context(), time.Now(), 1)
		}
	})
	b.Run("local", func(b *testing.B) {
		for b.Loop() {
			crashes.CheckLocal(time.Now(), 1)
		}
	})
}
