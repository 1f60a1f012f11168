package edgehost_test

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/hickoryfront/hickoryfront/hickoryd/internal/edgehost"
	"github.com/hickoryfront/hickoryfront/peerapi"
)

// slowLink is the bandwidth of a slow link in bytes per second.
const slowLink = 650_000

// slowListener accepts connections that send with the bandwidth of slowLink.
type slowListener struct {
	net.Listener
}

type slowConnection struct {
	net.Conn
}

func (l slowListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	return slowConnection{connection}, err
}

func (c slowConnection) Write(p []byte) (int, error) {
	time.Sleep(time.Duration(len(p)) * time.Second / slowLink)
	return c.Conn.Write(p)
}

// The newest of several documents must be fetched, and none if the requester's is as new.
func TestFetchConfiguration(t *testing.T) {
	older, newer := &host{version: 4, document: []byte("four")}, &host{version: 5, document: []byte("five")}
	client := newClient(t, serve(t, older, nil), serve(t, newer, nil), serve(t, &host{}, nil))
	for version, want := range map[uint64]string{0: "five", 4: "five", 5: "", 6: ""} {
		got, err := client.FetchConfiguration(t.Context(), version)
		if err != nil || string(got) != want {
			t.Errorf("above version %d: document %q, error %v; want %q", version, got, err, want)
		}
	}
}

// A document that is larger than the link carries within the time limits of a call must
// arrive all the same, or a host that the store does not respond to keeps an old
// configuration.
func TestFetchConfigurationOverSlowLink(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &host{version: 5, document: make([]byte, 3*slowLink)} // as it can't be compressed, it takes 3 s
	_, _ = rand.NewChaCha8([32]byte{}).Read(h.document)        // never fails
	server := grpc.NewServer()
	peerapi.RegisterEdgeServer(server, edgehost.NewServer(edgehost.Receivers{Source: h, Reports: h, Quarantine: h, Limits: h}))
	go func() { _ = server.Serve(slowListener{listener}) }() // ends when the test stops the server
	t.Cleanup(server.Stop)
	client := newClient(t, netip.MustParseAddrPort(listener.Addr().String()))
	got, err := client.FetchConfiguration(t.Context(), 4)
	if err != nil || !bytes.Equal(got, h.document) {
		t.Errorf("%d of %d bytes, error %v", len(got), len(h.document), err)
	}
}
