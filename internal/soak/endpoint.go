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
	Healthy          Behaviour = iota // 200 after a moment
	Slow                              // 200 after some hundred milliseconds
	Hang                              // no answer
	HangMidAnswer                     // an answer that stops after half of its head
	Fail                              // 500
	Reject                            // 503 with neither a wait nor a report
	RejectRetryAfter                  // 429 with a time to come back
	ResetCall                         // the connection breaks under the call; it may have run
	LoseAnswer                        // it has run, and the connection breaks before the answer
	MalformedAnswer                   // an answer that cannot be read
	CloseAfterAnswer                  // 200, and the connection is closed without a word
	behaviourCount                    // the number of them
)

var behaviourNames = [...]string{"healthy", "slow", "hang", "hang midway", "fail", "reject", "reject with a wait", "reset",
	"lose answers", "garble", "close behind"}

func (b Behaviour) String() string { return behaviourNames[b] }

// Call is one call as its endpoint saw it.
type Call struct {
	ID          string
	Endpoint    string
	Destination int64
	FirstByteAt time.Time // its first byte came
	LastByteAt  time.Time // its last byte came
	EndedAt     time.Time // its answer was written or its connection ended; zero while it is open
	MayHaveRun  bool      // false: it was turned away unseen
	Succeeded   bool      // 200 was written
	Body        string
	RetryAfter  time.Duration // told by its answer, from End on
}

// endpoint is a stand-in of one endpoint.
type endpoint struct {
	id          string
	destination int64
	listener    net.Listener
	retryAfter  time.Duration // that RejectWait asks for

	mu        sync.Mutex
	behaviour Behaviour
	calls     []*Call
	conns     map[net.Conn]bool
	closed    bool
}

const (
	healthyDelay = 5 * time.Millisecond
	slowDelay    = 400 * time.Millisecond
	maxHang      = 20 * time.Second
)

func startEndpoint(id string, destination int64, retryAfter time.Duration) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, destination: destination, listener: listener, retryAfter: retryAfter, conns: map[net.Conn]bool{}}
	go e.accept()
	return e, nil
}

func (e *endpoint) address() string { return e.listener.Addr().String() }

// setBehaviour changes what happens to calls from now on.
func (e *endpoint) setBehaviour(behaviour Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = behaviour
}

// resetConnections breaks all connections, as an endpoint that forgets them does.
func (e *endpoint) resetConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		resetConnection(conn)
	}
}

func (e *endpoint) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.listener.Close()
	e.resetConnections()
}

// recordedCalls copies the calls so far.
func (e *endpoint) recordedCalls() []Call {
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
		conn, err := e.listener.Accept()
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
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByteAt := time.Now()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		call := &Call{ID: request.Header.Get("X-Trace-Id"), Endpoint: e.id, Destination: e.destination, FirstByteAt: firstByteAt, LastByteAt: time.Now(), Body: string(body)}
		behaviour := e.behaviour
		e.calls = append(e.calls, call)
		e.mu.Unlock()
		if !e.respond(conn, reader, call, behaviour) {
			return
		}
	}
}

// recordEnd notes how a call ended.
func (e *endpoint) recordEnd(call *Call, mayHaveRun, succeeded bool, retryAfter time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	call.EndedAt, call.MayHaveRun, call.Succeeded, call.RetryAfter = time.Now(), mayHaveRun, succeeded, retryAfter
}

// respond does with a call what the behaviour says; false ends the connection.
func (e *endpoint) respond(conn net.Conn, reader *bufio.Reader, call *Call, behaviour Behaviour) bool {
	switch behaviour {
	case Hang:
		e.waitForClose(conn, reader, maxHang)
		e.recordEnd(call, true, false, 0)
		return false
	case HangMidAnswer:
		io.WriteString(conn, "HTTP/1.1 500 Inter")
		e.waitForClose(conn, reader, maxHang)
		e.recordEnd(call, true, false, 0)
		return false
	case ResetCall:
		e.recordEnd(call, true, false, 0)
		resetConnection(conn)
		return false
	case LoseAnswer:
		e.waitForClose(conn, reader, healthyDelay)
		e.recordEnd(call, true, false, 0)
		resetConnection(conn)
		return false
	case MalformedAnswer:
		e.recordEnd(call, true, false, 0)
		io.WriteString(conn, "HTTP/1.1 5x0 \x00\x01\r\n\r\n")
		return false
	case Fail:
		e.recordEnd(call, true, false, 0)
		return writeResponse(conn, "500 x", "")
	case Reject:
		e.recordEnd(call, false, false, 0)
		return writeResponse(conn, "503 x", "")
	case RejectRetryAfter:
		ok := writeResponse(conn, "429 x", fmt.Sprintf("X-Come-Back-Ms: %d\r\n", e.retryAfter.Milliseconds()))
		e.recordEnd(call, false, false, e.retryAfter)
		return ok
	}
	delay := healthyDelay
	if behaviour == Slow {
		delay = slowDelay
	}
	if e.waitForClose(conn, reader, delay) { // called off: it may have run all the same
		e.recordEnd(call, true, false, 0)
		return false
	}
	e.recordEnd(call, true, true, 0)
	return writeResponse(conn, "200 x", "") && behaviour != CloseAfterAnswer
}

// waitForClose waits for a span, or until the caller ends its side, which it says.
func (e *endpoint) waitForClose(conn net.Conn, reader *bufio.Reader, limit time.Duration) (closed bool) {
	conn.SetReadDeadline(time.Now().Add(limit))
	_, err := reader.Peek(1)
	conn.SetReadDeadline(time.Time{})
	if err == nil {
		return false // the next call on a connection with an answer due: the judge sees it
	}
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

func writeResponse(conn net.Conn, status, headers string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", status, headers)
	return err == nil
}

func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
