package discovery

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// scriptedDiscovery is a discovery whose answers are scripted one by one by the test.
type scriptedDiscovery struct {
	server      *httptest.Server
	queries     chan string // the query of each call
	answers     chan string // the next answer; "" leaves the call unanswered, with its connection open
	lateAnswers chan string // the late answers to calls that were left unanswered
}

func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	t.Helper()
	s := &scriptedDiscovery{queries: make(chan string, 64), answers: make(chan string, 64),
		lateAnswers: make(chan string, 64)}
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.queries <- r.URL.RawQuery
		var text string
		select {
		case text = <-s.answers:
		case <-r.Context().Done():
			return
		}
		if text == "" {
			text = <-s.lateAnswers
		}
		io.WriteString(w, text)
	}))
	t.Cleanup(func() { close(s.lateAnswers); s.server.CloseClientConnections(); s.server.Close() })
	return s
}

func (s *scriptedDiscovery) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// logBuffer is a log that tests search.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), what)
}

// newWatchingClient returns a client that watches s from generation 5 on, until the test ends.
func newWatchingClient(t *testing.T, s *scriptedDiscovery) (*Client, <-chan any, *logBuffer) {
	t.Helper()
	events, log := make(chan any, 64), &logBuffer{}
	client := newTestClient(s.address(), 2, time.Second, 5, slog.New(slog.NewTextHandler(log, nil)), events)
	client.generation, client.hasList = 5, true
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool)
	go func() { defer close(done); client.Watch(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return client, events, log
}

const goodAnswer = "{\n \"generation\": 6,\n \"reset\": false,\n \"instances\": [\n  {\"instanceId\": \"a\", \"hostPort\": \"h:1\", \"cell\": 1, \"lifecycle\": \"up\"}\n ]\n}\n"

// An unusable answer leaves the last good list in force, is logged, and is requested again after a short backoff: a
// long pause, as for an overloaded discovery, would miss changes that count as known by then.
func TestMalformedAnswerKeepsKnownList(t *testing.T) {
	for _, nonsense := range []string{`{"generation":6,"reset":true,"instances":[{"inst`, `"x"`, `[]`, `{}`, `{"generation":"six"}`,
		"<html>", `{"generation":4,"reset":true,"instances":[{"instanceId":"old","hostPort":"h:1","lifecycle":"up"}]}`,
		`{"generation":6,"reset":true}`, `{"generation":6,"reset":true,"instances":null}`,
		`{"generation":4,"reset":false,"instances":[]}`, `{"generation":-1,"reset":true,"instances":[]}`} {
		s := newScriptedDiscovery(t)
		_, events, log := newWatchingClient(t, s)
		s.answers <- nonsense
		s.answers <- goodAnswer
		awaitUnusable(t, events, 1)
		first := awaitEvent(t, events, "list")
		if first.Err != nil || first.Update.Generation != 6 || len(first.Update.Rows) != 1 {
			t.Errorf("%s: got event %+v", nonsense, first)
		}
		for _, want := range []string{"from=5&hold_ms=4000", "from=5&hold_ms=1"} { // again, without waiting for a change
			if q := awaitValue(t, s.queries, "call"); q != want {
				t.Errorf("%s: query %q, want %q", nonsense, q, want)
			}
		}
		if log.count("the list stays as it is") != 1 {
			t.Errorf("%s: not logged once", nonsense)
		}
	}
}

// awaitUnusable receives count events. The test fails if one of them does not report an unusable answer.
func awaitUnusable(t *testing.T, events <-chan any, count int) {
	t.Helper()
	for range count {
		ev := awaitValue(t, events, "event of an unusable answer").(Event)
		if !ev.UnusableAnswer || ev.Err != nil || ev.HasUpdate {
			t.Errorf("got event %+v", ev)
		}
	}
}

// The same list again is accepted and changes nothing. A discovery that keeps answering with older lists has restarted
// its generations: then the client requests the whole list.
func TestRepeatedAndRenumberedLists(t *testing.T) {
	s := newScriptedDiscovery(t)
	_, events, _ := newWatchingClient(t, s)
	s.answers <- goodAnswer
	s.answers <- goodAnswer
	for range 2 {
		if ev := awaitEvent(t, events, "list"); ev.Err != nil || ev.Update.Generation != 6 {
			t.Errorf("got event %+v", ev)
		}
	}
	for range maxBadAnswers {
		s.answers <- `{"generation":2,"reset":false,"instances":[]}`
	}
	awaitUnusable(t, events, maxBadAnswers)
	if ev := awaitEvent(t, events, "failure"); ev.Err == nil {
		t.Errorf("got event %+v", ev)
	}

	s = newScriptedDiscovery(t)
	client, events, _ := newWatchingClient(t, s)
	for range maxBadAnswers {
		s.answers <- `{"generation":2,"reset":false,"instances":[]}`
	}
	awaitUnusable(t, events, maxBadAnswers)
	awaitEvent(t, events, "failure")
	s.answers <- `{"generation":2,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`
	go client.Watch(t.Context()) // as the decision logic requests
	if ev := awaitEvent(t, events, "list"); ev.Err != nil || ev.Update.Generation != 2 {
		t.Errorf("got event %+v", ev)
	}
	var last string
	for range maxBadAnswers + 1 {
		last = awaitValue(t, s.queries, "call")
	}
	if last != "" {
		t.Errorf("query %q, want that of the whole list", last)
	}
}

// A watch that gets no answer while its connection stays open ends with an error and can be started again. A late
// answer to the old call has no effect.
func TestUnresponsiveWatchIsReopened(t *testing.T) {
	s := newScriptedDiscovery(t)
	events := make(chan any, 64)
	client := newTestClient(s.address(), 2, time.Second, 5, slog.New(slog.DiscardHandler), events)
	client.generation, client.hasList, client.timing.holdTime = 5, true, time.Millisecond
	s.answers <- "" // no answer
	go client.Watch(t.Context())
	if ev := awaitEvent(t, events, "end of the unresponsive watch"); ev.Err == nil {
		t.Fatalf("got event %+v", ev)
	}
	s.answers <- goodAnswer
	go client.Watch(t.Context())
	if ev := awaitEvent(t, events, "list"); ev.Err != nil || ev.Update.Generation != 6 {
		t.Fatalf("got event %+v", ev)
	}
	s.lateAnswers <- `{"generation":3,"reset":true,"instances":[]}` // as the answer to the old call
	s.answers <- strings.Replace(goodAnswer, "6", "7", 1)
	if ev := awaitEvent(t, events, "next list"); ev.Err != nil || ev.Update.Generation != 7 {
		t.Errorf("got event %+v", ev)
	}
}

// The address of discovery changes while a watch is waiting: the client requests the whole list from the new address at
// once.
func TestAddressChangeDuringUnresponsiveWatch(t *testing.T) {
	s, second := newScriptedDiscovery(t), newScriptedDiscovery(t)
	client, events, _ := newWatchingClient(t, s)
	s.answers <- ""
	awaitValue(t, s.queries, "watch")
	second.answers <- `{"generation":2,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"up"}]}`
	client.SetAddress(second.address())
	if ev := awaitEvent(t, events, "list"); ev.Err != nil || ev.Update.Generation != 2 {
		t.Errorf("got event %+v", ev)
	}
	if q := awaitValue(t, second.queries, "call"); q != "" {
		t.Errorf("query %q, want that of the whole list", q)
	}
}

// While discovery answers soon, many senders watch without pauses, as few senders do: a change within 0.2 s of an
// answer counts as known even if no further call is made. The duration of a watch does not show whether discovery is
// overloaded; that of the first call does. After a restart the first call is made at once, since changes that it would
// report count as known; at a first start of a fleet that is too large for its calls to spread, within the drain grace.
// If the answer to the first call is late, discovery is overloaded by such calls, and each of many senders pauses.
func TestWatchPausesWhenDiscoveryIsBusy(t *testing.T) {
	for _, x := range []struct {
		senders int
		restart bool
		delay   time.Duration // of the first answer
		within  time.Duration // the first call comes within this time
	}{{2, false, 0, 0}, {10, false, 0, 10 * pausePerSender}, {10, true, 4 * promptAnswerTime, 0}, {10, true, 0, 0},
		{300, true, 0, 0}, {300, false, 0, time.Second}} {
		discovery := newFakeDiscovery(t)
		discovery.list = List{Generation: 3, Reset: true, Instances: []Instance{{ID: "a", HostPort: "h:1", Lifecycle: "up"}}}
		discovery.nextAnswerDelay = x.delay
		events := make(chan any, 8)
		client := newTestClient(strings.TrimPrefix(discovery.server.URL, "http://"), x.senders, time.Second, 5,
			slog.New(slog.DiscardHandler), events)
		client.generation, client.hasList, client.restarted = 2, true, x.restart // the list of the configuration
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		startedAt := time.Now()
		go func() { defer close(done); client.Watch(ctx) }()
		wantFirst, wantWatch := "from=2&hold_ms=4000", "from=4&hold_ms=4000"
		if x.senders >= SpreadMinSenders {
			wantFirst, wantWatch = "from=2&hold_ms=1", "from=4&hold_ms=13000"
		}
		if query := awaitValue(t, discovery.queries, "first call"); query != wantFirst ||
			time.Since(startedAt) > x.within+100*time.Millisecond {
			t.Errorf("%+v: first call %s %v after the start, want %s", x, query, time.Since(startedAt), wantFirst)
		}
		awaitEvent(t, events, "list")
		startedAt = time.Now()
		awaitValue(t, discovery.queries, "watch")
		if gap := time.Since(startedAt); gap > 100*time.Millisecond {
			t.Errorf("%+v: the watch began %v after the list", x, gap)
		}
		<-time.After(busyAnswerTime + 50*time.Millisecond)
		discovery.update(func() {
			discovery.list = List{Generation: 4, Instances: []Instance{{ID: "a", HostPort: "h:1", Lifecycle: "up"}}}
		})
		awaitEvent(t, events, "change")
		startedAt = time.Now()
		query := awaitValue(t, discovery.queries, "next watch")
		minGap := time.Duration(0)
		if x.delay > 0 {
			minGap = time.Duration(x.senders) * pausePerSender * 90 / 100
		}
		if gap := time.Since(startedAt); gap < minGap || minGap == 0 && gap > 100*time.Millisecond || query != wantWatch {
			t.Errorf("%+v: next watch %s after %v, want %s after %v at least", x, query, gap, wantWatch, minGap)
		}
		stop()
		<-done
	}
}

// A change of discovery's address ends a pause, and the client calls the new address at once: changes there count as
// known 4 s after the signal, and a pause may last longer.
func TestAddressChangeEndsPause(t *testing.T) {
	discovery := newFakeDiscovery(t)
	discovery.list = List{Generation: 3, Reset: true, Instances: []Instance{{ID: "a", HostPort: "h:1", Lifecycle: "up"}}}
	discovery.nextAnswerDelay = busyAnswerTime + 2*promptAnswerTime
	events := make(chan any, 8)
	client := newTestClient(strings.TrimPrefix(discovery.server.URL, "http://"), 300, time.Second, 5,
		slog.New(slog.DiscardHandler), events)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); client.Watch(ctx) }()
	awaitValue(t, discovery.queries, "first call")
	awaitEvent(t, events, "list")
	movedAt := time.Now()
	client.SetAddress(strings.TrimPrefix(discovery.server.URL, "http://"))
	if query := awaitValue(t, discovery.queries, "call to the new address"); query != "" ||
		time.Since(movedAt) > 500*time.Millisecond {
		t.Errorf("query %q %v after the address change, want that of the whole list at once", query, time.Since(movedAt))
	}
	stop()
	<-done
}

// A call that has had no answer for longer than discovery takes to reject a call was accepted and waits for a change;
// the client reports it.
func TestAcceptedWatchIsReported(t *testing.T) {
	discovery := newFakeDiscovery(t)
	discovery.list = List{Generation: 3, Reset: true, Instances: []Instance{}}
	events := make(chan any, 8)
	client := newTestClient(strings.TrimPrefix(discovery.server.URL, "http://"), 2, time.Second, 5,
		slog.New(slog.DiscardHandler), events)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); client.Watch(ctx) }()
	if ev := awaitEvent(t, events, "list"); ev.WatchAccepted {
		t.Error("a list is reported as an accepted watch")
	}
	listedAt := time.Now()
	if ev := awaitEvent(t, events, "accepted watch"); !ev.WatchAccepted || time.Since(listedAt) < 2*time.Second {
		t.Errorf("%+v after %v, want an accepted watch after the 2 s in which it may be rejected", ev, time.Since(listedAt))
	}
	stop()
	<-done
}

// For any number of senders, the answer after a pause arrives before changes since the last answer have counted as
// known for longer than a drain grace.
func TestAnswersArriveWithinMaxListAge(t *testing.T) {
	for _, senders := range []int{SpreadMinSenders, 36, 80, 1 << 40} {
		client := newTestClient("127.0.0.1:1", senders, time.Second, 5, slog.New(slog.DiscardHandler), nil)
		if longest := client.timing.busyPause*108/100 + 2*time.Second; client.timing.busyPause <= 0 ||
			longest > MaxListAge+time.Second {
			t.Errorf("%d senders: an answer may arrive after %v", senders, longest)
		}
	}
}

// A sender that was restarted or takes over watches at once, whatever the number of senders: only the calls of a first
// start are spread.
func TestRestartedSenderWatchesWithoutDelay(t *testing.T) {
	discovery := newFakeDiscovery(t)
	client := newTestClient(strings.TrimPrefix(discovery.server.URL, "http://"), 300, time.Second, 5,
		slog.New(slog.DiscardHandler), make(chan any, 8))
	client.timing.firstPause = time.Hour
	client.SetInitialState(-1, true)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); client.Watch(ctx) }()
	awaitValue(t, discovery.queries, "call for the list")
	stop()
	<-done
}

// The next answer is compared only after the last update has been applied: otherwise a change would be reported twice,
// or missed.
func TestAnswerIsComparedAfterPreviousUpdateIsApplied(t *testing.T) {
	s := newScriptedDiscovery(t)
	client, events, _ := newWatchingClient(t, s)
	s.answers <- goodAnswer
	s.answers <- strings.Replace(goodAnswer, "6", "7", 1) // the same row in a newer list
	first := awaitValue(t, events, "list").(Event)
	for range 2 {
		awaitValue(t, s.queries, "call")
	}
	select {
	case ev := <-events:
		t.Fatalf("got event %+v before the last update was applied", ev)
	case <-time.After(100 * time.Millisecond): // the answer has arrived meanwhile
	}
	if rows := client.directory.Apply(&first.Update, time.Now()); len(rows) != 1 {
		t.Errorf("Apply returned entries %v", rows)
	}
	first.Done()
	if next := awaitEvent(t, events, "next list"); next.Update.Generation != 7 || len(next.Update.Rows) != 0 {
		t.Errorf("got event %+v", next)
	}
}
