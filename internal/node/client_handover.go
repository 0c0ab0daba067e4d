package node

// Clients' connections at a handover to another process.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"
)

// clientHandover is a handover that is being made.
type clientHandover struct {
	sealed  bool          // the state is packed: nothing more goes with it
	decided chan struct{} // closed once it is known who goes on
	parked  []net.Conn    // connections that wait for their next request, with no reader
}

// freeze brings connections to rest for a handover: those that wait for a request are parked, with what has come on
// them left unread. It does not wait for that.
func (c *clients) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handover = &clientHandover{decided: make(chan struct{})}
	for _, x := range c.conns {
		if x.state == connIdle {
			x.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// allFrozen says whether all connections are at rest; those that have half a request, or wait to write, do not count
// if late is true. Once it has said yes, nothing more is parked.
func (c *clients) allFrozen(late bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := len(c.handover.parked)
	for _, x := range c.conns {
		if late && x.state != connIdle && x.state != connParked {
			rest++
		}
	}
	if c.accepting || c.pendingRequests > 0 || rest < len(c.conns) {
		return false
	}
	c.handover.sealed = true
	return true
}

// parkedConns lists the parked connections.
func (c *clients) parkedConns() ([]net.Conn, []transferClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handover == nil {
		return nil, nil
	}
	var states []transferClient
	for _, conn := range c.handover.parked {
		x := c.conns[conn]
		states = append(states, transferClient{c.clock.Micros(x.idleSince), x.hasServedRequest})
	}
	return c.handover.parked, states
}

// adopt serves a connection that another process has handed over.
func (c *clients) adopt(conn net.Conn, from transferClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := newClientConn(c, conn, c.clock.Time(from.Since))
	x.hasServedRequest = from.Proven
	c.conns[conn] = x
	c.startConn(x, x.firstRequestDeadline())
}

// firstRequestDeadline is the time by which the first request must have come, zero if one has. The caller holds the table's lock.
func (x *clientConn) firstRequestDeadline() time.Time {
	if !x.hasServedRequest {
		return x.idleSince.Add(requestReadTimeout)
	}
	return time.Time{}
}

// endHandover ends the handover that is being made. The caller holds c.mu.
func (c *clients) endHandover() {
	close(c.handover.decided)
	c.handover = nil
}

// resumeParked reads requests again from connections that were parked. The caller holds c.mu.
func (c *clients) resumeParked(parked []net.Conn) {
	for _, conn := range parked {
		x := c.conns[conn]
		x.setState(connIdle)
		c.startConn(x, x.firstRequestDeadline())
	}
}

// unfreeze goes on as before: nobody has taken over.
func (c *clients) unfreeze(parked []net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endHandover()
	c.resumeParked(parked)
}

// completeHandover gives up the connections that went to the process that serves at next. What is left here comes to its end
// as at a shutdown, and requests go to that process.
func (c *clients) completeHandover(next string, gone, left []net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.successorAddr = true, next
	c.endHandover()
	for _, conn := range gone { // they stay open in that process
		conn.Close()
		delete(c.conns, conn)
	}
	c.resumeParked(left)
}

// park sets the connection aside for a handover; if it is too late for that, it waits until it is known who goes on.
// With no handover under way both are false.
func (x *clientConn) park() (parked, again bool) {
	c := x.table
	c.mu.Lock()
	h := c.handover
	switch {
	case h == nil || x.state == connClosing:
		c.mu.Unlock()
		return false, false
	case !h.sealed:
		x.setState(connParked)
		h.parked = append(h.parked, x.Conn)
		c.mu.Unlock()
		return true, false
	}
	c.mu.Unlock()
	<-h.decided
	return false, true
}

// admitRequest counts a request in, and says where it goes: to the loop if next is empty. During a handover it waits until
// that is known. leave must follow if it is the loop.
func (c *clients) admitRequest() (next string) {
	for {
		c.mu.Lock()
		h := c.handover
		if h == nil || !h.sealed {
			next = c.successorAddr
			if next == "" {
				c.pendingRequests++
			}
			c.mu.Unlock()
			return next
		}
		c.mu.Unlock()
		<-h.decided
	}
}

func (c *clients) releaseRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingRequests--
}

// forwardRequest hands a request to the process that has taken over, as a client of it.
func forwardRequest(next string, args [][]byte) string {
	conn, err := net.DialTimeout("tcp", next, lastRequestTimeout)
	if err != nil {
		return busyAnswer(0)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(answerTimeout))
	b := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, a := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(a), a)
	}
	if _, err := conn.Write(b); err != nil {
		return busyAnswer(0) // not all of it is written, so it is not taken on
	}
	line, err := bufio.NewReaderSize(io.LimitReader(conn, maxOverheadBytes), maxOverheadBytes).ReadString('\n')
	if err != nil {
		return answerFailed
	}
	return line
}
