package node

// Which client's connection makes room for another in a full table.

import (
	"net"
	"time"
)

// Ranks of connections whose loss is a message's, see clientConn.rank.
const (
	evictionRankStalled = 2
	evictionRankNew     = 3
)

// evictionRank says what it costs to close a connection for another, least first: one that has stood idle or silent for as long
// as clients count on; one that has its answer, since a request that crosses is sent again; one that is silent or stands
// still with its first request, which fails with it; and one that is new or comes on, if slowly. At -1 it must not be.
func (x *clientConn) evictionRank(now time.Time) (rank int, since time.Time) {
	last := x.idleSince
	if x.lastReadAt.After(last) {
		last = x.lastReadAt
	}
	switch {
	case x.state >= connAnswering || x.state == connReading && x.hasServedRequest: // it is owed an answer, or ends already
		return -1, last
	case x.hasServedRequest && now.Sub(x.idleSince) >= minIdleForEviction || !x.hasServedRequest && now.Sub(last) >= minIdleForEviction:
		return 0, last
	case x.hasServedRequest:
		return 1, last
	case now.Sub(last) > stallTimeout:
		return evictionRankStalled, last
	}
	return evictionRankNew, last
}

// evict closes the connection that is the least loss, up to a rank, of several the one that has stood so longest.
// Its place is free at once, or a burst of new ones is turned away while the readers of those that make room still end.
// Its reader closes it, once it has answered what has come whole. During a handover it keeps its place until then; the
// table is one over meanwhile. The caller holds c.mu.
func (c *clients) evict(dearest int) bool {
	now := time.Now()
	var worst net.Conn
	var least int
	var since time.Time
	for conn, x := range c.conns {
		rank, t := x.evictionRank(now)
		if rank >= 0 && rank <= dearest && (worst == nil || rank < least || rank == least && t.Before(since)) {
			worst, least, since = conn, rank, t
		}
	}
	if worst == nil || len(c.conns) > c.maxConns+c.maxConns/8 {
		return false
	}
	c.log.Debug("client evicted", "peer", worst.RemoteAddr(), "rank", least, "since", since)
	c.conns[worst].setState(connClosing)
	worst.SetReadDeadline(time.Unix(1, 0))
	if c.handover != nil {
		return true
	}
	delete(c.conns, worst)
	c.evictedConns++
	return true
}
