package discovery

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// slowDiscovery is how discovery answers: at once, late, in pieces or with a rejection.
type slowDiscovery struct {
	from, until time.Duration // outside of these times it answers at once
	delay       time.Duration // from the call, or from the change that it waits for, until the end of the answer
	pieces      int           // in which the answer comes, spread over the delay; 0 for one, at its end
	rejects     bool          // the answer is 503
}

const rejection = "HTTP/1.1 503 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// answer writes an answer to a call.
func (d *slowDiscovery) answer(s *faultScenario, conn net.Conn, text string) {
	if now := s.elapsed(); now < d.from || now >= d.until {
		conn.Write([]byte(text))
		return
	}
	if d.rejects {
		text = rejection
	}
	pieces := max(d.pieces, 1)
	if d.pieces > 1 {
		head, body, _ := strings.Cut(text, "\r\n\r\n")
		conn.Write([]byte(head + "\r\n\r\n"))
		text = body
	}
	for i := range pieces {
		time.Sleep(d.delay / time.Duration(pieces))
		if _, err := conn.Write([]byte(text[i*len(text)/pieces : (i+1)*len(text)/pieces])); err != nil {
			return
		}
	}
}

func (d *slowDiscovery) String() string {
	switch {
	case d.rejects:
		return fmt.Sprintf("503 after %v", d.delay)
	case d.pieces > 1:
		return fmt.Sprintf("%d pieces in %v", d.pieces, d.delay)
	}
	return fmt.Sprintf("%v late", d.delay)
}

// Times of the scenarios with a slow discovery.
const (
	slowFrom     = 3 * time.Second
	slowUntil    = 30 * time.Second
	slowScenario = 50 * time.Second
	drainedAt    = 5 * time.Second         // when the endpoint of the first change begins to drain
	heardWithin  = 2 * knownDelay          // a call that began before the change, and the next one
	recoveredAt  = slowUntil + heardWithin // messages are sent again from then on
)

// slowSituations are what happens to the sender while discovery is slow.
var slowSituations = []struct {
	name              string
	slowFrom          time.Duration
	moveAt, upgradeAt time.Duration
}{
	{name: "running", slowFrom: slowFrom},
	{name: "start", slowFrom: 0},
	{name: "SIGHUP", slowFrom: slowFrom, moveAt: 4 * time.Second},
	{name: "upgrade", slowFrom: slowFrom, upgradeAt: 6 * time.Second},
}

// newSlowScenario returns a scenario in which an endpoint drains every two seconds from drainedAt on.
func newSlowScenario(pushed bool, slow slowDiscovery) *faultScenario {
	slow.until = slowUntil
	scenario := &faultScenario{pushed: pushed, drainGrace: time.Second, slow: slow}
	for at := drainedAt; at < slowUntil-heardWithin; at += 2 * time.Second {
		scenario.changeTimes = append(scenario.changeTimes, at)
	}
	return scenario
}

// Guards against a slow discovery that is taken for a silent one, so that the sender goes on with the list that it has:
// with answers that come late, in pieces, or are rejections. A change counts as known 6 s after discovery had it at the
// latest, and nothing is sent to the endpoint once the drain grace is over, whether or not the change has arrived.
// Answers that hold the list are heard while discovery is slow.
func TestDiscoveryThatAnswersSlowlyIsNotSilent(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		for _, senders := range []int{1, 40, 300} {
			for _, situation := range slowSituations {
				t.Run(fmt.Sprintf("pushed=%v/%d/%s", pushed, senders, situation.name), func(t *testing.T) {
					t.Parallel()
					for _, slow := range slowDiscoveries {
						slow.from = situation.slowFrom
						scenario := newSlowScenario(pushed, slow)
						scenario.moveAt, scenario.upgradeAt = situation.moveAt, situation.upgradeAt
						synctest.Test(t, func(t *testing.T) { scenario.run(t, senders, 7, slowScenario) })
						scenario.checkSlow(t)
					}
				})
			}
		}
	}
}

var slowDiscoveries = []slowDiscovery{
	{delay: 350 * time.Millisecond}, {delay: 500 * time.Millisecond}, {delay: time.Second}, {delay: 1800 * time.Millisecond}, {delay: 2500 * time.Millisecond},
	{delay: 4 * time.Second}, {delay: 500 * time.Millisecond, pieces: 5}, {delay: 2 * time.Second, pieces: 5},
	{delay: 4 * time.Second, pieces: 3}, {rejects: true}, {rejects: true, delay: 500 * time.Millisecond},
	{rejects: true, delay: 2500 * time.Millisecond},
}

// knownWhileSlowAt returns when the change of a time counts as known at the latest. Where an agent has the list, that is
// at once, as soon as the sender can tell the slow agent from a silent one by its first answer.
func (s *faultScenario) knownWhileSlowAt(changedAt time.Duration) time.Duration {
	heardAt := max(s.slow.from, s.moveAt, s.upgradeAt) + s.slow.delay + 2*s.drainGrace
	if s.pushed && changedAt >= heardAt {
		return changedAt
	}
	return changedAt + knownDelay
}

// checkSlow checks that nothing was sent to a draining endpoint, that the changes were heard, and that messages were sent
// before and after the time in which discovery was slow.
func (s *faultScenario) checkSlow(t *testing.T) {
	t.Helper()
	for n, changedAt := range s.changeTimes {
		limit := s.knownWhileSlowAt(changedAt) + s.drainGrace + timeTolerance
		arrivedAt := s.arrivalTimes[n]
		if arrivedAt == 0 {
			arrivedAt = slowScenario
		}
		for _, at := range s.sendTimes {
			if at > limit && at < arrivedAt {
				t.Errorf("%v: sent at %v, the change of %v arrived at %v", &s.slow, at, changedAt, arrivedAt)
				break
			}
		}
		if !s.slow.rejects && arrivedAt > changedAt+heardWithin {
			t.Errorf("%v: the change of %v arrived at %v", &s.slow, changedAt, arrivedAt)
		}
	}
	s.checkSent(t, "before discovery was slow", 0, s.slow.from, s.slow.from-time.Second)
	if !s.slow.rejects && (!s.pushed || s.slow.delay <= s.drainGrace/2) {
		s.checkSent(t, "while answers were late, but soon enough", s.slow.from, slowUntil, (slowUntil-s.slow.from)/2)
	}
	s.checkSent(t, "after discovery was slow", recoveredAt, slowScenario, slowScenario-recoveredAt-time.Second)
}

// checkSent checks that between two times as many messages were sent as arrive in a duration.
func (s *faultScenario) checkSent(t *testing.T, when string, from, until, worth time.Duration) {
	t.Helper()
	sent := 0
	for _, at := range s.sendTimes {
		if at >= from && at < until {
			sent++
		}
	}
	if want := int(worth / messageInterval); sent < want {
		t.Errorf("%v: %d messages were sent %s, want %d", &s.slow, sent, when, want)
	}
}
