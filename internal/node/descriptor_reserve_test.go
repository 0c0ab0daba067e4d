package node

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"crossdeal/internal/discovery"
)

// unreliablePlatform is a platform that can be made to refuse connections, reset them, or accept them without
// answering.
type unreliablePlatform struct {
	*testPlatform
	addr     string
	mu       sync.Mutex
	listener net.Listener
	state    string // "up", "refused", "reset" or "silent"
	conns    []net.Conn
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newUnreliablePlatform(t *testing.T) *unreliablePlatform {
	t.Helper()
	p := &unreliablePlatform{testPlatform: newTestPlatform(t), addr: "127.53.0.1:0", accepted: make(chan net.Conn, 64), closed: make(chan struct{})}
	p.setState(t, "up")
	srv := &http.Server{Handler: p.server.Config.Handler}
	go srv.Serve(p)
	p.server.URL = "http://" + p.addr
	t.Cleanup(func() { p.setState(t, "refused"); srv.Close() })
	return p
}

// setState closes all connections and changes the state.
func (p *unreliablePlatform) setState(t *testing.T, state string) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	for _, conn := range p.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	p.conns = nil
	if state == "refused" {
		if p.listener != nil {
			p.listener.Close()
		}
		p.listener = nil
		return
	}
	if p.listener != nil {
		return
	}
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	p.listener, p.addr = ln, ln.Addr().String()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, conn)
			switch p.state {
			case "up":
				p.accepted <- conn
			case "silent":
			default:
				conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}
			p.mu.Unlock()
		}
	}()
}

// Accept, Close and Addr implement net.Listener for the HTTP server, with the connections that arrive in state "up".
func (p *unreliablePlatform) Accept() (net.Conn, error) {
	select {
	case conn := <-p.accepted:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *unreliablePlatform) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *unreliablePlatform) Addr() net.Addr { return &net.TCPAddr{} }

// openIdleClients keeps count connections open that send nothing, and reopens each that is closed, until the
// test ends. It returns the number that is open.
func openIdleClients(t *testing.T, addr string, count int) (open *atomic.Int64) {
	t.Helper()
	open = new(atomic.Int64)
	done := make(chan struct{})
	var wg sync.WaitGroup
	t.Cleanup(func() { close(done); wg.Wait() })
	for range count {
		wg.Go(func() {
			for {
				conn, err := net.Dial("tcp", addr)
				if err == nil {
					open.Add(1)
					connClosed := make(chan struct{})
					go func() {
						defer close(connClosed)
						conn.Read(make([]byte, 1)) // until the sender closes it
					}()
					select {
					case <-done:
					case <-connClosed:
					}
					open.Add(-1)
					conn.Close()
				}
				select {
				case <-done:
					return
				case <-time.After(200 * time.Millisecond): // before the next attempt
				}
			}
		})
	}
	return open
}

// Guards against running out of descriptors for discovery. While discovery is down, idle clients fill the
// client table and calls wait for endpoints that do not answer, so that only the descriptors reserved for the
// process are free. Once discovery is back, the list and the notices must get through.
func TestDiscoveryIsReachedWithAllDescriptorsInUse(t *testing.T) {
	// Clients may hold half of the descriptors. Together with the calls that is more than there are.
	const sockets, slots, hungCalls = 256, 160, 120
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	for _, state := range []string{"refused", "reset", "silent"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			platform, dir := newUnreliablePlatform(t), t.TempDir()
			hung := []*testEndpoint{newTestEndpoint(t), newTestEndpoint(t)}
			newEndpoint := newTestEndpoint(t)
			known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(hung...)}
			for i := range known.Instances {
				known.Instances[i].Destination, known.Instances[i].Weight = int64(i+1), 1e6
			}
			platform.list = known
			text := strings.NewReplacer(`"call_slots":6`, fmt.Sprintf(`"call_slots":%d`, slots), `"max_open":8`, `"max_open":400`).
				Replace(string(configText(platform.testPlatform, known)))
			proc := startProcessWithConfig(t, platform.testPlatform, dir, []byte(text), "127.0.0.1:0",
				exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, sockets), path))
			platform.setState(t, state)
			c := dialClient(t, proc.addr)
			put := func(id, class string, deadlineMS, destination int) {
				if got := c.do("MSG.PUT", "0", id, fmt.Sprintf("c=%s,d=%d,dest=%d", class, deadlineMS, destination), "x"); got != "+OK" {
					t.Fatalf("put %s: %q", id, got)
				}
			}
			put("later", "safe", 60000, 3)
			put("over", "unsafe", 1500, 4)
			for i := range hungCalls {
				put(fmt.Sprint("m", i), "unsafe", 60000, 1+i%2)
			}
			open := openIdleClients(t, proc.addr, sockets)
			maxInUse, callsReceived := 0, 0
			for stop := time.Now().Add(5 * time.Second); time.Now().Before(stop); time.Sleep(50 * time.Millisecond) {
				fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", proc.cmd.Process.Pid))
				if err != nil {
					t.Fatal(err)
				}
				maxInUse = max(maxInUse, len(fds))
				for _, e := range hung {
					for len(e.calls) > 0 {
						<-e.calls
						callsReceived++
					}
				}
			}
			t.Logf("%d calls in progress, %d idle clients, at most %d of %d descriptors in use",
				callsReceived, open.Load(), maxInUse, sockets)
			if maxInUse > sockets-8 { // 8 must stay free for discovery and notices
				t.Errorf("%d descriptors in use", maxInUse)
			}
			recoveredAt := time.Now()
			known.Generation = 2
			known.Instances = append(known.Instances, discovery.Instance{ID: "late", HostPort: newEndpoint.addr(), Zone: "a", Kind: "std", Destination: 3, Lifecycle: "up", Weight: 1e6})
			platform.update(func() { platform.list = known })
			platform.setState(t, "up")
			newCall := await(t, newEndpoint.calls, "call at the new endpoint")
			firstCallAfter := time.Since(recoveredAt)
			newCall.reply(200)
			if n := await(t, platform.notices, "notice"); n.ID != "over" || n.State != "returned" {
				t.Errorf("notice %+v", n)
			}
			t.Logf("first call at the new endpoint %v after the recovery, notice after %v",
				firstCallAfter, time.Since(recoveredAt))
			if got := dialClient(t, proc.addr).do("PING"); got != "+PONG" {
				t.Errorf("a new client got %q", got)
			}
			proc.kill()
		})
	}
}
