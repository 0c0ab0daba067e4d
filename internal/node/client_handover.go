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

// frozenAll says whether all connections are at rest; those that have half a request, or wait to write, do not count
// if late is true. Once it has said yes, nothing more is parked.
func (c *clients) frozenAll(late bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := len(c.handover.parked)
	for _, x := range c.conns {
		if late && x.state != connIdle && x.state != connParked {
			rest++
		}
	}
	if c.accepting || c.pending > 0 || rest < len(c.conns) {
		return false
	}
	c.handover.sealed = true
	return true
}

// waiting lists the parked connections.
func (c *clients) waiting() ([]net.Conn, []transferClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handover == nil {
		return nil, nil
	}
	var states []transferClient
	for _, conn := range c.handover.parked {
		x := c.conns[conn]
		states = append(states, transferClient{c.clock.Micros(x.since), x.proven})
	}
	return c.handover.parked, states
}

// adopt serves a connection that another process has handed over.
func (c *clients) adopt(conn net.Conn, from transferClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := newClientConn(c, conn, c.clock.Time(from.Since))
	x.proven = from.Proven
	c.conns[conn] = x
	c.start(x, x.firstBy())
}

// firstBy is the time by which the first request must have come, zero if one has. The caller holds the table's lock.
func (x *clientConn) firstBy() time.Time {
	if !x.proven {
		return x.since.Add(requestTime)
	}
	return time.Time{}
}

// decide ends the handover that is being made. The caller holds c.mu.
func (c *clients) decide() {
	close(c.handover.decided)
	c.handover = nil
}

// startAll reads requests again from connections that were parked. The caller holds c.mu.
func (c *clients) startAll(parked []net.Conn) {
	for _, conn := range parked {
		x := c.conns[conn]
		x.advance(connIdle)
		c.start(x, x.firstBy())
	}
}

// thaw goes on as before: nobody has taken over.
func (c *clients) thaw(parked []net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decide()
	c.startAll(parked)
}

// handed gives up the connections that went to the process that serves at next. What is left here comes to its end
// as at a shutdown, and requests go to that process.
func (c *clients) handed(next string, gone, left []net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.next = true, next
	c.decide()
	for _, conn := range gone { // they stay open in that process
		conn.Close()
		delete(c.conns, conn)
	}
	c.startAll(left)
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
		x.advance(connParked)
		h.parked = append(h.parked, x.Conn)
		c.mu.Unlock()
		return true, false
	}
	c.mu.Unlock()
	<-h.decided
	return false, true
}

// enter counts a request in, and says where it goes: to the loop if next is empty. During a handover it waits until
// that is known. leave must follow if it is the loop.
func (c *clients) enter() (next string) {
	for {
		c.mu.Lock()
		h := c.handover
		if h == nil || !h.sealed {
			next = c.next
			if next == "" {
				c.pending++
			}
			c.mu.Unlock()
			return next
		}
		c.mu.Unlock()
		<-h.decided
	}
}

func (c *clients) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

// passOn hands a request to the process that has taken over, as a client of it.
func passOn(next string, args [][]byte) string {
	conn, err := net.DialTimeout("tcp", next, lastRequest)
	if err != nil {
		return busy(0)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(answerTime))
	b := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, a := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(a), a)
	}
	if _, err := conn.Write(b); err != nil {
		return busy(0) // not all of it is written, so it is not taken on
	}
	line, err := bufio.NewReaderSize(io.LimitReader(conn, maxRest), maxRest).ReadString('\n')
	if err != nil {
		return answerFailed
	}
	return line
}
