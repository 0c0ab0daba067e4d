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

// Network is a network in memory that can be partitioned. An isolated host receives nothing. A connection on which
// data was lost stays open but carries nothing, also after the partition ends. New connections of an isolated host are
// never established.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	isolated  func(host string) bool
	lastPort  int
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, isolated: func(string) bool { return false }}
}

// Partition isolates the hosts for which isolated returns true; nil ends the partition.
func (n *Network) Partition(isolated func(host string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if isolated == nil {
		isolated = func(string) bool { return false }
	}
	n.isolated = isolated
}

func (n *Network) isIsolated(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated(host)
}

// Listen opens a listener at an address.
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

// Dial connects a host to an address. From an isolated host it waits until ctx is done.
func (n *Network) Dial(ctx context.Context, host, addr string) (net.Conn, error) {
	if n.isIsolated(host) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n.mu.Lock()
	l := n.listeners[addr]
	n.lastPort++
	port := n.lastPort
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	clientPipe, serverPipe := net.Pipe()
	state := &connState{network: n, host: host}
	clientAddr, serverAddr := address(fmt.Sprintf("%s:%d", host, port)), address(addr)
	client := &connEnd{Conn: clientPipe, state: state, local: clientAddr, remote: serverAddr}
	server := &connEnd{Conn: serverPipe, state: state, local: serverAddr, remote: clientAddr}
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connState is the state that both ends of a connection share. Once data was lost, the connection carries nothing more.
type connState struct {
	network *Network
	host    string      // of the end that dialed; a partition isolates the connection by this host
	broken  atomic.Bool // data was lost
}

// connEnd is one end of a connection.
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
	written, err := e.Conn.Write(b)
	if errors.Is(err, io.ErrClosedPipe) {
		err = &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return written, err
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
