package node

// How a client's connection ends.

import (
	"bufio"
	"bytes"
	"cmp"
	"net"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	closeWait = 50 * time.Millisecond // for a client to acknowledge its last answers, before the close
	closeLook = time.Millisecond
)

// closeReason says why a connection of a client is closed.
type closeReason string

const (
	closedByPeer      closeReason = "by_peer"      // its client ended or reset it
	closedIdle        closeReason = "idle"         // no request for a long time
	closedNoRequest   closeReason = "no_request"   // no first request in time
	closedHalfRequest closeReason = "half_request" // a request did not come whole in time
	closedMalformed   closeReason = "malformed"    // what came is no request
	closedUnwritten   closeReason = "unwritten"    // an answer could not be written
	closedEvicted     closeReason = "evicted"      // it made room for another
	closedStopping    closeReason = "stopping"     // the process ends
)

// readable says whether requests may stand on the connection that can still be read.
func (r closeReason) readable() bool {
	switch r {
	case closedIdle, closedNoRequest, closedEvicted, closedStopping:
		return true
	}
	return false
}

// end closes the connection. All connections that were served end here, by one rule: what has been read is answered, and
// what is not read is left unread. A client whose request is left unread, or comes later, sees a reset, and knows that it
// was not carried out; one whose request is read and dropped does not.
func (x *clientConn) end(reason closeReason) {
	x.table.mu.Lock()
	x.advance(connClosing)
	x.table.mu.Unlock()
	if reason.readable() && !x.refuseRest() {
		reason = closedUnwritten
	}
	if reason != closedByPeer && reason != closedUnwritten {
		x.awaitDelivery()
	}
	_, unread := peek(x.Conn)
	x.Conn.Close()
	x.table.noteClose(x, reason, unread)
}

// refuseRest turns away requests that have come on a connection that is about to be closed: handing them in again is
// harmless. After a moment it reads no more, and answers what it has read. It returns false if an answer could not be sent.
func (x *clientConn) refuseRest() bool {
	by := time.Now().Add(lastRequest)
	for {
		if x.r.Buffered() == 0 {
			if _, data := peek(x.Conn); !data || !time.Now().Before(by) {
				return true
			}
		}
		if !time.Now().Before(by) {
			x.stopReading()
		}
		x.SetReadDeadline(by)
		args, err := readCommand(x.r)
		if err != nil {
			return true
		}
		x.whole()
		if !x.answered(x.table.turnAway(args)) {
			return false
		}
	}
}

// awaitDelivery ends the sending and waits, for a moment at most, until the client has acknowledged all answers: the
// reset that a close over unread bytes sends would overtake those that are still under way. It reads nothing.
func (x *clientConn) awaitDelivery() {
	tcp, ok := x.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	for by := time.Now().Add(closeWait); time.Now().Before(by); time.Sleep(closeLook) {
		left, err := unacknowledged(tcp)
		if err == nil && left == 0 {
			return
		}
		if _, unread := peek(x.Conn); err != nil && !unread {
			return // the system does not tell; without unread bytes there is no reset
		}
	}
}

// unacknowledged is the number of bytes that were written and that the peer has not acknowledged, an end of the sending
// counted as one.
func unacknowledged(conn *net.TCPConn) (count int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { count, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return count, cmp.Or(controlErr, err)
}

// turnAway is the answer to a request that came too late to be carried out.
func (c *clients) turnAway(args [][]byte) string {
	if strings.EqualFold(string(args[0]), "MSG.PUT") {
		return busy(0)
	}
	return c.answer(args)
}

// noteClose counts why a connection was closed, and checks that each request that was read on it has its answer, unless
// its client has gone or does not take answers.
func (c *clients) noteClose(x *clientConn, reason closeReason, unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closes[reason]++
	if unread {
		c.unread++
	}
	c.log.Debug("client closed", "peer", x.RemoteAddr(), "why", string(reason), "owed", x.owed, "unread", unread)
	switch reason {
	case closedByPeer, closedUnwritten:
		return
	case closedMalformed, closedHalfRequest: // what follows is no request
	default:
		buffered, _ := x.r.Peek(x.r.Buffered())
		x.owed += wholeRequests(buffered)
	}
	for range x.owed {
		c.guard.violation(ruleAnswer, "peer", x.RemoteAddr(), "why", string(reason))
	}
}

// wholeRequests is how many requests stand whole at the begin of some bytes.
func wholeRequests(b []byte) (count int) {
	r := bufio.NewReader(bytes.NewReader(b))
	for {
		if _, err := readCommand(r); err != nil {
			return count
		}
		count++
	}
}

// countUnanswered notes requests that were read and have no answer at the end of the process. An answer that is being
// written waits for its client.
func (c *clients) countUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.conns {
		if x.owed > 0 && !x.writing {
			c.guard.violation(ruleAnswer, "peer", x.RemoteAddr(), "why", "process ends", "state", x.state)
		}
	}
}
