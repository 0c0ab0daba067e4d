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

// nextStates lists the transitions that are allowed, besides staying in a state.
var nextStates = map[connState][]connState{
	connIdle:      {connReading, connParked, connClosing},
	connReading:   {connAnswering, connClosing},
	connAnswering: {connIdle, connClosing},
	connParked:    {connIdle},
	connClosing:   {connDrained},
}

// clientConn is one connection of a client. Its reader owns it, but for what the table's lock guards.
type clientConn struct {
	net.Conn
	table *clients
	r     *bufio.Reader
	limit int // bytes that may still be read from the system; negative for any number

	// What follows is guarded by the table's lock.
	state     connState
	proven    bool      // a whole request has come on it
	since     time.Time // of its start or its last answer
	heard     time.Time // when the last byte came; zero if none has
	lateSince time.Time // when bytes were first read past their deadline; zero if none were
	owed      int       // requests read that have no answer yet
	writing   bool      // an answer is being written: its client may take its time
}

func newClientConn(table *clients, conn net.Conn, since time.Time) *clientConn {
	x := &clientConn{Conn: conn, table: table, since: since, limit: -1}
	x.r = bufio.NewReader(x)
	return x
}

// Read reads what has come, also where the deadline is over: a request whose last byte is there is owed its answer.
func (x *clientConn) Read(b []byte) (int, error) {
	if x.limit == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	if x.limit > 0 {
		b = b[:min(len(b), x.limit)]
	}
	n, err := x.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && x.mayReadOn() {
		x.SetReadDeadline(time.Now().Add(acceptPause))
		n, err = x.Conn.Read(b)
	}
	if n > 0 {
		x.noteRead(n)
	}
	return n, err
}

func (x *clientConn) noteRead(n int) {
	if x.limit > 0 {
		x.limit -= n
	}
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	x.heard = time.Now()
}

// mayReadOn says whether bytes have come that may be read past a deadline, for a moment in all. At a handover they are
// left to whoever goes on.
func (x *clientConn) mayReadOn() bool {
	if !hasData(x.Conn) {
		return false
	}
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	if x.lateSince.IsZero() {
		x.lateSince = time.Now()
	}
	return x.table.handover == nil && time.Since(x.lateSince) < lastRequest
}

// advance moves the connection to a state, false if it is being closed. The caller holds the table's lock.
func (x *clientConn) advance(to connState) bool {
	if x.state == connClosing && to < connClosing {
		return false
	}
	if to != x.state && !slices.Contains(nextStates[x.state], to) {
		x.table.guard.violation(ruleState, "peer", x.RemoteAddr(), "from", x.state, "to", to)
	}
	x.state = to
	return true
}

// expect waits for the next request from now on, until a time; false if the connection is being closed.
func (x *clientConn) expect(until time.Time) bool {
	c := x.table
	c.mu.Lock()
	defer c.mu.Unlock()
	if !x.advance(connIdle) {
		return false
	}
	if c.closing || c.handover != nil {
		until = c.wakeAt(x)
	}
	x.SetReadDeadline(until)
	return true
}

// begin notes that a request has begun to come, which must be whole by a time; false if the connection is being closed.
func (x *clientConn) begin(by time.Time) bool {
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	if !x.advance(connReading) {
		return false
	}
	x.SetReadDeadline(by)
	return true
}

// whole notes that a request has been read whole, whose answer is owed; false if the connection is being closed.
func (x *clientConn) whole() bool {
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	x.owed++
	x.table.requests++
	return x.advance(connAnswering)
}

// served notes that the request has its answer.
func (x *clientConn) served() {
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	x.since, x.proven = time.Now(), true
	x.advance(connIdle)
}

// write sends an answer, false if it could not be sent.
func (x *clientConn) write(answer string) bool {
	x.setWriting(true)
	x.SetWriteDeadline(time.Now().Add(answerTime))
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
	x.writing = on
}

// answered sends the answer to a request that was read, false if it could not be sent.
func (x *clientConn) answered(answer string) bool {
	if !x.write(answer) {
		return false
	}
	x.table.mu.Lock()
	defer x.table.mu.Unlock()
	x.owed--
	x.table.answers++
	return true
}

// waitRequest waits for the first byte of a request; an error ends the connection, or parks it.
func (x *clientConn) waitRequest() error {
	_, err := x.r.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && x.table.isClosing() {
		// A request may have come just before: it is answered, for its client counts on that.
		if !hasData(x.Conn) {
			return err
		}
		x.SetReadDeadline(time.Now().Add(lastRequest))
		_, err = x.r.Peek(1)
	}
	return err
}

// run serves the connection until it ends or, which it says, is parked for a handover. first is the time by which the
// first request must have come, zero if one has come before.
func (x *clientConn) run(first time.Time) (parked bool) {
	reason, parked := x.serveRequests(first)
	if !parked {
		x.end(reason)
	}
	return parked
}

// serveRequests answers requests until the connection is to be closed, or is parked.
func (x *clientConn) serveRequests(first time.Time) (reason closeReason, parked bool) {
	idle := first
	if first.IsZero() {
		idle = time.Now().Add(idleClient)
	}
	for {
		if x.table.done() {
			return closedStopping, false
		}
		if !x.expect(idle) {
			return closedEvicted, false
		}
		if err := x.waitRequest(); errors.Is(err, os.ErrDeadlineExceeded) {
			parked, again := x.park()
			if parked {
				return "", true
			}
			if again {
				continue
			}
			return x.silent(first), false
		} else if err != nil {
			return closedByPeer, false
		}
		if !x.begin(x.requestBy(first)) {
			return closedEvicted, false
		}
		if reason := x.serveRequest(); reason != "" {
			return reason, false
		}
		first, idle = time.Time{}, time.Now().Add(idleClient)
	}
}

// serveRequest reads one request and answers it; why the connection is to be closed then, empty if it is not.
func (x *clientConn) serveRequest() closeReason {
	args, err := readCommand(x.r)
	if err != nil {
		return x.unreadable(err)
	}
	if !x.whole() { // it came too late to be carried out
		if !x.answered(x.table.turnAway(args)) {
			return closedUnwritten
		}
		return closedEvicted
	}
	if !x.answered(x.table.answer(args)) {
		return closedUnwritten
	}
	x.served()
	return ""
}

// requestBy is the time by which a request that begins now must be whole.
func (x *clientConn) requestBy(first time.Time) time.Time {
	switch {
	case x.table.isClosing():
		return time.Now().Add(lastRequest)
	case !first.IsZero():
		return first
	}
	return time.Now().Add(requestTime)
}

// unreadable says why a connection is closed on which no whole request came, and tells its client what was wrong with it.
func (x *clientConn) unreadable(err error) closeReason {
	switch {
	case errors.Is(err, errProtocol):
		x.write("-ERR " + err.Error() + "\r\n")
		return closedMalformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closedHalfRequest
	}
	return closedByPeer
}

// silent says why a connection is closed on which no request has begun to come.
func (x *clientConn) silent(first time.Time) closeReason {
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
