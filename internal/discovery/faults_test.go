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

// Times at which a change counts as known, whether or not it has arrived, and intervals of the scenario.
const (
	timeTolerance   = 50 * time.Millisecond  // tolerance of every time limit
	messageInterval = 200 * time.Millisecond // between messages
	changeInterval  = 500 * time.Millisecond // between changes, where they follow each other closely
)

// callFaults are the faults of a call for the list. "silent" gets no answer. "quiet watch" waits for a change and
// becomes unresponsive if there is none before quietAfter: it then gets no answer either. The others fail at once: no
// connection, or an answer that is not a list.
var callFaults = []string{"refused", "reset", "silent", "nonsense", "503", "quiet watch"}

var malformedAnswers = []string{"<html>sorry</html>", `{"generation":9,"reset":true,"instances":[{"instanceId":"x","hos`,
	`{"generation":"six"}`, `{"generation":-1,"reset":false,"instances":[]}`}

// faultScenario is one sender, with decision logic and client, on virtual time. Its discovery applies a script of
// faults to the calls after the first goodCalls ones and answers the others correctly. Endpoint "alive" stays up and
// gets a message now and then; endpoint n drains with the n-th change.
type faultScenario struct {
	startedAt     time.Time
	changeTimes   []time.Duration // when each change happens
	mu            sync.Mutex
	downAt        time.Duration // pushed lists: from then on discovery is down and its agent does not answer
	upAt          time.Duration // end of that; calls that are waiting are answered
	pushed        bool          // an agent has the list: a change counts as known as soon as the agent has it
	goodCalls     int           // calls that are answered before the script begins
	pendingFaults []string
	quietAfter    time.Duration // after which a quiet watch becomes unresponsive
	slow          slowDiscovery // how discovery answers the calls that have no fault
	moveAt        time.Duration // discovery moves to another address; 0 for never
	upgradeAt     time.Duration // another process takes over; 0 for never
	drainGrace    time.Duration // how long a draining endpoint may still be called once that is known
	callCount     int
	faultyCalls   []faultyCall
	sendTimes     []time.Duration
	arrivalTimes  []time.Duration // when each change reached the decision logic; 0 if it has not
}

// faultyCall is a call that had a fault.
type faultyCall struct {
	fault      string
	startedAt  time.Duration // when the call began, or became unresponsive
	holdEndsAt time.Duration // when its hold time ends
}

// awaitUp waits while discovery is down; false if the client disconnects meanwhile.
func (s *faultScenario) awaitUp(disconnected <-chan struct{}) bool {
	if now := s.elapsed(); now < s.downAt || now >= s.upAt {
		return true
	}
	select {
	case <-disconnected:
		return false
	case <-time.After(s.upAt - s.elapsed()):
		return true
	}
}

func (s *faultScenario) elapsed() time.Duration { return time.Since(s.startedAt) }

// takeFault returns the fault of the next call, empty for none, and removes it from the script. It is called when the
// client dials, where only "refused" applies, and when a call has arrived.
func (s *faultScenario) takeFault(dialing bool, hold time.Duration) (fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callCount < s.goodCalls || len(s.pendingFaults) == 0 || (s.pendingFaults[0] == "refused") != dialing ||
		strings.HasSuffix(s.pendingFaults[0], "news") && hold <= promptHoldTime ||
		s.pendingFaults[0] == "quiet watch" && hold <= promptHoldTime {
		if !dialing {
			s.callCount++
		}
		return ""
	}
	fault, s.pendingFaults = s.pendingFaults[0], s.pendingFaults[1:]
	s.callCount++
	s.faultyCalls = append(s.faultyCalls, faultyCall{fault, s.elapsed(), s.elapsed() + hold})
	return fault
}

func (s *faultScenario) dial(context.Context, string, string) (net.Conn, error) {
	if s.takeFault(true, 0) != "" {
		return nil, syscall.ECONNREFUSED
	}
	ours, theirs := net.Pipe()
	go s.serve(theirs)
	return ours, nil
}

// serve answers one call.
func (s *faultScenario) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	disconnected := make(chan struct{})
	go func() { defer close(disconnected); r.ReadByte() }()
	from, whole := int64(0), !req.URL.Query().Has("from")
	if !whole {
		from, _ = strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	}
	ms, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
	hold := time.Duration(ms) * time.Millisecond
	fault := s.takeFault(false, hold)
	holdOver := time.After(hold)
	switch fault {
	case "reset":
		return
	case "silent":
		<-disconnected
		return
	case "503":
		io.WriteString(conn, "HTTP/1.1 503 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	case "torn": // the answer is truncated within its rows
		fmt.Fprintf(conn, "HTTP/1.1 200 x\r\nContent-Length: 400\r\n\r\n"+
			`{"generation":9,"reset":false,"instances":[{"instanceId":"0","lifec`)
		return
	case "stalled": // the same, but the connection stays open
		fmt.Fprintf(conn, "HTTP/1.1 200 x\r\nContent-Length: 400\r\n\r\n"+
			`{"generation":9,"reset":false,"instances":[{"instanceId":"0","lifec`)
		<-disconnected
		return
	case "nonsense":
		s.mu.Lock()
		text := malformedAnswers[s.callCount%len(malformedAnswers)]
		s.mu.Unlock()
		fmt.Fprintf(conn, "HTTP/1.1 200 x\r\nConnection: close\r\n\r\n%s", text)
		return
	case "quiet watch":
		holdOver = time.After(s.quietAfter)
	}
	for {
		if !s.awaitUp(disconnected) {
			return
		}
		count := s.changeCount()
		if whole || count > int(from) {
			if fault == "stalled news" || fault == "torn news" {
				fmt.Fprintf(conn, "HTTP/1.1 200 x\r\nContent-Length: 4000\r\n\r\n"+
					`{"generation":9,"reset":false,"instances":[{"instanceId":"0","lifec`)
				for range 40 { // slow data that never completes the list
					if fault == "torn news" {
						return
					}
					time.Sleep(50 * time.Millisecond)
					if _, err := io.WriteString(conn, strings.Repeat(" ", 8)); err != nil {
						return
					}
				}
				return
			}
			if fault != "" { // the watch has not become unresponsive yet: the fault is left for a later call
				s.mu.Lock()
				s.faultyCalls, s.pendingFaults = s.faultyCalls[:len(s.faultyCalls)-1], append([]string{fault}, s.pendingFaults...)
				s.mu.Unlock()
			}
			s.slow.answer(s, conn, s.answerText(int(from), count, whole))
			return
		}
		nextChange := make(<-chan time.Time)
		if count < len(s.changeTimes) {
			nextChange = time.After(s.changeTimes[count] - s.elapsed())
		}
		select {
		case <-nextChange:
		case <-holdOver:
			if strings.HasSuffix(fault, "news") { // there was no change to report
				fault = ""
			}
			if fault == "" && !s.awaitUp(disconnected) {
				return
			}
			if fault == "" {
				s.slow.answer(s, conn, s.answerText(count, count, false))
				return
			}
			s.mu.Lock()
			s.faultyCalls[len(s.faultyCalls)-1].startedAt = s.elapsed()
			s.mu.Unlock()
			<-disconnected
			return
		case <-disconnected:
			return
		}
	}
}

// changeCount returns the number of changes so far: the generation of the list.
func (s *faultScenario) changeCount() (count int) {
	for count < len(s.changeTimes) && s.changeTimes[count] <= s.elapsed() {
		count++
	}
	return count
}

// answerText returns an answer with the whole list, or with the changes between two generations.
func (s *faultScenario) answerText(from, to int, whole bool) string {
	list := List{Generation: int64(to), Reset: whole, Instances: []Instance{}}
	if whole {
		list.Instances = s.wholeList(to)
	} else {
		for n := from; n < to; n++ {
			list.Instances = append(list.Instances, testInstance(n, "draining"))
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return "HTTP/1.1 200 x\r\nConnection: close\r\n\r\n" + string(text)
}

func testInstance(n int, state string) Instance {
	return Instance{ID: fmt.Sprint(n), HostPort: "h:1", Kind: "k", Destination: int64(n + 1), Lifecycle: state}
}

// wholeList returns the whole list after the given number of changes.
func (s *faultScenario) wholeList(changes int) []Instance {
	all := []Instance{{ID: "alive", HostPort: "h:1", Kind: "k", Destination: 0, Lifecycle: "up"}}
	for n := range s.changeTimes {
		all = append(all, testInstance(n, map[bool]string{true: "draining", false: "up"}[n < changes]))
	}
	return all
}

// run runs the sender, as one of a fleet, for a duration. It does what the event loop of a sender does.
func (s *faultScenario) run(t *testing.T, senders int, seed uint64, duration time.Duration) {
	t.Helper()
	kinds := []logic.Kind{{Name: "k", Batch: 1}}
	settings := logic.Settings{Senders: senders, Zones: 1, Slots: 8, MaxOpen: 400, MaxTries: 6, Tick: 5000,
		ListOnRequest: !s.pushed, ListPushed: s.pushed, MayCancel: true,
		Classes: []logic.Class{{Name: "a", Aim: logic.Second, Deadline: 2 * logic.Second, Worth: 1, LateWorth: 0.5}},
		Kinds:   kinds, DrainGrace: micros(s.drainGrace), FallMultiple: 2, FallWindow: 2 * logic.Second,
		ColdFrom: 0.2, WarmAfter: 14 * logic.Second, LimitLeftIndex: -1, LimitIndex: -1}
	if !s.pushed {
		settings.MaxAnsweredListAge = micros(MaxListAge) + settings.DrainGrace
	}
	if senders >= SpreadMinSenders {
		settings.MaxListAge = settings.MaxAnsweredListAge
	}
	sender, err := logic.New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	s.startedAt, s.arrivalTimes = time.Now(), make([]time.Duration, len(s.changeTimes))
	directory, events := NewDirectory(nil, kinds), make(chan any, 64)
	newClient := func() *Client {
		return NewClient(Config{Addr: "d:1", Senders: senders, Pushed: s.pushed, DrainGrace: s.drainGrace, Seed: seed,
			Directory: directory, Log: slog.New(slog.DiscardHandler), Dial: s.dial}, events)
	}
	client := newClient()
	directory.Apply(&Update{Whole: true, Rows: s.wholeList(0)}, time.Now())
	client.SetInitialState(0, !s.pushed || seed%2 == 0) // where the list is pushed, the same limits hold for a first start
	ctx, stop := context.WithCancel(t.Context())
	var watches sync.WaitGroup
	watching, inputs := s.pushed, []logic.Event{
		logic.ListUpdate{Form: logic.ListSaved, Entries: directory.Entries(), Stale: true}}
	startWatch := func() {
		ctx, client := ctx, client
		watches.Go(func() { client.Watch(ctx) })
	}
	if watching { // the decision logic need not request a watch
		startWatch()
	}
	messages, end := time.NewTicker(messageInterval), time.After(duration)
	move, upgrade := afterIfSet(s.moveAt), afterIfSet(s.upgradeAt)
	var wake <-chan time.Time
	for id := 0; ; {
		for len(inputs) > 0 {
			batch := inputs
			inputs, wake = nil, nil
			for _, a := range sender.Step(micros(s.elapsed()), batch) {
				switch a := a.(type) {
				case logic.CallOut:
					s.sendTimes = append(s.sendTimes, s.elapsed())
					inputs = append(inputs, logic.AttemptResult{ID: a.ID, MessageEnded: true, Endpoint: a.Endpoint,
						Outcome: logic.Completed, Duration: 1000})
				case logic.SetTimer:
					expired, ctx := logic.TimerExpired{Token: a.Token}, ctx
					time.AfterFunc(time.Duration(a.Wait)*time.Microsecond, func() {
						select {
						case events <- expired:
						case <-ctx.Done():
						}
					})
				case logic.Listen:
					if !watching {
						watching = true
						startWatch()
					}
				}
			}
		}
		select {
		case <-messages.C:
			id++
			inputs = append(inputs, logic.NewMessage{ID: fmt.Sprint("m", id), TimeLeft: 2 * logic.Second, Tenant: -1})
		case <-wake:
		case <-move:
			client.SetAddress("d:2")
			inputs = append(inputs, logic.DiscoveryMoved{})
		case <-upgrade:
			stop()
			watches.Wait()
			generation := client.generation
			ctx, stop = context.WithCancel(t.Context())
			for len(events) > 0 { // of the old process
				<-events
			}
			client, watching = newClient(), true
			client.SetInitialState(generation, true)
			if sender, err = logic.Resume(settings, seed, sender.Save()); err != nil {
				t.Fatal(err)
			}
			startWatch()
		case <-end:
			messages.Stop()
			stop()
			watches.Wait()
			client.httpClient.CloseIdleConnections()
			return
		case ev := <-events:
			expired, ok := ev.(logic.TimerExpired)
			if ok {
				inputs = append(inputs, expired)
				continue
			}
			inputs = append(inputs, s.handleEvent(directory, ev.(Event), &watching)...)
		}
	}
}

// afterIfSet returns a channel that receives after a delay, or never if it is 0.
func afterIfSet(delay time.Duration) <-chan time.Time {
	if delay == 0 {
		return nil
	}
	return time.After(delay)
}

// handleEvent applies an event of the client and returns the events for the decision logic.
func (s *faultScenario) handleEvent(directory *Directory, ev Event, watching *bool) []logic.Event {
	if !ev.HasUpdate {
		*watching = *watching && ev.Err == nil
		return []logic.Event{ev.ListUpdate(time.Now(), nil)}
	}
	entries := directory.Apply(&ev.Update, time.Now())
	ev.Done()
	for n := range ev.Update.Generation {
		if s.arrivalTimes[n] == 0 {
			s.arrivalTimes[n] = s.elapsed()
		}
	}
	return []logic.Event{ev.ListUpdate(time.Now(), entries)}
}

// knownAt returns when a change counts as known. Faults of calls before it arrived delay that.
func (s *faultScenario) knownAt(n int) time.Duration {
	if s.pushed {
		return s.pushedKnownAt(n)
	}
	known := s.changeTimes[n] + knownDelay
	for _, x := range s.faultyCalls {
		if s.arrivalTimes[n] == 0 || x.startedAt <= s.arrivalTimes[n] {
			known = max(known, x.startedAt+knownDelay)
			if x.fault == "silent" || x.fault == "quiet watch" {
				known = max(known, x.holdEndsAt+unansweredHoldMargin)
			}
		}
	}
	return known
}

// pushedKnownAt returns when a change counts as known where an agent has the list: at once if discovery can be reached.
// If a call became unresponsive before the change arrived, and the change happened less than knownDelay after that or
// earlier, it counts as known only knownDelay after the call became unresponsive, as with a watch that broke.
func (s *faultScenario) pushedKnownAt(n int) time.Duration {
	known := s.firstReachableAt(s.changeTimes[n])
	for _, x := range s.faultyCalls {
		if (x.fault == "silent" || x.fault == "quiet watch") && x.startedAt <= s.arrivalTimes[n] &&
			s.changeTimes[n] < x.startedAt+knownDelay {
			known = max(known, s.firstReachableAt(x.startedAt+knownDelay))
		}
	}
	return known
}

// firstReachableAt returns the first time from at on at which discovery can be reached.
func (s *faultScenario) firstReachableAt(at time.Duration) time.Duration {
	if at >= s.downAt && at < s.upAt {
		return s.upAt
	}
	return at
}

// check describes a change that took effect too late: a message was sent before it arrived, although it counted as
// known and the drain grace was over, or, with boundedAge, it arrived after it counted as known. It also returns how
// late the latest change arrived.
func (s *faultScenario) check(boundedAge bool, duration time.Duration) (latest time.Duration, violation string) {
	// With fewer sends the test shows nothing.
	if messageCount := int(duration / messageInterval); len(s.sendTimes) < messageCount/2 {
		return 0, fmt.Sprintf("%d of %d messages were sent", len(s.sendTimes), messageCount)
	}
	for n := range s.changeTimes {
		known, arrived := s.knownAt(n), s.arrivalTimes[n]
		if arrived == 0 {
			arrived = duration
		}
		latest = max(latest, arrived-known)
		if boundedAge && arrived > known+timeTolerance {
			return latest, fmt.Sprintf("change at %v counts as known at %v and arrived at %v; calls %+v",
				s.changeTimes[n], known, arrived, s.faultyCalls)
		}
		i := slices.IndexFunc(s.sendTimes, func(at time.Duration) bool {
			return at > known+s.drainGrace+timeTolerance && at < arrived
		})
		if i >= 0 {
			return latest, fmt.Sprintf("change at %v counts as known at %v and arrived at %v, sent at %v; calls %+v",
				s.changeTimes[n], known, arrived, s.sendTimes[i], s.faultyCalls)
		}
	}
	return latest, ""
}

func micros(d time.Duration) logic.Micros { return logic.Micros(d / time.Microsecond) }

// With any three faults of calls for the list in a row, once a change counts as known it has taken effect, or no
// message is sent until it has. It counts as known 6 s after discovery had it and could be reached, or after a watch
// became unresponsive, and for a call with a hold time 2 s after the end of that time if that is later. A draining
// endpoint may still be called for the drain grace from then on.
func TestRequestedChangesTakeEffectInTimeDespiteFaults(t *testing.T) {
	graces := []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}
	for _, senders := range []int{1, 8, 20, 30, 300, 540} {
		t.Run(fmt.Sprint(senders), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(senders), 1))
			var worst time.Duration
			var broken []string
			combinations := len(callFaults) * len(callFaults) * len(callFaults)
			for i := range combinations {
				faults := []string{callFaults[i%6], callFaults[i/6%6], callFaults[i/36]}
				switch { // discovery gives no usable list for long, and the client backs off
				case i%43 == 0:
					faults = slices.Repeat([]string{"nonsense"}, 6+rng.IntN(9))
				case i%43 == 1:
					faults = append(slices.Repeat([]string{"nonsense"}, 1+rng.IntN(4)), faults...)
				}
				duration := 20 * time.Second
				for _, x := range faults {
					duration += 8 * time.Second
					if x == "quiet watch" || x == "silent" {
						duration += spreadWatchHoldTime + 2*watchAnswerMargin
					}
				}
				scenario := &faultScenario{goodCalls: rng.IntN(4), pendingFaults: slices.Clone(faults),
					drainGrace: graces[i%len(graces)]}
				interval := changeInterval
				if i%2 == 1 {
					scenario.quietAfter = time.Duration(rng.Int64N(int64(spreadWatchHoldTime)))
					interval = 10 * changeInterval
				}
				for at := time.Duration(rng.Int64N(int64(interval))); at < duration-12*time.Second; at += interval/2 +
					time.Duration(rng.Int64N(int64(interval))) {
					scenario.changeTimes = append(scenario.changeTimes, at)
				}
				synctest.Test(t, func(t *testing.T) { scenario.run(t, senders, rng.Uint64(), duration) })
				latest, violation := scenario.check(senders < SpreadMinSenders, duration)
				worst = max(worst, latest)
				if violation != "" {
					broken = append(broken, fmt.Sprintf("%s, grace %v: %s", strings.Join(faults, ", "),
						scenario.drainGrace, violation))
				}
			}
			t.Logf("%d of %d fault sequences failed; the latest change arrived %v after it counted as known",
				len(broken), combinations, worst)
			for _, text := range broken[:min(len(broken), 5)] {
				t.Error(text)
			}
		})
	}
}

// Where an agent has the list, a change counts as known as soon as the agent has it, whatever happens to the calls for
// it. At a first start and at a restart, for any number of senders and any drain grace, once the grace is over no
// message is sent until the change has taken effect. No pause of the client or the decision logic lasts longer, and
// after an unusable answer sends wait for the next one.
func TestPushedChangesTakeEffectWithinGraceDespiteFaults(t *testing.T) {
	graces := []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}
	// A fault that ends in "news" affects only the answer to a watch that has a change to report.
	kinds := []string{"refused", "reset", "silent", "nonsense", "503", "quiet watch", "torn", "stalled",
		"stalled news", "torn news"}
	for _, senders := range []int{1, 8, 16, 40, 104, 300, 900} {
		t.Run(fmt.Sprint(senders), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(senders), 2))
			var broken []string
			runs := 160
			if testing.Short() { // for runs under the race detector, which take ten times as long
				runs = 16
			}
			for i := range runs {
				var faults []string
				for range 1 + rng.IntN(6) {
					faults = append(faults, kinds[rng.IntN(len(kinds))])
				}
				duration := 20 * time.Second
				for range faults {
					duration += 3 * time.Second
				}
				scenario := &faultScenario{pushed: true, goodCalls: rng.IntN(4), pendingFaults: slices.Clone(faults),
					drainGrace: graces[i%len(graces)]}
				scenario.quietAfter = time.Duration(rng.Int64N(int64(pushedTiming(scenario.drainGrace).holdTime)))
				if i%3 == 0 {
					scenario.downAt = time.Duration(rng.Int64N(int64(duration - 15*time.Second)))
					scenario.upAt = scenario.downAt + time.Duration(rng.Int64N(int64(12*time.Second)))
				}
				interval := changeInterval << (i % 4)
				for at := time.Duration(rng.Int64N(int64(interval))); at < duration-12*time.Second; at += interval/2 +
					time.Duration(rng.Int64N(int64(interval))) {
					scenario.changeTimes = append(scenario.changeTimes, at)
				}
				synctest.Test(t, func(t *testing.T) { scenario.run(t, senders, rng.Uint64(), duration) })
				if _, violation := scenario.check(false, duration); violation != "" {
					broken = append(broken, fmt.Sprintf("%s, grace %v: %s", strings.Join(faults, ", "),
						scenario.drainGrace, violation))
				}
			}
			t.Logf("%d of %d fault sequences failed", len(broken), runs)
			for _, text := range broken[:min(len(broken), 5)] {
				t.Error(text)
			}
		})
	}
}
