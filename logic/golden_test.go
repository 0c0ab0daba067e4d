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

var recordGolden = flag.Bool("record", false, "write the hashes of the actions anew; only where decisions are meant to change")

const goldenFile = "testdata/actions.json"

// goldenStream is a seeded stream of events over many destinations with long silences, and the hash of what a Sender does
// with it.
type goldenStream struct {
	t            *testing.T
	settings     Settings
	rnd          *rand.Rand
	sender       *Sender
	now          Micros
	entries      []Entry
	pending      []goldenEvent // by time
	openMessages map[string]*goldenMessage
	messageCount int
	downUntil    map[int64]Micros // until when a destination is down
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

func newGoldenStream(t *testing.T, set Settings, seed uint64) *goldenStream {
	s, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &goldenStream{t: t, settings: set, rnd: rand.New(rand.NewPCG(seed, 2)), sender: s, openMessages: map[string]*goldenMessage{},
		downUntil: map[int64]Micros{}, downOutcome: map[int64]Outcome{}, actionsHash: sha256.New()}
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
	m := g.openMessages[a.ID]
	r := AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Attempt: m.tries, Outcome: Completed, MessageEnded: true}
	m.tries++
	var dest int64
	for _, row := range g.entries {
		if row.Endpoint == a.Endpoint {
			dest = row.Destination
		}
	}
	took := Micros(20_000+10_000*(dest%7)) + Micros(g.rnd.ExpFloat64()*30_000)
	if g.rnd.IntN(30) == 0 {
		took *= 40
	}
	switch x := g.rnd.IntN(200); {
	case g.now < g.downUntil[dest]:
		r.Outcome, r.MessageEnded = g.downOutcome[dest], false
	case x < 3:
		r.Outcome, r.MessageEnded = Errored, false
	case x < 5:
		r.Outcome, r.MessageEnded = ConnBroken, false
	case x < 12:
		r.Outcome, r.MessageEnded = Rejected, false
	}
	if r.Outcome == Rejected && g.rnd.IntN(2) == 0 {
		r.RetryAfter = Micros(g.rnd.IntN(4_000_000))
	}
	if r.Outcome == TimedOut || took >= a.GiveUp {
		r.Outcome, r.MessageEnded, took = TimedOut, false, a.GiveUp
	}
	r.Duration = took
	if g.settings.LimitIndex >= 0 && r.Outcome != TimedOut {
		r.Load = []float64{g.rnd.Float64(), 20 + 20*g.rnd.Float64()}
	}
	g.schedule(g.now+took, r)
}

func (g *goldenStream) newMessage(dest int64) Event {
	g.messageCount++
	c := g.rnd.IntN(len(g.settings.Classes))
	ev := NewMessage{ID: fmt.Sprint("g", g.messageCount), TimeLeft: g.settings.Classes[c].Deadline, Destination: dest, Tenant: -1, Class: c}
	if g.rnd.IntN(50) == 0 {
		ev.Prior = PriorAttempts{Recovered: true, Tries: g.rnd.IntN(2)}
	}
	g.openMessages[ev.ID] = &goldenMessage{tries: ev.Prior.Tries}
	return ev
}

// listChange is news of the list.
func (g *goldenStream) listChange() Event {
	i := g.rnd.IntN(len(g.entries))
	row := &g.entries[i]
	switch g.rnd.IntN(8) {
	case 0:
		row.State = Draining
	case 1:
		row.State = Removed
	case 2: // a whole list without some
		ev := ListUpdate{Form: ListFull}
		for j, row := range g.entries {
			if row.State != Removed && j%17 != i%17 {
				ev.Entries = append(ev.Entries, row)
			}
		}
		return ev
	case 3:
		ev := ListUpdate{Form: ListFull}
		for j := range g.entries {
			g.entries[j].State = Ready
			ev.Entries = append(ev.Entries, g.entries[j])
		}
		return ev
	case 4: // moves to another destination
		row.Destination, row.State = g.entries[g.rnd.IntN(len(g.entries))].Destination, Ready
	case 5: // a new one
		g.entries = append(g.entries, Entry{Endpoint: EndpointID(1000 + len(g.entries)), Destination: row.Destination, Kind: row.Kind, Zone: row.Zone,
			Nominal: row.Nominal})
		row = &g.entries[len(g.entries)-1]
	default:
		row.State = Ready
	}
	return ListUpdate{Form: ListDelta, Entries: []Entry{*row, {Endpoint: 77_777, State: Removed}}}
}

// play runs some minutes, with a sender that goes on for the one before now and then.
func (g *goldenStream) play(dests int, swap bool) string {
	for d := range dests {
		for e := range 1 + d%3 {
			g.entries = append(g.entries, Entry{Endpoint: EndpointID(10*d + e + 1), Destination: int64(d), Kind: d % len(g.settings.Kinds),
				Zone: e % max(g.settings.Zones, 1), Nominal: float64(5 + d%40)})
		}
	}
	g.step(ListUpdate{Form: ListCached, Entries: slices.Clone(g.entries), Stale: g.rnd.IntN(2) == 0})
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
			d := int64(g.rnd.IntN(dests / 2))
			g.downUntil[d] = g.now + Micros(g.rnd.IntN(20))*Second
			g.downOutcome[d] = []Outcome{ConnRefused, Errored, TimedOut, Rejected}[g.rnd.IntN(4)]
		case x < 36:
			evs = append(evs, Ban{g.entries[g.rnd.IntN(len(g.entries))].Endpoint})
		case x < 40:
			evs = append(evs, Unban{g.entries[g.rnd.IntN(len(g.entries))].Endpoint})
		case x < 42:
			evs = append(evs, DiscoveryMoved{})
		case x < 44 && g.messageCount > 0:
			evs = append(evs, ClientGone{fmt.Sprint("g", 1+g.rnd.IntN(g.messageCount))})
		case x < 60: // a clump
			for range 10 {
				evs = append(evs, g.newMessage(int64(g.rnd.IntN(1+dests/8))))
			}
		case x < 900:
			evs = append(evs, g.newMessage(int64(float64(dests)*g.rnd.Float64()*g.rnd.Float64())))
		}
		if i%600 == 500 { // a silence in which what was learned ages
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
		if swap && i%397 == 0 {
			g.handOver()
		}
	}
	g.step(Stopping{TimeLeft: 2 * Second}, g.newMessage(1), g.newMessage(2))
	fmt.Fprintf(g.actionsHash, "%d messages, %d actions\n", g.messageCount, g.actions)
	if g.actions < 1000 {
		g.t.Errorf("only %d actions", g.actions)
	}
	return fmt.Sprintf("%x", g.actionsHash.Sum(nil)[:12])
}

// stepDue takes what is due at a time in one step.
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
	next := transferSender(g.t, g.settings, g.sender, g.handovers%2 == 0)
	next.rng, next.step, next.timerAt = g.sender.rng, g.sender.step, g.sender.timerAt
	g.sender = next
}

// goldenVariants are those of the rules, and fleets.
func goldenVariants() map[string]Settings {
	all := settingsVariants()
	for name, f := range map[string]func(*Settings){
		"fleet":         func(s *Settings) { s.ConnIdle = 10 * Second },
		"fleet reports": func(s *Settings) { s.LimitLeftIndex, s.LimitIndex, s.Weights = 0, 1, WeightsNominal },
		"fleet apart": func(s *Settings) {
			s.Kinds = []Kind{{Name: "k", SeparateRoutes: true, Batch: 1}, {Name: "l", Batch: 3}}
		},
		"fleet aged": func(s *Settings) { s.MaxListAge, s.ListOnRequest = 6*Second, true },
	} {
		set := baseSettings()
		set.Senders, set.Slots, set.MaxOpen, set.ConnCalls = 60, 40, 300, 1
		f(&set)
		all[name] = set
	}
	return all
}

// TestActionsMatchTheRecord holds every decision on seeded streams against those on record: what only changes how the
// state is kept must change none. A change of decisions records them anew, with -record, and says so.
func TestActionsMatchTheRecord(t *testing.T) {
	got := map[string]string{}
	for name, set := range goldenVariants() {
		for _, swap := range []bool{false, true} {
			got[fmt.Sprintf("%s, many destinations, replaced %v", name, swap)] = newGoldenStream(t, set, 11).play(100, swap)
			if _, rules := settingsVariants()[name]; rules {
				w := newRuleChecker(t, set, 6)
				if swap {
					w.handoverInterval = Second
				}
				w.play()
				sum := sha256.New()
				for _, line := range w.trace {
					fmt.Fprintln(sum, line)
				}
				got[fmt.Sprintf("%s, rules, replaced %v", name, swap)] = fmt.Sprintf("%x", sum.Sum(nil)[:12])
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
			t.Errorf("%s: actions %s, on record %s", name, got[name], want[name])
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d streams, %d on record", len(got), len(want))
	}
}
