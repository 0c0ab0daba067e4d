package node

// The connection of a client: its states, its reader, and the handling of its requests one after the other.

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"crossdeal/internal/socket"
)

// connState is the state of a client connection.
//
// Only the reader of a connection closes it, in clientConn.finish. Others can make it do so: an eviction sets
// connClosing and wakes the reader, and a shutdown wakes the reader of an idle connection. Each request that
// was read completely gets its answer before the close, either its result or -BUSY, unless the client is gone
// or does not take answers.
//
//   - connIdle: may be closed by its reader after a timeout, at a shutdown, or when the client closes it; may
//     be evicted; may be parked for a handover.
//   - connReading: the reader closes it if the request is malformed or not complete in time, or if the client
//     closes it. It may be evicted only during its first request.
//   - connAnswering: is neither evicted nor parked. The reader closes it only if the answer cannot be written.
//   - connParked: has no reader, and is neither evicted nor closed while the handover lasts. Then the new
//     process owns it, and this one closes its descriptor, or it becomes idle again.
//   - connClosing: an evictor or the reader has decided on the close. No further MSG.PUT is carried out; the
//     reader answers the requests that have arrived.
//   - connDrained: each request that was read has its answer, unless the client is gone or does not take answers.
//     Only the close is left.
type connState int

const (
	connIdle      connState = iota // waits for a request; nothing of one has been seen since the last answer
	connReading                    // reads a request
	connAnswering                  // has read a complete request and must answer it
	connParked                     // has no reader during a handover
	connClosing                    // about to be closed
	connDrained                    // about to be closed, with nothing left to answer
)

func (s connState) String() string {
	return [...]string{"idle", "reading", "answering", "parked", "closing", "drained"}[s]
}

// allowedTransitions lists the states that may follow each state. Setting the same state again is always allowed.
var allowedTransitions = map[connState][]connState{
	connIdle:      {connReading, connParked, connClosing},
	connReading:   {connAnswering, connClosing},
	connAnswering: {connIdle, connClosing},
	connParked:    {connIdle},
	connClosing:   {connDrained},
}

// clientConn is one client connection. Its reader owns it, except for the fields that the table's lock guards.
type clientConn struct {
	net.Conn
	table     *clients
	reader    *bufio.Reader
	readLimit int // bytes that may still be read from the socket; negative for no limit

	// The fields from here on are guarded by the table's lock.
	state              connState
	hasServedRequest   bool      // at least one request has been read and answered
	idleSince          time.Time // when the connection started or its last answer was written
	lastReadAt         time.Time // when the last bytes were read; zero if none were
	readOverdueSince   time.Time // when the reader first continued past its deadline; zero if it never did
	unansweredRequests int       // complete requests read and not answered yet
	writingAnswer      bool      // an answer is being written, which takes as long as the client takes to read it
}

func newClientConn(table *clients, conn net.Conn, since time.Time) *clientConn {
	cc := &clientConn{Conn: conn, table: table, idleSince: since, readLimit: -1}
	cc.reader = bufio.NewReader(cc)
	return cc
}

// Read reads what has arrived, for a short time even past the read deadline: a request whose last byte has
// arrived must be answered. It reads readLimit bytes at most.
func (cc *clientConn) Read(b []byte) (int, error) {
	if cc.readLimit == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	if cc.readLimit > 0 {
		b = b[:min(len(b), cc.readLimit)]
	}
	n, err := cc.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && cc.mayReadPastDeadline() {
		cc.SetReadDeadline(time.Now().Add(shortRetryDelay))
		n, err = cc.Conn.Read(b)
	}
	if n > 0 {
		cc.noteRead(n)
	}
	return n, err
}

func (cc *clientConn) noteRead(n int) {
	if cc.readLimit > 0 {
		cc.readLimit -= n
	}
	cc.table.mu.Lock()
	defer cc.table.mu.Unlock()
	cc.lastReadAt = time.Now()
}

// mayReadPastDeadline reports whether bytes have arrived that may be read although the read deadline has passed.
// It allows that for lastRequestTimeout from the first such read on, and not during a handover: the process
// that owns the connection afterwards reads them.
func (cc *clientConn) mayReadPastDeadline() bool {
	if !socket.HasData(cc.Conn) {
		return false
	}
	cc.table.mu.Lock()
	defer cc.table.mu.Unlock()
	if cc.readOverdueSince.IsZero() {
		cc.readOverdueSince = time.Now()
	}
	return cc.table.handover == nil && time.Since(cc.readOverdueSince) < lastRequestTimeout
}

// setState moves the connection to a state. It changes nothing and returns false if the connection is closing
// and the new state does not belong to the close. The caller holds the table's lock.
func (cc *clientConn) setState(to connState) bool {
	if cc.state == connClosing && to < connClosing {
		return false
	}
	if to != cc.state && !slices.Contains(allowedTransitions[cc.state], to) {
		cc.table.guard.recordViolation(ruleConnState, "peer", cc.RemoteAddr(), "from", cc.state, "to", to)
	}
	cc.state = to
	return true
}

// beginWaiting makes the connection idle, with a time until which it waits for a request; false if it is closing.
func (cc *clientConn) beginWaiting(until time.Time) bool {
	c := cc.table
	c.mu.Lock()
	defer c.mu.Unlock()
	if !cc.setState(connIdle) {
		return false
	}
	if c.closing || c.handover != nil {
		until = c.wakeTime(cc)
	}
	cc.SetReadDeadline(until)
	return true
}

// beginRequest records that a request has begun to arrive and sets the deadline for reading all of it; false if the
// connection is closing.
func (cc *clientConn) beginRequest(deadline time.Time) bool {
	cc.table.mu.Lock()
	defer cc.table.mu.Unlock()
	if !cc.setState(connReading) {
		return false
	}
	cc.SetReadDeadline(deadline)
	return true
}

// completeRequest records that a complete request has been read, which must be answered; false if the connection is
// closing.
func (cc *clientConn) completeRequest() bool {
	cc.table.mu.Lock()
	defer cc.table.mu.Unlock()
	cc.unansweredRequests++
	cc.table.requestsRead++
	return cc.setState(connAnswering)
}

// finishRequest records that the request has been answered.
func (cc *clientConn) finishRequest() {
	cc.table.mu.Lock()
	defer cc.table.mu.Unlock()
	cc.idleSince, cc.hasServedRequest = time.Now(), true
	cc.setState(connIdle)
}

// writeAnswer writes an answer; false if that failed.
func (cc *clientConn) writeAnswer(answer string) bool {
	cc.setWriting(true)
	cc.SetWriteDeadline(time.Now().Add(answerTimeout))
	_, err := io.WriteString(cc.Conn, answer)
	cc.setWriting(false)
	if err != nil {
		cc.table.log.Debug("answer not written", "peer", cc.RemoteAddr(), "err", err)
		return false
	}
	return true
}

func (cc *clientConn) setWriting(on bool) {
	cc.table.mu.Lock()
	defer cc.table.mu.Unlock()
	cc.writingAnswer = on
}

// answerRequest writes the answer to a request and counts it; false if the answer could not be written.
func (cc *clientConn) answerRequest(answer string) bool {
	if !cc.writeAnswer(answer) {
		return false
	}
	cc.table.mu.Lock()
	defer cc.table.mu.Unlock()
	cc.unansweredRequests--
	cc.table.answersWritten++
	return true
}

// awaitRequest waits for the first byte of a request. After an error the connection is closed, unless park parks it or
// asks for a retry.
func (cc *clientConn) awaitRequest() error {
	_, err := cc.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && cc.table.isClosing() {
		// A request may have arrived just before the deadline: it is answered, since its client expects that.
		if !socket.HasData(cc.Conn) {
			return err
		}
		cc.SetReadDeadline(time.Now().Add(lastRequestTimeout))
		_, err = cc.reader.Peek(1)
	}
	return err
}

// serve answers requests until the connection is closed or parked for a handover; parked is true for the latter.
// The first request must be complete by firstRequestBy, which is zero if the connection has had a request before.
func (cc *clientConn) serve(firstRequestBy time.Time) (parked bool) {
	reason, parked := cc.serveRequests(firstRequestBy)
	if !parked {
		cc.finish(reason)
	}
	return parked
}

// serveRequests answers requests until the connection must be closed, for the reason returned, or is parked.
func (cc *clientConn) serveRequests(firstRequestBy time.Time) (reason closeReason, parked bool) {
	idleUntil := firstRequestBy
	if firstRequestBy.IsZero() {
		idleUntil = time.Now().Add(clientIdleTimeout)
	}
	for {
		if cc.table.pastReadDeadline() {
			return closedStopping, false
		}
		if !cc.beginWaiting(idleUntil) {
			return closedEvicted, false
		}
		if err := cc.awaitRequest(); errors.Is(err, os.ErrDeadlineExceeded) {
			parked, retry := cc.park()
			if parked {
				return "", true
			}
			if retry {
				continue
			}
			return cc.idleReason(firstRequestBy), false
		} else if err != nil {
			return closedByPeer, false
		}
		if !cc.beginRequest(cc.requestDeadline(firstRequestBy)) {
			return closedEvicted, false
		}
		if reason := cc.serveRequest(); reason != "" {
			return reason, false
		}
		firstRequestBy, idleUntil = time.Time{}, time.Now().Add(clientIdleTimeout)
	}
}

// serveRequest reads one request and answers it. It returns why the connection must be closed, or an empty reason.
func (cc *clientConn) serveRequest() closeReason {
	args, err := readCommand(cc.reader)
	if err != nil {
		return cc.answerUnreadable(err)
	}
	if !cc.completeRequest() { // evicted while it was being read: too late to be carried out
		if !cc.answerRequest(cc.table.rejectRequest(args)) {
			return closedUnwritten
		}
		return closedEvicted
	}
	if !cc.answerRequest(cc.table.handleRequest(args)) {
		return closedUnwritten
	}
	cc.finishRequest()
	return ""
}

// requestDeadline returns the time by which a request that begins to arrive must be complete.
func (cc *clientConn) requestDeadline(firstRequestBy time.Time) time.Time {
	switch {
	case cc.table.isClosing():
		return time.Now().Add(lastRequestTimeout)
	case !firstRequestBy.IsZero():
		return firstRequestBy
	}
	return time.Now().Add(requestReadTimeout)
}

// answerUnreadable returns why a connection is closed whose next request could not be read. If it was
// malformed, its client gets an error line.
func (cc *clientConn) answerUnreadable(err error) closeReason {
	switch {
	case errors.Is(err, errProtocol):
		cc.writeAnswer("-ERR " + err.Error() + "\r\n")
		return closedMalformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closedHalfRequest
	}
	return closedByPeer
}

// idleReason returns why a connection is closed on which no request has begun to arrive.
func (cc *clientConn) idleReason(firstRequestBy time.Time) closeReason {
	cc.table.mu.Lock()
	defer cc.table.mu.Unlock()
	switch {
	case cc.state == connClosing:
		return closedEvicted
	case cc.table.closing:
		return closedStopping
	case !firstRequestBy.IsZero() && !time.Now().Before(firstRequestBy):
		return closedNoRequest
	}
	return closedIdle
}
