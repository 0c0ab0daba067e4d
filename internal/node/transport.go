package node

// The HTTP transport to endpoints: calls, probes, and the pool of idle connections.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"crossdeal/internal/neterror"
	"crossdeal/logic"
)

const (
	maxResponseBytes = 64 << 10               // head and body of a response together
	headerTimeout    = time.Second            // for the rest of a response's head, once its first byte is there
	bodyTimeout      = 20 * time.Millisecond  // for reading its body; a connection that is slower is not reused
	cancelLingerTime = 50 * time.Millisecond  // for the endpoint to notice that a call is abandoned
	idleExpiryMargin = 500 * time.Millisecond // a connection is not reused this close to the end of its idle timeout
	probeTimeout     = 1500 * time.Millisecond
)

// call is one attempt to deliver a message, or a health probe if it has no message.
type call struct {
	id            string
	attempt       int
	endpoint      logic.EndpointID
	addr          string
	destination   int64
	timeout       time.Duration
	startedAt     time.Time
	writeDeadline time.Time // the request is not written after this; zero for no limit
	request       *http.Request
	state         *atomic.Int32
	reusedConn    *endpointConn                  // the connection to use; nil to open one
	mayWrite      func(ctx context.Context) bool // asked once a new connection is up; nil: no permission needed
}

// The states of a call. A call begins as callConnecting and then becomes callWritten or callWithheld, once; callSent
// and callParked follow callWritten.
const (
	callConnecting int32 = iota
	callWritten          // writing has begun: from here on the endpoint may have processed it
	callWithheld         // it must not be written
	callSent             // after callWritten: the whole request is written
	callParked           // after callSent: it is being parked for another process
)

// errParked is the cancellation cause that parks a call in flight for another process and leaves its connection open.
var errParked = errors.New("parked for another process")

// unansweredCountNames maps the outcomes of a call without a response to the names of their counters.
var unansweredCountNames = map[logic.Outcome]string{logic.ConnBroken: "broken", logic.TimedOut: "timed_out", logic.Cancelled: "called_off"}

// errLocalFailure ends a call for which no file descriptor became free, or for which this host could not open a
// connection. It says nothing about the endpoint.
var errLocalFailure = errors.New("this host cannot open a connection")

// callResult is how a call ended.
type callResult struct {
	outcome      logic.Outcome
	retryAfter   time.Duration // requested by the endpoint with a rejection
	messageEnded bool          // the endpoint reports that the message has ended
	loadReport   string        // the endpoint's load report as the response has it, unparsed
	parkedConn   *endpointConn // parked, with no outcome yet: whoever resumes the call gets it
}

// endpointConn is a connection to an endpoint.
type endpointConn struct {
	net.Conn
	reader    *bufio.Reader
	readLimit *io.LimitedReader
	addr      string
	idleSince time.Time
	countedBy atomic.Pointer[clients] // the table that counts its descriptor until it is closed
}

// Close closes the connection and releases its descriptor. Only the first call releases it.
func (conn *endpointConn) Close() error {
	err := conn.Conn.Close()
	if counter := conn.countedBy.Swap(nil); counter != nil {
		counter.releaseCallDescriptor()
	}
	return err
}

// transport makes calls over pooled connections. It never sends a request twice, and it knows whether the last byte of
// a request was written: this separates calls that the endpoint cannot have processed from those that it may have
// processed. net/http's transport does neither.
type transport struct {
	dialer             net.Dialer
	linger             time.Duration
	idleTimeout        time.Duration
	maxIdlePerEndpoint int
	maxIdle            int      // idle connections in all
	clients            *clients // counts the descriptors shared with client connections; nil: no bound
	mu                 sync.Mutex
	idle               map[logic.EndpointID][]*endpointConn
	idleTotal          int
	counts             map[string]int // events of calls since the last report; a few fixed names
}

func newTransport(connectTimeout, idleTimeout time.Duration, maxIdlePerEndpoint, maxIdle int) *transport {
	return &transport{dialer: net.Dialer{Timeout: connectTimeout}, linger: cancelLingerTime, idleTimeout: idleTimeout,
		maxIdlePerEndpoint: max(maxIdlePerEndpoint, 1), maxIdle: max(maxIdle, 1),
		idle: map[logic.EndpointID][]*endpointConn{}, counts: map[string]int{}}
}

// countEvent counts an event of a call for the "calls" log line.
func (t *transport) countEvent(event string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[event]++
}

// takeCounts returns the counts since the last report as log attributes in order of name, and resets them.
func (t *transport) takeCounts() []any {
	t.mu.Lock()
	defer t.mu.Unlock()
	attrs := make([]any, 0, 2*len(t.counts))
	for _, name := range slices.Sorted(maps.Keys(t.counts)) {
		attrs = append(attrs, name, t.counts[name])
	}
	clear(t.counts)
	return attrs
}

// do makes a call and returns its result. Cancelling ctx cancels the call.
func (t *transport) do(ctx context.Context, c *call) callResult {
	deadline := c.startedAt.Add(c.timeout)
	conn, err := t.connect(ctx, c, deadline)
	if errors.Is(err, errLocalFailure) { // which is no failure of the endpoint
		c.state.CompareAndSwap(callConnecting, callWithheld)
	}
	if err == nil && conn != c.reusedConn && c.mayWrite != nil && !c.mayWrite(ctx) {
		c.state.CompareAndSwap(callConnecting, callWithheld)
	}
	tooLate := !c.writeDeadline.IsZero() && time.Now().After(c.writeDeadline)
	if tooLate || err == nil && ctx.Err() != nil {
		c.state.CompareAndSwap(callConnecting, callWithheld)
	}
	if !c.state.CompareAndSwap(callConnecting, callWritten) {
		if err == nil && !t.putIdle(c.endpoint, conn) {
			conn.Close()
		}
		return callResult{outcome: logic.NotSent}
	}
	if err != nil {
		t.countEvent("not_connected")
		return callResult{outcome: logic.ConnRefused}
	}
	conn.SetDeadline(deadline)
	stopInterrupt := interruptOnCancel(ctx, conn)
	var buf bytes.Buffer
	if err := c.request.Write(&buf); err != nil {
		stopInterrupt()
		conn.Close()
		return callResult{outcome: logic.ConnRefused}
	}
	_, err = conn.Write(buf.Bytes())
	stopInterrupt()
	if err != nil {
		conn.Close()
		t.countEvent("not_written")
		return callResult{outcome: logic.ConnRefused} // its last byte was not written, so it cannot have run
	}
	c.state.Store(callSent)
	return t.awaitResponse(ctx, c, conn, deadline)
}

// interruptOnCancel makes reads and writes on conn fail with a timeout once ctx is cancelled, until the returned
// function has been called.
func interruptOnCancel(ctx context.Context, conn net.Conn) (stopInterrupt func()) {
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		conn.SetDeadline(time.Unix(1, 0))
		close(interrupted)
	})
	return func() {
		if !stop() {
			<-interrupted
		}
	}
}

// awaitResponse waits for the response to a call that has been written.
func (t *transport) awaitResponse(ctx context.Context, c *call, conn *endpointConn, deadline time.Time) (r callResult) {
	t.countConn(conn)
	reusable := false
	defer func() {
		if r.parkedConn == nil && (!reusable || !t.putIdle(c.endpoint, conn)) {
			conn.Close()
		}
	}()
	conn.SetDeadline(deadline)
	stopInterrupt := interruptOnCancel(ctx, conn)
	conn.readLimit.N = maxResponseBytes
	_, err := conn.reader.Peek(1)
	stopInterrupt()
	if isTimeout(err) && errors.Is(context.Cause(ctx), errParked) && time.Now().Before(deadline) {
		return callResult{parkedConn: conn}
	}
	failure := logic.ConnBroken // the outcome if no response follows; stays ConnBroken unless the call is abandoned
	if isTimeout(err) {
		// The call is abandoned. Closing the write side tells the endpoint, and the linger time lets it notice: the
		// next attempt must not overlap with this one. A response that is already on its way still counts.
		failure = logic.TimedOut
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errParked) {
			failure = logic.Cancelled
		}
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			tcp.CloseWrite()
		}
		conn.SetDeadline(time.Now().Add(t.linger))
		_, err = conn.reader.Peek(1)
	}
	if err != nil {
		t.countEvent(unansweredCountNames[failure])
		return callResult{outcome: failure}
	}
	conn.SetDeadline(time.Now().Add(headerTimeout))
	if failure == logic.ConnBroken {
		if t.awaitHeader(ctx, conn) {
			return callResult{parkedConn: conn}
		}
		if ctx.Err() != nil { // cancelled with a partial head: the rest has the linger time to arrive
			failure = logic.Cancelled
			conn.SetDeadline(time.Now().Add(t.linger))
		}
	}
	delivered := peekStatusOK(conn.reader)
	resp, err := http.ReadResponse(conn.reader, c.request)
	for err == nil && resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
		delivered = peekStatusOK(conn.reader)
		resp, err = http.ReadResponse(conn.reader, c.request) // an interim (1xx) response; the final one follows
	}
	if err != nil && delivered {
		t.countEvent("unreadable_200")
		return callResult{outcome: logic.Completed} // the status line counts, even if the rest is truncated
	}
	if err != nil {
		t.countEvent("unreadable")
		return callResult{outcome: failure}
	}
	t.countEvent(statusCountName(resp.StatusCode))
	if failure == logic.ConnBroken {
		reusable = t.drainBody(conn, resp)
	}
	r = resultOf(resp)
	r.loadReport = resp.Header.Get("Endpoint-Load-Metrics")
	return r
}

// awaitHeader waits until the head of a response is buffered, or the connection fails, without consuming any of it. It
// returns true if the call is parked meanwhile. A response that has begun may take up to headerTimeout, and a handover
// must not wait for that.
func (t *transport) awaitHeader(ctx context.Context, conn *endpointConn) bool {
	deadline := time.Now().Add(headerTimeout)
	stopInterrupt := interruptOnCancel(ctx, conn)
	var err error
	for err == nil {
		b, _ := conn.reader.Peek(conn.reader.Buffered())
		if bytes.Contains(b, []byte("\r\n\r\n")) || len(b) == conn.reader.Size() {
			break
		}
		_, err = conn.reader.Peek(len(b) + 1)
	}
	stopInterrupt()
	conn.SetDeadline(deadline)
	return isTimeout(err) && errors.Is(context.Cause(ctx), errParked) && time.Now().Before(deadline)
}

// peekStatusOK reports whether the status line of the response that is about to be read has status 200.
func peekStatusOK(r *bufio.Reader) bool {
	const line = "HTTP/1.1 200"
	b, err := r.Peek(len(line) + 1)
	if len(b) < len(line) || string(b[:7]) != line[:7] || string(b[8:len(line)]) != line[8:] {
		return false
	}
	return err != nil || b[len(line)] == ' ' || b[len(line)] == '\r' || b[len(line)] == '\n'
}

// connect returns the connection that the call was given, or opens one. A call that needs no write permission takes an
// idle connection if there is one.
func (t *transport) connect(ctx context.Context, c *call, deadline time.Time) (*endpointConn, error) {
	existing := c.reusedConn
	if existing == nil && c.mayWrite == nil {
		existing = t.takeIdle(c.endpoint, c.addr)
	}
	if existing != nil {
		t.countEvent("reused")
		return existing, nil
	}
	t.countEvent("dialed")
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := t.acquireDescriptor(ctx); err != nil {
		return nil, err
	}
	dialed, err := t.dialer.DialContext(ctx, "tcp", c.addr)
	for neterror.IsLocal(err) && ctx.Err() == nil { // nothing was sent, so this is still the same attempt
		t.countEvent("local_failure")
		sleepContext(ctx, localRetryDelay)
		dialed, err = t.dialer.DialContext(ctx, "tcp", c.addr)
	}
	if err != nil {
		if t.clients != nil {
			t.clients.releaseCallDescriptor()
		}
		if neterror.IsLocal(err) {
			err = fmt.Errorf("%w: %w", errLocalFailure, err)
		}
		return nil, err
	}
	conn := newEndpointConn(dialed, c.addr)
	conn.countedBy.Store(t.clients)
	return conn, nil
}

// localRetryDelay is the time between two connection attempts that fail on this host.
const localRetryDelay = 100 * time.Millisecond

// sleepContext waits for d, or until ctx is done.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// acquireDescriptor reserves a descriptor for a new connection, if need be by closing a less useful connection. A new
// client that may be about to send its first request is evicted only once the call has waited for stallTimeout.
func (t *transport) acquireDescriptor(ctx context.Context) error {
	startedAt, maxRank := time.Now(), evictionRankStalled
	for t.clients != nil && !t.clients.acquireCallDescriptor(maxRank) {
		if time.Since(startedAt) > stallTimeout {
			maxRank = evictionRankNew
		}
		if t.closeOldestIdle() {
			continue
		}
		select {
		case <-ctx.Done():
			t.countEvent("no_descriptor")
			return errLocalFailure
		case <-time.After(shortRetryDelay):
		}
	}
	return nil
}

// closeOldestIdle closes the connection that has been idle longest; false if there is none.
func (t *transport) closeOldestIdle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var oldestEndpoint logic.EndpointID
	var oldest *endpointConn
	for endpoint, list := range t.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldestEndpoint, oldest = endpoint, list[0]
		}
	}
	if oldest == nil {
		return false
	}
	t.idle[oldestEndpoint] = t.idle[oldestEndpoint][1:]
	t.idleTotal--
	oldest.Close()
	return true
}

// countConn counts the descriptor of a connection that another process has handed over. Those of other connections are
// counted already.
func (t *transport) countConn(conn *endpointConn) {
	if t.clients != nil && conn.countedBy.CompareAndSwap(nil, t.clients) {
		t.clients.addCallDescriptor()
	}
}

func newEndpointConn(conn net.Conn, addr string) *endpointConn {
	return newEndpointConnWithData(conn, addr, nil)
}

// newEndpointConnWithData returns a connection on which a part of a response has been received already.
func newEndpointConnWithData(conn net.Conn, addr string, received []byte) *endpointConn {
	limit := &io.LimitedReader{R: io.MultiReader(bytes.NewReader(received), conn)}
	return &endpointConn{Conn: conn, reader: bufio.NewReader(limit), readLimit: limit, addr: addr}
}

// drainBody reads the rest of a response and reports whether the connection can be reused.
func (t *transport) drainBody(conn *endpointConn, resp *http.Response) bool {
	if resp.Close || resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	conn.SetDeadline(time.Now().Add(bodyTimeout))
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil && conn.reader.Buffered() == 0
}

// resultOf maps a response to the result of the call.
func resultOf(resp *http.Response) callResult {
	switch resp.StatusCode {
	case http.StatusOK:
		return callResult{outcome: logic.Completed}
	case http.StatusTooManyRequests:
		ms, err := strconv.ParseInt(resp.Header.Get("X-Come-Back-Ms"), 10, 64)
		if err != nil || ms < 0 {
			ms = 0
		}
		return callResult{outcome: logic.Rejected, retryAfter: time.Duration(min(ms, maxPeerDuration.Milliseconds())) * time.Millisecond}
	case http.StatusServiceUnavailable:
		if resp.Header.Get("X-Line-Busy") == "1" {
			return callResult{outcome: logic.NotSent}
		}
		return callResult{outcome: logic.Rejected}
	case http.StatusGatewayTimeout:
		return callResult{outcome: logic.NotSent}
	case http.StatusGone:
		return callResult{outcome: logic.NotSent, messageEnded: true}
	}
	return callResult{outcome: logic.Errored}
}

// statusCountName returns the name of the counter for a status. Statuses that the protocol does not define share one
// name, so that the number of counters stays small.
func statusCountName(code int) string {
	switch code {
	case 200, 410, 429, 500, 503, 504:
		return "answer_" + strconv.Itoa(code)
	}
	return "answer_other"
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// takeIdle removes the most recently used idle connection to endpoint and addr that is still usable from the pool and
// returns it; nil if there is none. It closes the unusable ones that it meets.
func (t *transport) takeIdle(endpoint logic.EndpointID, addr string) *endpointConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	for list := t.idle[endpoint]; len(list) > 0; list = t.idle[endpoint] {
		conn := list[len(list)-1]
		t.idle[endpoint] = list[:len(list)-1]
		t.idleTotal--
		if conn.addr == addr && t.reusable(conn) {
			return conn
		}
		conn.Close()
	}
	return nil
}

// reusable reports whether an idle connection may carry a call: it is not near its idle timeout, not closed by the
// endpoint, and has no unsolicited data on it.
func (t *transport) reusable(conn *endpointConn) bool {
	if time.Since(conn.idleSince) > t.idleTimeout-min(idleExpiryMargin, t.idleTimeout/4) {
		return false
	}
	alive, data := peekConn(conn.Conn)
	return alive && !data
}

// putIdle keeps a connection for the next call; false if the pool is full.
func (t *transport) putIdle(endpoint logic.EndpointID, conn *endpointConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[endpoint]) >= t.maxIdlePerEndpoint || t.idleTotal >= t.maxIdle {
		return false
	}
	t.countConn(conn)
	conn.idleSince = time.Now()
	conn.SetDeadline(time.Time{})
	t.idle[endpoint] = append(t.idle[endpoint], conn)
	t.idleTotal++
	return true
}

// takeAllIdle removes all idle connections from the pool and returns them.
func (t *transport) takeAllIdle() map[logic.EndpointID][]*endpointConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.idle
	t.idle, t.idleTotal = map[logic.EndpointID][]*endpointConn{}, 0
	return all
}

// idleCount returns the number of idle connections.
func (t *transport) idleCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idleTotal
}

// closeIdle closes the idle connections to an endpoint.
func (t *transport) closeIdle(endpoint logic.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.idle[endpoint] {
		conn.Close()
		t.idleTotal--
	}
	delete(t.idle, endpoint)
}

// closeStale closes idle connections that are not reusable.
func (t *transport) closeStale() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint, list := range t.idle {
		kept := list[:0]
		for _, conn := range list {
			if t.reusable(conn) {
				kept = append(kept, conn)
			} else {
				conn.Close()
				t.idleTotal--
			}
		}
		if t.idle[endpoint] = kept; len(kept) == 0 {
			delete(t.idle, endpoint)
		}
	}
}

// newDeliveryRequest returns the request that delivers m to an endpoint.
func newDeliveryRequest(m *Message, addr string, timeout time.Duration) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/inbox", bytes.NewReader(m.Body))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", addr, err)
	}
	req.Header.Set("X-Trace-Id", m.ID)
	if m.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", m.IdempotencyKey)
	}
	req.Header.Set("X-Expires-In-Ms", strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	return req, nil
}

// newProbeRequest returns the health probe request for an endpoint.
func newProbeRequest(addr string) (*http.Request, error) {
	return http.NewRequest(http.MethodGet, "http://"+addr+"/alive", nil)
}
