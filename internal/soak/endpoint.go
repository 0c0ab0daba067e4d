package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"crossdeal/internal/scale/standin"
)

// Behaviour is the way in which an endpoint handles calls.
type Behaviour int

// The behaviours of an endpoint.
const (
	Healthy          Behaviour = iota // 200 after healthyDelay
	Slow                              // 200 after slowDelay
	Hang                              // no answer
	HangMidAnswer                     // an answer that stops in the middle of its status line
	Fail                              // 500
	Reject                            // 503 with neither a retry-after nor a load report
	RejectRetryAfter                  // 429 with a retry-after
	ResetCall                         // the connection is reset during the call, which may have run
	LoseAnswer                        // the call has run, and the connection is reset before the answer
	MalformedAnswer                   // the call has run, and its answer is one of malformedAnswers
	CloseAfterAnswer                  // 200, and the connection is closed without announcing it
	behaviourCount                    // number of behaviours
)

var behaviourNames = [...]string{"healthy", "slow", "hang", "hang in mid-answer", "fail", "reject", "reject with a retry-after", "reset",
	"lose answers", "garble", "close after the answer"}

func (b Behaviour) String() string { return behaviourNames[b] }

// malformedAnswers are answers that cannot be read as the protocol requires, whatever their status lines say. The
// connection is closed behind them.
var malformedAnswers = [...]string{
	"HTTP/1.1 5x0 \x00\x01\r\n\r\n",
	"HTTP/1.1 503 x\r\nContent-Length: 120\r\n\r\nupstream ",
	"HTTP/1.1 429 x\r\nX-Come-Back-Ms: 100\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nupstr",
	"HTTP/1.1 504 x\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 410 x\r\nContent-Length: 1\r\n\r\n",
	"HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 x\r\nX-Line-Busy: 1\r\nno colon\r\n\r\n",
}

// Call is a call as its endpoint saw it.
type Call struct {
	ID          string
	Endpoint    string
	Destination int64
	FirstByteAt time.Time // when its first byte arrived
	LastByteAt  time.Time // when its last byte arrived
	EndedAt     time.Time // when its answer was written or its connection ended; zero while it is open
	MayHaveRun  bool      // set at its end; false if it was rejected without being run
	Succeeded   bool      // 200 was written
	Body        string
	RetryAfter  time.Duration // the wait that its answer asks for, counted from EndedAt
}

// endpoint is a stand-in for one endpoint.
type endpoint struct {
	id          string
	destination int64
	listener    net.Listener
	retryAfter  time.Duration // that RejectRetryAfter asks for
	extraBytes  *standin.ExtraBytes

	mu        sync.Mutex
	behaviour Behaviour
	calls     []*Call
	conns     map[net.Conn]bool
	closed    bool
	malformed int // malformed answers so far
}

const (
	healthyDelay = 5 * time.Millisecond
	slowDelay    = 400 * time.Millisecond
	maxHang      = 20 * time.Second
)

func startEndpoint(id string, destination int64, retryAfter time.Duration, extraBytes *standin.ExtraBytes) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, destination: destination, listener: listener, retryAfter: retryAfter, extraBytes: extraBytes, conns: map[net.Conn]bool{}}
	go e.accept()
	return e, nil
}

func (e *endpoint) address() string { return e.listener.Addr().String() }

// setBehaviour sets the behaviour for calls that arrive from now on.
func (e *endpoint) setBehaviour(behaviour Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = behaviour
}

// resetConnections resets all connections, as an endpoint does that has lost its connection state.
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

// recordedCalls returns copies of the calls so far.
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
	for dropNext := false; ; {
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
		if dropNext {
			e.extraBytes.DropRequest()
			return
		}
		e.mu.Lock()
		call := &Call{ID: request.Header.Get("X-Trace-Id"), Endpoint: e.id, Destination: e.destination, FirstByteAt: firstByteAt, LastByteAt: time.Now(), Body: string(body)}
		behaviour := e.behaviour
		e.calls = append(e.calls, call)
		e.mu.Unlock()
		var keep bool
		if keep, dropNext = e.respond(conn, reader, call, behaviour); !keep {
			return
		}
	}
}

// recordEnd records how a call ended.
func (e *endpoint) recordEnd(call *Call, mayHaveRun, succeeded bool, retryAfter time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	call.EndedAt, call.MayHaveRun, call.Succeeded, call.RetryAfter = time.Now(), mayHaveRun, succeeded, retryAfter
}

// respond handles a call according to the behaviour. It returns whether the connection stays open, and whether the next
// call on it is not carried out.
func (e *endpoint) respond(conn net.Conn, reader *bufio.Reader, call *Call, behaviour Behaviour) (keep, dropNext bool) {
	switch behaviour {
	case Healthy, Slow, CloseAfterAnswer:
		return e.succeed(conn, reader, call, behaviour)
	}
	return e.respondWithFault(conn, reader, call, behaviour), false
}

// succeed carries a call out and answers it.
func (e *endpoint) succeed(conn net.Conn, reader *bufio.Reader, call *Call, behaviour Behaviour) (keep, dropNext bool) {
	delay := healthyDelay
	if behaviour == Slow {
		delay = slowDelay
	}
	if e.waitForClose(conn, reader, delay) { // cancelled by the sender: the call may have run all the same
		e.recordEnd(call, true, false, 0)
		return false, false
	}
	e.recordEnd(call, true, true, 0)
	if behaviour == CloseAfterAnswer {
		writeResponse(conn, "200 x", "")
		return false, false
	}
	dropNext, err := e.extraBytes.WriteAnswer(conn, reader, []byte("HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n"))
	return err == nil, dropNext
}

// respondWithFault answers a call, or does not, as a faulty endpoint. If it returns false, the connection is closed.
func (e *endpoint) respondWithFault(conn net.Conn, reader *bufio.Reader, call *Call, behaviour Behaviour) bool {
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
		io.WriteString(conn, e.nextMalformedAnswer())
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
	return false
}

// nextMalformedAnswer returns the malformedAnswers in turn.
func (e *endpoint) nextMalformedAnswer() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.malformed++
	return malformedAnswers[e.malformed%len(malformedAnswers)]
}

// waitForClose waits up to limit for the sender to close its side, and reports whether it did.
func (e *endpoint) waitForClose(conn net.Conn, reader *bufio.Reader, limit time.Duration) (closed bool) {
	conn.SetReadDeadline(time.Now().Add(limit))
	_, err := reader.Peek(1)
	conn.SetReadDeadline(time.Time{})
	if err == nil {
		return false // the next call arrives before this one is answered; the checks report it
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
