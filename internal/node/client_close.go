package node

// The close of client connections: its reasons, and the answers to requests that have arrived by then.

import (
	"bufio"
	"bytes"
	"strings"
	"time"

	"crossdeal/internal/socket"
)

// rejectTimeout is for reading and rejecting the requests that have arrived when a connection is about to be closed.
const rejectTimeout = 100 * time.Millisecond

// closeReason is why a client connection is closed.
type closeReason string

const (
	closedByPeer      closeReason = "by_peer"      // the client closed or reset it
	closedIdle        closeReason = "idle"         // no further request within clientIdleTimeout
	closedNoRequest   closeReason = "no_request"   // no first request within requestReadTimeout
	closedHalfRequest closeReason = "half_request" // a request was not complete in time
	closedMalformed   closeReason = "malformed"    // the bytes received are not a request
	closedUnwritten   closeReason = "unwritten"    // an answer could not be written
	closedEvicted     closeReason = "evicted"      // it was evicted for another connection
	closedStopping    closeReason = "stopping"     // the process shuts down, or has handed over
)

// readsRemaining reports whether requests may have arrived that can still be read before the close.
func (r closeReason) readsRemaining() bool {
	switch r {
	case closedIdle, closedNoRequest, closedEvicted, closedStopping:
		return true
	}
	return false
}

// finish closes the connection. All connections with a reader are closed here, by one rule: each request that
// was read is answered, and later ones are left unread in the socket. The client of an unread request, or
// of one that arrives later, sees a reset and so knows that the request was not carried out. If a request were
// read and dropped, its client could not tell.
func (cc *clientConn) finish(reason closeReason) {
	cc.table.mu.Lock()
	cc.setState(connClosing)
	cc.table.mu.Unlock()
	if reason.readsRemaining() && !cc.rejectPending() {
		reason = closedUnwritten
	}
	cc.markDrained(reason)
	if reason != closedByPeer && reason != closedUnwritten {
		awaitAck(cc.Conn, nil)
	}
	unread := socket.HasData(cc.Conn)
	cc.Conn.Close()
	cc.table.countClose(cc, reason, unread)
}

// markDrained sets connDrained and records a violation for each request that was read and not answered, unless
// the client is gone or does not take answers.
func (cc *clientConn) markDrained(reason closeReason) {
	c := cc.table
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.setState(connDrained)
	switch reason {
	case closedByPeer, closedUnwritten:
		return
	case closedMalformed, closedHalfRequest: // the buffered bytes are not complete requests
	default:
		buffered, _ := cc.reader.Peek(cc.reader.Buffered())
		cc.unansweredRequests += countCompleteRequests(buffered)
	}
	for range cc.unansweredRequests {
		c.guard.recordViolation(ruleAnswer, "peer", cc.RemoteAddr(), "why", string(reason))
	}
}

// rejectPending rejects the requests that have arrived when it is called, with -BUSY for a MSG.PUT: its client
// can safely send it again. After rejectTimeout it reads nothing more from the socket, but it answers all
// requests that it has read. It returns false if an answer could not be written.
func (cc *clientConn) rejectPending() bool {
	deadline := time.Now().Add(rejectTimeout)
	cc.readLimit = availableBytes(cc.Conn)
	for cc.reader.Buffered() > 0 || cc.readLimit != 0 && socket.HasData(cc.Conn) {
		if !time.Now().Before(deadline) {
			cc.readLimit = 0
		}
		cc.SetReadDeadline(deadline)
		args, err := readCommand(cc.reader)
		if err != nil {
			cc.answerUnreadable(err)
			break
		}
		cc.completeRequest()
		if !cc.answerRequest(cc.table.rejectRequest(args)) {
			return false
		}
	}
	return true
}

// rejectRequest returns the answer to a request that arrived too late to be carried out: -BUSY for a MSG.PUT. Other
// requests have no effect and get their usual answer.
func (c *clients) rejectRequest(args [][]byte) string {
	if strings.EqualFold(string(args[0]), "MSG.PUT") {
		return busyAnswer(0)
	}
	return c.handleRequest(args)
}

// countClose counts and logs why a connection was closed.
func (c *clients) countClose(cc *clientConn, reason closeReason, unread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeCounts[reason]++
	if unread {
		c.closedOverUnread++
	}
	c.log.Debug("client connection closed", "peer", cc.RemoteAddr(), "why", string(reason),
		"owed", cc.unansweredRequests, "unread", unread)
}

// countCompleteRequests returns how many complete requests b begins with.
func countCompleteRequests(b []byte) (count int) {
	r := bufio.NewReader(bytes.NewReader(b))
	for {
		if _, err := readCommand(r); err != nil {
			return count
		}
		count++
	}
}

// reportUnanswered records a violation for each connection that is still open when the process ends, since a
// request that was read on it may have no answer. A connection on which an answer is being written is left out:
// it waits for its client.
func (c *clients) reportUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.conns {
		if cc.state != connDrained && !cc.writingAnswer {
			c.guard.recordViolation(ruleAnswer, "peer", cc.RemoteAddr(), "why", "process ends", "state", cc.state,
				"owed", cc.unansweredRequests)
		}
	}
}

// answerLateMessages answers the messages that reach the loop's event channel after the loop has ended, until the
// last connection is closed or the deadline has passed: a request that was read must be answered before the
// process ends.
func (n *Node) answerLateMessages(deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	allEnded := n.clients.allEnded()
	for {
		select {
		case ev := <-n.events:
			if put, ok := ev.(putEvent); ok {
				put.answer <- n.lateAnswer(put.message.ID)
			}
		case <-allEnded:
			return
		case <-timer.C:
			n.clients.reportUnanswered()
			return
		}
	}
}

// lateAnswer returns the answer to a message that arrives after the loop has ended: -BUSY, unless a message
// with this id was accepted before.
func (n *Node) lateAnswer(id string) string {
	if n.held[id] != nil || n.journal.Entry(id) != nil {
		return answerOK
	}
	return busyAnswer(0)
}
