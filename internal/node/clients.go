package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"crossdeal/internal/clock"
)

const (
	maxHold      = 24 * time.Hour          // the longest time that a message may ask for
	requestTime  = 2500 * time.Millisecond // for a whole request, a connection's first one counted from its start
	answerTime   = 2500 * time.Millisecond
	idleClient   = 30 * time.Second       // a connection without a request is closed after this ...
	idleLeast    = 2 * time.Second        // ... and from this on when the table is full
	lastRequest  = 200 * time.Millisecond // at a shutdown, for a request that has begun to come
	firstRequest = 500 * time.Millisecond // and for the first one on a connection, from its start
	clientPart   = 0.25                   // of the memory is for requests that clients' connections hold
	maxIDLen     = 128
	stallTime    = 300 * time.Millisecond // a peer that sends nothing for so long, its first request not whole, stands still
	acceptPause  = 5 * time.Millisecond
	closeLinger  = 20 * time.Millisecond // bytes that come while a connection is closed are read for so long
	answerOK     = "+OK\r\n"
	answerFailed = "-ERR failed\r\n"
)

// putEvent is a message that a client hands in. The loop sends its one answer.
type putEvent struct {
	msg    Message
	answer chan<- string
}

// clients serves the RESP2 side.
type clients struct {
	cfg     *Config
	log     *slog.Logger
	events  chan<- any
	guard   *guard
	clock   *clock.Clock
	most    int // connections
	mu      sync.Mutex
	fds     descriptors
	ending  int        // connections that made room and whose readers, with their descriptors, are still there
	ended   *sync.Cond // one of those is gone
	conns   map[net.Conn]*standing
	away    int // connections turned away, since the last report
	evicted int // connections closed to make room, since the last report
	late    int // connections closed for want of a whole request in time, since the last report
	closing bool
	until   time.Time // when closing: requests are read until then, so that all that were read have their answers
	wg      sync.WaitGroup

	// While a handover is being made:
	frozen    bool
	sealed    bool          // the parcel is packed: nothing more goes with it
	decided   chan struct{} // closed once it is known who goes on
	accepting bool          // at any time: serve is at work
	pending   int           // at any time: requests that the loop has not answered
	parked    []net.Conn    // connections that wait for their next request, with no reader
	next      string        // after it, where the new process serves clients
}

// Ranks of connections whose loss is a message's, see standing.rank.
const (
	rankStalled = 2
	rankNew     = 3
)

// standing is what a connection has shown so far.
type standing struct {
	since  time.Time // of its start or its last answer
	proven bool      // a whole request has come on it
	busy   bool      // a request is under way
	whole  bool      // all of it has come: its answer is due
	evict  bool      // closed to make room
	heard  time.Time // when the last byte came; zero if none has
	late   time.Time // when bytes were first read past their deadline; zero if none were
}

// rank says what it costs to close a connection for another, least first: one that has stood idle or silent for as long
// as clients count on; one that has its answer, since a request that crosses is sent again; one that is silent or stands
// still with its first request, which fails with it; and one that is new or comes on, if slowly. At -1 it must not be.
func (x *standing) rank(now time.Time) (rank int, since time.Time) {
	last := x.since
	if x.heard.After(last) {
		last = x.heard
	}
	switch {
	case x.evict || x.whole || x.busy && x.proven:
		return -1, last
	case x.proven && now.Sub(x.since) >= idleLeast || !x.proven && now.Sub(last) >= idleLeast:
		return 0, last
	case x.proven:
		return 1, last
	case now.Sub(last) > stallTime:
		return rankStalled, last
	}
	return rankNew, last
}

// hearing notes when bytes come on a connection.
type hearing struct {
	net.Conn
	clients *clients
	of      *standing
}

// Read reads what has come, also where the deadline is over: a request whose last byte is there is owed its answer.
func (h hearing) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && h.clients.mayReadOn(h.Conn, h.of) {
		h.Conn.SetReadDeadline(time.Now().Add(acceptPause))
		n, err = h.Conn.Read(b)
	}
	if n > 0 {
		h.clients.mu.Lock()
		h.of.heard = time.Now()
		h.clients.mu.Unlock()
	}
	return n, err
}

// mayReadOn says whether bytes have come that may be read past a deadline, for a moment in all. At a handover they are
// left to whoever goes on.
func (c *clients) mayReadOn(conn net.Conn, x *standing) bool {
	if alive, data := peek(conn); !alive || !data {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.late.IsZero() {
		x.late = time.Now()
	}
	return !c.frozen && time.Since(x.late) < lastRequest
}

func newClients(cfg *Config, log *slog.Logger, events chan<- any) *clients {
	most := 256
	if cfg.Limits.Sockets > 0 {
		most = max(cfg.Limits.Sockets/2, 16)
	}
	if m := cfg.Limits.MemoryMB; m > 0 { // each may hold the whole of a request, read or half read
		most = min(most, max(int(m*(1<<20)*clientPart)/(maxBulk+maxRest), 16))
	}
	c := &clients{cfg: cfg, log: log, events: events, guard: newGuard(log), clock: clock.New(), most: most,
		conns: map[net.Conn]*standing{}}
	c.ended = sync.NewCond(&c.mu)
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
			time.Sleep(acceptPause) // out of descriptors, say: one that closes makes room
			continue
		}
		c.mu.Lock()
		ok := !c.closing && (len(c.conns) < c.room() || c.makeRoom(rankNew))
		if ok {
			c.conns[conn] = &standing{since: time.Now()}
			c.start(conn, time.Now().Add(requestTime)) // a peer is owed an answer or an end soon after it connects
		} else {
			c.away++
			c.log.Debug("client turned away", "peer", conn.RemoteAddr(), "connections", len(c.conns), "closing", c.closing)
		}
		for c.ending > endingMost { // a burst must not outrun the readers that give their descriptors back
			c.ended.Wait()
		}
		c.mu.Unlock()
		if !ok {
			conn.Close()
		}
	}
}

// start reads requests from conn; first is the time by which the first one must have come, zero if one has come
// before. The caller holds c.mu.
func (c *clients) start(conn net.Conn, first time.Time) {
	c.wg.Go(func() {
		if c.handle(conn, first) {
			return // parked
		}
		endClient(conn)
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.conns[conn] == nil { // it made room
			c.ending--
			c.ended.Signal()
		}
		delete(c.conns, conn)
	})
}

func (c *clients) setAccepting(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting = on
}

// freeze brings connections to rest for a handover: those that wait for a request are parked, with what has come on
// them left unread. It does not wait for that.
func (c *clients) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen, c.sealed, c.decided, c.parked = true, false, make(chan struct{}), nil
	for conn, x := range c.conns {
		if !x.busy {
			conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// frozenAll says whether all connections are at rest; those that have half a request, or wait to write, do not count
// if late is true. Once it has said yes, nothing more is parked.
func (c *clients) frozenAll(late bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := len(c.parked)
	for _, x := range c.conns {
		if x.busy && late {
			rest++
		}
	}
	if c.accepting || c.pending > 0 || rest < len(c.conns) {
		return false
	}
	c.sealed = true
	return true
}

// waiting lists the parked connections.
func (c *clients) waiting() ([]net.Conn, []transferClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var states []transferClient
	for _, conn := range c.parked {
		x := c.conns[conn]
		states = append(states, transferClient{c.clock.Micros(x.since), x.proven})
	}
	return c.parked, states
}

// adopt serves a connection that another process has handed over.
func (c *clients) adopt(conn net.Conn, from transferClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = &standing{since: c.clock.Time(from.Since), proven: from.Proven}
	c.start(conn, c.firstBy(conn))
}

// firstBy is the time by which the first request must have come. The caller holds c.mu.
func (c *clients) firstBy(conn net.Conn) time.Time {
	if x := c.conns[conn]; !x.proven {
		return x.since.Add(requestTime)
	}
	return time.Time{}
}

// thaw goes on as before: nobody has taken over.
func (c *clients) thaw(parked []net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen, c.sealed = false, false
	close(c.decided)
	for _, conn := range parked {
		c.start(conn, c.firstBy(conn))
	}
}

// handed gives up the connections that went to the process that serves at next. What is left here comes to its end
// as at a shutdown, and requests go to that process.
func (c *clients) handed(next string, gone, left []net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen, c.closing, c.next = false, true, next
	close(c.decided)
	for _, conn := range gone {
		conn.Close()
		delete(c.conns, conn)
	}
	for _, conn := range left {
		c.start(conn, c.firstBy(conn))
	}
}

// park sets conn aside for a handover; if it is too late for that, it waits until it is known who goes on. With no
// handover under way both are false.
func (c *clients) park(conn net.Conn) (parked, again bool) {
	c.mu.Lock()
	x, decided := c.conns[conn], c.decided
	switch {
	case x == nil || x.evict || !c.frozen:
		c.mu.Unlock()
		return false, false
	case !c.sealed:
		c.parked = append(c.parked, conn)
		c.mu.Unlock()
		return true, false
	}
	c.mu.Unlock()
	<-decided
	return false, true
}

// enter counts a request in, and says where it goes: to the loop if next is empty. During a handover it waits until
// that is known. leave must follow if it is the loop.
func (c *clients) enter() (next string) {
	for {
		c.mu.Lock()
		if !c.frozen || !c.sealed {
			if c.next == "" {
				c.pending++
			}
			c.mu.Unlock()
			return c.next
		}
		decided := c.decided
		c.mu.Unlock()
		<-decided
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

// makeRoom closes the connection that is the least loss, up to a rank, of several the one that has stood so longest. Its place is free
// at once, or a burst of new ones is turned away while the readers of those that make room still end. Its reader closes
// it, once it has answered what has come whole. One that may be parked for a handover keeps its place until then; the
// table is one over meanwhile. The caller holds c.mu.
func (c *clients) makeRoom(dearest int) bool {
	now := time.Now()
	var worst net.Conn
	var least int
	var since time.Time
	for conn, x := range c.conns {
		rank, t := x.rank(now)
		if rank >= 0 && rank <= dearest && (worst == nil || rank < least || rank == least && t.Before(since)) {
			worst, least, since = conn, rank, t
		}
	}
	if worst == nil || len(c.conns) > c.most+c.most/8 {
		return false
	}
	c.log.Debug("client evicted", "peer", worst.RemoteAddr(), "rank", least, "since", since)
	c.conns[worst].evict = true
	c.evicted++
	worst.SetReadDeadline(time.Unix(1, 0))
	if c.frozen {
		return true
	}
	delete(c.conns, worst)
	c.ending++
	return true
}

// report returns what the table holds and how many connections were closed for a cause since the last report.
func (c *clients) report() []any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []any{"clients", len(c.conns), "clients_away", c.away, "clients_evicted", c.evicted, "clients_late", c.late}
	c.away, c.evicted, c.late = 0, 0, 0
	return out
}

// await sets the time by which the next request must have come, and says whether one may.
func (c *clients) await(conn net.Conn, busy bool, by time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.conns[conn]
	if x == nil || x.evict {
		return false
	}
	if x.busy = busy; (c.closing || c.frozen) && !busy {
		by = c.wakeAt(x)
	}
	conn.SetReadDeadline(by)
	return true
}

// done says whether a shutdown is so far on that no further request is read: one that is not read yet crosses the
// close and is sent again, one that is read would have no answer at the end of the process. What has come along with
// the last one is still served, for a moment.
func (c *clients) done(buffered int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := time.Since(c.until)
	return c.closing && !c.until.IsZero() && (late >= 0 && buffered == 0 || late >= lastRequest)
}

// wakeAt is when a reader that waits for a request is woken at a shutdown or handover, to look for one that has begun
// to come: at once, but a client that has only just connected is given a moment, since its first request fails with
// the connection. The caller holds c.mu.
func (c *clients) wakeAt(x *standing) time.Time {
	if soon := x.since.Add(firstRequest); c.closing && !x.proven && soon.After(time.Now()) {
		return soon
	}
	return time.Now()
}

// served notes that a request on conn has its answer.
func (c *clients) served(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.conns[conn]; x != nil {
		x.since, x.proven, x.busy, x.whole = time.Now(), true, false, false
	}
}

// hear reads from conn and notes when bytes come.
func (c *clients) hear(conn net.Conn) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.conns[conn]; x != nil {
		return hearing{conn, c, x}
	}
	return conn
}

// came notes that a whole request has come, whose answer is due; false if the connection had to make room before.
func (c *clients) came(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.conns[conn]
	if x == nil || x.evict {
		return false
	}
	x.whole = true
	return true
}

// tooLate notes a connection that was closed for want of a whole request in time.
func (c *clients) tooLate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late++
}

// shutdown closes each connection once no request is under way on it, and returns
// when all are closed or ctx is over.
func (c *clients) shutdown(ctx context.Context) {
	c.mu.Lock()
	c.closing = true
	if end, ok := ctx.Deadline(); ok {
		c.until = end.Add(-2 * lastRequest)
	}
	for conn, x := range c.conns {
		if x.busy { // it ends by its own time: the last byte may be written already
			continue
		}
		conn.SetReadDeadline(c.wakeAt(x))
	}
	c.mu.Unlock()
	done := make(chan struct{})
	go func() { c.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
		c.countUnanswered()
	}
}

// countUnanswered notes requests that were read and have no answer at the end of the process.
func (c *clients) countUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, x := range c.conns {
		if x.whole {
			c.guard.violation(ruleAnswer, "peer", conn.RemoteAddr())
		}
	}
}

func (c *clients) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// waitRequest waits for the first byte of a request; an error ends the connection, or parks it.
func (c *clients) waitRequest(conn net.Conn, r *bufio.Reader) error {
	_, err := r.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isClosing() {
		// A request may have come just before: it is answered, for its client counts on that.
		if alive, data := peek(conn); !alive || !data {
			return err
		}
		conn.SetReadDeadline(time.Now().Add(lastRequest))
		_, err = r.Peek(1)
	}
	return err
}

// handle serves conn until it ends or, which it says, is parked for a handover. Whatever ends it, requests that have come
// whole by then have their answer.
func (c *clients) handle(conn net.Conn, first time.Time) (parked bool) {
	r := bufio.NewReader(c.hear(conn))
	parked, usable := c.serveRequests(conn, r, first)
	if !parked && usable {
		c.refuseRest(conn, r)
	}
	return parked
}

// refuseRest turns away what has come on a connection that is about to be closed: handing it in again is harmless. It
// takes a moment at most.
func (c *clients) refuseRest(conn net.Conn, r *bufio.Reader) {
	for by := time.Now().Add(lastRequest); time.Now().Before(by); {
		if r.Buffered() == 0 {
			if alive, data := peek(conn); !alive || !data {
				return
			}
		}
		conn.SetReadDeadline(by)
		args, err := readCommand(r)
		if err != nil {
			return
		}
		if !c.write(conn, c.turnAway(args)) {
			return
		}
	}
}

// turnAway is the answer to a request that came too late to be carried out.
func (c *clients) turnAway(args [][]byte) string {
	if strings.EqualFold(string(args[0]), "MSG.PUT") {
		return busy(0)
	}
	return c.answer(args)
}

// write sends an answer, false if it could not be sent.
func (c *clients) write(conn net.Conn, answer string) bool {
	conn.SetWriteDeadline(time.Now().Add(answerTime))
	_, err := io.WriteString(conn, answer)
	if err != nil {
		c.log.Debug("client closed", "peer", conn.RemoteAddr(), "why", "answer not written", "err", err)
	}
	return err == nil
}

// endClient closes a connection. A close over unread bytes would reset it, and an answer that is still on its way would
// go with it.
func endClient(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok && t.CloseWrite() == nil {
		var rest [4096]byte
		for by := time.Now().Add(closeLinger); time.Now().Before(by); {
			if alive, data := peek(conn); !alive || !data {
				break
			}
			conn.SetReadDeadline(by)
			if _, err := conn.Read(rest[:]); err != nil {
				break
			}
		}
	}
	conn.Close()
}

// serveRequests answers requests until the connection ends, which usable says it need not have, or is parked.
func (c *clients) serveRequests(conn net.Conn, r *bufio.Reader, first time.Time) (parked, usable bool) {
	idle := first
	if first.IsZero() {
		idle = time.Now().Add(idleClient)
	}
	for {
		if c.done(r.Buffered()) || !c.await(conn, false, idle) {
			c.log.Debug("client closed", "peer", conn.RemoteAddr(), "why", "shutdown or made room", "buffered", r.Buffered())
			return false, true
		}
		if err := c.waitRequest(conn, r); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				parked, again := c.park(conn)
				if parked {
					return true, true
				}
				if again {
					continue
				}
			}
			if !first.IsZero() && !time.Now().Before(first) {
				c.tooLate()
			}
			c.log.Debug("client closed", "peer", conn.RemoteAddr(), "why", "no request", "err", err)
			return false, errors.Is(err, os.ErrDeadlineExceeded)
		}
		by := time.Now().Add(requestTime)
		if !first.IsZero() {
			by = first
		}
		if c.isClosing() {
			by = time.Now().Add(lastRequest)
		}
		if !c.await(conn, true, by) {
			return false, true
		}
		args, err := readCommand(r)
		if err != nil {
			switch {
			case errors.Is(err, errProtocol):
				c.write(conn, fmt.Sprintf("-ERR %v\r\n", err))
			case errors.Is(err, os.ErrDeadlineExceeded):
				c.tooLate()
			}
			c.log.Debug("client closed", "peer", conn.RemoteAddr(), "why", "bad request", "err", err)
			return false, false
		}
		if !c.came(conn) {
			c.log.Debug("client closed", "peer", conn.RemoteAddr(), "why", "made room under a request")
			return false, c.write(conn, c.turnAway(args))
		}
		if !c.write(conn, c.answer(args)) {
			return false, false
		}
		c.served(conn)
		first, idle = time.Time{}, time.Now().Add(idleClient)
	}
}

// answer carries a request out and returns the line to send back.
func (c *clients) answer(args [][]byte) string {
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
		if next := c.enter(); next != "" {
			return passOn(next, args)
		}
		defer c.leave()
		answer := make(chan string, 1)
		c.events <- putEvent{msg, answer}
		return <-answer
	default:
		return "-ERR unknown command\r\n"
	}
}

// parsePut reads the arguments of MSG.PUT.
func (c *clients) parsePut(args [][]byte, now time.Time) (Message, error) {
	var m Message
	if len(args) != 4 {
		return m, errors.New("MSG.PUT wants a key, an id, a list of names and values, and a body")
	}
	m.ID, m.Body = string(args[1]), args[3]
	if key := string(args[0]); strings.Trim(key, "0") != "" {
		if len(key) > maxIDLen {
			return m, errors.New("bad key")
		}
		m.Order = key
	}
	if m.ID == "" || len(m.ID) > maxIDLen || !plain(m.ID) {
		return m, errors.New("bad id")
	}
	var haveTime, haveDest bool
	for _, pair := range strings.Split(string(args[2]), ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return m, errors.New("bad list of names and values")
		}
		switch name {
		case "c":
			m.Class = value
		case "t":
			m.Tenant = value
		case "k":
			if len(value) > maxIDLen || !plain(value) {
				return m, errors.New("bad idempotency key")
			}
			m.Key = value
		case "d":
			ms, err := strconv.ParseInt(value, 10, 64)
			if err != nil || ms < 0 || ms > maxHold.Milliseconds() {
				return m, errors.New("bad time")
			}
			m.Deadline, haveTime = c.clock.Micros(now.Add(time.Duration(ms)*time.Millisecond)), true
		case "dest":
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < 0 {
				return m, errors.New("bad destination")
			}
			m.Dest, haveDest = n, true
		}
	}
	if !haveTime || !haveDest {
		return m, errors.New("d and dest must be given")
	}
	class, ok := c.cfg.Classes[m.Class]
	if !ok {
		return m, errors.New("unknown class")
	}
	if m.Order != "" && !c.cfg.Deploy.Settings.Classes[class].KeepOrder {
		return m, errors.New("a key goes only with classes that keep their order")
	}
	if _, ok := c.cfg.Tenants[m.Tenant]; !ok && m.Tenant != "" {
		return m, errors.New("unknown tenant")
	}
	return m, nil
}

// plain says whether s may stand in a header.
func plain(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// peek looks at a connection without reading or waiting: whether the peer has it
// open still, and whether something has come.
func peek(conn net.Conn) (alive, data bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		data = n > 0
		alive = data || errors.Is(err, syscall.EAGAIN)
	})
	return alive && err == nil, data
}
