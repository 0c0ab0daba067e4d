package node

// A client's connection: its state, its reader and its requests, one after the other.

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"time"
)

// connState is where a connection of a client stands.
type connState int

const (
	connIdle      connState = iota // nothing of a request has come since the last answer
	connReading                    // a request is coming
	connAnswering                  // a whole request has come and is owed its answer
	connParked                     // set aside for a handover: it has no reader
	connClosing                    // about to be closed: no further request is carried out
	connDrained                    // all that was read has its answer: only the close is left
)

func (s connState) String() string {
	return [...]string{"idle", "reading", "answering", "parked", "closing", "drained"}[s]
}

// allowedTransitions lists the transitions that are allowed, besides staying in a state.
var allowedTransitions = map[connState][]connState{
	connIdle:      {connReading, connParked, connClosing},
	connReading:   {connAnswering, connClosing},
	connAnswering: {connIdle, connClosing},
	connParked:    {connIdle},
	connClosing:   {connDrained},
}

// clientConn is one connection of a client. Its reader owns it, but for what the table's lock guards.
type clientConn struct {
	net.Conn
	table     *clients
	reader    *bufio.Reader
	readLimit int // bytes that may still be read from the system; negative for any number

	// What follows is guarded by the table's lock.
	state              connState
	hasServedRequest   bool      // a whole request has come on it
	idleSince          time.Time // of its start or its last answer
	lastReadAt         time.Time // when the last byte came; zero if none has
	readOverdueSince   time.Time // when bytes were first read past their deadline; zero if none were
	unansweredRequests int       // requests read that have no answer yet
	writingAnswer      bool      // an answer is being written: its client may take its time
}

func newClientConn(table *clients, conn net.Conn, since time.Time) *clientConn {
	x := &clientConn{Conn: conn, table: table, idleSince: since, readLimit: -1}
	x.reader = bufio.NewReader(x)
	return x
}

// Read reads what has come, also where the deadline is over: a request whose last byte is there is owed its answer.
func (x *clientConn) Read(b []byte) (int, error) {
	if x.readLimit == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	if x.readLimit > 0 {
		b = b[:min(len(b), x.readLimit)]
	}
	n, err := x.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && x.mayReadPastDeadline() {
		x.SetReadDeadline(time.Now().Add(shortRetryDelay))
		n, err = x.Conn.Read(b)
	}
	if n > 0 {
		x.noteRead(n)
	}
	return n, err
}

func (x *clientConn) noteRead(n int) {
	if x.readLimit > 0 {
		x.readLimit -= n
	}
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	x.lastReadAt = time.Now()
}

// mayReadPastDeadline says whether bytes have come that may be read past a deadline, for a moment in all. At a handover they are
// left to whoever goes on.
func (x *clientConn) mayReadPastDeadline() bool {
	if !hasData(x.Conn) {
		return false
	}
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	if x.readOverdueSince.IsZero() {
		x.readOverdueSince = time.Now()
	}
	return x.table.handover == nil && time.Since(x.readOverdueSince) < lastRequestTimeout
}

// setState moves the connection to a state, false if it is being closed. The caller holds the table's lock.
func (x *clientConn) setState(to connState) bool {
	if x.state == connClosing && to < connClosing {
		return false
	}
	if to != x.state && !slices.Contains(allowedTransitions[x.state], to) {
		x.table.guard.recordViolation(ruleState, "peer", x.RemoteAddr(), "from", x.state, "to", to)
	}
	x.state = to
	return true
}

// beginWaiting waits for the next request from now on, until a time; false if the connection is being closed.
func (x *clientConn) beginWaiting(until time.Time) bool {
	c := x.table
	c.mu.Lock()
	defer c.mu.Unlock()
	if !x.setState(connIdle) {
		return false
	}
	if c.closing || c.handover != nil {
		until = c.wakeTime(x)
	}
	x.SetReadDeadline(until)
	return true
}

// beginRequest notes that a request has begun to come, which must be whole by a time; false if the connection is being closed.
func (x *clientConn) beginRequest(by time.Time) bool {
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	if !x.setState(connReading) {
		return false
	}
	x.SetReadDeadline(by)
	return true
}

// completeRequest notes that a request has been read whole, whose answer is owed; false if the connection is being closed.
func (x *clientConn) completeRequest() bool {
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	x.unansweredRequests++
	x.table.requestsRead++
	return x.setState(connAnswering)
}

// finishRequest notes that the request has its answer.
func (x *clientConn) finishRequest() {
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	x.idleSince, x.hasServedRequest = time.Now(), true
	x.setState(connIdle)
}

// writeAnswer sends an answer, false if it could not be sent.
func (x *clientConn) writeAnswer(answer string) bool {
	x.setWriting(true)
	x.SetWriteDeadline(time.Now().Add(answerTimeout))
	_, err := io.WriteString(x.Conn, answer)
	x.setWriting(false)
	if err != nil {
		x.table.log.Debug("answer not written", "peer", x.RemoteAddr(), "err", err)
		return false
	}
	return true
}

func (x *clientConn) setWriting(on bool) {
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	x.writingAnswer = on
}

// answerRequest sends the answer to a request that was read, false if it could not be sent.
func (x *clientConn) answerRequest(answer string) bool {
	if !x.writeAnswer(answer) {
		return false
	}
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	x.unansweredRequests--
	x.table.answersWritten++
	return true
}

// awaitRequest waits for the first byte of a request; an error ends the connection, or parks it.
func (x *clientConn) awaitRequest() error {
	_, err := x.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && x.table.isClosing() {
		// A request may have come just before: it is answered, for its client counts on that.
		if !hasData(x.Conn) {
			return err
		}
		x.SetReadDeadline(time.Now().Add(lastRequestTimeout))
		_, err = x.reader.Peek(1)
	}
	return err
}

// serve serves the connection until it ends or, which it says, is parked for a handover. first is the time by which the
// first request must have come, zero if one has come before.
func (x *clientConn) serve(first time.Time) (parked bool) {
	reason, parked := x.serveRequests(first)
	if !parked {
		x.finish(reason)
	}
	return parked
}

// serveRequests answers requests until the connection is to be closed, or is parked.
func (x *clientConn) serveRequests(first time.Time) (reason closeReason, parked bool) {
	idle := first
	if first.IsZero() {
		idle = time.Now().Add(clientIdleTimeout)
	}
	for {
		if x.table.pastReadDeadline() {
			return closedStopping, false
		}
		if !x.beginWaiting(idle) {
			return closedEvicted, false
		}
		if err := x.awaitRequest(); errors.Is(err, os.ErrDeadlineExceeded) {
			parked, again := x.park()
			if parked {
				return "", true
			}
			if again {
				continue
			}
			return x.idleReason(first), false
		} else if err != nil {
			return closedByPeer, false
		}
		if !x.beginRequest(x.requestDeadline(first)) {
			return closedEvicted, false
		}
		if reason := x.serveRequest(); reason != "" {
			return reason, false
		}
		first, idle = time.Time{}, time.Now().Add(clientIdleTimeout)
	}
}

// serveRequest reads one request and answers it; why the connection is to be closed then, empty if it is not.
func (x *clientConn) serveRequest() closeReason {
	args, err := readCommand(x.reader)
	if err != nil {
		return x.unreadableReason(err)
	}
	if !x.completeRequest() { // it came too late to be carried out
		if !x.answerRequest(x.table.rejectRequest(args)) {
			return closedUnwritten
		}
		return closedEvicted
	}
	if !x.answerRequest(x.table.handleRequest(args)) {
		return closedUnwritten
	}
	x.finishRequest()
	return ""
}

// requestDeadline is the time by which a request that begins now must be whole.
func (x *clientConn) requestDeadline(first time.Time) time.Time {
	switch {
	case x.table.isClosing():
		return time.Now().Add(lastRequestTimeout)
	case !first.IsZero():
		return first
	}
	return time.Now().Add(requestReadTimeout)
}

// unreadableReason says why a connection is closed on which no whole request came, and tells its client what was wrong with it.
func (x *clientConn) unreadableReason(err error) closeReason {
	switch {
	case errors.Is(err, errProtocol):
		x.writeAnswer("-ERR " + err.Error() + "\r\n")
		return closedMalformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closedHalfRequest
	}
	return closedByPeer
}

// idleReason says why a connection is closed on which no request has begun to come.
func (x *clientConn) idleReason(first time.Time) closeReason {
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	switch {
	case x.state == connClosing:
		return closedEvicted
	case x.table.closing:
		return closedStopping
	case !first.IsZero() && !time.Now().Before(first):
		return closedNoRequest
	}
	return closedIdle
}
