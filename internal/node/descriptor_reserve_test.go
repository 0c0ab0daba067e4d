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

// unreliablePlatform is a platform whose machine can be lost: it refuses connections, resets them, or says nothing on them.
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
	o := &unreliablePlatform{testPlatform: newTestPlatform(t), addr: "127.53.0.1:0", accepted: make(chan net.Conn, 64), closed: make(chan struct{})}
	o.setState(t, "up")
	srv := &http.Server{Handler: o.server.Config.Handler}
	go srv.Serve(o)
	o.server.URL = "http://" + o.addr
	t.Cleanup(func() { o.setState(t, "refused"); srv.Close() })
	return o
}

// setState ends all connections and goes on in another state.
func (o *unreliablePlatform) setState(t *testing.T, state string) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state = state
	for _, c := range o.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	o.conns = nil
	if state == "refused" {
		if o.listener != nil {
			o.listener.Close()
		}
		o.listener = nil
		return
	}
	if o.listener != nil {
		return
	}
	ln, err := net.Listen("tcp", o.addr)
	if err != nil {
		t.Fatal(err)
	}
	o.listener, o.addr = ln, ln.Addr().String()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			o.mu.Lock()
			o.conns = append(o.conns, conn)
			switch o.state {
			case "up":
				o.accepted <- conn
			case "silent":
			default:
				conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}
			o.mu.Unlock()
		}
	}()
}

// Accept, Close and Addr make it the listener of a server that gets what comes while it is up.
func (o *unreliablePlatform) Accept() (net.Conn, error) {
	select {
	case conn := <-o.accepted:
		return conn, nil
	case <-o.closed:
		return nil, net.ErrClosed
	}
}

func (o *unreliablePlatform) Close() error   { o.once.Do(func() { close(o.closed) }); return nil }
func (o *unreliablePlatform) Addr() net.Addr { return &net.TCPAddr{} }

// openIdleClients keeps many connections open that say nothing, until the test ends, and opens each anew that is closed.
func openIdleClients(t *testing.T, addr string, many int) (open *atomic.Int64) {
	t.Helper()
	open = new(atomic.Int64)
	over := make(chan struct{})
	var all sync.WaitGroup
	t.Cleanup(func() { close(over); all.Wait() })
	for range many {
		all.Go(func() {
			for {
				conn, err := net.Dial("tcp", addr)
				if err == nil {
					open.Add(1)
					stop := make(chan struct{})
					go func() {
						defer close(stop)
						conn.Read(make([]byte, 1)) // until the sender closes it
					}()
					select {
					case <-over:
					case <-stop:
					}
					open.Add(-1)
					conn.Close()
				}
				select {
				case <-over:
					return
				case <-time.After(200 * time.Millisecond): // the crowd's pace
				}
			}
		})
	}
	return open
}

// Idle clients fill all that is accepted, and calls are out at endpoints that do not answer, while discovery is down:
// no descriptor is free but those kept for discovery and notices. When it is back it is reached, by the list and by
// notices.
func TestDiscoveryIsReachedWithAllDescriptorsInUse(t *testing.T) {
	const sockets, slots, hang = 256, 160, 120 // half of the descriptors for clients, and the calls: more than there are
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	for _, state := range []string{"refused", "reset", "silent"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			o, dir := newUnreliablePlatform(t), t.TempDir()
			hung := []*testEndpoint{newTestEndpoint(t), newTestEndpoint(t)}
			late := newTestEndpoint(t)
			known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(hung...)}
			for i := range known.Instances {
				known.Instances[i].Destination, known.Instances[i].Weight = int64(i+1), 1e6
			}
			o.list = known
			text := strings.NewReplacer(`"call_slots":6`, fmt.Sprintf(`"call_slots":%d`, slots), `"max_open":8`, `"max_open":400`).
				Replace(string(configText(o.testPlatform, known)))
			x := startProcessWithConfig(t, o.testPlatform, dir, []byte(text), "127.0.0.1:0",
				exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, sockets), path))
			o.setState(t, state)
			c := dialClient(t, x.addr)
			put := func(id, class string, ms, dest int) {
				if got := c.do("MSG.PUT", "0", id, fmt.Sprintf("c=%s,d=%d,dest=%d", class, ms, dest), "x"); got != "+OK" {
					t.Fatalf("put %s: %q", id, got)
				}
			}
			put("later", "safe", 60000, 3)
			put("over", "unsafe", 1500, 4)
			for i := range hang {
				put(fmt.Sprint("m", i), "unsafe", 60000, 1+i%2)
			}
			open := openIdleClients(t, x.addr, sockets)
			most, out := 0, 0
			for stop := time.Now().Add(5 * time.Second); time.Now().Before(stop); time.Sleep(50 * time.Millisecond) {
				fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", x.cmd.Process.Pid))
				if err != nil {
					t.Fatal(err)
				}
				most = max(most, len(fds))
				for _, e := range hung {
					for len(e.calls) > 0 {
						<-e.calls
						out++
					}
				}
			}
			t.Logf("%d calls out, %d idle clients, at most %d of %d descriptors in use", out, open.Load(), most, sockets)
			if most > sockets-8 { // those that are free for discovery and notices
				t.Errorf("%d descriptors in use", most)
			}
			at := time.Now()
			known.Generation = 2
			known.Instances = append(known.Instances, discovery.Instance{ID: "late", HostPort: late.addr(), Zone: "a", Kind: "std", Destination: 3, Lifecycle: "up", Weight: 1e6})
			o.update(func() { o.list = known })
			o.setState(t, "up")
			in := await(t, late.calls, "call at the new endpoint")
			called := time.Since(at)
			in.reply(200)
			if n := await(t, o.notices, "notice"); n.ID != "over" || n.State != "returned" {
				t.Errorf("notice %+v", n)
			}
			t.Logf("the change was in force %v after the return, the notice there after %v", called, time.Since(at))
			if got := dialClient(t, x.addr).do("PING"); got != "+PONG" {
				t.Errorf("a new client got %q", got)
			}
			x.kill()
		})
	}
}
