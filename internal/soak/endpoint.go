package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Behaviour is what an endpoint does with the calls that come to it.
type Behaviour int

// The behaviours of an endpoint.
const (
	Healthy     Behaviour = iota // 200 after a moment
	Slow                         // 200 after some hundred milliseconds
	Hang                         // no answer
	HangMidway                   // an answer that stops after half of its head
	Fail                         // 500
	Reject                       // 503 with neither a wait nor a report
	RejectWait                   // 429 with a time to come back
	ResetCall                    // the connection breaks under the call; it may have run
	LoseAnswer                   // it has run, and the connection breaks before the answer
	Garble                       // an answer that cannot be read
	CloseBehind                  // 200, and the connection is closed without a word
	behaviours                   // the number of them
)

var behaviourNames = [...]string{"healthy", "slow", "hang", "hang midway", "fail", "reject", "reject with a wait", "reset",
	"lose answers", "garble", "close behind"}

func (b Behaviour) String() string { return behaviourNames[b] }

// Call is one call as its endpoint saw it.
type Call struct {
	ID       string
	Endpoint string
	Dest     int64
	First    time.Time // its first byte came
	Whole    time.Time // its last byte came
	End      time.Time // its answer was written or its connection ended; zero while it is open
	MayRun   bool      // false: it was turned away unseen
	Done     bool      // 200 was written
	Body     string
	Wait     time.Duration // told by its answer, from End on
}

// endpoint is a stand-in of one endpoint.
type endpoint struct {
	id   string
	dest int64
	ln   net.Listener
	wait time.Duration // that RejectWait asks for

	mu        sync.Mutex
	behaviour Behaviour
	calls     []*Call
	conns     map[net.Conn]bool
	closed    bool
}

const (
	healthyTime = 5 * time.Millisecond
	slowTime    = 400 * time.Millisecond
	hangMost    = 20 * time.Second
)

func startEndpoint(id string, dest int64, wait time.Duration) (*endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, dest: dest, ln: ln, wait: wait, conns: map[net.Conn]bool{}}
	go e.accept()
	return e, nil
}

func (e *endpoint) addr() string { return e.ln.Addr().String() }

// set changes what happens to calls from now on.
func (e *endpoint) set(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
}

// resetAll breaks all connections, as an endpoint that forgets them does.
func (e *endpoint) resetAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		reset(conn)
	}
}

func (e *endpoint) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.ln.Close()
	e.resetAll()
}

// records copies the calls so far.
func (e *endpoint) records() []Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Call, 0, len(e.calls))
	for _, c := range e.calls {
		out = append(out, *c)
	}
	return out
}

func (e *endpoint) accept() {
	for {
		conn, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		closed := e.closed
		e.conns[conn] = true
		e.mu.Unlock()
		if closed {
			conn.Close()
			return
		}
		go e.serve(conn)
	}
}

func (e *endpoint) serve(conn net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		conn.Close()
	}()
	r := bufio.NewReader(conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := time.Now()
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		call := &Call{ID: req.Header.Get("X-Trace-Id"), Endpoint: e.id, Dest: e.dest, First: first, Whole: time.Now(), Body: string(body)}
		b := e.behaviour
		e.calls = append(e.calls, call)
		e.mu.Unlock()
		if !e.answer(conn, r, call, b) {
			return
		}
	}
}

// finish notes how a call ended.
func (e *endpoint) finish(call *Call, mayRun, done bool, wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	call.End, call.MayRun, call.Done, call.Wait = time.Now(), mayRun, done, wait
}

// answer does with a call what the behaviour says; false ends the connection.
func (e *endpoint) answer(conn net.Conn, r *bufio.Reader, call *Call, b Behaviour) bool {
	switch b {
	case Hang:
		e.await(conn, r, hangMost)
		e.finish(call, true, false, 0)
		return false
	case HangMidway:
		io.WriteString(conn, "HTTP/1.1 500 Inter")
		e.await(conn, r, hangMost)
		e.finish(call, true, false, 0)
		return false
	case ResetCall:
		e.finish(call, true, false, 0)
		reset(conn)
		return false
	case LoseAnswer:
		e.await(conn, r, healthyTime)
		e.finish(call, true, false, 0)
		reset(conn)
		return false
	case Garble:
		e.finish(call, true, false, 0)
		io.WriteString(conn, "HTTP/1.1 5x0 \x00\x01\r\n\r\n")
		return false
	case Fail:
		e.finish(call, true, false, 0)
		return reply(conn, "500 x", "")
	case Reject:
		e.finish(call, false, false, 0)
		return reply(conn, "503 x", "")
	case RejectWait:
		ok := reply(conn, "429 x", fmt.Sprintf("X-Come-Back-Ms: %d\r\n", e.wait.Milliseconds()))
		e.finish(call, false, false, e.wait)
		return ok
	}
	span := healthyTime
	if b == Slow {
		span = slowTime
	}
	if e.await(conn, r, span) { // called off: it may have run all the same
		e.finish(call, true, false, 0)
		return false
	}
	e.finish(call, true, true, 0)
	return reply(conn, "200 x", "") && b != CloseBehind
}

// await waits for a span, or until the caller ends its side, which it says.
func (e *endpoint) await(conn net.Conn, r *bufio.Reader, span time.Duration) (ended bool) {
	conn.SetReadDeadline(time.Now().Add(span))
	_, err := r.Peek(1)
	conn.SetReadDeadline(time.Time{})
	if err == nil {
		return false // the next call on a connection with an answer due: the judge sees it
	}
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

func reply(conn net.Conn, status, headers string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", status, headers)
	return err == nil
}

func reset(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	conn.Close()
}
