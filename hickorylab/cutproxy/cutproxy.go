// Package cutproxy is a TCP proxy that simulates network faults. It can close
// connections, or keep them open and drop their data, as a network does that has lost
// the state of the connections.
package cutproxy

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// Forward forwards data.
	Forward Mode = iota
	// Refuse closes open and new connections.
	Refuse
	// Blackhole keeps open and new connections open and drops their data.
	Blackhole

	dialTimeout = 2 * time.Second
	chunkBytes  = 32 << 10
)

type (
	// Mode is how the connections of a source are treated.
	Mode int

	// Proxy forwards connections to one target. It is safe for concurrent use.
	Proxy struct {
		target   string
		listener net.Listener

		mu       sync.Mutex
		modes    map[netip.Addr]Mode // by source; the zero address stands for every source
		links    map[*link]bool
		isClosed bool
		group    sync.WaitGroup
	}

	// link is one forwarded connection.
	link struct {
		proxy  *Proxy
		source netip.Addr
		client net.Conn
		server net.Conn

		mu        sync.Mutex
		dropsData bool
	}

	// pipe copies one direction of a link.
	pipe struct {
		link *link
		from net.Conn
		to   net.Conn
	}
)

// Listen returns a proxy at address that forwards to target.
func Listen(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, modes: map[netip.Addr]Mode{}, links: map[*link]bool{}}
	p.group.Go(p.run)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetMode changes the mode of a source, for open connections and new ones. The zero
// address stands for every source without a mode of its own, but its mode also applies
// to all open connections. A connection that drops data never forwards again.
func (p *Proxy) SetMode(source netip.Addr, mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.modes[source] = mode
	for l := range p.links {
		if source.IsValid() && l.source != source {
			continue
		}
		l.applyMode(mode)
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	p.isClosed = true
	for l := range p.links {
		l.close()
	}
	p.mu.Unlock()
	p.group.Wait()
}

// run accepts connections until the proxy is closed.
func (p *Proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		l := &link{proxy: p, source: sourceOf(client), client: client}
		p.group.Go(l.run)
	}
}

func (p *Proxy) mode(source netip.Addr) Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode, ok := p.modes[source]; ok {
		return mode
	}
	return p.modes[netip.Addr{}]
}

// run forwards both directions until one of them ends.
func (l *link) run() {
	defer l.client.Close()
	mode := l.proxy.mode(l.source)
	if mode == Refuse {
		return
	}
	server, err := net.DialTimeout("tcp", l.proxy.target, dialTimeout)
	if err != nil {
		return
	}
	l.server = server
	if !l.proxy.add(l) {
		server.Close()
		return
	}
	l.applyMode(l.proxy.mode(l.source)) // the mode may have changed while the proxy dialed the target
	defer l.proxy.remove(l)
	var group sync.WaitGroup
	group.Go(pipe{link: l, from: l.client, to: server}.run)
	group.Go(pipe{link: l, from: server, to: l.client}.run)
	group.Wait()
}

// run copies until either end closes. Data of a link in Blackhole mode is dropped.
func (p pipe) run() {
	defer p.link.close()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := p.from.Read(buffer)
		if n > 0 && !p.link.isDroppingData() {
			if _, err := p.to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF && p.link.isDroppingData() {
			p.link.awaitClose()
		}
		if err != nil {
			return
		}
	}
}

func (l *link) applyMode(mode Mode) {
	switch mode {
	case Refuse:
		l.close()
	case Blackhole:
		l.dropData()
	}
}

func (l *link) dropData() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropsData = true
}

func (l *link) isDroppingData() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropsData
}

// awaitClose keeps a link in Blackhole mode open after one end has closed, because
// the other end must not notice it. It returns when the client has closed its end, so
// only a close by the server stays unnoticed.
func (l *link) awaitClose() {
	buffer := make([]byte, chunkBytes)
	for {
		if _, err := l.client.Read(buffer); err != nil {
			return
		}
	}
}

func (l *link) close() {
	l.client.Close()
	if l.server != nil {
		l.server.Close()
	}
}

// add reports whether it added the link. A closed proxy takes no more links.
func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return false
	}
	p.links[l] = true
	return true
}

func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

func sourceOf(conn net.Conn) netip.Addr {
	if address, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return address.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
