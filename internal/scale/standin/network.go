package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// Network is one in memory. It can be cut: who is cut off hears nothing, its open connections stay open and silent,
// also after the return, and new ones never come up.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	isolated  func(host string) bool
	lastPort  int
}

// NewNetwork makes one with nobody in it.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, isolated: func(string) bool { return false }}
}

// Partition cuts the hosts off for which away holds; nil ends that.
func (n *Network) Partition(away func(host string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if away == nil {
		away = func(string) bool { return false }
	}
	n.isolated = away
}

func (n *Network) isIsolated(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated(host)
}

// Listen opens an address.
func (n *Network) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, syscall.EADDRINUSE
	}
	l := &listener{network: n, addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects a host with an address.
func (n *Network) Dial(ctx context.Context, host, to string) (net.Conn, error) {
	if n.isIsolated(host) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n.mu.Lock()
	l := n.listeners[to]
	n.lastPort++
	port := n.lastPort
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	a, b := net.Pipe()
	r := &connState{network: n, host: host}
	here, there := address(fmt.Sprintf("%s:%d", host, port)), address(to)
	client := &connEnd{Conn: a, state: r, local: here, remote: there}
	server := &connEnd{Conn: b, state: r, local: there, remote: here}
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connState is one connection; once something was lost on it nothing comes through any more.
type connState struct {
	network *Network
	host    string
	broken  atomic.Bool
}

type connEnd struct {
	net.Conn
	state         *connState
	local, remote address
}

func (e *connEnd) LocalAddr() net.Addr  { return e.local }
func (e *connEnd) RemoteAddr() net.Addr { return e.remote }

func (e *connEnd) Write(b []byte) (int, error) {
	if e.state.broken.Load() || e.state.network.isIsolated(e.state.host) {
		e.state.broken.Store(true)
		return len(b), nil
	}
	k, err := e.Conn.Write(b)
	if errors.Is(err, io.ErrClosedPipe) {
		err = &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return k, err
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

type listener struct {
	network *Network
	addr    string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
		close(l.done)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }
