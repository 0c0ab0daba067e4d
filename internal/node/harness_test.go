package node

// The test harness: endpoints, a platform, clients and senders for tests on real sockets.

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
	"crossdeal/internal/httpconn"
)

// testTimeout bounds every wait for an event. It is reached only if a test fails.
const testTimeout = 20 * time.Second

// reusableAfter is the time from an endpoint's answer until a sender in another process uses the connection again.
const reusableAfter = httpconn.ReuseDelay + 250*time.Millisecond

// await returns the next value of ch. what names it in failures.
func await[T any](t *testing.T, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v, ok := <-ch:
		if !ok {
			t.Fatalf("channel closed while waiting for %s", what)
		}
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	panic("unreachable")
}

// receivedCall is a complete request that an endpoint has received.
type receivedCall struct {
	request     *http.Request
	body        string
	receivedAt  time.Time
	conn        *net.TCPConn
	reader      *bufio.Reader
	keepReading chan bool // gets whether the endpoint reads another request from the connection
}

func (c *receivedCall) id() string { return c.request.Header.Get("X-Trace-Id") }

// reply sends a response and keeps the connection open.
func (c *receivedCall) reply(status int, headers ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n", status)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	io.WriteString(c.conn, b.String()+"\r\n")
	c.keepReading <- true
}

// replyAndClose sends a response and closes the connection without a Connection: close header.
func (c *receivedCall) replyAndClose(status int) {
	fmt.Fprintf(c.conn, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)
	c.conn.Close()
	c.keepReading <- false
}

// reset aborts the connection with a TCP reset.
func (c *receivedCall) reset() {
	c.conn.SetLinger(0)
	c.conn.Close()
	c.keepReading <- false
}

// awaitClose waits until the sender has closed its side of the connection.
func (c *receivedCall) awaitClose(t *testing.T) {
	t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := c.reader.Read(make([]byte, 1)); n != 0 || isTimeout(err) {
		t.Fatalf("connection is not closed: read %d bytes, %v", n, err)
	}
}

// testEndpoint is an endpoint whose calls the test answers one by one.
type testEndpoint struct {
	listener net.Listener
	calls    chan *receivedCall
	conns    chan net.Conn // accepted connections
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

// expectNoCall checks that no further call has been received.
func (e *testEndpoint) expectNoCall(t *testing.T) {
	t.Helper()
	select {
	case c := <-e.calls:
		t.Fatalf("unexpected call with message %s", c.id())
	default:
	}
}

// testPlatform stands for the platform: discovery, and the receiver of notices.
type testPlatform struct {
	server          *httptest.Server
	notices         chan Notice
	listRequests    chan string // query of each request for the list
	rejectedNotices chan int    // number of notices in each rejected request
	mu              sync.Mutex
	list            discovery.List
	listChanged     chan struct{} // closed when the list changes
	down            bool          // answers 503 to all requests for the list
	unresponsive    bool          // never answers a request for the list
	listDelay       time.Duration // delays the response to the next request for the list
	rejectNotices   bool          // rejects notices with 503
	truncateLists   bool          // sends only the first half of a list
	answerTime      time.Duration // how long each answer with a list, or 503, takes
	answerPieces    int           // in which it comes; 0 for one, at the end of that time
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
	delay := p.listDelay
	p.listDelay = 0
	p.mu.Unlock()
	time.Sleep(delay)
	holdTimer := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer holdTimer.Stop()
	for {
		p.mu.Lock()
		list, changed, down, unresponsive, truncate := p.list, p.listChanged, p.down, p.unresponsive, p.truncateLists
		answerTime, pieces := p.answerTime, p.answerPieces
		p.mu.Unlock()
		if down {
			time.Sleep(answerTime)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !unresponsive && list.Generation > from {
			text, err := json.Marshal(list)
			if err != nil {
				panic(err)
			}
			if truncate {
				text = text[:len(text)/2]
			}
			writeSlowly(w, text, answerTime, pieces)
			return
		}
		select {
		case <-changed:
		case <-holdTimer.C:
			if !unresponsive {
				text := fmt.Appendf(nil, `{"generation":%d,"reset":false,"instances":[]}`, list.Generation)
				writeSlowly(w, text, answerTime, pieces)
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// writeSlowly writes an answer in pieces that are spread over a time.
func writeSlowly(w http.ResponseWriter, text []byte, duration time.Duration, pieces int) {
	pieces = max(pieces, 1)
	for i := range pieces {
		time.Sleep(duration / time.Duration(pieces))
		w.Write(text[i*len(text)/pieces : (i+1)*len(text)/pieces])
		http.NewResponseController(w).Flush()
	}
}

func (p *testPlatform) serveOutcomes(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	reject := p.rejectNotices
	p.mu.Unlock()
	var lines []Notice
	for dec := json.NewDecoder(r.Body); dec.More(); {
		var notice Notice
		if err := dec.Decode(&notice); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		lines = append(lines, notice)
	}
	if reject {
		p.rejectedNotices <- len(lines)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	for _, notice := range lines {
		p.notices <- notice
	}
}

// instancesOf returns list entries for endpoints, named s-0, s-1 and so on, all of destination 1.
func instancesOf(endpoints ...*testEndpoint) []discovery.Instance {
	var instances []discovery.Instance
	for i, e := range endpoints {
		instances = append(instances, discovery.Instance{ID: fmt.Sprintf("s-%d", i), HostPort: e.addr(), Zone: "a", Kind: "std", Destination: 1,
			Lifecycle: "up", Weight: 100})
	}
	return instances
}

// testSettings are the settings of the tests, with one class of each effect.
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

// configText returns the text of a configuration file.
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

// testNode is a sender that runs in the test process.
type testNode struct {
	*Node
	addr string
	stop context.CancelFunc
	done chan error
}

func startNode(t *testing.T, p *testPlatform, dir string, known discovery.List, setup ...func(*Node)) *testNode {
	t.Helper()
	cfg, err := ParseConfig(configText(p, known))
	if err != nil {
		t.Fatal(err)
	}
	return startNodeWithConfig(t, cfg, dir, setup...)
}

func startNodeWithConfig(t *testing.T, cfg *Config, dir string, setup ...func(*Node)) *testNode {
	t.Helper()
	cfg.StateDir = dir
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range setup {
		f(n)
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &testNode{Node: n, stop: stop, done: make(chan error, 1)}
	go func() { running.done <- n.Run(ctx) }()
	running.addr = await(t, n.ready, "ready sender").String()
	t.Cleanup(stop)
	return running
}

// testClient is a client with one connection.
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

// encodeRequest encodes a request in RESP2.
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

// readLine returns the next line of an answer; empty once the sender has closed the connection.
func (c *testClient) readLine() string {
	c.t.Helper()
	s, err := c.reader.ReadString('\n')
	if isTimeout(err) {
		c.t.Fatal("timed out waiting for an answer")
	}
	return strings.TrimRight(s, "\r\n")
}

func (c *testClient) do(args ...string) string {
	c.t.Helper()
	c.send(args...)
	return c.readLine()
}

// put submits a message and checks the answer.
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

// startNodeWithEndpoints starts a sender with endpoints, a platform and a client.
func startNodeWithEndpoints(t *testing.T, endpoints int, setup ...func(*Node)) (*testNode, *testClient, *testPlatform, []*testEndpoint) {
	t.Helper()
	p := newTestPlatform(t)
	var eps []*testEndpoint
	for range endpoints {
		eps = append(eps, newTestEndpoint(t))
	}
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(eps...)}
	p.list = known
	n := startNode(t, p, t.TempDir(), known, setup...)
	return n, dialClient(t, n.addr), p, eps
}
