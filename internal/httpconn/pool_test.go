package httpconn

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// connPair returns a connection to a server and the server's side of it.
func connPair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return NewConn(dialed, "server"), accepted.(*net.TCPConn)
}

// awaitUnusable waits until a connection may no longer carry a request.
func awaitUnusable(t *testing.T, conn *Conn) {
	t.Helper()
	for stop := time.Now().Add(testTimeout); conn.Check() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(stop) {
			t.Fatal("the connection stays usable")
		}
	}
}

func isClosed(conn *Conn) bool {
	_, err := conn.Conn.Write([]byte("x"))
	return errors.Is(err, net.ErrClosed)
}

func newTestPool(reported *[]ExtraBytesError) *Pool[int] {
	return NewPool[int](PoolConfig{IdleTimeout: 10 * time.Second, MaxPerKey: 2, Max: 3, OnExtraBytes: func(err *ExtraBytesError) {
		*reported = append(*reported, *err)
	}})
}

// A connection carries no request right behind an answer, whatever becomes of it meanwhile.
func TestConnectionRestsAfterAnAnswer(t *testing.T) {
	var reported []ExtraBytesError
	pool := newTestPool(&reported)
	conn, _ := connPair(t)
	pool.Put(1, conn)
	if pool.Take(1, "server") != nil || pool.Len() != 1 {
		t.Error("taken at once, or not kept")
	}
	conn.SetIdleSince(time.Now().Add(-ReuseDelay))
	if pool.Take(1, "server") != conn || pool.Len() != 0 {
		t.Error("not taken after its rest")
	}
}

// Bytes behind an answer close the connection wherever they are found, and are reported.
func TestBytesBehindAnAnswerCloseTheConnection(t *testing.T) {
	for name, use := range map[string]func(pool *Pool[int], conn *Conn, server *net.TCPConn){
		"read with the answer": func(pool *Pool[int], conn *Conn, server *net.TCPConn) {
			io.WriteString(server, "answerextra")
			io.ReadFull(conn.Reader, make([]byte, len("answer")))
			pool.Put(1, conn)
		},
		"before it is taken": func(pool *Pool[int], conn *Conn, server *net.TCPConn) {
			pool.Put(1, conn)
			conn.SetIdleSince(time.Now().Add(-time.Second))
			io.WriteString(server, "extra")
			awaitUnusable(t, conn)
			if pool.Take(1, "server") != nil {
				t.Error("it was taken")
			}
		},
		"before the request is written": func(pool *Pool[int], conn *Conn, server *net.TCPConn) {
			pool.Put(1, conn)
			conn.SetIdleSince(time.Now().Add(-time.Second))
			taken := pool.Take(1, "server")
			io.WriteString(server, "extra")
			awaitUnusable(t, conn)
			if taken != conn || pool.Recheck(conn) {
				t.Error("it was not taken, or passed the check")
			}
		},
		"in a sweep": func(pool *Pool[int], conn *Conn, server *net.TCPConn) {
			pool.Put(1, conn)
			io.WriteString(server, "extra")
			awaitUnusable(t, conn)
			pool.CloseStale()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var reported []ExtraBytesError
			pool := newTestPool(&reported)
			conn, server := connPair(t)
			conn.lastRequest = "request 1"
			use(pool, conn, server)
			if want := (ExtraBytesError{Addr: "server", LastRequest: "request 1", Bytes: len("extra")}); len(reported) != 1 || reported[0] != want {
				t.Errorf("reported %+v, want %+v", reported, want)
			}
			if !isClosed(conn) || pool.Len() != 0 {
				t.Error("the connection is open or kept")
			}
		})
	}
}

// A connection that the server has closed, that has been idle for too long or that leads elsewhere is not taken. None
// of that is reported as bytes behind an answer.
func TestUnusableConnectionIsNotTaken(t *testing.T) {
	for name, spoil := range map[string]func(conn *Conn, server *net.TCPConn){
		"closed":   func(conn *Conn, server *net.TCPConn) { server.Close(); awaitUnusable(t, conn) },
		"half":     func(conn *Conn, server *net.TCPConn) { server.CloseWrite(); awaitUnusable(t, conn) },
		"old":      func(conn *Conn, _ *net.TCPConn) { conn.SetIdleSince(time.Now().Add(-9600 * time.Millisecond)) },
		"moved":    func(conn *Conn, _ *net.TCPConn) { conn.addr = "another server" },
		"unusable": func(conn *Conn, _ *net.TCPConn) { conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			var reported []ExtraBytesError
			pool := newTestPool(&reported)
			conn, server := connPair(t)
			pool.Put(1, conn)
			conn.SetIdleSince(time.Now().Add(-time.Second))
			spoil(conn, server)
			if pool.Take(1, "server") != nil || !isClosed(conn) || pool.Len() != 0 || len(reported) != 0 {
				t.Errorf("taken, open or kept; reported %v", reported)
			}
		})
	}
}

// The pool keeps its bounds, and gives the most recently used connection first.
func TestPoolBounds(t *testing.T) {
	var reported []ExtraBytesError
	pool := newTestPool(&reported)
	var conns []*Conn
	for i, key := range []int{1, 1, 1, 2, 2} {
		conn, _ := connPair(t)
		conn.SetIdleSince(time.Now().Add(time.Duration(i-10) * ReuseDelay))
		pool.Return(key, conn)
		conns = append(conns, conn)
	}
	if pool.Len() != 3 || !isClosed(conns[2]) || !isClosed(conns[4]) {
		t.Errorf("%d connections, want 3 with the third of a key and the fourth in all closed", pool.Len())
	}
	if pool.Take(1, "server") != conns[1] {
		t.Error("not the most recently used connection")
	}
	if !pool.CloseOldest() || !isClosed(conns[0]) || pool.Len() != 1 {
		t.Error("not the oldest connection was closed")
	}
	pool.CloseOtherKeys(1)
	if pool.Len() != 0 || pool.CloseOldest() || !isClosed(conns[3]) {
		t.Error("connections of other keys are kept")
	}
	if all := pool.TakeAll(); len(all) != 0 {
		t.Errorf("%d keys without connections", len(all))
	}
}
