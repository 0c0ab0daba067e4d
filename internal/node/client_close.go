package node

// How a client's connection ends.

import (
	"net"
	"strings"
	"time"
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

// end closes a connection once requests that have come whole have their answers.
func (x *clientConn) end(reason closeReason) {
	x.table.mu.Lock()
	x.advance(connClosing)
	x.table.mu.Unlock()
	if reason.readable() {
		x.refuseRest()
	}
	dropped := endClient(x.Conn)
	x.table.noteClose(x, reason, dropped)
}

// refuseRest turns away what has come on a connection that is about to be closed: handing it in again is harmless. It
// takes a moment at most.
func (x *clientConn) refuseRest() {
	for by := time.Now().Add(lastRequest); time.Now().Before(by); {
		if x.r.Buffered() == 0 {
			if _, data := peek(x.Conn); !data {
				return
			}
		}
		x.SetReadDeadline(by)
		args, err := readCommand(x.r)
		if err != nil {
			return
		}
		x.whole()
		if !x.answered(x.table.turnAway(args)) {
			return
		}
	}
}

// endClient closes a connection. A close over unread bytes would reset it, and an answer that is still on its way would
// go with it. It returns how many bytes it has read for that.
func endClient(conn net.Conn) (dropped int) {
	if t, ok := conn.(*net.TCPConn); ok && t.CloseWrite() == nil {
		var rest [4096]byte
		for by := time.Now().Add(closeLinger); time.Now().Before(by); {
			if alive, data := peek(conn); !alive || !data {
				break
			}
			conn.SetReadDeadline(by)
			n, err := conn.Read(rest[:])
			dropped += n
			if err != nil {
				break
			}
		}
	}
	conn.Close()
	return dropped
}

// turnAway is the answer to a request that came too late to be carried out.
func (c *clients) turnAway(args [][]byte) string {
	if strings.EqualFold(string(args[0]), "MSG.PUT") {
		return busy(0)
	}
	return c.answer(args)
}

// noteClose counts why a connection was closed.
func (c *clients) noteClose(x *clientConn, reason closeReason, dropped int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closes[reason]++
	if dropped > 0 {
		c.dropped++
	}
	c.log.Debug("client closed", "peer", x.RemoteAddr(), "why", string(reason), "owed", x.owed, "dropped", dropped)
}

// countUnanswered notes requests that were read and have no answer at the end of the process.
func (c *clients) countUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.conns {
		if x.owed > 0 {
			c.guard.violation(ruleAnswer, "peer", x.RemoteAddr())
		}
	}
}
