package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"crossdeal/logic"
)

// When a change counts as told, whether or not it has arrived.
const (
	knownDelay           = 6 * time.Second        // discovery had it and could be reached, or a watch fell silent
	unansweredHoldMargin = 2 * time.Second        // after the wait of a call that fell silent, if that is later
	timeTolerance        = 50 * time.Millisecond  // of every time limit
	messageInterval      = 200 * time.Millisecond // a message comes
	changeInterval       = 500 * time.Millisecond // something changes, where changes come close together
)

// What can happen to a call for the list. A silent call gets no answer; a quiet watch is one that waits for news and
// falls silent. The others get an answer that is no list.
var callFaults = []string{"refused", "reset", "silent", "nonsense", "503", "quiet watch"}

var malformedAnswers = []string{"<html>sorry</html>", `{"generation":9,"reset":true,"instances":[{"instanceId":"x","hos`, `{"generation":"six"}`,
	`{"generation":-1,"reset":false,"instances":[]}`}

// faultScenario is one sender, module and client, with a discovery that does to its first calls what a script says and
// answers the others at once, on virtual time. Endpoint "alive" stays up and gets a message now and then; endpoint n
// drains with the n-th change.
type faultScenario struct {
	startedAt     time.Time
	changeTimes   []time.Duration // when each came
	mu            sync.Mutex
	downAt        time.Duration // pushed lists: from then on discovery is down and its agent silent ...
	upAt          time.Duration // ... until then; calls that are out then are answered
	pushed        bool          // an agent has the list: a change counts as told as soon as it has it
	goodCalls     int           // calls that are answered before the script begins
	pendingFaults []string
	quietAfter    time.Duration // after which a quiet watch falls silent
	drainGrace    time.Duration // for which what drains may still be called once that is told
	callCount     int
	faultyCalls   []faultyCall
	sendTimes     []time.Duration
	arrivalTimes  []time.Duration // each change at the module; 0 if it has not
}

// faultyCall is a call that something happened to.
type faultyCall struct {
	fault      string
	startedAt  time.Duration // when it began, or fell silent
	holdEndsAt time.Duration // when its wait is over
}

// awaitUp waits while discovery is down; false if the caller gives up meanwhile.
func (w *faultScenario) awaitUp(gone <-chan struct{}) bool {
	if now := w.elapsed(); now < w.downAt || now >= w.upAt {
		return true
	}
	select {
	case <-gone:
		return false
	case <-time.After(w.upAt - w.elapsed()):
		return true
	}
}

func (w *faultScenario) elapsed() time.Duration { return time.Since(w.startedAt) }

// takeFault says what happens to the next call, and takes it off the script.
func (w *faultScenario) takeFault(refusal bool, hold time.Duration) (what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.callCount < w.goodCalls || len(w.pendingFaults) == 0 || (w.pendingFaults[0] == "refused") != refusal || strings.HasSuffix(w.pendingFaults[0], "news") && hold <= promptHoldTime || w.pendingFaults[0] == "quiet watch" && hold <= promptHoldTime {
		if !refusal {
			w.callCount++
		}
		return ""
	}
	what, w.pendingFaults = w.pendingFaults[0], w.pendingFaults[1:]
	w.callCount++
	w.faultyCalls = append(w.faultyCalls, faultyCall{what, w.elapsed(), w.elapsed() + hold})
	return what
}

func (w *faultScenario) dial(context.Context, string, string) (net.Conn, error) {
	if w.takeFault(true, 0) != "" {
		return nil, syscall.ECONNREFUSED
	}
	ours, theirs := net.Pipe()
	go w.serve(theirs)
	return ours, nil
}

// serve answers one call.
func (w *faultScenario) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	gone := make(chan struct{})
	go func() { defer close(gone); r.ReadByte() }()
	from, whole := int64(0), !req.URL.Query().Has("from")
	if !whole {
		from, _ = strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	}
	ms, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
	hold := time.Duration(ms) * time.Millisecond
	what := w.takeFault(false, hold)
	until := time.After(hold)
	switch what {
	case "reset":
		return
	case "silent":
		<-gone
		return
	case "503":
		io.WriteString(conn, "HTTP/1.1 503 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	case "torn": // at any byte of an answer that has news
		fmt.Fprintf(conn, "HTTP/1.1 200 x\r\nContent-Length: 400\r\n\r\n"+`{"generation":9,"reset":false,"instances":[{"instanceId":"0","lifec`)
		return
	case "stalled":
		fmt.Fprintf(conn, "HTTP/1.1 200 x\r\nContent-Length: 400\r\n\r\n"+`{"generation":9,"reset":false,"instances":[{"instanceId":"0","lifec`)
		<-gone
		return
	case "nonsense":
		w.mu.Lock()
		text := malformedAnswers[w.callCount%len(malformedAnswers)]
		w.mu.Unlock()
		fmt.Fprintf(conn, "HTTP/1.1 200 x\r\nConnection: close\r\n\r\n%s", text)
		return
	case "quiet watch":
		until = time.After(w.quietAfter)
	}
	for {
		if !w.awaitUp(gone) {
			return
		}
		count := 0
		for count < len(w.changeTimes) && w.changeTimes[count] <= w.elapsed() {
			count++
		}
		if whole || count > int(from) {
			if what == "stalled news" || what == "torn news" {
				fmt.Fprintf(conn, "HTTP/1.1 200 x\r\nContent-Length: 4000\r\n\r\n"+`{"generation":9,"reset":false,"instances":[{"instanceId":"0","lifec`)
				for range 40 { // some go on, and never end
					if what == "torn news" {
						return
					}
					time.Sleep(50 * time.Millisecond)
					if _, err := io.WriteString(conn, strings.Repeat(" ", 8)); err != nil {
						return
					}
				}
				return
			}
			if what != "" { // it has not fallen silent yet
				w.mu.Lock()
				w.faultyCalls, w.pendingFaults = w.faultyCalls[:len(w.faultyCalls)-1], append([]string{what}, w.pendingFaults...)
				w.mu.Unlock()
			}
			w.writeAnswer(conn, int(from), count, whole)
			return
		}
		next := make(<-chan time.Time)
		if count < len(w.changeTimes) {
			next = time.After(w.changeTimes[count] - w.elapsed())
		}
		select {
		case <-next:
		case <-until:
			if strings.HasSuffix(what, "news") { // there was none
				what = ""
			}
			if what == "" && !w.awaitUp(gone) {
				return
			}
			if what == "" {
				w.writeAnswer(conn, count, count, false)
				return
			}
			w.mu.Lock()
			w.faultyCalls[len(w.faultyCalls)-1].startedAt = w.elapsed()
			w.mu.Unlock()
			<-gone
			return
		case <-gone:
			return
		}
	}
}

func (w *faultScenario) writeAnswer(conn net.Conn, from, to int, whole bool) {
	list := List{Generation: int64(to), Reset: whole, Instances: []Instance{}}
	if whole {
		list.Instances = w.wholeList(to)
	} else {
		for n := from; n < to; n++ {
			list.Instances = append(list.Instances, testInstance(n, "draining"))
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 x\r\nConnection: close\r\n\r\n%s", text)
}

func testInstance(n int, state string) Instance {
	return Instance{ID: fmt.Sprint(n), HostPort: "h:1", Kind: "k", Destination: int64(n + 1), Lifecycle: state}
}

// wholeList is the whole list after so many changes.
func (w *faultScenario) wholeList(changes int) []Instance {
	all := []Instance{{ID: "alive", HostPort: "h:1", Kind: "k", Destination: 0, Lifecycle: "up"}}
	for n := range w.changeTimes {
		all = append(all, testInstance(n, map[bool]string{true: "draining", false: "up"}[n < changes]))
	}
	return all
}

// run lets a restarted sender of a fleet run until the time is over. It does what the loop of a sender does.
func (w *faultScenario) run(t *testing.T, senders int, seed uint64, until time.Duration) {
	t.Helper()
	kinds := []logic.Kind{{Name: "k", Batch: 1}}
	set := logic.Settings{Senders: senders, Zones: 1, Slots: 8, MaxOpen: 400, MaxTries: 6, Tick: 5000, ListOnRequest: !w.pushed, ListPushed: w.pushed, MayCancel: true,
		Classes: []logic.Class{{Name: "a", Aim: logic.Second, Deadline: 2 * logic.Second, Worth: 1, LateWorth: 0.5}}, Kinds: kinds,
		DrainGrace: micros(w.drainGrace), FallMultiple: 2, FallWindow: 2 * logic.Second, ColdFrom: 0.2, WarmAfter: 14 * logic.Second, LimitLeftIndex: -1, LimitIndex: -1}
	if senders >= SpreadMinSenders && !w.pushed {
		set.MaxListAge = micros(MaxListAge) + set.DrainGrace
	}
	sender, err := logic.New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	w.startedAt, w.arrivalTimes = time.Now(), make([]time.Duration, len(w.changeTimes))
	dir, events := NewDirectory(nil, kinds), make(chan any, 64)
	client := NewClient(Config{Addr: "d:1", Senders: senders, Pushed: w.pushed, DrainGrace: w.drainGrace, Seed: seed, Directory: dir,
		Log: slog.New(slog.DiscardHandler), Dial: w.dial}, events)
	dir.Apply(&Update{Whole: true, Rows: w.wholeList(0)}, time.Now())
	client.SetInitialState(0, !w.pushed || seed%2 == 0) // a first start has no other rights where the list is pushed
	ctx, stop := context.WithCancel(t.Context())
	var watches sync.WaitGroup
	watching, next := w.pushed, []logic.Event{logic.ListUpdate{Form: logic.ListCached, Entries: dir.Entries(), Stale: true}}
	if watching { // the module need not ask
		watches.Go(func() { client.Watch(ctx) })
	}
	chat, over := time.NewTicker(messageInterval), time.After(until)
	var wake <-chan time.Time
	for id := 0; ; {
		for len(next) > 0 {
			now := next
			next, wake = nil, nil
			for _, a := range sender.Step(micros(w.elapsed()), now) {
				switch a := a.(type) {
				case logic.CallOut:
					w.sendTimes = append(w.sendTimes, w.elapsed())
					next = append(next, logic.AttemptResult{ID: a.ID, MessageEnded: true, Endpoint: a.Endpoint, Outcome: logic.Completed, Duration: 1000})
				case logic.SetTimer:
					due := logic.TimerExpired{Token: a.Token}
					time.AfterFunc(time.Duration(a.Wait)*time.Microsecond, func() {
						select {
						case events <- due:
						case <-ctx.Done():
						}
					})
				case logic.Listen:
					if !watching {
						watching = true
						watches.Go(func() { client.Watch(ctx) })
					}
				}
			}
		}
		select {
		case <-chat.C:
			id++
			next = append(next, logic.NewMessage{ID: fmt.Sprint("m", id), TimeLeft: 2 * logic.Second, Tenant: -1})
		case <-wake:
		case <-over:
			chat.Stop()
			stop()
			watches.Wait()
			client.httpClient.CloseIdleConnections()
			return
		case ev := <-events:
			due, ok := ev.(logic.TimerExpired)
			if ok {
				next = append(next, due)
				continue
			}
			next = append(next, w.handleEvent(dir, ev.(Event), &watching)...)
		}
	}
}

// handleEvent takes an event of the client.
func (w *faultScenario) handleEvent(dir *Directory, ev Event, watching *bool) []logic.Event {
	switch {
	case ev.Err != nil:
		*watching = false
		return []logic.Event{logic.ListUpdate{Form: logic.ListRequestFailed, Unresponsive: ev.Unresponsive}}
	case ev.WatchAccepted:
		return []logic.Event{logic.ListUpdate{Form: logic.ListWatchOpen}}
	case ev.AnswerBegun:
		return []logic.Event{logic.ListUpdate{Form: logic.ListAnswerBegun}}
	case ev.UnusableAnswer:
		return []logic.Event{logic.ListUpdate{Form: logic.ListAnswerUnusable}}
	}
	rows := dir.Apply(&ev.Update, time.Now())
	ev.Done()
	for n := range ev.Update.Generation {
		if w.arrivalTimes[n] == 0 {
			w.arrivalTimes[n] = w.elapsed()
		}
	}
	return []logic.Event{logic.ListUpdate{Form: logic.ListDelta, Entries: rows}}
}

// knownAt is when a change counts as told: what happened to calls before it arrived puts it off.
func (w *faultScenario) knownAt(n int) time.Duration {
	if w.pushed {
		return w.pushedKnownAt(n)
	}
	told := w.changeTimes[n] + knownDelay
	for _, x := range w.faultyCalls {
		if w.arrivalTimes[n] == 0 || x.startedAt <= w.arrivalTimes[n] {
			told = max(told, x.startedAt+knownDelay)
			if x.fault == "silent" || x.fault == "quiet watch" {
				told = max(told, x.holdEndsAt+unansweredHoldMargin)
			}
		}
	}
	return told
}

// pushedKnownAt is when a change counts as told where an agent has the list: at once, unless a call that was out then fell
// silent, as of a discovery that is down or a watch that broke.
func (w *faultScenario) pushedKnownAt(n int) time.Duration {
	told := w.firstReachableAt(w.changeTimes[n])
	for _, x := range w.faultyCalls {
		if (x.fault == "silent" || x.fault == "quiet watch") && x.startedAt <= w.arrivalTimes[n] && w.changeTimes[n] < x.startedAt+knownDelay {
			told = max(told, w.firstReachableAt(x.startedAt+knownDelay))
		}
	}
	return told
}

// firstReachableAt is the first time from at on at which discovery can be reached.
func (w *faultScenario) firstReachableAt(at time.Duration) time.Duration {
	if at >= w.downAt && at < w.upAt {
		return w.upAt
	}
	return at
}

// check says which change was sent on against, or came late to a sender with no bound on the age of its list.
func (w *faultScenario) check(strict bool, until time.Duration) (late time.Duration, broken string) {
	if most := int(until / messageInterval); len(w.sendTimes) < most/2 { // or the test says nothing
		return 0, fmt.Sprintf("%d of %d messages were sent", len(w.sendTimes), most)
	}
	for n := range w.changeTimes {
		told, came := w.knownAt(n), w.arrivalTimes[n]
		if came == 0 {
			came = until
		}
		late = max(late, came-told)
		if strict && came > told+timeTolerance {
			return late, fmt.Sprintf("change at %v counts as told at %v and came at %v; calls %+v", w.changeTimes[n], told, came, w.faultyCalls)
		}
		i := slices.IndexFunc(w.sendTimes, func(at time.Duration) bool { return at > told+w.drainGrace+timeTolerance && at < came })
		if i >= 0 {
			return late, fmt.Sprintf("change at %v counts as told at %v and came at %v, sent at %v; calls %+v", w.changeTimes[n], told, came, w.sendTimes[i], w.faultyCalls)
		}
	}
	return late, ""
}

func micros(d time.Duration) logic.Micros { return logic.Micros(d / time.Microsecond) }

// Whatever three things happen to calls for the list, one after the other, a change is in force, or nothing is sent that
// it forbids, once it counts as told: 6 s after discovery had it and could be reached, or a watch fell silent, and for a
// call that waits 2 s after its wait if that is later. What is told may be sent on against for the drain's grace.
func TestRequestedChangesTakeEffectInTimeDespiteFaults(t *testing.T) {
	graces := []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}
	for _, senders := range []int{1, 8, 20, 30, 300, 540} {
		t.Run(fmt.Sprint(senders), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(senders), 1))
			var worst time.Duration
			var broken []string
			orders := len(callFaults) * len(callFaults) * len(callFaults)
			for i := range orders {
				order := []string{callFaults[i%6], callFaults[i/6%6], callFaults[i/36]}
				switch { // a discovery that gives no list for long, for which the client backs off
				case i%43 == 0:
					order = slices.Repeat([]string{"nonsense"}, 6+rng.IntN(9))
				case i%43 == 1:
					order = append(slices.Repeat([]string{"nonsense"}, 1+rng.IntN(4)), order...)
				}
				until := 20 * time.Second
				for _, x := range order {
					until += 8 * time.Second
					if x == "quiet watch" || x == "silent" {
						until += spreadWatchHoldTime + 2*watchAnswerMargin
					}
				}
				w := &faultScenario{goodCalls: rng.IntN(4), pendingFaults: slices.Clone(order), drainGrace: graces[i%len(graces)]}
				every := changeInterval
				if i%2 == 1 {
					w.quietAfter = time.Duration(rng.Int64N(int64(spreadWatchHoldTime)))
					every = 10 * changeInterval
				}
				for at := time.Duration(rng.Int64N(int64(every))); at < until-12*time.Second; at += every/2 + time.Duration(rng.Int64N(int64(every))) {
					w.changeTimes = append(w.changeTimes, at)
				}
				synctest.Test(t, func(t *testing.T) { w.run(t, senders, rng.Uint64(), until) })
				late, bad := w.check(senders < SpreadMinSenders, until)
				worst = max(worst, late)
				if bad != "" {
					broken = append(broken, fmt.Sprintf("%s, grace %v: %s", strings.Join(order, ", "), w.drainGrace, bad))
				}
			}
			t.Logf("%d of %d orders broken; the latest change came %v after it counted as told", len(broken), orders, worst)
			for _, text := range broken[:min(len(broken), 5)] {
				t.Error(text)
			}
		})
	}
}

// Where an agent has the list, a change counts as told as soon as it has it, whatever becomes of the calls for it: at a
// first start and at others, for any number of senders and any grace, nothing is sent that a change forbids once the grace
// is over. No pause of the client's or the module's outlasts that, and where an answer can't be used sends wait for the
// next one (incident 1).
func TestPushedChangesTakeEffectWithinGraceDespiteFaults(t *testing.T) {
	graces := []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}
	kinds := []string{"refused", "reset", "silent", "nonsense", "503", "quiet watch", "torn", "stalled",
		"stalled news", "torn news"}
	for _, senders := range []int{1, 8, 16, 40, 104, 300, 900} {
		t.Run(fmt.Sprint(senders), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(senders), 2))
			var broken []string
			orders := 160
			if testing.Short() { // as under the race detector, where these take ten times as long
				orders = 16
			}
			for i := range orders {
				var order []string
				for range 1 + rng.IntN(6) {
					order = append(order, kinds[rng.IntN(len(kinds))])
				}
				until := 20 * time.Second
				for range order {
					until += 3 * time.Second
				}
				w := &faultScenario{pushed: true, goodCalls: rng.IntN(4), pendingFaults: slices.Clone(order), drainGrace: graces[i%len(graces)]}
				w.quietAfter = time.Duration(rng.Int64N(int64(pushedTiming(w.drainGrace).holdTime)))
				if i%3 == 0 {
					w.downAt = time.Duration(rng.Int64N(int64(until - 15*time.Second)))
					w.upAt = w.downAt + time.Duration(rng.Int64N(int64(12*time.Second)))
				}
				every := changeInterval << (i % 4)
				for at := time.Duration(rng.Int64N(int64(every))); at < until-12*time.Second; at += every/2 + time.Duration(rng.Int64N(int64(every))) {
					w.changeTimes = append(w.changeTimes, at)
				}
				synctest.Test(t, func(t *testing.T) { w.run(t, senders, rng.Uint64(), until) })
				if _, bad := w.check(false, until); bad != "" {
					broken = append(broken, fmt.Sprintf("%s, grace %v: %s", strings.Join(order, ", "), w.drainGrace, bad))
				}
			}
			t.Logf("%d of %d orders broken", len(broken), orders)
			for _, text := range broken[:min(len(broken), 5)] {
				t.Error(text)
			}
		})
	}
}
