package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// eventTimeout bounds every wait for an event: it is not reached unless a test fails.
const eventTimeout = 20 * time.Second

// awaitValue returns the next value of ch.
func awaitValue[T any](t *testing.T, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v, ok := <-ch:
		if !ok {
			t.Fatalf("no more %s", what)
		}
		return v
	case <-time.After(eventTimeout):
		t.Fatalf("no %s", what)
	}
	panic("unreachable")
}

// fakeDiscovery stands for discovery: it serves what a test sets.
type fakeDiscovery struct {
	server          *httptest.Server
	queries         chan string // query of each call
	mu              sync.Mutex
	list            List
	changed         chan struct{} // closed when the list changes
	nextAnswerDelay time.Duration // of its answer to the next call
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	p := &fakeDiscovery{queries: make(chan string, 1024), changed: make(chan struct{})}
	p.server = httptest.NewServer(http.HandlerFunc(p.serveHosts))
	t.Cleanup(func() { p.server.CloseClientConnections(); p.server.Close() })
	return p
}

func (p *fakeDiscovery) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakeDiscovery) serveHosts(w http.ResponseWriter, r *http.Request) {
	p.queries <- r.URL.RawQuery
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64)
	p.mu.Lock()
	late := p.nextAnswerDelay
	p.nextAnswerDelay = 0
	p.mu.Unlock()
	time.Sleep(late)
	over := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer over.Stop()
	for {
		p.mu.Lock()
		list, news := p.list, p.changed
		p.mu.Unlock()
		if list.Generation > from {
			text, err := json.Marshal(list)
			if err != nil {
				panic(err)
			}
			w.Write(text)
			return
		}
		select {
		case <-news:
		case <-over.C:
			fmt.Fprintf(w, `{"generation":%d,"reset":false,"instances":[]}`, list.Generation)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// newTestClient is a client of an empty directory.
func newTestClient(addr string, senders int, grace time.Duration, seed uint64, log *slog.Logger, events chan<- any) *Client {
	return NewClient(Config{Addr: addr, Senders: senders, DrainGrace: grace, Seed: seed, Directory: NewDirectory(nil, nil), Log: log}, events)
}

// awaitEvent takes the next event as the loop does, but applies nothing.
func awaitEvent(t *testing.T, events <-chan any, what string) Event {
	t.Helper()
	ev := awaitValue(t, events, what).(Event)
	if ev.Done != nil {
		ev.Done()
	}
	return ev
}

// virtualTimeTest runs a test on virtual time with a client, whose list is at generation 5, and a discovery in memory, whose
// every call serve answers with raw bytes; then the connection ends. The events are acknowledged and kept.
type virtualTimeTest struct {
	*Client
	t          *testing.T
	log        *logBuffer
	events     chan any
	startedAt  time.Time
	startWatch func() // once more, after a watch has ended
	mu         sync.Mutex
	callTimes  []time.Duration // when each call came
	queries    []string
}

func runOnVirtualTime(t *testing.T, maxBytes int64, serve func(b *virtualTimeTest, w io.Writer), test func(b *virtualTimeTest), with ...func(*Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var served, watches sync.WaitGroup
		var dialing sync.Mutex
		over := false // the transport may dial for a call that has been called off
		b := &virtualTimeTest{t: t, log: &logBuffer{}, events: make(chan any, 1024), startedAt: time.Now()}
		b.Client = NewClient(Config{Addr: "discovery:1", Senders: 1, Seed: 5, MaxAnswerBytes: maxBytes, Directory: NewDirectory(nil, nil),
			Log: slog.New(slog.NewTextHandler(b.log, nil)),
			Dial: func(context.Context, string, string) (net.Conn, error) {
				dialing.Lock()
				defer dialing.Unlock()
				if over {
					return nil, net.ErrClosed
				}
				ours, theirs := net.Pipe()
				served.Go(func() {
					defer theirs.Close()
					req, err := http.ReadRequest(bufio.NewReader(theirs))
					if err != nil {
						return
					}
					b.mu.Lock()
					b.callTimes, b.queries = append(b.callTimes, time.Since(b.startedAt)), append(b.queries, req.URL.RawQuery)
					b.mu.Unlock()
					serve(b, theirs)
				})
				return ours, nil
			}}, b.events)
		b.SetInitialState(5, true)
		for _, f := range with {
			f(b.Client)
		}
		ctx, stop := context.WithCancel(t.Context())
		b.startWatch = func() { watches.Go(func() { b.Watch(ctx) }) }
		b.startWatch()
		test(b)
		stop()
		watches.Wait()
		dialing.Lock()
		over = true
		dialing.Unlock()
		served.Wait()
		b.httpClient.CloseIdleConnections()
	})
}

// calls is the number of calls so far, and when the last one came.
func (b *virtualTimeTest) calls() (int, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.callTimes) == 0 {
		return 0, 0
	}
	return len(b.callTimes), b.callTimes[len(b.callTimes)-1]
}

// nextEvent is the next event; nil if there is none by then.
func (b *virtualTimeTest) nextEvent(within time.Duration) *Event {
	select {
	case x := <-b.events:
		ev := x.(Event)
		if ev.Done != nil {
			ev.Done()
		}
		return &ev
	case <-time.After(within):
		return nil
	}
}
