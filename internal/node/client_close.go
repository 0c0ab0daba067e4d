package node

// How a client's connection ends.

import (
	"bufio"
	"bytes"
	"strings"
	"time"
)

// refuseTimeout is for requests that have come when a connection is about to be closed.
const refuseTimeout = 100 * time.Millisecond

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

// readsRemaining says whether requests may stand on the connection that can still be read.
func (r closeReason) readsRemaining() bool {
	switch r {
	case closedIdle, closedNoRequest, closedEvicted, closedStopping:
		return true
	}
	return false
}

// finish closes the connection. All connections that were served end here, by one rule: what has been read is answered, and
// what is not read is left unread. A client whose request is left unread, or comes later, sees a reset, and knows that it
// was not carried out; one whose request is read and dropped does not.
func (x *clientConn) finish(reason closeReason) {
	x.table.mu.Lock()
	x.setState(connClosing)
	x.table.mu.Unlock()
	if reason.readsRemaining() && !x.refusePending() {
		reason = closedUnwritten
	}
	x.markDrained(reason)
	if reason != closedByPeer && reason != closedUnwritten {
		awaitAck(x.Conn)
	}
	unread := hasData(x.Conn)
	x.Conn.Close()
	x.table.countClose(x, reason, unread)
}

// markDrained notes that all that was read has its answer, and checks that it is so, each request, unless the client has gone or
// does not take answers.
func (x *clientConn) markDrained(reason closeReason) {
	c := x.table
	c.mu.Lock()
	defer c.mu.Unlock()
	x.setState(connDrained)
	switch reason {
	case closedByPeer, closedUnwritten:
		return
	case closedMalformed, closedHalfRequest: // what follows is no request
	default:
		buffered, _ := x.reader.Peek(x.reader.Buffered())
		x.unansweredRequests += countCompleteRequests(buffered)
	}
	for range x.unansweredRequests {
		c.guard.recordViolation(ruleAnswer, "peer", x.RemoteAddr(), "why", string(reason))
	}
}

// refusePending turns away requests that had come when it was called: handing them in again is harmless. It takes a moment at
// most, and answers all that it has read. It returns false if an answer could not be sent.
func (x *clientConn) refusePending() bool {
	by := time.Now().Add(refuseTimeout)
	x.readLimit = availableBytes(x.Conn)
	for x.reader.Buffered() > 0 || x.readLimit != 0 && hasData(x.Conn) {
		if !time.Now().Before(by) {
			x.readLimit = 0
		}
		x.SetReadDeadline(by)
		args, err := readCommand(x.reader)
		if err != nil {
			x.unreadableReason(err)
			break
		}
		x.completeRequest()
		if !x.answerRequest(x.table.rejectRequest(args)) {
			return false
		}
	}
	return true
}

// rejectRequest is the answer to a request that came too late to be carried out.
func (c *clients) rejectRequest(args [][]byte) string {
	if strings.EqualFold(string(args[0]), "MSG.PUT") {
		return busyAnswer(0)
	}
	return c.handleRequest(args)
}

// countClose counts why a connection was closed.
func (c *clients) countClose(x *clientConn, reason closeReason, unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeCounts[reason]++
	if unread {
		c.closedOverUnread++
	}
	c.log.Debug("client closed", "peer", x.RemoteAddr(), "why", string(reason), "owed", x.unansweredRequests, "unread", unread)
}

// countCompleteRequests is how many requests stand whole at the begin of some bytes.
func countCompleteRequests(b []byte) (count int) {
	r := bufio.NewReader(bytes.NewReader(b))
	for {
		if _, err := readCommand(r); err != nil {
			return count
		}
		count++
	}
}

// reportUnanswered notes connections that the process ends with before all that was read on them has its answer. An answer
// that is being written waits for its client.
func (c *clients) reportUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.conns {
		if x.state != connDrained && !x.writingAnswer {
			c.guard.recordViolation(ruleAnswer, "peer", x.RemoteAddr(), "why", "process ends", "state", x.state, "owed", x.unansweredRequests)
		}
	}
}

// drainClients answers, once the loop has ended, the requests that came too late for it, until the last connection has
// ended or a time is over: what was read must not end with the process.
func (n *Node) drainClients(by time.Time) {
	over := time.NewTimer(time.Until(by))
	defer over.Stop()
	ended := n.clients.allEnded()
	for {
		select {
		case ev := <-n.events:
			if put, ok := ev.(putEvent); ok {
				put.answer <- n.lateAnswer(put.message.ID)
			}
		case <-ended:
			return
		case <-over.C:
			n.clients.reportUnanswered()
			return
		}
	}
}

// lateAnswer refuses a message that comes after the loop's end, unless it was accepted before under the same id.
func (n *Node) lateAnswer(id string) string {
	if n.held[id] != nil || n.journal.Entry(id) != nil {
		return answerOK
	}
	return busyAnswer(0)
}
