package cutproxy

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// Hang lets open connections and new ones hang, as when packets are dropped.
	Hang Cut = iota
	// Reset resets open connections and refuses new ones.
	Reset
	// RefuseNew refuses new connections. Open ones go on.
	RefuseNew

	// fillTimeout is the time after which an attempt to connect is taken to hang.
	fillTimeout = 50 * time.Millisecond
	// maxFill bounds the connections that fill the queue of a listener.
	maxFill = 8
	// relistenPause is the time between two attempts to listen again, of which there are
	// maxRelisten at most.
	relistenPause = 10 * time.Millisecond
	maxRelisten   = 100
)

type (
	// Cut is how a path is cut.
	Cut int

	// Path is a network path to a target that can be cut and healed. It is safe for
	// concurrent use.
	Path struct {
		address, target string

		mu       sync.Mutex
		listener net.Listener // nil while the path is cut
		full     *fullListener
		links    map[*pathLink]bool
		// healed is closed when a path on which connections hang is healed. It is nil if
		// they don't.
		healed   chan struct{}
		isClosed bool
	}

	pathLink struct {
		path           *Path
		client, server net.Conn
	}

	// pathPipe copies one direction of a link.
	pathPipe struct {
		link     *pathLink
		from, to net.Conn
	}

	// fullListener is a listener with a full queue, to which connections hang.
	fullListener struct {
		file    *os.File
		fillers []net.Conn
	}
)

// ListenPath returns a path from address to target.
func ListenPath(address, target string) (*Path, error) {
	p := &Path{address: address, target: target, links: make(map[*pathLink]bool)}
	return p, p.listen()
}

// Cut cuts the path.
func (p *Path) Cut(how Cut) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return nil
	}
	p.listener.Close()
	p.listener = nil
	switch how {
	case Hang:
		p.healed = make(chan struct{})
		var err error
		p.full, err = listenAgain(func() (*fullListener, error) { return listenFull(p.address) })
		return err
	case Reset:
		for l := range p.links {
			l.reset()
		}
	case RefuseNew:
	}
	return nil
}

// Heal ends a cut.
func (p *Path) Heal() error {
	p.mu.Lock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
	if p.full != nil {
		p.full.close()
		p.full = nil
	}
	isCut := p.listener == nil
	p.mu.Unlock()
	if !isCut {
		return nil
	}
	return p.listen()
}

// Close ends the path and its connections.
func (p *Path) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	if p.listener != nil {
		p.listener.Close()
	}
	if p.full != nil {
		p.full.close()
	}
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
	for l := range p.links {
		l.close()
	}
}

func (p *Path) listen() error {
	listener, err := listenAgain(func() (net.Listener, error) { return net.Listen("tcp4", p.address) })
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = listener
	go p.run(listener)
	return nil
}

// listenAgain calls listen until it succeeds, for an address of which the listener has just been
// closed: a process that is being started has a copy of the listener until its exec.
func listenAgain[T any](listen func() (T, error)) (T, error) {
	listener, err := listen()
	for attempt := 0; err != nil && attempt < maxRelisten; attempt++ {
		time.Sleep(relistenPause)
		listener, err = listen()
	}
	return listener, err
}

func (p *Path) run(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go (&pathLink{path: p, client: client}).run()
	}
}

// run forwards both directions until one of them ends.
func (l *pathLink) run() {
	defer l.client.Close()
	server, err := net.DialTimeout("tcp4", l.path.target, dialTimeout)
	if err != nil {
		return
	}
	l.server = server
	l.path.mu.Lock()
	isClosed := l.path.isClosed
	l.path.links[l] = true
	l.path.mu.Unlock()
	if isClosed {
		l.close()
	}
	var group sync.WaitGroup
	group.Go(pathPipe{link: l, from: l.client, to: l.server}.run)
	group.Go(pathPipe{link: l, from: l.server, to: l.client}.run)
	group.Wait()
	l.path.mu.Lock()
	delete(l.path.links, l)
	l.path.mu.Unlock()
}

// run copies until either end closes. What it has read while the path hangs is forwarded when
// the path is healed, as retransmitted packets are.
func (p pathPipe) run() {
	defer p.link.close()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := p.from.Read(buffer)
		p.link.path.awaitHeal()
		if n > 0 {
			if _, err := p.to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Path) awaitHeal() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	if healed != nil {
		<-healed
	}
}

func (l *pathLink) reset() {
	if client, ok := l.client.(*net.TCPConn); ok {
		_ = client.SetLinger(0) // closing the connection then resets it
	}
	l.close()
}

func (l *pathLink) close() {
	l.client.Close()
	if l.server != nil {
		l.server.Close()
	}
}

// listenFull listens with a queue of no connections and fills it.
func listenFull(address string) (*fullListener, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	f := &fullListener{file: os.NewFile(uintptr(descriptor), "full listener")}
	if err := syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		f.close()
		return nil, os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Port: int(target.Port()), Addr: target.Addr().As4()}); err != nil {
		f.close()
		return nil, os.NewSyscallError("bind", err)
	}
	if err := syscall.Listen(descriptor, 0); err != nil {
		f.close()
		return nil, os.NewSyscallError("listen", err)
	}
	for range maxFill {
		filler, err := net.DialTimeout("tcp4", address, fillTimeout)
		if err != nil {
			return f, nil // the queue is full
		}
		f.fillers = append(f.fillers, filler)
	}
	return f, nil
}

func (f *fullListener) close() {
	for _, filler := range f.fillers {
		filler.Close()
	}
	f.file.Close()
}
