package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"crossdeal/internal/discovery"
)

// testTimeout bounds every wait for an event: it is not reached unless a test fails.
const testTimeout = 20 * time.Second

// await returns the next value of ch.
func await[T any](t *testing.T, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v, ok := <-ch:
		if !ok {
			t.Fatalf("no more %s", what)
		}
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s", what)
	}
	panic("unreachable")
}

// receivedCall is a whole request that has come to an endpoint.
type receivedCall struct {
	request     *http.Request
	body        string
	receivedAt  time.Time
	conn        *net.TCPConn
	reader      *bufio.Reader
	keepReading chan bool // whether the endpoint goes on reading
}

func (c *receivedCall) id() string { return c.request.Header.Get("X-Trace-Id") }

// reply answers and keeps the connection.
func (c *receivedCall) reply(status int, headers ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n", status)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	io.WriteString(c.conn, b.String()+"\r\n")
	c.keepReading <- true
}

// replyAndClose answers and closes the connection without saying so first.
func (c *receivedCall) replyAndClose(status int) {
	fmt.Fprintf(c.conn, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)
	c.conn.Close()
	c.keepReading <- false
}

// reset breaks the connection.
func (c *receivedCall) reset() {
	c.conn.SetLinger(0)
	c.conn.Close()
	c.keepReading <- false
}

// awaitClose waits until the sender has ended its side of the connection.
func (c *receivedCall) awaitClose(t *testing.T) {
	t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := c.reader.Read(make([]byte, 1)); n != 0 || isTimeout(err) {
		t.Fatalf("connection goes on: %d bytes, %v", n, err)
	}
}

// testEndpoint is the other side of calls: a test answers each by hand.
type testEndpoint struct {
	listener net.Listener
	calls    chan *receivedCall
	conns    chan net.Conn // each that is accepted
}

func newTestEndpoint(t *testing.T) *testEndpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	e := &testEndpoint{listener: ln, calls: make(chan *receivedCall, 64), conns: make(chan net.Conn, 64)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			e.conns <- conn
			go e.serve(conn.(*net.TCPConn))
		}
	}()
	return e
}

func (e *testEndpoint) serve(conn *net.TCPConn) {
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			conn.Close()
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			conn.Close()
			return
		}
		c := &receivedCall{request: req, body: string(body), receivedAt: time.Now(), conn: conn, reader: r, keepReading: make(chan bool, 1)}
		e.calls <- c
		if !<-c.keepReading {
			return
		}
	}
}

func (e *testEndpoint) addr() string { return e.listener.Addr().String() }

// expectNoCall checks that nothing has come that was not waited for.
func (e *testEndpoint) expectNoCall(t *testing.T) {
	t.Helper()
	select {
	case c := <-e.calls:
		t.Fatalf("call with %s", c.id())
	default:
	}
}

// testPlatform stands for discovery and for what hears of ends.
type testPlatform struct {
	server          *httptest.Server
	notices         chan Notice
	listRequests    chan string // each call for the list
	rejectedNotices chan int    // each notice turned away: the number of lines
	mu              sync.Mutex
	list            discovery.List
	listChanged     chan struct{} // closed when the list changes
	down            bool          // answers 503 to all
	unresponsive    bool          // never answers a call for the list
	listDelay       time.Duration // of its answer to the next call for the list
	rejectNotices   bool          // turns notices away
	truncateLists   bool          // its lists break off half way
}

func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	p := &testPlatform{notices: make(chan Notice, 64), listRequests: make(chan string, 1024), rejectedNotices: make(chan int, 1024),
		listChanged: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", p.serveList)
	mux.HandleFunc("/v1/outcomes", p.serveOutcomes)
	p.server = httptest.NewServer(mux)
	t.Cleanup(func() { p.server.CloseClientConnections(); p.server.Close() })
	return p
}

func (p *testPlatform) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.listChanged)
	p.listChanged = make(chan struct{})
}

func (p *testPlatform) serveList(w http.ResponseWriter, r *http.Request) {
	p.listRequests <- r.URL.RawQuery
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64)
	p.mu.Lock()
	late := p.listDelay
	p.listDelay = 0
	p.mu.Unlock()
	time.Sleep(late)
	over := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer over.Stop()
	for {
		p.mu.Lock()
		list, news, down, silent, cut := p.list, p.listChanged, p.down, p.unresponsive, p.truncateLists
		p.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !silent && list.Generation > from {
			text, err := json.Marshal(list)
			if err != nil {
				panic(err)
			}
			if cut {
				text = text[:len(text)/2]
			}
			w.Write(text)
			return
		}
		select {
		case <-news:
		case <-over.C:
			if !silent {
				fmt.Fprintf(w, `{"generation":%d,"reset":false,"instances":[]}`, list.Generation)
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

func (p *testPlatform) serveOutcomes(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	deaf := p.rejectNotices
	p.mu.Unlock()
	var lines []Notice
	for dec := json.NewDecoder(r.Body); dec.More(); {
		var x Notice
		if err := dec.Decode(&x); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		lines = append(lines, x)
	}
	if deaf {
		p.rejectedNotices <- len(lines)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	for _, x := range lines {
		p.notices <- x
	}
}

// instancesOf lists endpoints of destination 1.
func instancesOf(eps ...*testEndpoint) []discovery.Instance {
	var out []discovery.Instance
	for i, e := range eps {
		out = append(out, discovery.Instance{ID: fmt.Sprintf("s-%d", i), HostPort: e.addr(), Zone: "a", Kind: "std", Destination: 1,
			Lifecycle: "up", Weight: 100})
	}
	return out
}

// testSettings are those of the tests: one class of each effect.
const testSettings = `{"balancers":1,"me":0,"zone":0,"zones":["a","b"],"tick_s":0.005,"membership_mode":"on_request",
"weights":"nominal","over_share_worth":0.2,"machine_types":["std"],
"classes":[
{"name":"safe","aim_s":2,"deadline_s":16,"worth":1,"late_worth":0.4,"idempotency":"retryable","group":"all","window_s":5},
{"name":"keyed","aim_s":2,"deadline_s":24,"worth":1,"late_worth":0.4,"idempotency":"dedup","group":"all","window_s":25},
{"name":"unsafe","aim_s":2,"deadline_s":16,"worth":1,"late_worth":0.4,"idempotency":"fragile","group":"all","window_s":5}],
"tenants":[{"name":"acme","quota_rps":100}],
"limits":{"conn_idle_s":10,"connect_timeout_s":1.5,"max_attempts":3,"max_open":8,"max_retry_after_s":2,"multiplex":1,
"may_cancel":true,"probing":true,"retry_after":true,"second_copies":false},
"load_info":{"how":"off","names":[]},
"rules":{"cold_from":0.2,"drain_grace_s":2,"fall_multiple":2,"fall_s":3,"warm_after_s":14},
"specifics":{"batch_by_kind":[1],"call_slots":6,"late":"halves","separate_routes":[false]}}`

// configText is a configuration file.
func configText(p *testPlatform, known discovery.List) []byte {
	b, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0",
		"discovery": strings.TrimPrefix(p.server.URL, "http://"), "seed": "1f",
		"limits": Limits{Cores: 1, MemoryMB: 192, Sockets: 256, DiskMB: 3}, "known": known,
		"settings": json.RawMessage(testSettings)})
	if err != nil {
		panic(err)
	}
	return b
}

// testNode is a sender under test, in this process.
type testNode struct {
	*Node
	addr string
	stop context.CancelFunc
	done chan error
}

func startNode(t *testing.T, p *testPlatform, dir string, known discovery.List, with ...func(*Node)) *testNode {
	t.Helper()
	cfg, err := ParseConfig(configText(p, known))
	if err != nil {
		t.Fatal(err)
	}
	return startNodeWithConfig(t, cfg, dir, with...)
}

func startNodeWithConfig(t *testing.T, cfg *Config, dir string, with ...func(*Node)) *testNode {
	t.Helper()
	cfg.StateDir = dir
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range with {
		f(n)
	}
	ctx, stop := context.WithCancel(context.Background())
	x := &testNode{Node: n, stop: stop, done: make(chan error, 1)}
	go func() { x.done <- n.Run(ctx) }()
	x.addr = await(t, n.ready, "ready sender").String()
	t.Cleanup(stop)
	return x
}

// testClient is a client's connection.
type testClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(t *testing.T, addr string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(2 * testTimeout))
	return &testClient{t, conn, bufio.NewReader(conn)}
}

// encodeRequest is a request in RESP2.
func encodeRequest(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}

func (c *testClient) send(args ...string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, encodeRequest(args...)); err != nil {
		c.t.Fatal(err)
	}
}

// readLine reads an answer; empty once the sender has closed the connection.
func (c *testClient) readLine() string {
	c.t.Helper()
	s, err := c.reader.ReadString('\n')
	if isTimeout(err) {
		c.t.Fatal("no answer")
	}
	return strings.TrimRight(s, "\r\n")
}

func (c *testClient) do(args ...string) string {
	c.t.Helper()
	c.send(args...)
	return c.readLine()
}

// put hands a message in and checks the answer.
func (c *testClient) put(id, class, want string) {
	c.t.Helper()
	c.putWithTime(id, class, 10000, want)
}

func (c *testClient) putWithTime(id, class string, ms int, want string) {
	c.t.Helper()
	opts := fmt.Sprintf("c=%s,t=acme,d=%d,k=key-%s,dest=1", class, ms, id)
	if got := c.do("MSG.PUT", "0000", id, opts, "body of "+id); got != want {
		c.t.Fatalf("put %s: got %q, want %q", id, got, want)
	}
}

// startNodeWithEndpoints is a sender with endpoints and a platform.
func startNodeWithEndpoints(t *testing.T, endpoints int, with ...func(*Node)) (*testNode, *testClient, *testPlatform, []*testEndpoint) {
	t.Helper()
	p := newTestPlatform(t)
	var eps []*testEndpoint
	for range endpoints {
		eps = append(eps, newTestEndpoint(t))
	}
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(eps...)}
	p.list = known
	n := startNode(t, p, t.TempDir(), known, with...)
	return n, dialClient(t, n.addr), p, eps
}
