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

// eventTimeout bounds every wait for an event. Only a failing test reaches it.
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

// fakeDiscovery is a discovery that serves the list that a test sets.
type fakeDiscovery struct {
	server          *httptest.Server
	queries         chan string // the query of each call
	mu              sync.Mutex
	list            List
	changed         chan struct{} // closed when the list changes
	nextAnswerDelay time.Duration // delay of the answer to the next call
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{queries: make(chan string, 1024), changed: make(chan struct{})}
	d.server = httptest.NewServer(http.HandlerFunc(d.serveHosts))
	t.Cleanup(func() { d.server.CloseClientConnections(); d.server.Close() })
	return d
}

func (d *fakeDiscovery) update(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDiscovery) serveHosts(w http.ResponseWriter, r *http.Request) {
	d.queries <- r.URL.RawQuery
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64)
	d.mu.Lock()
	delay := d.nextAnswerDelay
	d.nextAnswerDelay = 0
	d.mu.Unlock()
	time.Sleep(delay)
	holdTimer := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer holdTimer.Stop()
	for {
		d.mu.Lock()
		list, changed := d.list, d.changed
		d.mu.Unlock()
		if list.Generation > from {
			text, err := json.Marshal(list)
			if err != nil {
				panic(err)
			}
			w.Write(text)
			return
		}
		select {
		case <-changed:
		case <-holdTimer.C:
			fmt.Fprintf(w, `{"generation":%d,"reset":false,"instances":[]}`, list.Generation)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// newTestClient returns a client with an empty directory.
func newTestClient(addr string, senders int, grace time.Duration, seed uint64, log *slog.Logger,
	events chan<- any) *Client {
	return NewClient(Config{Addr: addr, Senders: senders, DrainGrace: grace, Seed: seed,
		Directory: NewDirectory(nil, nil), Log: log}, events)
}

// awaitEvent receives the next event and acknowledges it without applying the update.
func awaitEvent(t *testing.T, events <-chan any, what string) Event {
	t.Helper()
	ev := awaitValue(t, events, what).(Event)
	if ev.Done != nil {
		ev.Done()
	}
	return ev
}

// virtualTimeTest is the state of a test on virtual time: a client whose list is at generation 5, and a discovery in
// memory.
type virtualTimeTest struct {
	*Client
	t          *testing.T
	log        *logBuffer
	events     chan any
	startedAt  time.Time
	startWatch func() // starts another watch, after the last one has ended
	mu         sync.Mutex
	callTimes  []time.Duration // when each call arrived
	queries    []string
}

// runOnVirtualTime runs a test on virtual time. serve answers each call with raw bytes; then its connection is closed.
// options change the client before the first watch starts.
func runOnVirtualTime(t *testing.T, maxBytes int64, serve func(vt *virtualTimeTest, w io.Writer),
	test func(vt *virtualTimeTest), options ...func(*Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var servers, watches sync.WaitGroup
		var dialMu sync.Mutex
		closed := false // the transport may still dial for a canceled call
		vt := &virtualTimeTest{t: t, log: &logBuffer{}, events: make(chan any, 1024), startedAt: time.Now()}
		vt.Client = NewClient(Config{Addr: "discovery:1", Senders: 1, Seed: 5, MaxAnswerBytes: maxBytes,
			Directory: NewDirectory(nil, nil), Log: slog.New(slog.NewTextHandler(vt.log, nil)),
			Dial: func(context.Context, string, string) (net.Conn, error) {
				dialMu.Lock()
				defer dialMu.Unlock()
				if closed {
					return nil, net.ErrClosed
				}
				ours, theirs := net.Pipe()
				servers.Go(func() {
					defer theirs.Close()
					req, err := http.ReadRequest(bufio.NewReader(theirs))
					if err != nil {
						return
					}
					vt.mu.Lock()
					vt.callTimes, vt.queries = append(vt.callTimes, time.Since(vt.startedAt)), append(vt.queries, req.URL.RawQuery)
					vt.mu.Unlock()
					serve(vt, theirs)
				})
				return ours, nil
			}}, vt.events)
		vt.SetInitialState(5, true)
		for _, f := range options {
			f(vt.Client)
		}
		ctx, stop := context.WithCancel(t.Context())
		vt.startWatch = func() { watches.Go(func() { vt.Watch(ctx) }) }
		vt.startWatch()
		test(vt)
		stop()
		watches.Wait()
		dialMu.Lock()
		closed = true
		dialMu.Unlock()
		servers.Wait()
		vt.httpClient.CloseIdleConnections()
	})
}

// calls returns the number of calls so far, and when the last one arrived.
func (vt *virtualTimeTest) calls() (int, time.Duration) {
	vt.mu.Lock()
	defer vt.mu.Unlock()
	if len(vt.callTimes) == 0 {
		return 0, 0
	}
	return len(vt.callTimes), vt.callTimes[len(vt.callTimes)-1]
}

// nextEvent returns the next event and acknowledges it; nil if there is none within the given time.
func (vt *virtualTimeTest) nextEvent(within time.Duration) *Event {
	select {
	case received := <-vt.events:
		ev := received.(Event)
		if ev.Done != nil {
			ev.Done()
		}
		return &ev
	case <-time.After(within):
		return nil
	}
}
