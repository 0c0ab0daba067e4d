package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// A watch must not be answered by the second copy of the answer to the call before it.
func TestWatchIsNotAnsweredByTheCopyOfAnEarlierAnswer(t *testing.T) {
	const rounds, quietTime = 40, 200 * time.Millisecond
	for round := range rounds {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			addr := startOnceAnsweringDiscovery(t, time.Duration(round)*50*time.Microsecond)
			events := make(chan any, 64)
			client := newTestClient(addr, 2, time.Second, 5, slog.New(slog.DiscardHandler), events)
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan bool)
			go func() { defer close(done); client.Watch(ctx) }()
			t.Cleanup(func() { stop(); <-done })
			if ev := awaitEvent(t, events, "first answer"); !ev.HasUpdate {
				t.Fatalf("event %+v, want the first answer", ev)
			}
			select {
			case ev := <-events:
				t.Errorf("event %+v, though the watch has no answer", ev)
			case <-time.After(quietTime):
			}
		})
	}
}

// startOnceAnsweringDiscovery starts a discovery that answers the first call, sends a second copy of its answer after a
// delay, and answers no other call. It returns its address.
func startOnceAnsweringDiscovery(t *testing.T, copyDelay time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(wholeList), wholeList)
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			if !first {
				continue
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			io.WriteString(conn, answer)
			time.Sleep(copyDelay)
			io.WriteString(conn, answer)
		}
	}()
	return listener.Addr().String()
}

const wholeList = `{"generation":6,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","cell":1,"lifecycle":"up"}]}`
