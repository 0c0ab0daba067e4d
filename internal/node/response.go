package node

// Responses of endpoints: waiting for one, reading it, and the result that it gives a call.
//
// A response counts only if all of it can be read as the protocol requires: head, body and, with a 429, the wait that it
// asks for. Anything else is a failed attempt that may have run, whatever its status line says. The one exception is a
// status line with 200, which counts by itself.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"crossdeal/internal/httpconn"
	"crossdeal/logic"
)

const (
	maxResponseHeadBytes = 64 << 10
	maxResponseBodyBytes = 64 << 10              // the protocol's limit
	responseTimeout      = time.Second           // for the rest of a response, once its first byte is there
	bodyTimeout          = 20 * time.Millisecond // for a body on which nothing depends but whether the connection is kept
)

// unansweredCountNames maps the outcomes of a call without a response to the names of their counters.
var unansweredCountNames = map[logic.Outcome]string{logic.ConnBroken: "broken", logic.TimedOut: "timed_out", logic.Cancelled: "called_off"}

// awaitResponse waits for the response to a call that has been written.
func (t *transport) awaitResponse(ctx context.Context, c *call, conn *httpconn.Conn, deadline time.Time) (r callResult) {
	t.countConn(conn)
	reusable := false
	defer func() {
		switch {
		case r.parkedConn != nil:
		case reusable:
			t.idle.Put(c.endpoint, conn)
		default:
			conn.Close()
		}
	}()
	conn.SetDeadline(deadline)
	stopInterrupt := conn.InterruptOnCancel(ctx)
	conn.LimitBytes(maxResponseHeadBytes + maxResponseBodyBytes)
	_, err := conn.Reader.Peek(1)
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
		_, err = conn.Reader.Peek(1)
	}
	if err != nil {
		t.countEvent(unansweredCountNames[failure])
		return callResult{outcome: failure}
	}
	deadline = time.Now().Add(responseTimeout)
	conn.SetDeadline(deadline)
	if failure == logic.ConnBroken {
		if t.awaitHeader(ctx, conn, deadline) {
			return callResult{parkedConn: conn}
		}
		if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errParked) { // cancelled with a partial head
			failure = logic.Cancelled
		}
	}
	if failure != logic.ConnBroken { // the rest of the response to an abandoned call has the linger time at most
		deadline = time.Now().Add(t.linger)
		conn.SetDeadline(deadline)
	}
	r, complete := t.readResponse(ctx, c, conn, failure, deadline)
	reusable = complete && failure == logic.ConnBroken
	return r
}

// awaitHeader waits until the head of a response is buffered, or the connection fails, without consuming any of it. It
// returns true if the call is parked meanwhile. A response that has begun may take up to responseTimeout, and a handover
// must not wait for that.
func (t *transport) awaitHeader(ctx context.Context, conn *httpconn.Conn, deadline time.Time) bool {
	stopInterrupt := conn.InterruptOnCancel(ctx)
	var err error
	for err == nil {
		b, _ := conn.Reader.Peek(conn.Reader.Buffered())
		if bytes.Contains(b, []byte("\r\n\r\n")) || len(b) == conn.Reader.Size() {
			break
		}
		_, err = conn.Reader.Peek(len(b) + 1)
	}
	stopInterrupt()
	conn.SetDeadline(deadline)
	return isTimeout(err) && errors.Is(context.Cause(ctx), errParked) && time.Now().Before(deadline)
}

// readResponse reads a response until the deadline and returns its result, which is that of failure if it cannot be
// read. It also returns whether the response is complete and leaves its connection open for another request.
func (t *transport) readResponse(ctx context.Context, c *call, conn *httpconn.Conn, failure logic.Outcome, deadline time.Time) (r callResult, reusable bool) {
	resp, delivered, err := readResponseHead(conn, c.request)
	if delivered && err != nil {
		t.countEvent("unreadable_200")
		return callResult{outcome: logic.Completed}, false // the status line counts, even if the rest is truncated
	}
	if err != nil {
		t.countEvent("unreadable")
		return callResult{outcome: failure}, false
	}
	t.countEvent(statusCountName(resp.StatusCode))
	r, valid := resultOf(resp)
	if soon := time.Now().Add(bodyTimeout); mayHaveRun(r.outcome) && soon.Before(deadline) {
		deadline = soon
	}
	err = readBody(ctx, conn, resp, deadline)
	valid = valid && err == nil && !isContradicted(conn.Reader, resp.StatusCode)
	if !valid && r.outcome != logic.Completed {
		t.countEvent("unreadable_rest")
		return callResult{outcome: failure, retryAfter: r.retryAfter}, false
	}
	r.loadReport = resp.Header.Get("Endpoint-Load-Metrics")
	return r, err == nil && !resp.Close
}

// readResponseHead reads the head of a response, behind those of interim (1xx) responses. It also returns whether its
// status line says 200, which it may do although the rest of the head cannot be read.
func readResponseHead(conn *httpconn.Conn, request *http.Request) (resp *http.Response, delivered bool, err error) {
	for {
		delivered = peekStatusOK(conn.Reader)
		resp, err = http.ReadResponse(conn.Reader, request)
		if err != nil {
			return nil, delivered, err
		}
		if resp.ProtoMajor != 1 {
			return nil, delivered, fmt.Errorf("response in %s", resp.Proto)
		}
		if resp.StatusCode/100 != 1 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, delivered, nil
		}
	}
}

// readBody reads the rest of a response until the deadline. An error means that it is not complete, or too long. Once
// ctx is done it has bodyTimeout left.
func readBody(ctx context.Context, conn *httpconn.Conn, resp *http.Response, deadline time.Time) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errSwitchingProtocols
	}
	conn.SetDeadline(deadline)
	stop := conn.EndSoonOnCancel(ctx, deadline, bodyTimeout)
	defer stop()
	length, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBodyBytes+1))
	if err == nil && length > maxResponseBodyBytes {
		return errBodyTooLong
	}
	return err
}

var (
	errSwitchingProtocols = errors.New("the endpoint switches protocols")
	errBodyTooLong        = fmt.Errorf("the body has more than %d bytes", maxResponseBodyBytes)
)

// isContradicted reports whether what has been received behind a response is the beginning of a response with another
// status. Such a pair proves nothing. A second copy of the response, or bytes that are none, do not change what it says.
func isContradicted(reader *bufio.Reader, status int) bool {
	const version = "HTTP/1.1 " // of any minor version
	extra, _ := reader.Peek(min(reader.Buffered(), len(version)+statusDigits))
	if len(extra) < len(version) || string(extra[:len("HTTP/1.")]) != version[:len("HTTP/1.")] || extra[len(version)-1] != ' ' {
		return false
	}
	return !strings.HasPrefix(strconv.Itoa(status), string(extra[len(version):]))
}

// statusDigits is the number of digits of a status in a status line.
const statusDigits = 3

// peekStatusOK reports whether the status line of the response that is about to be read has status 200.
func peekStatusOK(r *bufio.Reader) bool {
	const line = "HTTP/1.1 200"
	b, err := r.Peek(len(line) + 1)
	if len(b) < len(line) || string(b[:7]) != line[:7] || string(b[8:len(line)]) != line[8:] {
		return false
	}
	return err != nil || b[len(line)] == ' ' || b[len(line)] == '\r' || b[len(line)] == '\n'
}

// resultOf maps a response to the result of the call, by its head. The second value is false if the head does not say
// what the protocol requires with its status; the result has then only what is safe to act on.
func resultOf(resp *http.Response) (r callResult, valid bool) {
	switch resp.StatusCode {
	case http.StatusOK:
		return callResult{outcome: logic.Completed}, true
	case http.StatusTooManyRequests:
		wait, valid := parseRetryAfter(resp.Header.Get("X-Come-Back-Ms"))
		return callResult{outcome: logic.Rejected, retryAfter: wait}, valid
	case http.StatusServiceUnavailable:
		if resp.Header.Get("X-Line-Busy") == "1" {
			return callResult{outcome: logic.NotSent}, true
		}
		return callResult{outcome: logic.Rejected}, true
	case http.StatusGatewayTimeout:
		return callResult{outcome: logic.NotSent}, true
	case http.StatusGone:
		return callResult{outcome: logic.NotSent, messageEnded: true}, true
	}
	return callResult{outcome: logic.Errored}, true
}

// parseRetryAfter parses the wait that an endpoint asks for, in whole milliseconds. A wait over maxPeerDuration is
// shortened to it. The second value is false if the text is no such number.
func parseRetryAfter(text string) (wait time.Duration, valid bool) {
	milliseconds, err := strconv.ParseUint(text, 10, 63)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false
	}
	return time.Duration(min(milliseconds, uint64(maxPeerDuration.Milliseconds()))) * time.Millisecond, true
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

// isTimeout reports whether a connection's own deadline has passed. ETIMEDOUT is an error of the network.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
