package logic

import (
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
)

var recordGolden = flag.Bool("record", false,
	"record the hashes of the actions again; only where a change of decisions is intended")

const goldenFile = "testdata/actions.json"

// goldenStream is a seeded stream of events for many destinations, with long times without events, and the hash of the
// actions that a Sender takes on it.
type goldenStream struct {
	t            *testing.T
	settings     Settings
	rnd          *rand.Rand
	sender       *Sender
	now          Micros
	entries      []Entry
	pending      []goldenEvent // in order of time
	openMessages map[string]*goldenMessage
	messageCount int
	downUntil    map[int64]Micros // by destination, the end of its outage
	downOutcome  map[int64]Outcome
	actionsHash  hash.Hash
	actions      int
	handovers    int
}

type goldenEvent struct {
	at    Micros
	event Event
}

type goldenMessage struct{ tries int }

func newGoldenStream(t *testing.T, settings Settings, seed uint64) *goldenStream {
	s, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &goldenStream{t: t, settings: settings, rnd: rand.New(rand.NewPCG(seed, 2)), sender: s,
		openMessages: map[string]*goldenMessage{}, downUntil: map[int64]Micros{}, downOutcome: map[int64]Outcome{},
		actionsHash: sha256.New()}
}

func (g *goldenStream) step(evs ...Event) {
	for _, a := range g.sender.Step(g.now, evs) {
		g.actions++
		fmt.Fprintf(g.actionsHash, "%d %#v\n", g.now, a)
		switch a := a.(type) {
		case CallOut:
			g.startAttempt(a)
		case Cancel:
			for i, p := range g.pending {
				if r, ok := p.event.(AttemptResult); ok && r.ID == a.ID && r.Attempt == a.Attempt {
					r.Outcome, r.RetryAfter, r.MessageEnded = Cancelled, 0, false
					g.pending = slices.Delete(g.pending, i, i+1)
					g.schedule(g.now+g.settings.Tick, r)
					break
				}
			}
		case Refuse:
			delete(g.openMessages, a.ID)
		case Fail:
			delete(g.openMessages, a.ID)
		case SetTimer:
			g.schedule(g.now+a.Wait, TimerExpired{a.Token})
		}
	}
}

func (g *goldenStream) schedule(at Micros, ev Event) {
	i := len(g.pending)
	for i > 0 && g.pending[i-1].at > at {
		i--
	}
	g.pending = slices.Insert(g.pending, i, goldenEvent{at, ev})
}

func (g *goldenStream) startAttempt(a CallOut) {
	message := g.openMessages[a.ID]
	result := AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Attempt: message.tries, Outcome: Completed, MessageEnded: true}
	message.tries++
	var destination int64
	for _, entry := range g.entries {
		if entry.Endpoint == a.Endpoint {
			destination = entry.Destination
		}
	}
	duration := Micros(20_000+10_000*(destination%7)) + Micros(g.rnd.ExpFloat64()*30_000)
	if g.rnd.IntN(30) == 0 {
		duration *= 40
	}
	switch x := g.rnd.IntN(200); {
	case g.now < g.downUntil[destination]:
		result.Outcome, result.MessageEnded = g.downOutcome[destination], false
	case x < 3:
		result.Outcome, result.MessageEnded = Errored, false
	case x < 5:
		result.Outcome, result.MessageEnded = ConnBroken, false
	case x < 12:
		result.Outcome, result.MessageEnded = Rejected, false
	}
	if result.Outcome == Rejected && g.rnd.IntN(2) == 0 {
		result.RetryAfter = Micros(g.rnd.IntN(4_000_000))
	}
	if result.Outcome == TimedOut || duration >= a.GiveUp {
		result.Outcome, result.MessageEnded, duration = TimedOut, false, a.GiveUp
	}
	result.Duration = duration
	if g.settings.LimitIndex >= 0 && result.Outcome != TimedOut {
		result.Load = []float64{g.rnd.Float64(), 20 + 20*g.rnd.Float64()}
	}
	g.schedule(g.now+duration, result)
}

func (g *goldenStream) newMessage(destination int64) Event {
	g.messageCount++
	classIndex := g.rnd.IntN(len(g.settings.Classes))
	message := NewMessage{ID: fmt.Sprint("g", g.messageCount), TimeLeft: g.settings.Classes[classIndex].Deadline,
		Destination: destination, Tenant: -1, Class: classIndex}
	if g.rnd.IntN(50) == 0 {
		message.Prior = PriorAttempts{Recovered: true, Tries: g.rnd.IntN(2)}
	}
	g.openMessages[message.ID] = &goldenMessage{tries: message.Prior.Tries}
	return message
}

// listChange returns a random update of the list.
func (g *goldenStream) listChange() Event {
	i := g.rnd.IntN(len(g.entries))
	entry := &g.entries[i]
	switch g.rnd.IntN(8) {
	case 0:
		entry.State = Draining
	case 1:
		entry.State = Removed
	case 2: // a full list without some of the endpoints
		update := ListUpdate{Form: ListWhole}
		for j, entry := range g.entries {
			if entry.State != Removed && j%17 != i%17 {
				update.Entries = append(update.Entries, entry)
			}
		}
		return update
	case 3:
		update := ListUpdate{Form: ListWhole}
		for j := range g.entries {
			g.entries[j].State = Ready
			update.Entries = append(update.Entries, g.entries[j])
		}
		return update
	case 4: // the endpoint moves to another destination
		entry.Destination, entry.State = g.entries[g.rnd.IntN(len(g.entries))].Destination, Ready
	case 5: // a new endpoint
		g.entries = append(g.entries, Entry{Endpoint: EndpointID(1000 + len(g.entries)), Destination: entry.Destination,
			Kind: entry.Kind, Zone: entry.Zone, Nominal: entry.Nominal})
		entry = &g.entries[len(g.entries)-1]
	default:
		entry.State = Ready
	}
	return ListUpdate{Form: ListDelta, Entries: []Entry{*entry, {Endpoint: 77_777, State: Removed}}}
}

// play runs some minutes of events and returns the hash of the actions; with handOver, another Sender takes over the
// state from time to time.
func (g *goldenStream) play(destinations int, handOver bool) string {
	for destination := range destinations {
		for endpoint := range 1 + destination%3 {
			g.entries = append(g.entries, Entry{Endpoint: EndpointID(10*destination + endpoint + 1),
				Destination: int64(destination), Kind: destination % len(g.settings.Kinds),
				Zone: endpoint % max(g.settings.Zones, 1), Nominal: float64(5 + destination%40)})
		}
	}
	g.step(ListUpdate{Form: ListSaved, Entries: slices.Clone(g.entries), Stale: g.rnd.IntN(2) == 0})
	for i := range 1200 {
		g.now += Micros(g.rnd.IntN(30_000))
		var evs []Event
		switch x := g.rnd.IntN(1000); {
		case x < 20:
			evs = append(evs, g.listChange())
		case x < 24:
			evs = append(evs, ListUpdate{Form: ListWatchOpen})
		case x < 27:
			evs = append(evs, ListUpdate{Form: ListRequestFailed})
		case x < 34:
			destination := int64(g.rnd.IntN(destinations / 2))
			g.downUntil[destination] = g.now + Micros(g.rnd.IntN(20))*Second
			g.downOutcome[destination] = []Outcome{ConnRefused, Errored, TimedOut, Rejected}[g.rnd.IntN(4)]
		case x < 36:
			evs = append(evs, Ban{g.entries[g.rnd.IntN(len(g.entries))].Endpoint})
		case x < 40:
			evs = append(evs, Unban{g.entries[g.rnd.IntN(len(g.entries))].Endpoint})
		case x < 42:
			evs = append(evs, DiscoveryMoved{})
		case x < 44 && g.messageCount > 0:
			evs = append(evs, ClientGone{fmt.Sprint("g", 1+g.rnd.IntN(g.messageCount))})
		case x < 60: // a burst
			for range 10 {
				evs = append(evs, g.newMessage(int64(g.rnd.IntN(1+destinations/8))))
			}
		case x < 900:
			evs = append(evs, g.newMessage(int64(float64(destinations)*g.rnd.Float64()*g.rnd.Float64())))
		}
		if i%600 == 500 { // a long time without events, in which learned state expires
			for len(g.pending) > 0 && g.pending[0].at < g.now+20*Second {
				g.stepDue(g.pending[0].at)
			}
			g.now += Micros(g.rnd.IntN(200)) * Second
		}
		if len(g.pending) > 0 && g.pending[0].at <= g.now {
			g.stepDue(g.now)
		}
		if len(evs) > 0 {
			g.step(evs...)
		}
		if handOver && i%397 == 0 {
			g.handOver()
		}
	}
	g.step(Stopping{TimeLeft: 2 * Second}, g.newMessage(1), g.newMessage(2))
	fmt.Fprintf(g.actionsHash, "%d messages, %d actions\n", g.messageCount, g.actions)
	if g.actions < 1000 {
		g.t.Errorf("got %d actions, want at least 1000", g.actions)
	}
	return fmt.Sprintf("%x", g.actionsHash.Sum(nil)[:12])
}

// stepDue hands all events that are due at a time to the Sender in one step.
func (g *goldenStream) stepDue(at Micros) {
	g.now = max(g.now, at)
	var evs []Event
	for len(g.pending) > 0 && g.pending[0].at <= g.now {
		evs = append(evs, g.pending[0].event)
		if r, ok := g.pending[0].event.(AttemptResult); ok && r.MessageEnded {
			delete(g.openMessages, r.ID)
		}
		g.pending = g.pending[1:]
	}
	g.step(evs...)
}

func (g *goldenStream) handOver() {
	g.handovers++
	resumed := transferSender(g.t, g.settings, g.sender, g.handovers%2 == 0)
	resumed.rng, resumed.step, resumed.timerAt = g.sender.rng, g.sender.step, g.sender.timerAt
	g.sender = resumed
}

// goldenVariants returns settingsVariants and variants with many senders.
func goldenVariants() map[string]Settings {
	variants := settingsVariants()
	for name, change := range map[string]func(*Settings){
		"fleet":         func(s *Settings) { s.ConnIdle = 10 * Second },
		"fleet reports": func(s *Settings) { s.LimitLeftIndex, s.LimitIndex, s.Weights = 0, 1, WeightsNominal },
		"fleet apart": func(s *Settings) {
			s.Kinds = []Kind{{Name: "k", SeparateRoutes: true, Batch: 1}, {Name: "l", Batch: 3}}
		},
		"fleet aged": func(s *Settings) { s.MaxListAge, s.ListOnRequest = 6*Second, true },
	} {
		settings := baseSettings()
		settings.Senders, settings.Slots, settings.MaxOpen, settings.ConnCalls = 60, 40, 300, 1
		change(&settings)
		variants[name] = settings
	}
	return variants
}

// TestActionsMatchTheRecord compares every decision on seeded streams with the recorded ones, so that a change of how
// the state is stored changes no decision. A commit that changes decisions records them again with -record and says so.
func TestActionsMatchTheRecord(t *testing.T) {
	got := map[string]string{}
	for name, settings := range goldenVariants() {
		for _, handOver := range []bool{false, true} {
			got[fmt.Sprintf("%s, many destinations, replaced %v", name, handOver)] =
				newGoldenStream(t, settings, 11).play(100, handOver)
			if _, isRuleVariant := settingsVariants()[name]; isRuleVariant {
				rc := newRuleChecker(t, settings, 6)
				if handOver {
					rc.handoverInterval = Second
				}
				rc.play()
				sum := sha256.New()
				for _, line := range rc.trace {
					fmt.Fprintln(sum, line)
				}
				got[fmt.Sprintf("%s, rules, replaced %v", name, handOver)] = fmt.Sprintf("%x", sum.Sum(nil)[:12])
			}
		}
	}
	if *recordGolden {
		text, err := json.MarshalIndent(got, "", "\t")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenFile, append(text, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	var want map[string]string
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if got[name] != want[name] {
			t.Errorf("%s: got actions with hash %s, want %s", name, got[name], want[name])
		}
	}
	if len(got) != len(want) {
		t.Errorf("got %d streams, want %d as recorded", len(got), len(want))
	}
}
