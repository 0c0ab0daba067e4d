package node

// Client connections during a handover to another process: which are transferred, and what happens to the others.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"
)

// clientHandover is the state of a handover in progress.
type clientHandover struct {
	sealed  bool          // the state is complete: nothing more is transferred
	decided chan struct{} // closed once the handover has succeeded or failed
	parked  []net.Conn    // idle connections without a reader
}

// freeze starts a handover: it wakes the readers of idle connections, which park them and leave unread what has
// arrived. It does not wait for that.
func (c *clients) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handover = &clientHandover{decided: make(chan struct{})}
	for _, cc := range c.conns {
		if cc.state == connIdle {
			cc.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// allFrozen reports whether all connections are parked, no connection is being accepted and no message waits
// for the loop's answer. If timedOut is true, connections that are reading a request, writing an answer or
// closing are not waited for. Once it has returned true, nothing more is parked.
func (c *clients) allFrozen(timedOut bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	atRest := len(c.handover.parked)
	for _, cc := range c.conns {
		if timedOut && cc.state != connIdle && cc.state != connParked {
			atRest++
		}
	}
	if c.accepting || c.pendingRequests > 0 || atRest < len(c.conns) {
		return false
	}
	c.handover.sealed = true
	return true
}

// parkedConns returns the parked connections, and for each what the new process must know of it.
func (c *clients) parkedConns() ([]net.Conn, []transferClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handover == nil {
		return nil, nil
	}
	var states []transferClient
	for _, conn := range c.handover.parked {
		cc := c.conns[conn]
		states = append(states, transferClient{c.clock.Micros(cc.idleSince), cc.hasServedRequest})
	}
	return c.handover.parked, states
}

// adopt starts serving a connection that another process has handed over.
func (c *clients) adopt(conn net.Conn, state transferClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := newClientConn(c, conn, c.clock.Time(state.Since))
	cc.hasServedRequest = state.Proven
	c.conns[conn] = cc
	c.startConn(cc, cc.firstRequestDeadline())
}

// firstRequestDeadline returns the time by which the first request must be complete, zero if there has been
// one. The caller holds the table's lock.
func (cc *clientConn) firstRequestDeadline() time.Time {
	if !cc.hasServedRequest {
		return cc.idleSince.Add(requestReadTimeout)
	}
	return time.Time{}
}

// endHandover ends the handover in progress. The caller holds c.mu.
func (c *clients) endHandover() {
	close(c.handover.decided)
	c.handover = nil
}

// resumeParked starts readers again for connections that were parked. The caller holds c.mu.
func (c *clients) resumeParked(parked []net.Conn) {
	for _, conn := range parked {
		cc := c.conns[conn]
		cc.setState(connIdle)
		c.startConn(cc, cc.firstRequestDeadline())
	}
}

// unfreeze ends a handover that failed: this process serves the parked connections again.
func (c *clients) unfreeze(parked []net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endHandover()
	c.resumeParked(parked)
}

// completeHandover ends a handover that succeeded. It closes this process's descriptors of the transferred
// connections. The remaining connections are closed as at a shutdown, and messages that arrive on them are
// forwarded to the new process, which serves clients at successorAddr.
func (c *clients) completeHandover(successorAddr string, transferred, remaining []net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.successorAddr = true, successorAddr
	c.endHandover()
	for _, conn := range transferred { // they stay open in the new process
		conn.Close()
		delete(c.conns, conn)
	}
	c.resumeParked(remaining)
}

// park parks the connection for a handover. If the state is sealed already, park waits until the handover has
// succeeded or failed, and retry is true. Without a handover, or if the connection is closing, both are false.
func (cc *clientConn) park() (parked, retry bool) {
	c := cc.table
	c.mu.Lock()
	handover := c.handover
	switch {
	case handover == nil || cc.state == connClosing:
		c.mu.Unlock()
		return false, false
	case !handover.sealed:
		cc.setState(connParked)
		handover.parked = append(handover.parked, cc.Conn)
		c.mu.Unlock()
		return true, false
	}
	c.mu.Unlock()
	<-handover.decided
	return false, true
}

// admitRequest decides where a message goes: to the loop if successorAddr is empty, otherwise to that address.
// Once the state of a handover is sealed, it waits until the handover has succeeded or failed. A message for
// the loop counts as pending until releaseRequest, which must follow.
func (c *clients) admitRequest() (successorAddr string) {
	for {
		c.mu.Lock()
		handover := c.handover
		if handover == nil || !handover.sealed {
			successorAddr = c.successorAddr
			if successorAddr == "" {
				c.pendingRequests++
			}
			c.mu.Unlock()
			return successorAddr
		}
		c.mu.Unlock()
		<-handover.decided
	}
}

func (c *clients) releaseRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingRequests--
}

// forwardRequest sends a request to the process that has taken over, as one of its clients, and returns the answer.
func forwardRequest(addr string, args [][]byte) string {
	conn, err := net.DialTimeout("tcp", addr, lastRequestTimeout)
	if err != nil {
		return busyAnswer(0)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(answerTimeout))
	b := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, arg := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	if _, err := conn.Write(b); err != nil {
		return busyAnswer(0) // an incomplete request is not accepted, so the client may retry
	}
	line, err := bufio.NewReaderSize(io.LimitReader(conn, maxOverheadBytes), maxOverheadBytes).ReadString('\n')
	if err != nil {
		return answerFailed
	}
	return line
}
