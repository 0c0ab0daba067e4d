package node

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
	"syscall"
	"time"

	"crossdeal/logic"
)

const (
	maxResponseBytes = 64 << 10               // head and body of an answer
	headerTimeout    = time.Second            // for the rest of an answer's head, once it has begun
	bodyTimeout      = 20 * time.Millisecond  // for its body; a connection that is slower is not used again
	cancelLingerTime = 50 * time.Millisecond  // for the endpoint to see that a call is given up
	idleExpiryMargin = 500 * time.Millisecond // a connection is not used this close to the end of its idle time
	probeTimeout     = 1500 * time.Millisecond
)

// call is one attempt, or a probe if it has no message.
type call struct {
	id            string
	attempt       int
	endpoint      logic.EndpointID
	addr          string
	destination   int64
	timeout       time.Duration
	startedAt     time.Time // of its start
	writeDeadline time.Time // not to be written after this; zero for no such time
	request       *http.Request
	state         *atomic.Int32
	reusedConn    *endpointConn                  // a connection to use; nil to make one
	mayWrite      func(ctx context.Context) bool // asked once a new connection is up; nil if nobody wants to know
}

// The states of a call. It goes from the first to one of the others, once.
const (
	callConnecting int32 = iota
	callWritten          // from here on it may have run
	callWithheld         // it is not to be written
	callSent             // after callWritten: all of it is
	callParked           // after callSent: it is being set aside
)

// errParked is the cause by which a call under way is set aside for another process, its connection as it is.
var errParked = errors.New("set aside")

// unansweredCountNames names, in the tally, the ends of a call that no answer came to.
var unansweredCountNames = map[logic.Outcome]string{logic.ConnBroken: "broken", logic.TimedOut: "timed_out", logic.Cancelled: "called_off"}

// errNoDescriptor ends a call for which no descriptor came free, or that this machine could not make: it says nothing of
// the endpoint.
var errNoDescriptor = errors.New("no connection can be made from here")

// callResult is how a call ended.
type callResult struct {
	outcome      logic.Outcome
	retryAfter   time.Duration // told by a refusal
	messageEnded bool          // the endpoint says that the message is over
	loadReport   string        // of its load, as it stands in the answer
	parkedConn   *endpointConn // set aside, with no outcome yet: what becomes of it is for who goes on with it
}

// endpointConn is a connection with no call on it.
type endpointConn struct {
	net.Conn
	reader    *bufio.Reader
	readLimit *io.LimitedReader
	addr      string
	idleSince time.Time
	countedBy atomic.Pointer[clients] // whose table counts it, until it is closed
}

// Close gives its descriptor back, once.
func (conn *endpointConn) Close() error {
	err := conn.Conn.Close()
	if fds := conn.countedBy.Swap(nil); fds != nil {
		fds.releaseCallDescriptor()
	}
	return err
}

// transport makes calls over connections that it keeps. It never sends anything
// twice, and it knows whether the last byte was written: that tells what never
// ran from what may have run. net/http's transport does neither.
type transport struct {
	dialer             net.Dialer
	linger             time.Duration
	idleTimeout        time.Duration
	maxIdlePerEndpoint int
	maxIdle            int      // idle connections in all
	clients            *clients // share the descriptors with our connections; nil if there are enough
	mu                 sync.Mutex
	idle               map[logic.EndpointID][]*endpointConn
	idleTotal          int
	counts             map[string]int // how calls went since the last report; a few fixed names
}

func newTransport(connectTime, idleTime time.Duration, perEndpoint, most int) *transport {
	return &transport{dialer: net.Dialer{Timeout: connectTime}, linger: cancelLingerTime, idleTimeout: idleTime, maxIdlePerEndpoint: max(perEndpoint, 1), maxIdle: max(most, 1),
		idle: map[logic.EndpointID][]*endpointConn{}, counts: map[string]int{}}
}

// countEvent counts what became of a call, for the people on call.
func (c *transport) countEvent(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

// takeCounts returns the tally since the last report, as names and counts in order of name.
func (c *transport) takeCounts() []any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]any, 0, 2*len(c.counts))
	for _, name := range slices.Sorted(maps.Keys(c.counts)) {
		out = append(out, name, c.counts[name])
	}
	clear(c.counts)
	return out
}

// do makes a call. When ctx is cancelled the call is called off.
func (c *transport) do(ctx context.Context, in *call) callResult {
	deadline := in.startedAt.Add(in.timeout)
	conn, err := c.connect(ctx, in, deadline)
	if errors.Is(err, errNoDescriptor) { // which speaks against no endpoint
		in.state.CompareAndSwap(callConnecting, callWithheld)
	}
	if err == nil && conn != in.reusedConn && in.mayWrite != nil && !in.mayWrite(ctx) {
		in.state.CompareAndSwap(callConnecting, callWithheld)
	}
	late := !in.writeDeadline.IsZero() && time.Now().After(in.writeDeadline)
	if late || err == nil && ctx.Err() != nil {
		in.state.CompareAndSwap(callConnecting, callWithheld)
	}
	if !in.state.CompareAndSwap(callConnecting, callWritten) {
		if err == nil && !c.putIdle(in.endpoint, conn) {
			conn.Close()
		}
		return callResult{outcome: logic.NotSent}
	}
	if err != nil {
		c.countEvent("not_connected")
		return callResult{outcome: logic.ConnRefused}
	}
	conn.SetDeadline(deadline)
	quiet := interruptOnCancel(ctx, conn)
	var b bytes.Buffer
	if err := in.request.Write(&b); err != nil {
		quiet()
		conn.Close()
		return callResult{outcome: logic.ConnRefused}
	}
	_, err = conn.Write(b.Bytes())
	quiet()
	if err != nil {
		conn.Close()
		c.countEvent("not_written")
		return callResult{outcome: logic.ConnRefused} // its last byte was not written
	}
	in.state.Store(callSent)
	return c.awaitResponse(ctx, in, conn, deadline)
}

// interruptOnCancel ends what is read or written on conn once ctx is cancelled, until the returned function has been called.
func interruptOnCancel(ctx context.Context, conn net.Conn) (quiet func()) {
	woken := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		conn.SetDeadline(time.Unix(1, 0))
		close(woken)
	})
	return func() {
		if !stop() {
			<-woken
		}
	}
}

// awaitResponse waits for the answer to a call that has been written.
func (c *transport) awaitResponse(ctx context.Context, in *call, conn *endpointConn, deadline time.Time) (r callResult) {
	c.countConn(conn)
	keep := false
	defer func() {
		if r.parkedConn == nil && (!keep || !c.putIdle(in.endpoint, conn)) {
			conn.Close()
		}
	}()
	conn.SetDeadline(deadline)
	quiet := interruptOnCancel(ctx, conn)
	conn.readLimit.N = maxResponseBytes
	_, err := conn.reader.Peek(1)
	quiet()
	if isTimeout(err) && errors.Is(context.Cause(ctx), errParked) && time.Now().Before(deadline) {
		return callResult{parkedConn: conn}
	}
	given := logic.ConnBroken
	if isTimeout(err) {
		// Given up. The endpoint is told by the end of our sending, and given a moment to see it: a next call
		// must not meet this one. An answer that is on its way counts.
		given = logic.TimedOut
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errParked) {
			given = logic.Cancelled
		}
		if t, ok := conn.Conn.(*net.TCPConn); ok {
			t.CloseWrite()
		}
		conn.SetDeadline(time.Now().Add(c.linger))
		_, err = conn.reader.Peek(1)
	}
	if err != nil {
		c.countEvent(unansweredCountNames[given])
		return callResult{outcome: given}
	}
	conn.SetDeadline(time.Now().Add(headerTimeout))
	if given == logic.ConnBroken {
		if c.awaitHeader(ctx, conn) {
			return callResult{parkedConn: conn}
		}
		if ctx.Err() != nil { // called off with half a head: the rest has a moment, as any answer on its way
			given = logic.Cancelled
			conn.SetDeadline(time.Now().Add(c.linger))
		}
	}
	delivered := peekStatusOK(conn.reader)
	resp, err := http.ReadResponse(conn.reader, in.request)
	for err == nil && resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
		delivered = peekStatusOK(conn.reader)
		resp, err = http.ReadResponse(conn.reader, in.request) // an interim answer; the outcome is yet to come
	}
	if err != nil && delivered {
		c.countEvent("unreadable_200")
		return callResult{outcome: logic.Completed} // the first line is true, whatever broke off after it
	}
	if err != nil {
		c.countEvent("unreadable")
		return callResult{outcome: given}
	}
	c.countEvent(statusCountName(resp.StatusCode))
	if given == logic.ConnBroken {
		keep = c.drainBody(conn, resp)
	}
	r = resultOf(resp)
	r.loadReport = resp.Header.Get("Endpoint-Load-Metrics")
	return r
}

// awaitHeader waits until the head of an answer is there, or has broken off, without taking any of it; true if the call
// is set aside meanwhile. An answer that has begun may take its time, and a handover must not wait for that.
func (c *transport) awaitHeader(ctx context.Context, conn *endpointConn) bool {
	by := time.Now().Add(headerTimeout)
	quiet := interruptOnCancel(ctx, conn)
	var err error
	for err == nil {
		b, _ := conn.reader.Peek(conn.reader.Buffered())
		if bytes.Contains(b, []byte("\r\n\r\n")) || len(b) == conn.reader.Size() {
			break
		}
		_, err = conn.reader.Peek(len(b) + 1)
	}
	quiet()
	conn.SetDeadline(by)
	return isTimeout(err) && errors.Is(context.Cause(ctx), errParked) && time.Now().Before(by)
}

// peekStatusOK looks at the first line of an answer that is about to be read, and says whether its status is 200.
func peekStatusOK(r *bufio.Reader) bool {
	const line = "HTTP/1.1 200"
	b, err := r.Peek(len(line) + 1)
	if len(b) < len(line) || string(b[:7]) != line[:7] || string(b[8:len(line)]) != line[8:] {
		return false
	}
	return err != nil || b[len(line)] == ' ' || b[len(line)] == '\r' || b[len(line)] == '\n'
}

// connect takes the connection that the call was given, or makes one. Where nobody has to be asked for leave it looks
// for a kept one first.
func (c *transport) connect(ctx context.Context, in *call, deadline time.Time) (*endpointConn, error) {
	kept := in.reusedConn
	if kept == nil && in.mayWrite == nil {
		kept = c.takeIdle(in.endpoint, in.addr)
	}
	if kept != nil {
		c.countEvent("reused")
		return kept, nil
	}
	c.countEvent("dialed")
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := c.acquireDescriptor(ctx); err != nil {
		return nil, err
	}
	dialed, err := c.dialer.DialContext(ctx, "tcp", in.addr)
	for isLocalError(err) && ctx.Err() == nil { // nothing was sent, so it is the same attempt still
		c.countEvent("local_failure")
		sleepContext(ctx, localRetryDelay)
		dialed, err = c.dialer.DialContext(ctx, "tcp", in.addr)
	}
	if err != nil {
		if c.clients != nil {
			c.clients.releaseCallDescriptor()
		}
		if isLocalError(err) {
			err = fmt.Errorf("%w: %w", errNoDescriptor, err)
		}
		return nil, err
	}
	conn := newEndpointConn(dialed, in.addr)
	conn.countedBy.Store(c.clients)
	return conn, nil
}

// localRetryDelay is the time between two tries to connect that fail on this machine.
const localRetryDelay = 100 * time.Millisecond

// localErrors are failures to connect that are this machine's own: they speak against no endpoint, and pass.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN}

func isLocalError(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}

// sleepContext waits for a while, or until ctx is over.
func sleepContext(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// acquireDescriptor takes a descriptor for a new connection, if need be in place of one that is of less use. A client that
// may be about to send its first request is of less use only once the call has waited.
func (c *transport) acquireDescriptor(ctx context.Context) error {
	began, dearest := time.Now(), evictionRankStalled
	for c.clients != nil && !c.clients.acquireCallDescriptor(dearest) {
		if time.Since(began) > stallTimeout {
			dearest = evictionRankNew
		}
		if c.closeOldestIdle() {
			continue
		}
		select {
		case <-ctx.Done():
			c.countEvent("no_descriptor")
			return errNoDescriptor
		case <-time.After(shortRetryDelay):
		}
	}
	return nil
}

// closeOldestIdle closes the connection that has stood idle longest; false if there is none.
func (c *transport) closeOldestIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var of logic.EndpointID
	var oldest *endpointConn
	for ep, list := range c.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			of, oldest = ep, list[0]
		}
	}
	if oldest == nil {
		return false
	}
	c.idle[of] = c.idle[of][1:]
	c.idleTotal--
	oldest.Close()
	return true
}

// countConn counts a connection that another process has handed over.
func (c *transport) countConn(conn *endpointConn) {
	if c.clients != nil && conn.countedBy.CompareAndSwap(nil, c.clients) {
		c.clients.addCallDescriptor()
	}
}

func newEndpointConn(conn net.Conn, addr string) *endpointConn {
	return newEndpointConnWithData(conn, addr, nil)
}

// newEndpointConnWithData is a connection on which a part of an answer has come already.
func newEndpointConnWithData(conn net.Conn, addr string, got []byte) *endpointConn {
	limit := &io.LimitedReader{R: io.MultiReader(bytes.NewReader(got), conn)}
	return &endpointConn{Conn: conn, reader: bufio.NewReader(limit), readLimit: limit, addr: addr}
}

// drainBody reads the rest of an answer and says whether the connection can be used again.
func (c *transport) drainBody(conn *endpointConn, resp *http.Response) bool {
	if resp.Close || resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	conn.SetDeadline(time.Now().Add(bodyTimeout))
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil && conn.reader.Buffered() == 0
}

// resultOf reads an answer.
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

// statusCountName names an answer in the tally; what the protocol does not know shares a name, so that the tally stays
// small.
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

// takeIdle returns the kept connection to ep that was used last, if it is still good.
func (c *transport) takeIdle(ep logic.EndpointID, addr string) *endpointConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for list := c.idle[ep]; len(list) > 0; list = c.idle[ep] {
		conn := list[len(list)-1]
		c.idle[ep] = list[:len(list)-1]
		c.idleTotal--
		if conn.addr == addr && c.reusable(conn) {
			return conn
		}
		conn.Close()
	}
	return nil
}

// reusable says whether a kept connection may carry a call: neither about to be closed
// for its age nor closed already, nor with an answer on it that nobody asked for.
func (c *transport) reusable(conn *endpointConn) bool {
	if time.Since(conn.idleSince) > c.idleTimeout-min(idleExpiryMargin, c.idleTimeout/4) {
		return false
	}
	alive, data := peekConn(conn.Conn)
	return alive && !data
}

// putIdle keeps a connection for the next call; false if there is no room.
func (c *transport) putIdle(ep logic.EndpointID, conn *endpointConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[ep]) >= c.maxIdlePerEndpoint || c.idleTotal >= c.maxIdle {
		return false
	}
	c.countConn(conn)
	conn.idleSince = time.Now()
	conn.SetDeadline(time.Time{})
	c.idle[ep] = append(c.idle[ep], conn)
	c.idleTotal++
	return true
}

// takeAllIdle takes all idle connections out.
func (c *transport) takeAllIdle() map[logic.EndpointID][]*endpointConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.idle
	c.idle, c.idleTotal = map[logic.EndpointID][]*endpointConn{}, 0
	return all
}

// idleCount is the number of idle connections.
func (c *transport) idleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleTotal
}

// closeIdle closes the kept connections to ep.
func (c *transport) closeIdle(ep logic.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[ep] {
		conn.Close()
		c.idleTotal--
	}
	delete(c.idle, ep)
}

// closeStale closes kept connections that are no good any more.
func (c *transport) closeStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ep, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if c.reusable(conn) {
				kept = append(kept, conn)
			} else {
				conn.Close()
				c.idleTotal--
			}
		}
		if c.idle[ep] = kept; len(kept) == 0 {
			delete(c.idle, ep)
		}
	}
}

// newDeliveryRequest is the request that hands m to an endpoint.
func newDeliveryRequest(m *Message, addr string, giveUp time.Duration) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/inbox", bytes.NewReader(m.Body))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", addr, err)
	}
	req.Header.Set("X-Trace-Id", m.ID)
	if m.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", m.IdempotencyKey)
	}
	req.Header.Set("X-Expires-In-Ms", strconv.FormatInt(max(giveUp.Milliseconds(), 1), 10))
	return req, nil
}

// newProbeRequest asks an endpoint whether it is well.
func newProbeRequest(addr string) (*http.Request, error) {
	return http.NewRequest(http.MethodGet, "http://"+addr+"/alive", nil)
}
