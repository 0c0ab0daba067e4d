package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"crossdeal/internal/clock"
)

const (
	maxPeerDuration    = 24 * time.Hour          // the longest time that a message may ask for
	requestReadTimeout = 2500 * time.Millisecond // for a whole request, a connection's first one counted from its start
	answerTimeout      = 2500 * time.Millisecond
	clientIdleTimeout  = 30 * time.Second       // a connection without a request is closed after this ...
	minIdleForEviction = 2 * time.Second        // ... and from this on when the table is full
	lastRequestTimeout = 200 * time.Millisecond // at a shutdown, for a request that has begun to come
	firstRequestGrace  = 500 * time.Millisecond // and for the first one on a connection, from its start
	clientMemoryShare  = 0.25                   // of the memory is for requests that clients' connections hold
	maxIDBytes         = 128
	stallTimeout       = 300 * time.Millisecond // a peer that sends nothing for so long, its first request not whole, stands still
	shortRetryDelay    = 5 * time.Millisecond
	answerOK           = "+OK\r\n"
	answerFailed       = "-ERR failed\r\n"
)

// putEvent is a message that a client hands in. The loop sends its one answer.
type putEvent struct {
	message Message
	answer  chan<- string
}

// clients serves the RESP2 side: it is the table of clients' connections.
type clients struct {
	cfg      *Config
	log      *slog.Logger
	events   chan<- any
	guard    *guard
	clock    *clock.Clock
	maxConns int // connections
	wg       sync.WaitGroup

	// What follows is guarded by mu.
	mu              sync.Mutex
	descriptors     descriptors
	conns           map[net.Conn]*clientConn
	evictedConns    int        // connections that made room and whose readers, with their descriptors, are still there
	evictedClosed   *sync.Cond // one of those is gone
	closing         bool
	readUntil       time.Time       // when closing: requests are read until then, so that all that were read have their answers
	handover        *clientHandover // that is being made; nil if none is
	accepting       bool            // serve is at work
	pendingRequests int             // requests that the loop has not answered
	successorAddr   string          // after a handover, where the new process serves clients

	// What follows counts since the last report.
	rejectedConns    int // connections turned away
	requestsRead     int // read whole
	answersWritten   int // written
	closedOverUnread int // connections closed over unread bytes: their clients see a reset
	closeCounts      map[closeReason]int
}

func newClients(cfg *Config, log *slog.Logger, events chan<- any) *clients {
	most := 256
	if cfg.Limits.Sockets > 0 {
		most = max(cfg.Limits.Sockets/2, 16)
	}
	if m := cfg.Limits.MemoryMB; m > 0 { // each may hold the whole of a request, read or half read
		most = min(most, max(int(m*(1<<20)*clientMemoryShare)/(maxBulkBytes+maxOverheadBytes), 16))
	}
	c := &clients{cfg: cfg, log: log, events: events, guard: newGuard(log), clock: clock.New(), maxConns: most,
		conns: map[net.Conn]*clientConn{}, closeCounts: map[closeReason]int{}}
	c.evictedClosed = sync.NewCond(&c.mu)
	return c
}

// serve accepts connections until the listener is closed.
func (c *clients) serve(ln net.Listener) {
	c.setAccepting(true)
	defer c.setAccepting(false)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) { // a handover wakes it
				return
			}
			c.log.Warn("accept", "err", err)
			time.Sleep(shortRetryDelay) // out of descriptors, say: one that closes makes room
			continue
		}
		c.mu.Lock()
		ok := !c.closing && (len(c.conns) < c.connLimit() || c.evict(evictionRankNew))
		if ok {
			x := newClientConn(c, conn, time.Now())
			c.conns[conn] = x
			c.startConn(x, time.Now().Add(requestReadTimeout)) // a peer is owed an answer or an end soon after it connects
		} else {
			c.rejectedConns++
			c.log.Debug("client turned away", "peer", conn.RemoteAddr(), "connections", len(c.conns), "closing", c.closing)
		}
		for c.evictedConns > maxEvictedConns { // a burst must not outrun the readers that give their descriptors back
			c.evictedClosed.Wait()
		}
		c.mu.Unlock()
		if !ok {
			conn.Close()
		}
	}
}

// startConn reads requests from x; first is the time by which the first one must have come, zero if one has come
// before. The caller holds c.mu.
func (c *clients) startConn(x *clientConn, first time.Time) {
	c.wg.Go(func() {
		if parked := x.serve(first); parked {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.conns[x.Conn] == nil { // it made room
			c.evictedConns--
			c.evictedClosed.Signal()
		}
		delete(c.conns, x.Conn)
	})
}

func (c *clients) setAccepting(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting = on
}

// takeCounts returns what the table holds, and what became of requests and connections since the last report.
func (c *clients) takeCounts() []any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []any{"clients", len(c.conns), "clients_away", c.rejectedConns, "clients_evicted", c.closeCounts[closedEvicted],
		"clients_late", c.closeCounts[closedNoRequest] + c.closeCounts[closedHalfRequest], "requests", c.requestsRead, "answers", c.answersWritten}
	for _, reason := range slices.Sorted(maps.Keys(c.closeCounts)) {
		out = append(out, "closed_"+string(reason), c.closeCounts[reason])
	}
	if c.closedOverUnread > 0 {
		out = append(out, "closed_over_unread", c.closedOverUnread)
	}
	c.rejectedConns, c.requestsRead, c.answersWritten, c.closedOverUnread = 0, 0, 0, 0
	clear(c.closeCounts)
	return out
}

// pastReadDeadline says whether a shutdown is so far on that no further request is carried out: one that is read would have no answer
// at the end of the process.
func (c *clients) pastReadDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && !c.readUntil.IsZero() && !time.Now().Before(c.readUntil)
}

// wakeTime is when a reader that waits for a request is woken at a shutdown or handover, to look for one that has begun
// to come: at once, but a client that has only just connected is given a moment, since its first request fails with
// the connection. The caller holds c.mu.
func (c *clients) wakeTime(x *clientConn) time.Time {
	if soon := x.idleSince.Add(firstRequestGrace); c.closing && !x.hasServedRequest && soon.After(time.Now()) {
		return soon
	}
	return time.Now()
}

// shutdown closes each connection once no request is under way on it, and returns
// when all are closed or ctx is over.
func (c *clients) shutdown(ctx context.Context) {
	c.mu.Lock()
	c.closing = true
	if end, ok := ctx.Deadline(); ok {
		c.readUntil = end.Add(-3 * lastRequestTimeout)
	}
	for _, x := range c.conns {
		if x.state == connIdle { // any other ends by its own time: the last byte may be written already
			x.SetReadDeadline(c.wakeTime(x))
		}
	}
	c.mu.Unlock()
	select {
	case <-c.allEnded():
	case <-ctx.Done():
	}
}

// allEnded is closed once no connection is being served.
func (c *clients) allEnded() <-chan struct{} {
	done := make(chan struct{})
	go func() { c.wg.Wait(); close(done) }()
	return done
}

func (c *clients) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// handleRequest carries a request out and returns the line to send back.
func (c *clients) handleRequest(args [][]byte) string {
	switch cmd := strings.ToUpper(string(args[0])); cmd {
	case "PING":
		if len(args) > 1 {
			return fmt.Sprintf("$%d\r\n%s\r\n", len(args[1]), args[1])
		}
		return "+PONG\r\n"
	case "MSG.PUT":
		msg, err := c.parsePut(args[1:], time.Now())
		if err != nil {
			return "-ERR " + err.Error() + "\r\n"
		}
		if next := c.admitRequest(); next != "" {
			return forwardRequest(next, args)
		}
		defer c.releaseRequest()
		answer := make(chan string, 1)
		c.events <- putEvent{msg, answer}
		return <-answer
	default:
		return "-ERR unknown command\r\n"
	}
}
