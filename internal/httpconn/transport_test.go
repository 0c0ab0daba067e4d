package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// testServer is a server whose requests a test answers one by one.
type testServer struct {
	listener net.Listener
	requests chan *testRequest
}

// testRequest is a request that a server has received.
type testRequest struct {
	*http.Request
	conn net.Conn
	next chan bool // gets whether the server reads another request from the connection
}

func (r *testRequest) answer(text string) {
	io.WriteString(r.conn, text)
	r.next <- true
}

func (r *testRequest) close() {
	r.conn.Close()
	r.next <- false
}

func startTestServer(t *testing.T) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &testServer{listener: listener, requests: make(chan *testRequest, 16)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go s.serve(conn)
		}
	}()
	return s
}

func (s *testServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		received := &testRequest{request, conn, make(chan bool, 1)}
		s.requests <- received
		if !<-received.next {
			return
		}
	}
}

func (s *testServer) await(t *testing.T) *testRequest {
	t.Helper()
	select {
	case request := <-s.requests:
		return request
	case <-time.After(testTimeout):
		t.Fatal("no request")
	}
	panic("unreachable")
}

// result is the result of a request.
type result struct {
	body string
	err  error
}

// do makes a request in the background.
func (s *testServer) do(ctx context.Context, client *http.Client, method string) <-chan result {
	results := make(chan result, 1)
	go func() {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+s.listener.Addr().String()+"/path", strings.NewReader("body"))
		if err != nil {
			results <- result{err: err}
			return
		}
		response, err := client.Do(request)
		if err != nil {
			results <- result{err: err}
			return
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		results <- result{string(body), err}
	}()
	return results
}

func newTestHTTPClient() *http.Client {
	return &http.Client{Transport: NewTransport(TransportConfig{Dial: (&net.Dialer{}).DialContext, MaxIdle: 2, IdleTimeout: 10 * time.Second})}
}

const goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"

func awaitResult(t *testing.T, results <-chan result) result {
	t.Helper()
	select {
	case r := <-results:
		return r
	case <-time.After(testTimeout):
		t.Fatal("the request does not end")
	}
	panic("unreachable")
}

func expectGood(t *testing.T, results <-chan result) {
	t.Helper()
	if r := awaitResult(t, results); r.err != nil || r.body != "good" {
		t.Errorf("got %+v, want the good answer", r)
	}
}

// A connection is used again after its rest, and only then; two connections take turns for requests without pauses.
func TestRequestsReuseConnections(t *testing.T) {
	s, client := startTestServer(t), newTestHTTPClient()
	conns := map[net.Conn]int{}
	for range 6 {
		results := s.do(t.Context(), client, http.MethodGet)
		request := s.await(t)
		conns[request.conn]++
		time.Sleep(2 * ReuseDelay)
		request.answer(goodAnswer)
		expectGood(t, results)
	}
	if len(conns) != 2 {
		t.Errorf("%d connections for watches that follow each other, want 2", len(conns))
	}
}

// Whatever a server sends behind an answer, the next answer is that of the next request.
func TestNextRequestGetsItsOwnAnswer(t *testing.T) {
	const wrong = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	for _, first := range []string{goodAnswer + wrong, goodAnswer + "noise", goodAnswer + wrong[:7], "HTTP/1.1 100 Continue\r\n\r\n" + goodAnswer + wrong} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 2 * ReuseDelay} {
			s, client := startTestServer(t), newTestHTTPClient()
			results := s.do(t.Context(), client, http.MethodGet)
			request := s.await(t)
			request.answer(first)
			expectGood(t, results)
			time.Sleep(delay)
			results = s.do(t.Context(), client, http.MethodGet)
			s.await(t).answer(goodAnswer)
			expectGood(t, results)
		}
	}
}

// A GET on a kept connection that the server closes without an answer is made again, a POST is not.
func TestOnlyGetIsRepeated(t *testing.T) {
	for method, repeated := range map[string]bool{http.MethodGet: true, http.MethodPost: false} {
		s, client := startTestServer(t), newTestHTTPClient()
		results := s.do(t.Context(), client, method)
		s.await(t).answer(goodAnswer)
		expectGood(t, results)
		time.Sleep(2 * ReuseDelay)
		results = s.do(t.Context(), client, method)
		s.await(t).close()
		if !repeated {
			if r := awaitResult(t, results); r.err == nil || len(s.requests) != 0 {
				t.Errorf("%s: got %+v and %d more requests, want an error", method, r, len(s.requests))
			}
			continue
		}
		s.await(t).answer(goodAnswer)
		expectGood(t, results)
	}
}

// A request on a new connection leaves the kept ones alone.
func TestFreshConnection(t *testing.T) {
	s, client := startTestServer(t), newTestHTTPClient()
	results := s.do(t.Context(), client, http.MethodPost)
	first := s.await(t)
	first.answer(goodAnswer)
	expectGood(t, results)
	time.Sleep(2 * ReuseDelay)
	results = s.do(WithFreshConn(t.Context()), client, http.MethodPost)
	if second := s.await(t); second.conn == first.conn {
		t.Error("the kept connection was used")
	} else {
		second.answer(goodAnswer)
	}
	expectGood(t, results)
}

// The end of its context ends a request, in its head and in its body, and its connection is not kept.
func TestCancelledRequestEnds(t *testing.T) {
	for _, begun := range []string{"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood"} {
		s, client := startTestServer(t), newTestHTTPClient()
		ctx, cancel := context.WithCancel(t.Context())
		results := s.do(ctx, client, http.MethodGet)
		request := s.await(t)
		io.WriteString(request.conn, begun)
		time.Sleep(20 * time.Millisecond)
		cancel()
		if r := awaitResult(t, results); !errors.Is(r.err, context.Canceled) {
			t.Errorf("%q: got %+v, want the context's error", begun, r)
		}
		if n := client.Transport.(*Transport).pool.Len(); n != 0 {
			t.Errorf("%q: %d connections kept", begun, n)
		}
	}
}

// After a request without an answer the next one goes over a new connection, however many are kept: these may have fallen
// silent together.
func TestSilentRequestClosesKeptConnections(t *testing.T) {
	for _, begun := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood"} {
		s, client := startTestServer(t), newTestHTTPClient()
		first, second := s.do(t.Context(), client, http.MethodGet), s.do(t.Context(), client, http.MethodGet)
		for range 2 {
			s.await(t).answer(goodAnswer)
		}
		expectGood(t, first)
		expectGood(t, second)
		time.Sleep(2 * ReuseDelay)
		ctx, cancel := context.WithCancel(t.Context())
		silent := s.do(ctx, client, http.MethodGet)
		request := s.await(t)
		io.WriteString(request.conn, begun)
		time.Sleep(20 * time.Millisecond)
		cancel()
		awaitResult(t, silent)
		if n := client.Transport.(*Transport).pool.Len(); n != 0 {
			t.Errorf("%q: %d connections kept", begun, n)
		}
	}
}

// A head without end is an error and not memory without bound.
func TestEndlessHeadIsAnError(t *testing.T) {
	s, client := startTestServer(t), newTestHTTPClient()
	results := s.do(t.Context(), client, http.MethodGet)
	request := s.await(t)
	go func() {
		_, err := io.WriteString(request.conn, "HTTP/1.1 200 OK\r\n")
		for i := 0; err == nil; i++ {
			_, err = fmt.Fprintf(request.conn, "X-%d: more\r\n", i)
		}
	}()
	if r := awaitResult(t, results); r.err == nil {
		t.Errorf("got %+v, want an error", r)
	}
}
